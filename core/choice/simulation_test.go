package choice_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// simulation has servers with slots and an unbounded queue each. Nodes in front
// of them choose by what they have observed themselves.
type simulation struct {
	seed    uint64
	servers int
	// slots is the number of requests that a server runs at a time.
	slots int
	nodes int
	// load is the offered load as a share of the capacity of healthy servers.
	load float64
	// service is the mean time that a healthy server takes for a request.
	service time.Duration
	// slowdown is the factor on the service time of server 0 from slowFrom to
	// slowTo.
	slowdown         float64
	slowFrom, slowTo time.Duration
	duration         time.Duration
}

// event is the arrival of a request at a node, or its end at a server.
type event struct {
	at time.Time
	// sequence orders events of the same time.
	sequence int
	// server is -1 for an arrival at a node.
	server, node int
	sent         time.Time
}

// events is a heap of events, ordered by time. It implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sample is one finished request.
type sample struct {
	sent    time.Duration
	latency time.Duration
	server  int
}

// simulationRun is the state of a running simulation.
type simulationRun struct {
	simulation
	random   *rand.Rand
	now      time.Time
	events   events
	sequence int
	busy     []int
	queues   [][]event
	samples  []sample
	start    time.Time
}

// run runs the simulation with one policy for each node.
func (s simulation) run(policies []choice.Policy) []sample {
	r := &simulationRun{
		simulation: s, random: rand.New(rand.NewPCG(s.seed, 2)), start: time.Unix(0, 0),
		busy: make([]int, s.servers), queues: make([][]event, s.servers),
	}
	r.now = r.start
	candidates := make([]choice.Candidate, s.servers)
	for i := range candidates {
		candidates[i] = choice.Candidate{Incarnation: uint64(i + 1)}
	}
	rate := s.load * float64(s.servers*s.slots) / s.service.Seconds()
	r.push(event{at: r.now, server: -1})
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		if e.server >= 0 {
			r.finish(e)
			policies[e.node].Done(r.now, uint64(e.server+1), r.now.Sub(e.sent), choice.ResultOK)
			continue
		}
		node := r.random.IntN(s.nodes)
		c, _, _ := policies[node].Pick(r.now, candidates, 0)
		policies[node].Sent(r.now, c.Incarnation)
		r.arrive(event{server: int(c.Incarnation - 1), node: node, sent: r.now})
		if next := r.now.Add(time.Duration(r.random.ExpFloat64() / rate * 1e9)); next.Sub(r.start) < s.duration {
			r.push(event{at: next, server: -1})
		}
	}
	return r.samples
}

func (r *simulationRun) push(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.events, e)
}

func (r *simulationRun) arrive(e event) {
	if r.busy[e.server] >= r.slots {
		r.queues[e.server] = append(r.queues[e.server], e)
		return
	}
	r.busy[e.server]++
	r.serve(e)
}

func (r *simulationRun) serve(e event) {
	work := r.random.ExpFloat64() * float64(r.service)
	if since := r.now.Sub(r.start); e.server == 0 && since >= r.slowFrom && since < r.slowTo {
		work *= r.slowdown
	}
	e.at = r.now.Add(time.Duration(work))
	r.push(e)
}

func (r *simulationRun) finish(e event) {
	r.samples = append(r.samples, sample{sent: e.sent.Sub(r.start), latency: r.now.Sub(e.sent), server: e.server})
	if q := r.queues[e.server]; len(q) > 0 {
		r.queues[e.server] = q[1:]
		r.serve(q[0])
		return
	}
	r.busy[e.server]--
}

// quantile returns a quantile of the latencies of the requests sent in a time
// span.
func quantile(samples []sample, q float64, from, to time.Duration) time.Duration {
	var latencies []time.Duration
	for _, s := range samples {
		if s.sent >= from && s.sent < to {
			latencies = append(latencies, s.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(q*float64(len(latencies)-1))]
}

// share returns the share of the requests sent in a time span that went to
// server 0.
func share(samples []sample, from, to time.Duration) float64 {
	all, first := 0, 0
	for _, s := range samples {
		if s.sent >= from && s.sent < to {
			all++
			if s.server == 0 {
				first++
			}
		}
	}
	return float64(first) / float64(max(all, 1))
}
