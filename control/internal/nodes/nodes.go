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
	snapshots snapshotSlots
}

// Handler returns the path and the HTTP handler of the service. Nodes send the
// secret as bearer token.
func Handler(l *leader.Leader, log replica.Log, secret string) (string, http.Handler) {
	path, handler := wirev1connect.NewControlHandler(&Server{l, log, make(snapshotSlots, maxConcurrentSnapshots)}, connect.WithReadMaxBytes(rpc.MaxMessageBytes),
		connect.WithCompressMinBytes(rpc.CompressMinBytes), sharedEncoding())
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

// Released records a report of released partitions.
func (s *Server) Released(_ context.Context, r *connect.Request[wirev1.ReleasedRequest]) (*connect.Response[wirev1.ReleasedResponse], error) {
	if err := s.leader.Released(r.Msg); err != nil {
		return nil, rpc.Error(err)
	}
	return connect.NewResponse(&wirev1.ReleasedResponse{}), nil
}

// Deregister removes a node that has returned its lease.
func (s *Server) Deregister(ctx context.Context, r *connect.Request[wirev1.DeregisterRequest]) (*connect.Response[wirev1.DeregisterResponse], error) {
	if err := s.leader.Deregister(ctx, r.Msg.GetIncarnation()); err != nil {
		return nil, rpc.Error(err)
	}
	return connect.NewResponse(&wirev1.DeregisterResponse{}), nil
}

// Watch sends updates to a node until the node ends the stream or opens another
// one, or this member is no longer the leader.
func (s *Server) Watch(ctx context.Context, r *connect.Request[wirev1.WatchRequest], stream *connect.ServerStream[wirev1.Update]) error {
	changes := s.log.Subscribe(ctx)
	watch, err := s.leader.Watch(ctx, r.Msg)
	if err != nil {
		return rpc.Error(err)
	}
	defer watch.Close()
	for {
		sent, err := s.send(ctx, watch, stream)
		if err != nil {
			return err
		}
		if sent {
			if pause(ctx, watch) || watch.HasMore() {
				continue
			}
		}
		select {
		case <-ctx.Done():
			return rpc.Error(ctx.Err())
		case <-changes:
		case <-watch.Notified():
		case <-watch.Replaced():
		}
	}
}

// send sends the next update, if there is one, and reports whether it sent one.
// Snapshots and large updates wait for a slot.
func (s *Server) send(ctx context.Context, watch *leader.WatchStream, stream *connect.ServerStream[wirev1.Update]) (bool, error) {
	required, err := watch.AwaitSnapshot()
	if err != nil {
		return false, rpc.Error(err)
	}
	if required {
		defer watch.SnapshotSent()
		release, err := s.snapshots.acquire(ctx, watch.Replaced())
		if err != nil {
			return false, rpc.Error(err)
		}
		defer release()
	}
	update, err := watch.Next()
	if err != nil {
		return false, rpc.Error(err)
	}
	if update == nil {
		return false, nil
	}
	return true, stream.Send(update)
}

// pause waits before the next update of a stream, so that a burst of changes is
// sent in few updates. It reports whether a notification of release orders or
// rules ended the wait. Release orders do not wait, because the partition is
// paused for callers until it is released and assigned.
func pause(ctx context.Context, watch *leader.WatchStream) bool {
	timer := time.NewTimer(watch.Pause())
	defer timer.Stop()
	select {
	case <-watch.Notified():
		return true
	case <-ctx.Done():
	case <-timer.C:
	case <-watch.Replaced():
	}
	return false
}
