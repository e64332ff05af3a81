package leader

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/comeback"
	"github.com/jujubeknot/jujubeknot/core/placement"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// reasonVMReturned is the reason for assignments of partitions to the VM that had them
// before most of the fleet was lost.
const reasonVMReturned placement.Reason = "vmReturned"

// recordVMs records the VM of each registered node, so that it is known after the node's
// removal.
func (l *Leader) recordVMs(state *cluster.State) {
	for n := range state.Nodes() {
		l.vms[n.GetIncarnation()] = n.GetName()
	}
}

// pruneVMs forgets the VMs of nodes that were removed, unless a fleet returns.
func (l *Leader) pruneVMs(state *cluster.State) {
	if l.fleetReturns() {
		return
	}
	for incarnation := range l.vms {
		if state.Node(incarnation) == nil {
			delete(l.vms, incarnation)
		}
	}
}

func (l *Leader) fleetReturns() bool {
	for _, r := range l.returns {
		if r.returning {
			return true
		}
	}
	return false
}

// fleetReturn is the state of the return of an upstream's servers.
type fleetReturn struct {
	comeback.Return
	returning bool
}

// reclaim returns the changes by which partitions go back to the VMs that had them, and
// whether the servers of an upstream are returning, so that nothing else is planned.
func (l *Leader) reclaim(state *cluster.State, now time.Time, u *rules.Upstream, view *placement.View) ([]*wirev1.AssignChange, bool) {
	servers := map[string]uint64{}
	present := map[uint64]bool{}
	c := comeback.Counts{Partitions: len(view.Partitions)}
	for _, s := range view.Servers {
		n := state.Node(s.Incarnation)
		if s.Lost || !l.heardFrom(n) {
			continue
		}
		present[s.Incarnation] = true
		if !s.Leaving {
			servers[n.GetName()] = s.Incarnation
		}
		if first := l.firstSeen[s.Incarnation]; first.After(c.Registered) {
			c.Registered = first
		}
	}
	var changes []*wirev1.AssignChange
	for _, p := range view.Partitions {
		if present[p.Owner] {
			c.Present++
			continue
		}
		if state.Node(p.Owner) != nil && !l.granter.Expired(now, p.Owner) {
			continue
		}
		if to := servers[l.vms[p.Owner]]; to != 0 {
			changes = append(changes, &wirev1.AssignChange{
				Upstream: u.Name, Partition: p.Number, ExpectedEpoch: p.Epoch, Owner: to, Reason: string(reasonVMReturned),
			})
		}
	}
	c.Reclaimable = len(changes)
	r := l.returns[u.Name]
	if r == nil {
		r = &fleetReturn{}
		l.returns[u.Name] = r
	}
	was := r.returning
	r.returning = r.Update(now, comeback.Config{Wait: l.config.InitialPlacementWait}, c)
	if was != r.returning {
		l.config.Logger.Info().Str("upstream", u.Name).Bool("returning", r.returning).Int("partitions", c.Partitions).
			Int("present", c.Present).Int("reclaimable", c.Reclaimable).Msg("return of a fleet")
	}
	if !r.returning {
		return nil, false
	}
	return changes, true
}

// heardFrom reports whether a node has registered or renewed its lease in this term.
func (l *Leader) heardFrom(n *wirev1.Node) bool {
	before, joined := l.joined[n.GetName()]
	return joined && n.GetIncarnation() > before || l.reports[n.GetIncarnation()] != nil
}

// latestIncarnation returns the highest incarnation of a VM, 0 if it is not registered.
func latestIncarnation(state *cluster.State, name string) uint64 {
	latest := uint64(0)
	for n := range state.Nodes() {
		if n.GetName() == name {
			latest = max(latest, n.GetIncarnation())
		}
	}
	return latest
}
