package node

import (
	"context"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
)

// drainPollInterval is the time between two checks whether all partitions have
// been moved away.
const drainPollInterval = 20 * time.Millisecond

// finalResponseTime is the time before the end of a stop at which the requests of
// callers that still wait are refused, so that none ends without a response.
const finalResponseTime = 300 * time.Millisecond

// leaseReturnTime is the time after the end of a stop within which the lease must have
// been returned. If control does not answer, it expires there.
const leaseReturnTime = 200 * time.Millisecond

// drain stops the node in an order that causes no request to fail. First the
// node gets no new partitions and no more requests from other nodes, then no
// new callers. At the end the requests in flight complete.
func (n *Node) drain() {
	n.draining.Store(true)
	startTime := boottime.Clock{}.Now()
	keepsServer := n.cfg.TakesOver && !n.backend.Leaving() && n.backend.Announced() != nil
	if n.cfg.StopTimeout > 0 {
		n.owner.StopAt(startTime.Add(n.cfg.StopTimeout))
		n.session.StopAt(startTime.Add(n.cfg.StopTimeout + leaseReturnTime))
		stop := caller.Stop{End: startTime.Add(n.cfg.StopTimeout - finalResponseTime), ClosesAt: startTime}
		if keepsServer {
			stop.ClosesAt = startTime.Add(n.cfg.DrainNotice)
		}
		n.callers.StopAt(stop)
	}
	if keepsServer {
		// The backend server keeps running, and the next node process on this VM
		// takes over. Callers would find the port closed until that process listens,
		// so they get time to see that the node is not ready.
		time.Sleep(n.cfg.DrainNotice)
		n.shutDown(startTime)
		if n.backend.Leaving() {
			// It has begun to leave meanwhile. The lease is kept while it holds keys, and
			// keys that it has released would have no owner until the lease expires.
			n.waitForMoves(min(n.cfg.DrainTimeout, n.remaining(startTime)))
		}
		return
	}
	n.session.Drain()
	n.cfg.Log.Info().Int("partitions", n.owner.Partitions()).Msg("draining")
	n.waitForMoves(n.cfg.DrainTimeout)
	n.shutDown(startTime)
}

// remaining returns the time until the end of a stop that began at startTime.
func (n *Node) remaining(startTime time.Time) time.Duration {
	if n.cfg.StopTimeout == 0 {
		return n.cfg.DrainTimeout
	}
	return n.cfg.StopTimeout - boottime.Clock{}.Now().Sub(startTime)
}

// shutDown closes the listeners and waits for their requests to complete, until
// the timeout of a stop that began at startTime. Callers are served until the calls
// of other nodes have ended: the backend server sends the nested calls of these to
// this node. A request that could last beyond the stop is refused.
func (n *Node) shutDown(startTime time.Time) {
	remaining := n.remaining(startTime)
	if n.cfg.StopTimeout == 0 {
		now := boottime.Clock{}.Now()
		n.callers.StopAt(caller.Stop{End: now.Add(remaining - finalResponseTime), ClosesAt: now})
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	ending := time.AfterFunc(remaining-finalResponseTime, n.endRequests)
	defer ending.Stop()
	calls := tasks.New(1)
	calls.Go(ctx, "calls of nodes", n.shutDownListener(listenerPeer))
	callersEnd := time.NewTimer(remaining - finalResponseTime)
	defer callersEnd.Stop()
	select {
	case result := <-calls.Results():
		_ = calls.Ack(result)
	case <-callersEnd.C:
	}
	requests := tasks.New(2)
	requests.Go(ctx, "callers", n.shutDownListener(listenerCallers))
	requests.Go(ctx, "callers with TLS", n.shutDownListener(listenerCallersTLS))
	_, _ = requests.Wait(), calls.Wait()
	_ = n.shutDownListener(listenerBackend)(ctx)
}

// endRequests makes the requests of callers that still run end with a response.
func (n *Node) endRequests() {
	n.callers.EndRequests()
	if s, ok := n.servers[listenerCallers].(interface{ EndRequests() }); ok {
		s.EndRequests()
	}
}

// shutDownListener returns a task that closes a listener and waits for its requests
// to complete. It logs a failure.
func (n *Node) shutDownListener(i int) func(context.Context) error {
	return tasks.WithoutError(func(ctx context.Context) {
		if n.servers[i] == nil {
			return
		}
		if err := n.servers[i].Shutdown(ctx); err != nil {
			n.cfg.Log.Warn().Err(err).Str("listener", n.listeners[i].Addr().String()).Msg("requests in flight were aborted at the end of the drain timeout")
		}
	})
}

// waitForMoves waits until control has moved all partitions away and publishes
// this node as leaving, so that other nodes no longer select it. A partition
// that is released counts until control has assigned it: if the lease were
// returned before control has the report, the request ids and the handover would
// be lost. It waits for at most limit.
func (n *Node) waitForMoves(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		t := n.view.Table()
		self := t.Node(n.view.Identity().Incarnation)
		moved := n.owner.Partitions() == 0 && len(n.owner.Released(t)) == 0
		if self == nil || moved && t.Leaving(self) {
			return
		}
		select {
		case <-ctx.Done():
			n.cfg.Log.Warn().Int("partitions", n.owner.Partitions()).Msg("drain timeout ended before all partitions were moved away")
			return
		case <-ticker.C:
		}
	}
}
