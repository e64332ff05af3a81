package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// Pool has the servers that partitions may go to during one plan, with the
// load that they have once the moves in flight and planned so far are done.
// Leaving and lost servers are not in it. It is not safe for concurrent use.
type Pool struct {
	config  Config
	entries []entry
	// warm and cold have positions in entries, by name.
	warm, cold []int
	queue      queue
	// unowned is set while partitions without an owner are placed.
	unowned bool
	// goal is the utilization that all servers have if the load is even.
	goal float64
	// total is the number of partitions of the upstream.
	total int
	// rows has who owns which neighbours, nil where that does not matter.
	rows *rows
	// urgent is set while partitions are placed whose owner leaves and has no
	// time left to wait for servers to warm up.
	urgent bool
}

type entry struct {
	Server
	// cost is the load with a base for each partition; rate is the load alone.
	cost, rate float64
	partitions int
	moves      int
	eligible   bool
	// place in the queue, -1 if not in it.
	place int
}

func (e *entry) utilization() float64 { return e.cost / e.Weight }

func newPool(config Config, servers []Server) *Pool {
	p := &Pool{config: config, entries: make([]entry, len(servers))}
	for i, s := range servers {
		if s.Weight <= 0 {
			s.Weight = 1
		}
		e := entry{Server: s, eligible: !s.Leaving && !s.Lost, place: -1}
		p.entries[i] = e
		switch {
		case !e.eligible:
		case s.Cold:
			p.cold = append(p.cold, i)
		default:
			p.warm = append(p.warm, i)
		}
	}
	byName := func(a, b int) int { return cmp.Compare(p.entries[a].Name, p.entries[b].Name) }
	slices.SortStableFunc(p.warm, byName)
	slices.SortStableFunc(p.cold, byName)
	return p
}

// start orders the warm servers, or the cold ones if there are no others, by
// utilization once their loads are known.
func (p *Pool) start() {
	order := p.warm
	if len(order) == 0 {
		order = p.cold
	}
	p.queue = queue{pool: p, order: slices.Clone(order)}
	for i, at := range p.queue.order {
		p.entries[at].place = i
	}
	heap.Init(&p.queue)
}

// LeastUtilized returns the position of the warm server with the least utilization.
// If no server is warm it is the cold server with the least utilization that
// sustains a further rate. It returns -1 if there is none.
func (p *Pool) LeastUtilized(rate float64) int {
	if len(p.queue.order) == 0 {
		return -1
	}
	if best := p.queue.order[0]; len(p.warm) > 0 || p.sustains(best, rate) {
		return best
	}
	best := -1
	for _, at := range p.cold {
		if p.sustains(at, rate) && (best < 0 || p.entries[at].utilization() < p.entries[best].utilization()) {
			best = at
		}
	}
	return best
}

// roomAt returns the position of a server that may get a further rate and stays
// within the goal, -1 if it does not.
func (p *Pool) roomAt(incarnation uint64, rate float64) int {
	for at := range p.entries {
		e := &p.entries[at]
		if e.Incarnation != incarnation {
			continue
		}
		cost := rate + p.config.BaseLoad
		if e.place < 0 || (e.cost+cost)/e.Weight > p.goal || !p.sustains(at, rate) {
			return -1
		}
		return at
	}
	return -1
}

// beside returns the position of the server of a neighbour of a partition: that
// with the least utilization of those that have room, else of all, else the
// given one.
func (p *Pool) beside(item Partition, otherwise int) int {
	room, best := -1, otherwise
	cost := item.Load + p.config.BaseLoad
	for _, at := range p.rows.neighbours(item.Number) {
		if at < 0 || p.entries[at].place < 0 || !p.sustains(at, item.Load) {
			continue
		}
		e := &p.entries[at]
		if best == otherwise || e.utilization() < p.entries[best].utilization() {
			best = at
		}
		if (e.cost+cost)/e.Weight <= p.goal*neighbourSlack && (room < 0 || e.utilization() < p.entries[room].utilization()) {
			room = at
		}
	}
	if room >= 0 {
		return room
	}
	return best
}

// runLength returns the number of neighbours that are to be given to a server
// together.
func (p *Pool) runLength() int {
	servers := max(1, len(p.queue.order))
	return (p.total + servers*maxRuns - 1) / (servers * maxRuns)
}

// setGoal derives the goal from the cost of all partitions.
func (p *Pool) setGoal(partitions int, cost float64) {
	p.total = partitions
	weight := 0.0
	for _, at := range p.queue.order {
		weight += p.entries[at].Weight
	}
	if weight > 0 {
		p.goal = cost / weight
	}
}

// Candidates returns the positions of the warm servers, sorted by name. If no
// server is warm it returns the cold ones that sustain a further rate.
func (p *Pool) Candidates(rate float64) []int {
	if len(p.warm) > 0 {
		return p.withSlot()
	}
	var fit []int
	for _, at := range p.cold {
		if p.sustains(at, rate) {
			fit = append(fit, at)
		}
	}
	return fit
}

// withSlot returns the warm servers that are not full, by name.
func (p *Pool) withSlot() []int {
	if len(p.queue.order) == len(p.warm) {
		return p.warm
	}
	return slices.DeleteFunc(slices.Clone(p.warm), p.full)
}

// sustains reports whether a server may get a further rate. A cold server has
// a limit for what is moved to it from a living owner; it may get one partition
// over the limit if it has none. Partitions without an owner have no limit:
// keys were not served for over 4 s when the last warm server was lost and the
// cold ones filled up. The guard at the node bounds the work of a cold server.
func (p *Pool) sustains(at int, rate float64) bool {
	e := &p.entries[at]
	if p.unowned && e.eligible {
		return true
	}
	if !e.eligible || p.full(at) {
		return false
	}
	return !e.Cold || p.urgent || e.partitions == 0 || e.rate+rate <= p.config.ColdRatePerWeight*e.Weight
}

// full reports whether a server takes no more planned moves in this plan.
func (p *Pool) full(at int) bool {
	return p.entries[at].moves >= p.config.MovesPerServer
}

// add counts a partition for a server, or takes it away with sign -1.
func (p *Pool) add(at int, cost, rate float64, sign float64) {
	e := &p.entries[at]
	e.cost += sign * cost
	e.rate += sign * rate
	e.partitions += int(sign)
	if e.place >= 0 && len(p.queue.order) > 0 {
		heap.Fix(&p.queue, e.place)
	}
}

// dropFull removes servers from the queue that take no more planned moves.
func (p *Pool) dropFull(at int) {
	if p.full(at) && p.entries[at].place >= 0 {
		heap.Remove(&p.queue, p.entries[at].place)
	}
}

// queue is a heap of positions with the least utilized server first.
type queue struct {
	pool  *Pool
	order []int
}

func (q *queue) Len() int { return len(q.order) }

func (q *queue) Less(i, j int) bool {
	a, b := &q.pool.entries[q.order[i]], &q.pool.entries[q.order[j]]
	return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.Name, b.Name)) < 0
}

func (q *queue) Swap(i, j int) {
	q.order[i], q.order[j] = q.order[j], q.order[i]
	q.pool.entries[q.order[i]].place, q.pool.entries[q.order[j]].place = i, j
}

func (q *queue) Push(x any) {
	at := x.(int)
	q.pool.entries[at].place = len(q.order)
	q.order = append(q.order, at)
}

func (q *queue) Pop() any {
	at := q.order[len(q.order)-1]
	q.order = q.order[:len(q.order)-1]
	q.pool.entries[at].place = -1
	return at
}
