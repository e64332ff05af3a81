package quota

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/quota"
)

// link returns the link to a node. l.mu is held.
func (l *Limiter) link(node uint64) *link {
	t := l.links[node]
	if t == nil {
		t = &link{pending: map[string][]quota.Skipped{}, claims: map[string]bool{}}
		l.links[node] = t
	}
	return t
}

// start starts to send the questions of a link. l.mu is held.
func (l *Limiter) start(node uint64, t *link) {
	if t.busy || l.closed {
		return
	}
	t.busy = true
	l.exchanges.Go(func() { l.exchange(node, t) })
}

// exchange sends questions until nothing is pending.
func (l *Limiter) exchange(node uint64, t *link) {
	for {
		l.mu.Lock()
		q, ok := l.nextQuestion(node, t)
		l.mu.Unlock()
		if !ok {
			return
		}
		sent := l.cfg.Clock.Now()
		a, err := l.send(q)
		l.mu.Lock()
		l.apply(l.cfg.Clock.Now(), sent, q, a, err)
		l.mu.Unlock()
	}
}

// nextQuestion returns the question with all that is pending, and false if there is
// nothing. The link is then idle.
func (l *Limiter) nextQuestion(node uint64, t *link) (question, bool) {
	if len(t.pending) == 0 && len(t.claims) == 0 && !t.trial || l.closed {
		t.busy = false
		return question{}, false
	}
	now := l.cfg.Clock.Now()
	q := question{to: node}
	for organisation, skipped := range t.pending {
		u := l.queues[organisation]
		u.asked = len(u.waiters)
		q.asks = append(q.asks, l.entry.Ask(now, organisation, u.asked, skipped))
	}
	for organisation := range t.claims {
		q.claims = append(q.claims, organisation)
	}
	clear(t.pending)
	clear(t.claims)
	t.trial = false
	return q, true
}

// send sends a question. An answer that the node has ended is no error.
func (l *Limiter) send(q question) (answer, error) {
	n := l.cfg.View.Table().Node(q.to)
	if n == nil {
		// Control has removed it: its lease has ended.
		return answer{ended: true}, nil
	}
	ctx, cancel := context.WithTimeout(l.asking, answerTimeout)
	defer cancel()
	payload, err := l.cfg.Ask(ctx, n.GetPeerAddress(), appendQuestion(nil, q))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return answer{ended: true}, nil
	}
	if err != nil {
		return answer{}, err
	}
	a, err := decodeAnswer(payload)
	if err == nil && !a.ended && (len(a.answers) != len(q.asks) || len(a.releases) != len(q.claims)) {
		err = errMalformed
	}
	return a, err
}

// apply applies the answer to a question, or its failure. l.mu is held.
func (l *Limiter) apply(now, sent time.Time, q question, a answer, err error) {
	switch {
	case err != nil:
		l.entry.Failed(now, q.to, quota.StatusDecided)
		l.cfg.Log.Info().Err(err).Uint64("node", q.to).Int("organisations", len(q.asks)).Msg("home of quotas did not answer")
	case a.ended:
		l.entry.Failed(now, q.to, quota.StatusEnded)
		l.home.Ended(now, q.to)
		l.sendClaims()
		l.cfg.Log.Info().Uint64("node", q.to).Int("organisations", len(q.asks)).Msg("home of quotas has ended")
	default:
		l.entry.Reached(q.to)
		for i, ask := range q.asks {
			l.decided(now, sent, q.to, ask, a.answers[i])
		}
		for i, organisation := range q.claims {
			if r := a.releases[i]; r.released {
				l.home.Released(now, quota.Claim{Organisation: organisation, Node: q.to}, r.bucket)
			} else {
				l.claimAgain(quota.Claim{Organisation: organisation, Node: q.to})
			}
		}
		l.sendClaims()
		return
	}
	for _, organisation := range q.claims {
		l.claimAgain(quota.Claim{Organisation: organisation, Node: q.to})
	}
	for _, ask := range q.asks {
		u := l.queues[ask.Organisation]
		u.asked, u.underWay = 0, false
		if len(u.waiters) > 0 {
			l.ask(now, ask.Organisation)
		}
	}
}

// sendClaims sends the claims of this node as a home. l.mu is held.
func (l *Limiter) sendClaims() {
	for _, c := range l.home.TakeClaims() {
		l.claim(c)
	}
}

func (l *Limiter) claim(c quota.Claim) {
	if l.home.Waits(c) {
		t := l.link(c.Node)
		t.claims[c.Organisation] = true
		l.start(c.Node, t)
	}
}

// claimAgain repeats a claim once the other node has had time to learn that this one
// comes before it. l.mu is held.
func (l *Limiter) claimAgain(c quota.Claim) {
	if l.closed || !l.home.Waits(c) {
		return
	}
	time.AfterFunc(askAgainAfter, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.claim(c)
	})
}

// Answer answers a question of a node. It does not block.
func (l *Limiter) Answer(from uint64, payload []byte) []byte {
	q, err := decodeQuestion(payload)
	if err != nil {
		l.cfg.Log.Warn().Err(err).Uint64("from", from).Msg("question of a node cannot be decoded")
		return nil
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(now)
	if l.hasEnded(now, q.to) {
		return appendAnswer(nil, answer{ended: true})
	}
	a := answer{answers: make([]quota.Answer, len(q.asks)), releases: make([]release, len(q.claims))}
	for i, organisation := range q.claims {
		a.releases[i].bucket, a.releases[i].released = l.home.Release(organisation, l.homesOf(organisation), from)
	}
	for i, ask := range q.asks {
		a.answers[i] = l.grant(now, from, q.to, ask)
	}
	return appendAnswer(nil, a)
}

// hasEnded reports whether this node grants no tokens as an incarnation, now and in
// future. l.mu is held.
func (l *Limiter) hasEnded(now time.Time, incarnation uint64) bool {
	if incarnation != l.homeOf || l.homeOf == 0 {
		return incarnation < l.homeOf
	}
	i := l.cfg.View.Identity()
	return l.cfg.Stopping() || i.Incarnation != incarnation || !i.LeaseExpiry.IsZero() && !now.Before(i.LeaseExpiry)
}

// grant grants tokens as an incarnation of this node. l.mu is held.
func (l *Limiter) grant(now time.Time, from, as uint64, ask quota.Ask) quota.Answer {
	if l.hasEnded(now, as) {
		return quota.Answer{Status: quota.StatusEnded}
	}
	if as != l.homeOf || !l.cfg.View.HasLease(now) {
		// This node has not processed its registration.
		return quota.Answer{Status: quota.StatusNotHome}
	}
	a := l.home.Grant(now, as, l.homesOf(ask.Organisation), from, ask)
	l.sendClaims()
	if a.Status == quota.StatusDecided {
		l.logLimit(now, ask, a)
	}
	return a
}
