package controlclient

import (
	"context"
	"time"
)

// drainInterval is the time between two checks whether the work of a backend
// server that is taken out of service has ended.
const drainInterval = 100 * time.Millisecond

// drainLoop notifies the backend server when control or the rules have taken it
// out of service and its work has ended, and when it is in service again. A
// stopping node sends no notification, because another process will serve the
// backend server.
func (i *incarnation) drainLoop(ctx context.Context) {
	if i.server == nil {
		return
	}
	// An earlier process of this node may have left the backend server in the
	// drain state.
	lastSent := true
	for ctx.Err() == nil {
		// The channel is taken before the table is read, so that no change is missed.
		changed := i.s.cfg.View.Changed()
		var again <-chan time.Time
		if !i.sendDrain(ctx, &lastSent) {
			again = time.After(drainInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-again:
		}
	}
}

// sendDrain sends the drain state to the backend server if it differs from
// lastSent. It returns false if it must be called again even though the table
// does not change.
func (i *incarnation) sendDrain(ctx context.Context, lastSent *bool) bool {
	s := i.s
	t := s.cfg.View.Table()
	self := t.Node(i.number)
	if self == nil || s.draining() {
		return true
	}
	drain := t.Leaving(self)
	if drain == *lastSent {
		return true
	}
	if drain && (s.cfg.Owner.Partitions() > 0 || s.cfg.Backend.Stats().InFlight > 0) {
		return false
	}
	if err := s.cfg.Backend.Drain(ctx, drain); err != nil {
		s.cfg.Log.Warn().Err(err).Bool("drain", drain).Msg("cannot send the drain state to the backend server")
		return false
	}
	s.cfg.Log.Info().Bool("drain", drain).Str("backendServer", i.server.GetName()).Msg("drain state sent to the backend server")
	*lastSent = drain
	return true
}
