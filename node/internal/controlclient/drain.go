package controlclient

import (
	"context"
	"time"
)

// drainInterval is the time between two looks at whether the work of a backend
// server that is taken out of service has ended.
const drainInterval = 100 * time.Millisecond

// drainLoop tells the backend server when control or the rules have taken it
// out of service and its work has ended, and when it is in service again. It
// does not do so for a node that stops: another process will serve the backend
// server.
func (i *incarnation) drainLoop(ctx context.Context) {
	if i.server == nil {
		return
	}
	// An earlier process may have told it to drain.
	told := true
	for ctx.Err() == nil {
		// Taken before the table is read, so that no change is missed.
		changed := i.s.cfg.View.Changed()
		var again <-chan time.Time
		if !i.tellDrain(ctx, &told) {
			again = time.After(drainInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-again:
		}
	}
}

// tellDrain tells the backend server what it does not know yet. It reports
// false if it must be called again although the table does not change.
func (i *incarnation) tellDrain(ctx context.Context, told *bool) bool {
	s := i.s
	t := s.cfg.View.Table()
	self := t.Node(i.number)
	if self == nil || s.draining() {
		return true
	}
	drain := t.Leaving(self)
	if drain == *told {
		return true
	}
	if drain && (s.cfg.Owner.Partitions() > 0 || s.cfg.Backend.Stats().InFlight > 0) {
		return false
	}
	if err := s.cfg.Backend.Drain(ctx, drain); err != nil {
		s.cfg.Log.Warn().Err(err).Bool("drain", drain).Msg("drain did not reach the backend server")
		return false
	}
	s.cfg.Log.Info().Bool("drain", drain).Str("backendServer", i.server.GetName()).Msg("backend server told")
	*told = drain
	return true
}
