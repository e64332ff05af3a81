package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// Pool has the servers that partitions may be assigned to in one plan. Their
// loads are those after the moves in flight and the moves planned so far.
// Leaving and lost servers are never candidates. It is not safe for concurrent
// use.
type Pool struct {
	config  Config
	servers []poolServer
	// warm and cold have the pool indexes of the eligible servers, sorted by name.
	warm, cold []int
	queue      queue
	// unowned is set while partitions without an owner are placed.
	unowned bool
	// targetUtilization is the utilization of every server if the load is even.
	targetUtilization float64
	// total is the number of partitions of the upstream.
	total int
	// rangeCounts counts the ranges of adjacent partitions of each server, nil if
	// the policy does not limit them.
	rangeCounts *rangeCounts
	// urgent is set while a partition is placed whose owner leaves and whose
	// warm-up timeout has passed.
	urgent bool
}

// poolServer is a server with its load and moves.
type poolServer struct {
	Server
	// cost is the load plus the base load of each partition, rate the load alone,
	// peak the load that is expected within the next peak, all in requests/s.
	cost, rate, peak float64
	// hotCost is the cost of the hot partitions.
	hotCost float64
	// time is that of callers if the server sustains what its weight and the
	// capacity of all servers give, 0 if that is unknown.
	time       callerTime
	partitions int
	// moves is the number of planned moves from and to the server.
	moves int
	// eligible servers are neither leaving nor lost.
	eligible bool
	// queueIndex is the index in the queue, -1 if the server is not in it.
	queueIndex int
}

// partitionLoad is what a partition adds to a server.
type partitionLoad struct{ cost, rate, peak, hotCost float64 }

// timeAdded returns by how much the time that callers spend at the server in each
// second grows with a load added to the one that is expected, in seconds.
func (e *poolServer) timeAdded(load float64) float64 {
	return e.time.at(e.peak+load) - e.time.at(e.peak)
}

// utilization returns the cost for each unit of weight.
func (e *poolServer) utilization() float64 { return e.cost / e.Weight }

func newPool(config Config, servers []Server) *Pool {
	p := &Pool{config: config, servers: make([]poolServer, len(servers))}
	for i, s := range servers {
		if s.Weight <= 0 {
			s.Weight = 1
		}
		s.Slots = cmp.Or(s.Slots, s.Weight)
		e := poolServer{Server: s, eligible: !s.Leaving && !s.Lost, queueIndex: -1}
		p.servers[i] = e
		switch {
		case !e.eligible:
		case s.Cold:
			p.cold = append(p.cold, i)
		default:
			p.warm = append(p.warm, i)
		}
	}
	byName := func(a, b int) int { return cmp.Compare(p.servers[a].Name, p.servers[b].Name) }
	slices.SortStableFunc(p.warm, byName)
	slices.SortStableFunc(p.cold, byName)
	p.setSustained()
	return p
}

// setSustained distributes the known capacity of warm servers by weight. Weights
// limit the effect of a measured speed, and a server that has just joined has a
// weight before its capacity is known.
func (p *Pool) setSustained() {
	capacity, weight := 0.0, 0.0
	for _, server := range p.warm {
		if e := &p.servers[server]; e.Capacity > 0 {
			capacity += e.Capacity
			weight += e.Weight
		}
	}
	if weight <= 0 {
		return
	}
	for server := range p.servers {
		e := &p.servers[server]
		e.time = newCallerTime(e.Weight*capacity/weight, e.Slots)
	}
}

// initQueue orders the warm servers, or the cold ones if none is warm, by
// utilization. The loads of the current owners must have been added before.
func (p *Pool) initQueue() {
	order := p.warm
	if len(order) == 0 {
		order = p.cold
	}
	p.queue = queue{pool: p, order: slices.Clone(order)}
	for i, server := range p.queue.order {
		p.servers[server].queueIndex = i
	}
	heap.Init(&p.queue)
}

// LeastUtilized returns the index of the warm server with the lowest
// utilization. If no server is warm, it is the cold server with the lowest
// utilization that sustains a further rate in requests/s. It returns -1 if
// there is none.
func (p *Pool) LeastUtilized(rate float64) int {
	if len(p.queue.order) == 0 {
		return -1
	}
	if best := p.queue.order[0]; len(p.warm) > 0 || p.sustains(best, rate) {
		return best
	}
	best := -1
	for _, server := range p.cold {
		if p.sustains(server, rate) && (best < 0 || p.servers[server].utilization() < p.servers[best].utilization()) {
			best = server
		}
	}
	return best
}

// serverWithRoom returns the index of the server with an incarnation. It
// returns -1 if a further rate would exceed the target utilization or the
// server may not get it.
func (p *Pool) serverWithRoom(incarnation uint64, rate float64) int {
	for server := range p.servers {
		e := &p.servers[server]
		if e.Incarnation != incarnation {
			continue
		}
		cost := rate + p.config.BaseLoad
		if e.queueIndex < 0 || (e.cost+cost)/e.Weight > p.targetUtilization || !p.sustains(server, rate) {
			return -1
		}
		return server
	}
	return -1
}

