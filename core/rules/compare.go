package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// ChangeKind is the way in which a rule differs between two sets.
type ChangeKind int

// Values of ChangeKind.
const (
	ChangeKindAdded ChangeKind = iota
	ChangeKindRemoved
	ChangeKindChanged
	// ChangeKindComment means that only the comment differs.
	ChangeKindComment
)

// String returns the kind as a word such as "added".
func (k ChangeKind) String() string {
	return [...]string{"added", "removed", "changed", "comment"}[k]
}

// Change is one rule that differs between two sets.
type Change struct {
	Kind ChangeKind
	// Rule identifies the rule, such as "route /documents".
	Rule string
	// Old and New are the rule in canonical form without its comment. Each is
	// empty if the rule is not in the respective set.
	Old        string
	New        string
	OldComment Comment
	NewComment Comment
}

// String returns the change as a line that starts with - for the old rule and a
// line that starts with + for the new one. If only the comment differs, it is
// one line that starts with ~. Hashes of API keys are shortened.
func (c Change) String() string {
	c.Old, c.New = shortenHashes(c.Old), shortenHashes(c.New)
	switch c.Kind {
	case ChangeKindAdded:
		return "+ " + c.New + "  " + c.NewComment.String()
	case ChangeKindRemoved:
		return "- " + c.Old + "  " + c.OldComment.String()
	case ChangeKindComment:
		return "~ " + c.New + "  " + c.NewComment.String()
	default:
		return "- " + c.Old + "  " + c.OldComment.String() + "\n+ " + c.New + "  " + c.NewComment.String()
	}
}

// Compare returns the rules that differ, in canonical order. It ignores the
// order of rules in the files, white space and whole-line comments.
func Compare(before, after Set) []Change {
	type pair struct{ old, new *canonicalRule }
	pairs := map[string]pair{}
	var order []canonicalRule
	for _, r := range canonicalRules(before) {
		pairs[r.identity] = pair{old: &r}
		order = append(order, r)
	}
	for _, r := range canonicalRules(after) {
		p := pairs[r.identity]
		if p.old == nil {
			order = append(order, r)
		}
		p.new = &r
		pairs[r.identity] = p
	}
	slices.SortStableFunc(order, func(a, b canonicalRule) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.sortKey, b.sortKey))
	})
	var changes []Change
	for _, r := range order {
		p := pairs[r.identity]
		c := Change{Rule: r.identity}
		if p.old != nil {
			c.Old, c.OldComment = p.old.text, p.old.comment
		}
		if p.new != nil {
			c.New, c.NewComment = p.new.text, p.new.comment
		}
		switch {
		case p.old == nil:
			c.Kind = ChangeKindAdded
		case p.new == nil:
			c.Kind = ChangeKindRemoved
		case c.Old != c.New:
			c.Kind = ChangeKindChanged
		case c.OldComment.String() != c.NewComment.String():
			c.Kind = ChangeKindComment
		default:
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// CheckChange returns the errors of replacing one valid set with another valid
// set. The number of partitions of an upstream, and whether its keys are
// numeric, must not change. Otherwise keys would map to other partitions, and a
// key could have two owners while some nodes still use the old rules.
func CheckChange(before, after Set) Errors {
	old := map[string]Upstream{}
	for _, u := range before.Upstreams {
		old[u.Name] = u
	}
	var errors Errors
	for _, u := range after.Upstreams {
		previous, ok := old[u.Name]
		if !ok || previous.Partitions == u.Partitions && previous.NumericKeys == u.NumericKeys {
			continue
		}
		message := fmt.Sprintf("upstream %s changes from %s to %s; expected no change: add an upstream with another name and move its routes",
			u.Name, partitioning(previous), partitioning(u))
		errors = append(errors, Error{u.Comment.Line, 1, message})
	}
	return errors
}

func partitioning(u Upstream) string {
	if !u.Keyed {
		return "unkeyed"
	}
	if u.NumericKeys {
		return fmt.Sprintf("%d partitions of numbers", u.Partitions)
	}
	return fmt.Sprintf("%d partitions", u.Partitions)
}
