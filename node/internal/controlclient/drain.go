package controlclient

import (
	"context"
	"time"
)

// drainInterval is the time between two looks at whether the backend server
// must be told of a drain.
const drainInterval = 100 * time.Millisecond

// drainLoop tells the backend server when control or the rules have taken it
// out of service and its work has ended, and when it is in service again. It
// does not do so for a node that stops: another process will serve the backend
// server.
func (i *incarnation) drainLoop(ctx context.Context) {
	if i.server == nil {
		return
	}
	s := i.s
	// An earlier process may have told it to drain.
	told := true
	for sleep(ctx, drainInterval) {
		t := s.cfg.View.Table()
		self := t.Node(i.number)
		if self == nil || s.draining() {
			continue
		}
		drain := t.Leaving(self)
		if drain == told || drain && (s.cfg.Owner.Partitions() > 0 || s.cfg.Backend.Stats().InFlight > 0) {
			continue
		}
		if err := s.cfg.Backend.Drain(ctx, drain); err != nil {
			s.cfg.Log.Warn().Err(err).Bool("drain", drain).Msg("drain did not reach the backend server")
			continue
		}
		s.cfg.Log.Info().Bool("drain", drain).Str("backendServer", i.server.GetName()).Msg("backend server told")
		told = drain
	}
}
