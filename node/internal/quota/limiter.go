// Package quota applies the quotas of organisations: it asks the homes of
// organisations for tokens, and grants those of the organisations that this node is
// the home of.
package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/quota"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
)

const (
	// answerTimeout is many times the round trip between availability zones and the
	// time for which a busy node may wait for its processor.
	answerTimeout = 300 * time.Millisecond
	// patience bounds how long a request waits for its token. It leaves time to ask
	// a second node.
	patience = 2 * answerTimeout
	// askAgainAfter is the time after which a node is asked again whose routing table
	// differs.
	askAgainAfter = 50 * time.Millisecond
)

// Config has the parts of a node that a Limiter uses. All but Log are required.
type Config struct {
	Clock clock.Clock
	Log   zerolog.Logger
	View  *view.View
	// Ask sends a question to the node at an address and returns its answer. Its
	// error wraps syscall.ECONNREFUSED if no process listens there.
	Ask func(ctx context.Context, address string, question []byte) ([]byte, error)
	// Stopping reports whether this node stops, so that it grants no tokens.
	Stopping func() bool
}

// Limiter bounds the requests of organisations to their quotas. It is safe for
// concurrent use. Use New.
type Limiter struct {
	cfg Config
	// asking ends with Run.
	asking     context.Context
	stopAsking context.CancelFunc
	exchanges  sync.WaitGroup

	mu    sync.Mutex
	entry quota.Entry
	home  quota.Home
	// homeOf is the latest incarnation of this process, which home grants tokens as,
	// and registeredAt the time from which it has it.
	homeOf       uint64
	registeredAt time.Time
	// table is the routing table that the fields below were derived from.
	table *routing.Table
	// nodes are the candidates for homes, homes the result for each organisation.
	nodes  []uint64
	homes  map[string][]uint64
	limits map[string]quota.Limit
	queues map[string]*queue
	links  map[uint64]*link
	stats  map[string]*counters
	// closed is true after Run, when no further exchange begins.
	closed bool
}

// queue has the waiting requests of an organisation, the oldest first.
type queue struct {
	waiters []*waiter
	// asked is the number of waiters in the question that is under way, and underWay
	// whether there is one.
	asked    int
	underWay bool
}

// waiter is a request that waits for a token.
type waiter struct {
	done chan *outcome.Refusal
}

// link has the organisations for which a home is to be asked. At most one question
// to it is under way, so that the next one has all that gathered in the meantime.
type link struct {
	pending map[string][]quota.Skipped
	// claims are the organisations that the node must release.
	claims map[string]bool
	// trial asks whether the node answers.
	trial bool
	busy  bool
}

// New returns a limiter. Run must be called before it asks other nodes.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, homes: map[string][]uint64{}, limits: map[string]quota.Limit{}, queues: map[string]*queue{}, links: map[uint64]*link{},
		stats: map[string]*counters{},
	}
	l.asking, l.stopAsking = context.WithCancel(context.Background())
	return l
}

// Run follows the routing table until the context ends. It then waits for the
// questions under way.
func (l *Limiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.cfg.View.Changed()
		l.mu.Lock()
		l.follow(l.cfg.Clock.Now())
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.stopAsking()
	l.exchanges.Wait()
}

