package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/quota"
	"github.com/jujubeknot/jujubeknot/core/routing"
)

// minSettleTime is longer than the usual leases of nodes. A longer lease is known from
// this node's own.
const minSettleTime = 5 * time.Second

// follow applies the routing table and the registration if they have changed. l.mu is
// held.
func (l *Limiter) follow(now time.Time) {
	table, incarnation := l.cfg.View.Table(), l.cfg.View.Identity().Incarnation
	registered := incarnation != 0 && incarnation != l.homeOf
	if table == l.table && !registered {
		return
	}
	if registered {
		l.homeOf, l.registeredAt = incarnation, now
		l.home.Forget()
	}
	previous := l.table
	l.table = table
	if !registered && previous != nil && previous.Revision() == table.Revision() && (len(l.limits) == 0 || slices.Equal(l.nodes, candidates(table))) {
		return
	}
	known := previous != nil && previous.Revision() > 0
	before := l.limits
	if previous == nil || previous.Revision() != table.Revision() {
		l.limits = limitsOf(table)
	}
	if len(l.limits) == 0 && len(before) == 0 {
		return
	}
	l.nodes = candidates(table)
	clear(l.homes)
	l.setHomes(now, table, func(organisation string) bool {
		_, had := before[organisation]
		return known && !had
	})
	isRegistered := func(node uint64) bool { return table.Node(node) != nil }
	l.entry.Keep(func(name string) bool { _, has := l.limits[name]; return has || l.queues[name] != nil }, isRegistered)
	l.forget(table)
}

// setHomes finds the organisations that this node is the home of. l.mu is held.
func (l *Limiter) setHomes(now time.Time, table *routing.Table, isNew func(organisation string) bool) {
	limits := make([]quota.Limit, 0, len(l.limits))
	for _, name := range slices.Sorted(maps.Keys(l.limits)) {
		limits = append(limits, l.limits[name])
	}
	isRegistered := func(node uint64) bool { return table.Node(node) != nil }
	changes := l.home.SetHomes(now, quota.Table{
		Self: l.homeOf, RegisteredAt: l.registeredAt, Settle: l.settleTime(now), Limits: limits, Homes: l.homesOf, Nodes: l.nodes, IsRegistered: isRegistered, IsNew: isNew,
	})
	for _, c := range changes {
		l.cfg.Log.Info().Str("organisation", c.Organisation).Bool("home", c.Home).Uints64("claimsFrom", c.Claim).
			Uint64("incarnation", l.homeOf).Uint64("index", table.Index()).Msg("home of a quota changed")
	}
	l.sendClaims()
}

// settleTime returns the time after which all leases that others have now have ended,
// unless they were renewed. l.mu is held.
func (l *Limiter) settleTime(now time.Time) time.Duration {
	expiry := l.cfg.View.Identity().LeaseExpiry
	if expiry.IsZero() {
		return minSettleTime
	}
	// Clocks may differ by less than a tenth.
	remaining := expiry.Sub(now)
	return max(minSettleTime, remaining+remaining/10)
}

// forget drops what belongs to organisations without a quota and to nodes that are
// not registered. l.mu is held.
func (l *Limiter) forget(table *routing.Table) {
	for name, q := range l.queues {
		if _, has := l.limits[name]; !has && !q.underWay && len(q.waiters) == 0 {
			delete(l.queues, name)
		}
	}
	for n, t := range l.links {
		if table.Node(n) == nil && !t.busy {
			delete(l.links, n)
		}
	}
}

// limitsOf returns the quotas in the rules of a table.
func limitsOf(table *routing.Table) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	organisations := table.Rules().Organisations
	for i := range organisations {
		if o := &organisations[i]; o.RequestsPerSecond > 0 {
			limits[o.Name] = limitOf(o, table.Revision())
		}
	}
	return limits
}

// candidates returns the nodes that can be homes, ordered by incarnation: those that
// serve an upstream and do not leave.
func candidates(table *routing.Table) []uint64 {
	var nodes []uint64
	for i := range table.Rules().Upstreams {
		for _, c := range table.Serving(table.Rules().Upstreams[i].Name) {
			nodes = append(nodes, c.Incarnation)
		}
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// homesOf returns the nodes that may grant tokens of an organisation. l.mu is held.
func (l *Limiter) homesOf(organisation string) []uint64 {
	homes, ok := l.homes[organisation]
	if !ok {
		homes = quota.Homes(organisation, l.nodes)
		l.homes[organisation] = homes
	}
	return homes
}