// neighbourServer returns the index of an owner of an adjacent partition, or of
// the first one after the range that leaves together with the partition: the one
// with the lowest utilization of those that stay within
// neighbourTargetRatio of the target, else the one with the lowest of all, else
// the fallback.
func (p *Pool) neighbourServer(item Partition, fallback int) int {
	room, best := -1, fallback
	cost := item.Load + p.config.BaseLoad
	for _, server := range p.rangeCounts.sides(item.Number, func(server int) bool { return !p.servers[server].eligible }) {
		if server < 0 || p.servers[server].queueIndex < 0 || !p.sustains(server, item.Load) {
			continue
		}
		e := &p.servers[server]
		if best == fallback || e.utilization() < p.servers[best].utilization() {
			best = server
		}
		if (e.cost+cost)/e.Weight <= p.targetUtilization*neighbourTargetRatio && (room < 0 || e.utilization() < p.servers[room].utilization()) {
			room = server
		}
	}
	if room >= 0 {
		return room
	}
	return best
}

// maxRangeLength returns the maximum number of adjacent partitions that are
// assigned to a server together.
func (p *Pool) maxRangeLength() int {
	servers := max(1, len(p.queue.order))
	return (p.total + servers*initialRangesPerServer - 1) / (servers * initialRangesPerServer)
}

// setTarget derives the target utilization from the number of partitions and
// the cost of all of them.
func (p *Pool) setTarget(partitions int, cost float64) {
	p.total = partitions
	weight := 0.0
	for _, server := range p.queue.order {
		weight += p.servers[server].Weight
	}
	if weight > 0 {
		p.targetUtilization = cost / weight
	}
}

// Candidates returns the indexes of the warm servers below their move limit,
// sorted by name. If no server is warm, it returns the cold ones that sustain a
// further rate in requests/s.
func (p *Pool) Candidates(rate float64) []int {
	if len(p.warm) > 0 {
		return p.belowMoveLimit()
	}
	var fit []int
	for _, server := range p.cold {
		if p.sustains(server, rate) {
			fit = append(fit, server)
		}
	}
	return fit
}

// belowMoveLimit returns the warm servers below their move limit, sorted by
// name.
func (p *Pool) belowMoveLimit() []int {
	if len(p.queue.order) == len(p.warm) {
		return p.warm
	}
	return slices.DeleteFunc(slices.Clone(p.warm), p.atMoveLimit)
}

// sustains reports whether a server may get a further rate in requests/s. A
// cold server gets partitions from a living owner only up to the rate that it
// sustains. Its first partition may exceed that rate. The rate is not limited
// while urgent is set. Partitions without an owner are not limited. When they
// were, the loss of the last warm server left keys without service for over 4
// s, because the cold servers had reached their limit. Admission control at the
// node limits the work of a cold server.
func (p *Pool) sustains(server int, rate float64) bool {
	e := &p.servers[server]
	if p.unowned && e.eligible {
		return true
	}
	if !e.eligible || p.atMoveLimit(server) {
		return false
	}
	return !e.Cold || p.urgent || e.partitions == 0 || e.rate+rate <= p.config.ColdRatePerWeight*e.Weight
}

// atMoveLimit reports whether a server takes no more planned moves in this
// plan.
func (p *Pool) atMoveLimit(server int) bool {
	return p.servers[server].moves >= p.config.MovesPerServer
}

// add adds a partition to the load of a server, or removes it with sign -1.
func (p *Pool) add(server int, load partitionLoad, sign float64) {
	e := &p.servers[server]
	e.cost += sign * load.cost
	e.rate += sign * load.rate
	e.peak += sign * load.peak
	e.hotCost += sign * load.hotCost
	e.partitions += int(sign)
	if e.queueIndex >= 0 && len(p.queue.order) > 0 {
		heap.Fix(&p.queue, e.queueIndex)
	}
}

// dequeueAtMoveLimit removes a server from the queue if it takes no more
// planned moves.
func (p *Pool) dequeueAtMoveLimit(server int) {
	if p.atMoveLimit(server) && p.servers[server].queueIndex >= 0 {
		heap.Remove(&p.queue, p.servers[server].queueIndex)
	}
}

// queue is a heap of pool indexes with the server of the lowest utilization
// first.
type queue struct {
	pool  *Pool
	order []int
}

func (q *queue) Len() int { return len(q.order) }

func (q *queue) Less(i, j int) bool {
	a, b := &q.pool.servers[q.order[i]], &q.pool.servers[q.order[j]]
	return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.Name, b.Name)) < 0
}

func (q *queue) Swap(i, j int) {
	q.order[i], q.order[j] = q.order[j], q.order[i]
	q.pool.servers[q.order[i]].queueIndex, q.pool.servers[q.order[j]].queueIndex = i, j
}

func (q *queue) Push(x any) {
	server := x.(int)
	q.pool.servers[server].queueIndex = len(q.order)
	q.order = append(q.order, server)
}

func (q *queue) Pop() any {
	server := q.order[len(q.order)-1]
	q.order = q.order[:len(q.order)-1]
	q.pool.servers[server].queueIndex = -1
	return server
}
