package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// policy decides which requests the simulated server runs. Its methods return
// the ids of the requests to start now.
type policy interface {
	offer(now time.Time, r admission.Request) []uint64
	done(now time.Time, id uint64, result admission.Result) []uint64
	expire(now time.Time) []uint64
	next() time.Time
}

// controllerPolicy is the policy under test.
type controllerPolicy struct {
	*admission.Controller
	refused int
	// latest is the verdict of the latest offer.
	latest admission.Verdict
	// onRefuse is called with the id of each request that is refused after it
	// waited. Nil means that it is not called.
	onRefuse func(id uint64)
}

func (p *controllerPolicy) started(events []admission.Event) []uint64 {
	var ids []uint64
	for _, e := range events {
		if e.Decision.Verdict == admission.VerdictAdmit {
			ids = append(ids, e.ID)
		} else {
			p.refused++
			if p.onRefuse != nil {
				p.onRefuse(e.ID)
			}
		}
	}
	return ids
}

func (p *controllerPolicy) offer(now time.Time, r admission.Request) []uint64 {
	p.latest = p.Offer(now, r).Verdict
	switch p.latest {
	case admission.VerdictAdmit:
		return []uint64{r.ID}
	case admission.VerdictRefuse:
		p.refused++
	}
	if next := p.NextExpire(); !next.IsZero() && !next.After(now) {
		return p.expire(now)
	}
	return nil
}

func (p *controllerPolicy) done(now time.Time, id uint64, result admission.Result) []uint64 {
	return p.started(p.Done(now, id, result))
}

func (p *controllerPolicy) expire(now time.Time) []uint64 { return p.started(p.Expire(now)) }

func (p *controllerPolicy) next() time.Time { return p.NextExpire() }

// unlimited is the baseline that starts each request at once.
type unlimited struct{}

func (unlimited) offer(_ time.Time, r admission.Request) []uint64   { return []uint64{r.ID} }
func (unlimited) done(time.Time, uint64, admission.Result) []uint64 { return nil }
func (unlimited) expire(time.Time) []uint64                         { return nil }
func (unlimited) next() time.Time                                   { return time.Time{} }

// fifo is the baseline of a first-in-first-out queue for the slots. bound is
// the greatest length of the queue, 0 for no bound.
type fifo struct {
	slots, bound, running int
	queue                 []uint64
}

func (f *fifo) offer(_ time.Time, r admission.Request) []uint64 {
	if f.running < f.slots {
		f.running++
		return []uint64{r.ID}
	}
	if f.bound == 0 || len(f.queue) < f.bound {
		f.queue = append(f.queue, r.ID)
	}
	return nil
}

func (f *fifo) done(time.Time, uint64, admission.Result) []uint64 {
	if len(f.queue) == 0 {
		f.running--
		return nil
	}
	id := f.queue[0]
	f.queue = f.queue[1:]
	return []uint64{id}
}

func (*fifo) expire(time.Time) []uint64 { return nil }
func (*fifo) next() time.Time           { return time.Time{} }

// simulation describes a server with a number of slots under an open-loop load.
// If more requests than slots run, all of them run slower (processor sharing).
// A caller abandons its request at the deadline, but the request continues to
// run.
type simulation struct {
	seed     uint64
	slots    int
	load     float64
	service  func(*rand.Rand) time.Duration
	deadline time.Duration
	// target is the time after which a response is late, 0 for none. targetKnown
	// says whether the policy gets it with each request.
	target      time.Duration
	targetKnown bool
	duration    time.Duration
	// skip is the first part of the duration, which is left out of the results.
	skip time.Duration
	key  func(*rand.Rand) uint64
	// priority draws the priority of a request. Nil means 0.
	priority func(*rand.Rand) int
	// sustains returns the number of requests that the server runs at once without
	// shedding, given how many it has finished. Nil means that it never sheds.
	sustains func(finished int) int
	// speedFactor returns the speed of the server in each speedStep relative to
	// its usual speed. Nil means 1.
	speedFactor func(step int64) float64
	// retries draws how often a caller retries a refused request at once. Nil
	// means never.
	retries func(*rand.Rand) int
}

