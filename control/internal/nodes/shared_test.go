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

// streams sends the same updates to every stream, more of them than are kept
// encoded, and one that is for the stream alone after each.
type streams struct {
	wirev1connect.UnimplementedControlHandler
	updates []*wirev1.Update
}

func own(incarnation uint64, index int) *wirev1.Update {
	return &wirev1.Update{Index: uint64(index), RemovedNodes: []uint64{incarnation}}
}

func (s *streams) Watch(_ context.Context, r *connect.Request[wirev1.WatchRequest], stream *connect.ServerStream[wirev1.Update]) error {
	for i, u := range s.updates {
		for _, message := range []*wirev1.Update{u, own(r.Msg.GetIncarnation(), i)} {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
	}
	return nil
}

// A stream must not get the bytes of another message, nor ones that another
// stream's buffers have overwritten, whether compressed or not.
func TestStreamsShareEncodedUpdates(t *testing.T) {
	s := &streams{}
	for i := range 40 {
		u := &wirev1.Update{Index: uint64(i)}
		// Every other update is above the size from which it is compressed.
		for p := range 200 * (i % 2) {
			u.Assignments = append(u.Assignments, &wirev1.Assignment{Upstream: "applications", Partition: uint32(p), Epoch: uint64(i)})
		}
		s.updates = append(s.updates, u)
	}
	path, handler := wirev1connect.NewControlHandler(s, connect.WithCompressMinBytes(1024), nodes.Sharing())
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	var group sync.WaitGroup
	failures := make([]error, 16)
	for n := range failures {
		group.Go(func() { failures[n] = s.follow(server.URL, uint64(n+1)) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			t.Error(err)
		}
	}
}

func (s *streams) follow(url string, incarnation uint64) error {
	client := wirev1connect.NewControlClient(http.DefaultClient, url)
	stream, err := client.Watch(context.Background(), connect.NewRequest(&wirev1.WatchRequest{Incarnation: incarnation}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for i, u := range s.updates {
		for _, expected := range []*wirev1.Update{u, own(incarnation, i)} {
			if !stream.Receive() {
				return fmt.Errorf("stream %d ended at update %d: %w", incarnation, i, stream.Err())
			}
			if !proto.Equal(stream.Msg(), expected) {
				return fmt.Errorf("stream %d got another message than update %d", incarnation, i)
			}
		}
	}
	return nil
}