// Take takes a token of an organisation for a request. It returns a refusal if the
// quota is used up. It waits for the home's answer, no longer than patience and half
// of the time until the deadline.
func (l *Limiter) Take(ctx context.Context, o *rules.Organisation, deadline time.Time) *outcome.Refusal {
	if o.RequestsPerSecond <= 0 {
		return nil
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	decision, after := l.entry.Take(now, limitOf(o, l.cfg.View.Table().Revision()))
	switch decision {
	case quota.DecisionGranted:
		l.count(o.Name).taken++
		if l.entry.WantsAhead(now, o.Name) {
			l.ask(now, o.Name)
		}
		l.mu.Unlock()
		return nil
	case quota.DecisionRefused:
		l.count(o.Name).refused++
		l.mu.Unlock()
		return refusal(after)
	}
	w := &waiter{done: make(chan *outcome.Refusal, 1)}
	q := l.queues[o.Name]
	if q == nil {
		q = &queue{}
		l.queues[o.Name] = q
	}
	q.waiters = append(q.waiters, w)
	l.ask(now, o.Name)
	l.mu.Unlock()
	return l.await(ctx, o.Name, q, w, min(patience, deadline.Sub(now)/2))
}

// await waits for the result of a waiter.
func (l *Limiter) await(ctx context.Context, organisation string, q *queue, w *waiter, limit time.Duration) *outcome.Refusal {
	select {
	case r := <-w.done:
		return r
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		if i < q.asked {
			q.asked--
		}
		l.fallBack(l.cfg.Clock.Now(), organisation, w)
	}
	return <-w.done
}

// Return gives back a token for a request that did not run.
func (l *Limiter) Return(o *rules.Organisation) {
	if o.RequestsPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(o.Name).returned++
	l.entry.Return(l.cfg.Clock.Now(), o.Name)
}

func limitOf(o *rules.Organisation, revision uint64) quota.Limit {
	return quota.Limit{Organisation: o.Name, Revision: revision, RequestsPerSecond: o.RequestsPerSecond, Burst: o.Burst}
}

func refusal(after time.Duration) *outcome.Refusal {
	r := relay.NotRun(outcome.ReasonQuota)
	r.RetryAfter = after
	return r
}

// fallBack decides about a request without a home. l.mu is held.
func (l *Limiter) fallBack(now time.Time, organisation string, w *waiter) {
	c := l.count(organisation)
	if l.entry.Fallback(now, organisation, l.cfg.View.Identity().Incarnation, len(l.nodes)) {
		c.taken++
		c.fallback++
		w.done <- nil
		return
	}
	c.refused++
	c.fallbackRefused++
	w.done <- refusal(l.entry.RetryAfter(now, organisation))
}

// ask asks the home of an organisation for tokens, unless a question is under way.
// l.mu is held.
func (l *Limiter) ask(now time.Time, organisation string) {
	q := l.queues[organisation]
	if q == nil {
		q = &queue{}
		l.queues[organisation] = q
	}
	if q.underWay {
		return
	}
	l.follow(now)
	if l.queues[organisation] != q {
		// The organisation has no quota any more, and no request waits.
		return
	}
	choice := l.entry.Choose(now, l.homesOf(organisation))
	if choice.Trial != 0 {
		t := l.link(choice.Trial)
		t.trial = true
		l.start(choice.Trial, t)
	}
	switch {
	case choice.To == 0 && choice.Soon && len(q.waiters) > 0:
		l.askAgain(organisation)
	case choice.To == 0:
		waiters := q.waiters
		q.waiters = nil
		for _, w := range waiters {
			l.fallBack(now, organisation, w)
		}
	case choice.To == l.cfg.View.Identity().Incarnation:
		q.asked = len(q.waiters)
		ask := l.entry.Ask(now, organisation, q.asked, choice.Skipped)
		l.decided(now, now, choice.To, ask, l.grant(now, choice.To, choice.To, ask))
	default:
		q.underWay = true
		t := l.link(choice.To)
		t.pending[organisation] = choice.Skipped
		l.start(choice.To, t)
	}
}

// askAgain asks once routing tables have had time to agree. l.mu is held.
func (l *Limiter) askAgain(organisation string) {
	l.queues[organisation].underWay = true
	time.AfterFunc(askAgainAfter, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queues[organisation].underWay = false
		l.ask(l.cfg.Clock.Now(), organisation)
	})
}

// decided applies the answer of a node to the waiters of an organisation. l.mu is
// held.
func (l *Limiter) decided(now, sent time.Time, from uint64, ask quota.Ask, a quota.Answer) {
	q := l.queues[ask.Organisation]
	asked := q.asked
	q.asked, q.underWay = 0, false
	if a.Status != quota.StatusDecided {
		l.entry.Failed(now, from, a.Status)
		if len(q.waiters) > 0 {
			l.ask(now, ask.Organisation)
		}
		return
	}
	l.entry.Answered(now, sent, ask, a)
	c := l.count(ask.Organisation)
	c.granted += uint64(a.Granted)
	done := 0
	for ; done < len(q.waiters) && l.entry.Draw(now, ask.Organisation); done++ {
		c.taken++
		q.waiters[done].done <- nil
	}
	for ; done < asked && a.Granted < ask.Need; done++ {
		c.refused++
		q.waiters[done].done <- refusal(l.entry.RetryAfter(now, ask.Organisation))
	}
	q.waiters = slices.Delete(q.waiters, 0, done)
	if len(q.waiters) > 0 {
		l.ask(now, ask.Organisation)
	}
}
