package nodes_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/control/internal/nodes"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// updateServer sends the same updates to every stream, more of them than the
// cache keeps, and after each of them one that is private to the stream.
type updateServer struct {
	wirev1connect.UnimplementedControlHandler
	updates []*wirev1.Update
}

func privateUpdate(incarnation uint64, index int) *wirev1.Update {
	return &wirev1.Update{Index: uint64(index), RemovedNodes: []uint64{incarnation}}
}

func (s *updateServer) Watch(_ context.Context, r *connect.Request[wirev1.WatchRequest], stream *connect.ServerStream[wirev1.Update]) error {
	for i, u := range s.updates {
		for _, message := range []*wirev1.Update{u, privateUpdate(r.Msg.GetIncarnation(), i)} {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
	}
	return nil
}

// TestStreamsShareEncodedUpdates guards against a stream that receives the
// bytes of another message, or bytes that were overwritten through the buffer
// of another stream, with and without compression.
func TestStreamsShareEncodedUpdates(t *testing.T) {
	s := &updateServer{}
	for i := range 40 {
		u := &wirev1.Update{Index: uint64(i)}
		// Every second update is large enough to be compressed.
		for p := range 200 * (i % 2) {
			u.Assignments = append(u.Assignments, &wirev1.Assignment{Upstream: "applications", Partition: uint32(p), Epoch: uint64(i)})
		}
		s.updates = append(s.updates, u)
	}
	path, handler := wirev1connect.NewControlHandler(s, connect.WithCompressMinBytes(1024), nodes.SharedEncoding())
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	var group sync.WaitGroup
	failures := make([]error, 16)
	for n := range failures {
		group.Go(func() { failures[n] = s.checkStream(server.URL, uint64(n+1)) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			t.Error(err)
		}
	}
}

func (s *updateServer) checkStream(url string, incarnation uint64) error {
	client := wirev1connect.NewControlClient(http.DefaultClient, url)
	stream, err := client.Watch(context.Background(), connect.NewRequest(&wirev1.WatchRequest{Incarnation: incarnation}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for i, u := range s.updates {
		for _, want := range []*wirev1.Update{u, privateUpdate(incarnation, i)} {
			if !stream.Receive() {
				return fmt.Errorf("stream %d ended at update %d: %w", incarnation, i, stream.Err())
			}
			if !proto.Equal(stream.Msg(), want) {
				return fmt.Errorf("stream %d at update %d: got a message that differs from the one sent", incarnation, i)
			}
		}
	}
	return nil
}
