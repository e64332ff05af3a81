package nodes_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/control/internal/nodes"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// largeUpdateServer sends updates with rules of 600 KB, each to one stream only.
type largeUpdateServer struct {
	wirev1connect.UnimplementedControlHandler
	count int
	// sent gets a value after all updates were sent. The stream ends with the
	// context.
	sent chan struct{}
}

func (s *largeUpdateServer) Watch(ctx context.Context, _ *connect.Request[wirev1.WatchRequest], stream *connect.ServerStream[wirev1.Update]) error {
	for i := range s.count {
		text := strings.Repeat("# filler\n", 600_000/9+i)
		if err := stream.Send(&wirev1.Update{Index: uint64(i), Rules: &wirev1.RulesRevision{Revision: uint64(i), Text: text}}); err != nil {
			return err
		}
	}
	s.sent <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}

// heapInUse returns the bytes of the heap that are reachable.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestLargeUpdatesAreNotAllKept guards against a leader that keeps the encoded
// updates of the last 32 changes of a large configuration in memory.
func TestLargeUpdatesAreNotAllKept(t *testing.T) {
	// Two caches of 8 MiB and the buffers of one stream.
	const limit = 24 << 20
	s := &largeUpdateServer{count: 32, sent: make(chan struct{}, 1)}
	path, handler := wirev1connect.NewControlHandler(s, connect.WithCompressMinBytes(1024), nodes.SharedEncoding())
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	before := heapInUse()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := wirev1connect.NewControlClient(http.DefaultClient, server.URL).Watch(ctx, connect.NewRequest(&wirev1.WatchRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.count {
		if !stream.Receive() || stream.Msg().GetIndex() != uint64(i) {
			t.Fatalf("update %d: got %d, %v, want this index", i, stream.Msg().GetIndex(), stream.Err())
		}
	}
	<-s.sent
	if grown := heapInUse() - before; grown > limit {
		t.Errorf("the heap has grown by %d bytes after %d updates of 600 KB, want at most %d", grown, s.count, limit)
	}
	runtime.KeepAlive(handler)
}
