package metrics

import (
	"sync"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

const (
	// maxOrganisations bounds the organisations that are counted apart. Organisations
	// come and go with the rules while a node runs.
	maxOrganisations = 1000
	// otherOrganisations counts the organisations beyond the bound.
	otherOrganisations = "other"
)

// RecordOrganisation counts the response to a request that was made for an
// organisation. An empty name counts nothing.
func (s *Set) RecordOrganisation(name string, r *outcome.Refusal) {
	if name != "" {
		s.Organisations.Add(s.organisations.bound(name)+"/"+result(r), 1)
	}
}

// result returns the result of a request as the counters name it.
func result(r *outcome.Refusal) string {
	if r == nil {
		return "ok"
	}
	return r.Outcome.String() + "/" + string(r.Reason)
}

// boundedNames bounds the number of different names. It is safe for concurrent use.
// The zero value is ready to use.
type boundedNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// bound returns a name, or otherOrganisations if too many other names came before.
func (b *boundedNames) bound(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.names[name]:
		return name
	case len(b.names) >= maxOrganisations:
		return otherOrganisations
	case b.names == nil:
		b.names = map[string]bool{}
	}
	b.names[name] = true
	return name
}
