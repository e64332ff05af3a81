package routing

import (
	"slices"

	"github.com/jujubeknot/jujubeknot/core/rules"
)

// priorityLevels is the number of priorities of calls.
const priorityLevels = 10

// rank orders requests of organisations: the priority of the organisation goes before
// that of the route, which decides among organisations of equal priority.
type rank struct{ organisation, route int }

func (r rank) compare(s rank) int {
	if r.organisation != s.organisation {
		return r.organisation - s.organisation
	}
	return r.route - s.route
}

func rankOf(o *rules.Organisation, r *rules.Route) rank {
	if o == nil || !o.HasPriority {
		return rank{r.Priority, r.Priority}
	}
	return rank{o.Priority, r.Priority}
}

// derivePriorities maps the ranks that the rules make possible to the priorities of calls,
// in order. With more ranks than priorities, neighbours share one. Without priorities of
// organisations, calls have those of their routes.
func (t *Table) derivePriorities() {
	t.priorities = nil
	set := &t.rules
	if !slices.ContainsFunc(set.Organisations, func(o rules.Organisation) bool { return o.HasPriority }) {
		return
	}
	var ranks []rank
	for i := range set.Routes {
		ranks = append(ranks, rankOf(nil, &set.Routes[i]))
		for j := range set.Organisations {
			ranks = append(ranks, rankOf(&set.Organisations[j], &set.Routes[i]))
		}
	}
	slices.SortFunc(ranks, rank.compare)
	ranks = slices.Compact(ranks)
	t.priorities = make(map[rank]int, len(ranks))
	for i, p := range spread(ranks) {
		t.priorities[ranks[i]] = p
	}
}

// spread returns a priority for each of the sorted ranks: the one that the rules state for
// its organisation, unless the order needs another.
func spread(ranks []rank) []int {
	list := make([]int, len(ranks))
	for i, r := range ranks {
		if len(ranks) > priorityLevels {
			list[i] = i * priorityLevels / len(ranks)
			continue
		}
		if list[i] = r.organisation; i > 0 {
			list[i] = max(list[i], list[i-1]+1)
		}
	}
	for i, limit := len(list)-1, priorityLevels-1; i >= 0 && len(ranks) <= priorityLevels; i-- {
		list[i] = min(list[i], limit)
		limit = list[i] - 1
	}
	return list
}

// Priority returns the priority of the calls of an organisation on a route. The
// organisation may be nil.
func (t *Table) Priority(o *rules.Organisation, r *rules.Route) int {
	if p, ok := t.priorities[rankOf(o, r)]; ok {
		return p
	}
	return r.Priority
}

// deriveOrganisations prepares the look-up of organisations.
func (t *Table) deriveOrganisations() {
	set := &t.rules
	t.derivePriorities()
	t.organisations = make(map[string]*rules.Organisation, len(set.Organisations))
	t.keyHolders = make(map[rules.APIKeyHash]*rules.Organisation, len(set.Organisations))
	for i := range set.Organisations {
		o := &set.Organisations[i]
		t.organisations[o.Name] = o
		for _, hash := range o.APIKeys {
			t.keyHolders[hash] = o
		}
	}
}

// HasOrganisations reports whether the rules in force name organisations. Callers
// then need an API key, except for public routes.
func (t *Table) HasOrganisations() bool { return len(t.organisations) > 0 }

// Organisation returns the organisation of a name, or nil if there is none. The
// result must not be changed.
func (t *Table) Organisation(name string) *rules.Organisation { return t.organisations[name] }

// KeyHolder returns the organisation that holds the API key of a hash, or nil if
// there is none. It takes the same time for any number of keys. That it compares
// hashes with a duration that depends on them reveals nothing of a key. The result
// must not be changed.
func (t *Table) KeyHolder(hash rules.APIKeyHash) *rules.Organisation { return t.keyHolders[hash] }
