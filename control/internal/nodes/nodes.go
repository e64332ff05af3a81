// Package nodes serves the Control service to nodes.
package nodes

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/control/internal/rpc"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Server implements the Control service. It is safe for concurrent use.
type Server struct {
	leader    *leader.Leader
	log       replica.Log
	snapshots turns
}

// Handler returns the path and the handler of the service. Nodes present the
// secret as bearer token.
func Handler(l *leader.Leader, log replica.Log, secret string) (string, http.Handler) {
	path, handler := wirev1connect.NewControlHandler(&Server{l, log, make(turns, snapshotsAtOnce)}, connect.WithReadMaxBytes(rpc.MaxMessageBytes),
		connect.WithCompressMinBytes(rpc.CompressMinBytes), sharing())
	return path, rpc.RequireSecret(secret, handler)
}

// Register registers a node and grants its first lease.
func (s *Server) Register(ctx context.Context, r *connect.Request[wirev1.RegisterRequest]) (*connect.Response[wirev1.RegisterResponse], error) {
	response, err := s.leader.Register(ctx, r.Msg)
	if err != nil {
		return nil, rpc.Error(err)
	}
	return connect.NewResponse(response), nil
}

// Renew extends a lease.
func (s *Server) Renew(ctx context.Context, r *connect.Request[wirev1.RenewRequest]) (*connect.Response[wirev1.RenewResponse], error) {
	response, err := s.leader.Renew(ctx, r.Msg)
	if err != nil {
		return nil, rpc.Error(err)
	}
	return connect.NewResponse(response), nil
}

// Released takes a report of released partitions.
func (s *Server) Released(_ context.Context, r *connect.Request[wirev1.ReleasedRequest]) (*connect.Response[wirev1.ReleasedResponse], error) {
	if err := s.leader.Released(r.Msg); err != nil {
		return nil, rpc.Error(err)
	}
	return connect.NewResponse(&wirev1.ReleasedResponse{}), nil
}

// Deregister ends the lease of a node that gave it up.
func (s *Server) Deregister(ctx context.Context, r *connect.Request[wirev1.DeregisterRequest]) (*connect.Response[wirev1.DeregisterResponse], error) {
	if err := s.leader.Deregister(ctx, r.Msg.GetIncarnation()); err != nil {
		return nil, rpc.Error(err)
	}
	return connect.NewResponse(&wirev1.DeregisterResponse{}), nil
}

// Watch sends what the node lacks until the node goes away or this member no
// longer leads.
func (s *Server) Watch(ctx context.Context, r *connect.Request[wirev1.WatchRequest], stream *connect.ServerStream[wirev1.Update]) error {
	changes := s.log.Subscribe(ctx)
	sink, err := s.leader.Watch(ctx, r.Msg)
	if err != nil {
		return rpc.Error(err)
	}
	defer sink.Close()
	for {
		sent, err := s.send(ctx, sink, stream)
		if err != nil {
			return err
		}
		if sent {
			if pause(ctx, sink) || sink.HasMore() {
				continue
			}
		}
		select {
		case <-ctx.Done():
			return rpc.Error(ctx.Err())
		case <-changes:
		case <-sink.Notified():
		case <-sink.Replaced():
		}
	}
}

// send sends what the node lacks and reports whether there was something.
// Snapshots wait for their turn.
func (s *Server) send(ctx context.Context, sink *leader.WatchStream, stream *connect.ServerStream[wirev1.Update]) (bool, error) {
	await, err := sink.AwaitSnapshot()
	if err != nil {
		return false, rpc.Error(err)
	}
	if await {
		defer sink.SnapshotSent()
		done, err := s.snapshots.take(ctx, sink.Replaced())
		if err != nil {
			return false, rpc.Error(err)
		}
		defer done()
	}
	update, err := sink.Next()
	if err != nil {
		return false, rpc.Error(err)
	}
	if update == nil {
		return false, nil
	}
	return true, stream.Send(update)
}

// pause waits before the next update of a stream, so that a burst of changes
// is few updates. It reports whether a release order ended it: those do not
// wait, because the partition is paused for callers meanwhile.
func pause(ctx context.Context, sink *leader.WatchStream) bool {
	timer := time.NewTimer(sink.Pause())
	defer timer.Stop()
	select {
	case <-sink.Notified():
		return true
	case <-ctx.Done():
	case <-timer.C:
	case <-sink.Replaced():
	}
	return false
}
