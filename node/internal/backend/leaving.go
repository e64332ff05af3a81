package backend

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// ErrUnknownServer is returned for a report of a backend server that has not been
// announced yet.
var ErrUnknownServer = errors.New("the backend server is not known yet")

// withLeaving returns a backend server that has reported that it leaves.
func withLeaving(b *wirev1.BackendServer) *wirev1.BackendServer {
	leaving := proto.CloneOf(b)
	leaving.Leaving = true
	return leaving
}

// RecordStored records what control has stored about the backend server of this
// node. The backend server may have reported to an earlier process of the node that
// it leaves. Its drain then began before that process ended.
func (s *Server) RecordStored(b *wirev1.BackendServer) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	stored := b.GetLeaving() && b.GetBootId() == s.announced.GetBootId()
	learned := stored && s.recordLeaving(now.Add(-minRestartTime), true, true)
	s.leavingStored = s.leavingStored || stored
	s.mu.Unlock()
	if learned {
		s.log.Info().Str("name", b.GetName()).Str("life", b.GetBootId()).Msg("backend server leaves, as it reported to the earlier process")
		s.cfg.OnChange()
	}
}

// LeavingStored reports whether control has stored that an incarnation leaves. Known
// is false if the incarnation is not the announced one.
func (s *Server) LeavingStored(incarnation string) (stored, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known = s.announced.GetBootId() == incarnation
	return known && s.leavingStored, known
}
