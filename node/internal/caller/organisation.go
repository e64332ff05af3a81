package caller

import (
	"maps"
	"strings"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/core/rules"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// headerAuthorization is the header field with the API key of a caller, and
// keyScheme the scheme of its value.
const (
	headerAuthorization = "Authorization"
	keyScheme           = "Bearer"
)

// apiKey is what a caller sent as its API key.
type apiKey struct {
	// given is false if the request has no key.
	given bool
	hash  rules.APIKeyHash
}

// takeAPIKey reads the API key of the request. If the rules name organisations, it
// also removes the header field, whatever its scheme: nothing but this node sees it.
func (q *request) takeAPIKey(t *routing.Table) {
	values := q.r.Header[headerAuthorization]
	if len(values) == 1 {
		scheme, key, _ := strings.Cut(values[0], " ")
		if key = strings.TrimSpace(key); strings.EqualFold(scheme, keyScheme) && key != "" {
			q.key = apiKey{given: true, hash: rules.HashAPIKey(key)}
		}
	}
	if t.HasOrganisations() {
		delete(q.r.Header, headerAuthorization)
	}
}

// readParent looks up the call that the backend server of this VM runs under the id
// that a request states as its parent.
func (q *request) readParent() {
	if id := q.r.Header.Get(headers.ParentID); id != "" && q.nested() {
		q.parent, q.call.Nested = q.h.cfg.Parent(id)
		q.call.ParentPriority = q.parent.Urgency
	}
}

// identify determines the organisation that the request is made for, and with it the
// priority, by a table. It refuses a request that needs an API key and has no valid
// one.
func (q *request) identify(t *routing.Table) *outcome.Refusal {
	c := &q.call
	q.identifiedBy = t
	c.Organisation = ""
	switch {
	case c.Nested:
		// A nested call has no key. It is made for the organisation of its parent, so
		// that its backend server sees for whom it works, and its load is attributed to
		// those who caused it. This is the only place that decides so.
		c.Organisation = q.parent.Organisation
	case t.HasOrganisations():
		refusal := q.authenticate(t)
		if refusal != nil {
			return refusal
		}
	}
	o := t.Organisation(c.Organisation)
	c.Priority, q.statedPriority = t.Priority(o, q.route), q.route.Priority
	if o != nil && o.HasPriority {
		q.statedPriority = o.Priority
	}
	return nil
}

// authenticate sets the organisation that holds the key of the request.
func (q *request) authenticate(t *routing.Table) *outcome.Refusal {
	if q.key.given {
		if o := t.KeyHolder(q.key.hash); o != nil {
			q.call.Organisation = o.Name
			return nil
		}
	}
	switch {
	case q.route.Public:
		return nil
	case q.h.controlUnresponsive(), q.h.cfg.View.SupersededFor(q.h.cfg.Clock.Now()) > 0:
		// A newer revision that this node has not received may have the key. Callers do
		// not repeat what was refused for its key, so even a short doubt counts.
		return relay.NotRun(outcome.ReasonNoRules)
	case !q.key.given && q.r.Header.Get(headers.ParentID) != "":
		// The parent may have run beside this node before the node was restarted.
		return relay.NotRun(outcome.ReasonParentNotRunning)
	}
	return relay.NotRun(outcome.ReasonUnknownAPIKey)
}

// reidentify checks the API key again before an attempt. The key may have been removed
// since the request arrived, by the table of the attempt or by rules that this node
// should have received meanwhile.
func (q *request) reidentify(t *routing.Table) *outcome.Refusal {
	if t.HasOrganisations() && q.h.rulesSuperseded() {
		return relay.NotRun(outcome.ReasonNoRules)
	}
	if t == q.identifiedBy {
		return nil
	}
	if _, present := q.call.Header[headerAuthorization]; present && t.HasOrganisations() {
		// The request arrived before the rules named organisations. Earlier attempts may
		// still read the header.
		q.call.Header = maps.Clone(q.call.Header)
		delete(q.call.Header, headerAuthorization)
	}
	return q.identify(t)
}

// takeQuota takes the request from the quota of its organisation. A nested call is part
// of the request that it is made for and takes nothing.
func (q *request) takeQuota(t *routing.Table) *outcome.Refusal {
	o := t.Organisation(q.call.Organisation)
	if q.h.cfg.Quota == nil || q.call.Nested || o == nil || o.RequestsPerSecond == 0 {
		return nil
	}
	if refusal := q.h.cfg.Quota.Take(q.r.Context(), o, q.call.Deadline); refusal != nil {
		return refusal
	}
	q.quotaOf = o
	return nil
}

// returnQuota gives back what takeQuota took if no backend server ran the request.
func (q *request) returnQuota(refusal *outcome.Refusal) {
	if q.quotaOf != nil && refusal != nil && refusal.Outcome == outcome.OutcomeNotRun {
		q.h.cfg.Quota.Return(q.quotaOf)
	}
}

// logOrganisation adds the organisation of a call to its log line.
func logOrganisation(e *zerolog.Event, c *relay.Call) *zerolog.Event {
	if c.Organisation == "" {
		return e
	}
	return e.Str("organisation", c.Organisation)
}
