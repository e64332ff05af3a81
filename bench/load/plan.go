package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Planned is one operation that has not been sent.
type Planned struct {
	// Number is the number of the operation in the run, from 0.
	Number int
	// At is the intended time of the first sending since the start of the run.
	At time.Duration
	// Class is the index of the class in Config.Classes.
	Class int
	Key   string
	// Target is the index in Config.Targets of the first sending.
	Target int
	// IDFromCaller says whether the operation has a request id from the caller.
	IDFromCaller bool
}

// planner draws the operations of a run in the order of their times. It is not
// safe for concurrent use.
type planner struct {
	config Config
	random *rand.Rand
	zipf   *rand.Zipf
	// total is the sum of the weights of all classes.
	total float64
	// next is the time of the latest operation since the start of the run.
	next   time.Duration
	number int
}

// newPlanner returns a planner. The configuration must come from withDefaults.
func newPlanner(c Config) *planner {
	random := rand.New(rand.NewPCG(c.Seed, 3))
	p := &planner{config: c, random: random, zipf: rand.NewZipf(random, c.Zipf, 1, uint64(c.Keys-1))}
	for _, class := range c.Classes {
		p.total += class.Weight
	}
	return p
}

// plan returns the next operation, or false at the end of the run.
func (p *planner) plan() (Planned, bool) {
	p.next += time.Duration(p.random.ExpFloat64() / p.config.Rate * float64(time.Second))
	if p.next >= p.config.Duration || p.number >= p.config.MaxRequests {
		return Planned{}, false
	}
	o := Planned{Number: p.number, At: p.next, Target: p.number % len(p.config.Targets), Class: p.class()}
	o.Key = fmt.Sprintf("key%d", p.key())
	o.IDFromCaller = p.random.Float64() < p.config.Classes[o.Class].IdempotencyKey
	p.number++
	return o, true
}

// class draws the index of a class by weight.
func (p *planner) class() int {
	x := p.random.Float64() * p.total
	for i, c := range p.config.Classes {
		x -= c.Weight
		if x < 0 {
			return i
		}
	}
	return len(p.config.Classes) - 1
}

// key draws the number of a key. With the probability HotSet.Share it is a hot
// key, otherwise it is drawn from the Zipf distribution. The hot set moves to
// the next keys after each HotSet.MoveEvery.
func (p *planner) key() int {
	hot := p.config.Hot
	if hot.Keys > 0 && p.random.Float64() < hot.Share {
		first := 0
		if hot.MoveEvery > 0 {
			first = int(p.next/hot.MoveEvery) * hot.Keys
		}
		return (first + p.random.IntN(hot.Keys)) % p.config.Keys
	}
	return int(p.zipf.Uint64())
}

// Plan returns all operations of a run without sending them.
func Plan(c Config) ([]Planned, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	p := newPlanner(c)
	var all []Planned
	for {
		o, ok := p.plan()
		if !ok {
			return all, nil
		}
		all = append(all, o)
	}
}