// speedStep is the time for which the speed of a simulated server stays the
// same.
const speedStep = 25 * time.Millisecond

// figures are the results of a simulation.
type figures struct {
	offered, good, late, shed int
	// onTarget counts the good requests that ended by their target.
	onTarget int
	// longestRefusedWait is the longest time that a request waited before it was
	// refused.
	longestRefusedWait time.Duration
	// goodput is the rate of requests that ended by their deadline, as a share of
	// capacity.
	goodput  float64
	p50, p99 time.Duration
	// shedInSecond is the greatest number of requests shed within one second.
	shedInSecond int
	byKey        map[uint64][2]int
	byPriority   [admission.MaxPriority + 1]answered
}

// answered counts the requests of one priority: those offered, those that ended
// by their deadline, and those that also ended by their target.
type answered struct{ offered, good, onTarget int }

func (f figures) String() string {
	return fmt.Sprintf("goodput %5.1f%%  late %6d  p50 %7.1f ms  p99 %7.1f ms",
		100*f.goodput, f.late, f.p50.Seconds()*1e3, f.p99.Seconds()*1e3)
}

type job struct {
	id       uint64
	key      uint64
	priority int
	arrived  time.Time
	started  time.Time
	work     time.Duration
	// finish is the virtual time at which the job ends.
	finish float64
}

type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h jobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// run simulates the load with the given policy.
func (s simulation) run(p policy) figures {
	random := rand.New(rand.NewPCG(s.seed, 1))
	var mean float64
	const samples = 100_000
	for range samples {
		mean += s.service(random).Seconds() / samples
	}
	capacity := float64(s.slots) / mean
	r := &simRun{
		simulation: s, policy: p, now: time.Unix(0, 0), all: make(map[uint64]*job), sheds: make(map[int64]int),
		figures: figures{byKey: make(map[uint64][2]int)},
	}
	if c, ok := p.(*controllerPolicy); ok {
		c.onRefuse = func(id uint64) {
			r.figures.longestRefusedWait = max(r.figures.longestRefusedWait, r.now.Sub(r.all[id].arrived))
		}
	}
	end := r.now.Add(s.duration)
	arrival := r.now
	for {
		finish, running := r.nextFinish()
		wake := p.next()
		change := r.nextSpeedChange()
		switch {
		case s.speedFactor != nil && change.Before(arrival) && (!running || change.Before(finish)) && (wake.IsZero() || change.Before(wake)):
			r.advance(change)
		case running && !finish.After(arrival) && (wake.IsZero() || !finish.After(wake)):
			r.advance(finish)
			r.finishOne()
		case !wake.IsZero() && wake.Before(arrival):
			r.advance(wake)
			r.start(p.expire(r.now))
		case arrival.Before(end):
			r.advance(arrival)
			r.arrive(random)
			arrival = arrival.Add(time.Duration(random.ExpFloat64() / (s.load * capacity) * 1e9))
		default:
			return r.result(capacity)
		}
	}
}

// simRun is the state of a running simulation.
type simRun struct {
	simulation
	policy    policy
	now       time.Time
	virtual   float64
	running   jobs
	all       map[uint64]*job
	lastID    uint64
	finished  int
	latencies []time.Duration
	// sheds counts shed requests by second.
	sheds   map[int64]int
	figures figures
}

func (r *simRun) speed() float64 {
	speed := min(1, float64(r.slots)/float64(max(len(r.running), 1)))
	if r.speedFactor != nil {
		speed *= r.speedFactor(r.step())
	}
	return speed
}

func (r *simRun) step() int64 { return r.now.UnixNano() / int64(speedStep) }

// nextSpeedChange returns the time at which the speed may change next.
func (r *simRun) nextSpeedChange() time.Time { return time.Unix(0, (r.step()+1)*int64(speedStep)) }

func (r *simRun) nextFinish() (time.Time, bool) {
	if len(r.running) == 0 {
		return time.Time{}, false
	}
	left := max(r.running[0].finish-r.virtual, 0) / r.speed()
	return r.now.Add(time.Duration(left * 1e9)), true
}

func (r *simRun) advance(to time.Time) {
	if to.After(r.now) {
		r.virtual += to.Sub(r.now).Seconds() * r.speed()
		r.now = to
	}
}

func (r *simRun) arrive(random *rand.Rand) {
	r.lastID++
	j := &job{id: r.lastID, arrived: r.now, work: r.service(random)}
	if r.key != nil {
		j.key = r.key(random)
	}
	if r.priority != nil {
		j.priority = r.priority(random)
	}
	r.all[j.id] = j
	if r.counts(j) {
		r.figures.byPriority[j.priority].offered++
		r.figures.offered++
		counts := r.figures.byKey[j.key]
		counts[0]++
		r.figures.byKey[j.key] = counts
	}
	q := admission.Request{ID: j.id, Key: j.key, Priority: j.priority, Deadline: r.now.Add(r.deadline)}
	if r.targetKnown {
		q.Target = r.now.Add(r.target)
	}
	r.start(r.policy.offer(r.now, q))
	if r.retries != nil {
		r.retry(q, j, r.retries(random))
	}
}

// retry offers a refused request again, up to the given number of times.
func (r *simRun) retry(q admission.Request, j *job, times int) {
	for c := r.policy.(*controllerPolicy); times > 0 && c.latest == admission.VerdictRefuse; times-- {
		r.lastID++
		next := *j
		next.id, q.ID = r.lastID, r.lastID
		r.all[next.id] = &next
		r.start(r.policy.offer(r.now, q))
	}
}

func (r *simRun) start(ids []uint64) {
	for len(ids) > 0 {
		j := r.all[ids[0]]
		ids = ids[1:]
		j.started = r.now
		if r.sustains != nil && len(r.running) >= r.sustains(r.finished) {
			r.figures.shed++
			r.sheds[r.now.Unix()]++
			r.figures.shedInSecond = max(r.figures.shedInSecond, r.sheds[r.now.Unix()])
			ids = append(ids, r.policy.done(r.now, j.id, admission.Result{Kind: admission.ResultShed})...)
			continue
		}
		j.finish = r.virtual + j.work.Seconds()
		heap.Push(&r.running, j)
	}
}

func (r *simRun) finishOne() {
	j := heap.Pop(&r.running).(*job)
	r.virtual = max(r.virtual, j.finish)
	r.finished++
	result := admission.Result{Kind: admission.ResultOK, Latency: r.now.Sub(j.started)}
	latency := r.now.Sub(j.arrived)
	if latency > r.deadline {
		result.Kind = admission.ResultTimeout
	}
	switch {
	case !r.counts(j):
	case latency <= r.deadline:
		r.figures.good++
		r.figures.byPriority[j.priority].good++
		if r.target > 0 && latency <= r.target {
			r.figures.onTarget++
			r.figures.byPriority[j.priority].onTarget++
		}
		r.latencies = append(r.latencies, latency)
		counts := r.figures.byKey[j.key]
		counts[1]++
		r.figures.byKey[j.key] = counts
	default:
		r.figures.late++
	}
	r.start(r.policy.done(r.now, j.id, result))
}

func (r *simRun) counts(j *job) bool {
	return !j.arrived.Before(time.Unix(0, 0).Add(r.skip))
}

func (r *simRun) result(capacity float64) figures {
	f := r.figures
	f.goodput = float64(f.good) / (capacity * (r.duration - r.skip).Seconds())
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		f.p50, f.p99 = r.latencies[n/2], r.latencies[n*99/100]
	}
	return f
}

func exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) }
}
