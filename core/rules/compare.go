package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// ChangeKind says how a rule differs between two sets.
type ChangeKind int

// Kinds of changes.
const (
	ChangeKindAdded ChangeKind = iota
	ChangeKindRemoved
	ChangeKindChanged
	// ChangeKindComment means that only who or why differs.
	ChangeKindComment
)

// String returns the kind as one word.
func (k ChangeKind) String() string {
	return [...]string{"added", "removed", "changed", "comment"}[k]
}

// Change is one rule that differs between two sets.
type Change struct {
	Kind ChangeKind
	// Rule identifies the rule, such as "route /documents".
	Rule string
	// Old and New are the canonical rules without comments, empty where the
	// rule is not in the set.
	Old        string
	New        string
	OldComment Comment
	NewComment Comment
}

// String returns the change as lines that begin with - for the old rule and
// with + for the new one, or with ~ where only the comment differs.
func (c Change) String() string {
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

// Compare returns the rules that differ, in the canonical order. The order of
// rules in the files, spaces and whole-line comments make no difference.
func Compare(before, after Set) []Change {
	type both struct{ old, new *line }
	rules := map[string]both{}
	var order []line
	for _, l := range lines(before) {
		rules[l.identity] = both{old: &l}
		order = append(order, l)
	}
	for _, l := range lines(after) {
		b := rules[l.identity]
		if b.old == nil {
			order = append(order, l)
		}
		b.new = &l
		rules[l.identity] = b
	}
	slices.SortStableFunc(order, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.name, b.name))
	})
	var changes []Change
	for _, l := range order {
		b := rules[l.identity]
		c := Change{Rule: l.identity}
		if b.old != nil {
			c.Old, c.OldComment = b.old.body, b.old.comment
		}
		if b.new != nil {
			c.New, c.NewComment = b.new.body, b.new.comment
		}
		switch {
		case b.old == nil:
			c.Kind = ChangeKindAdded
		case b.new == nil:
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

// CheckChange returns the faults of replacing one set with another, two sets that are
// valid by themselves. The number of partitions of an upstream is fixed: with
// another one each key would belong to another partition, and a key could have
// two owners while nodes change over.
func CheckChange(before, after Set) Errors {
	earlier := map[string]Upstream{}
	for _, u := range before.Upstreams {
		earlier[u.Name] = u
	}
	var errors Errors
	for _, u := range after.Upstreams {
		was, ok := earlier[u.Name]
		if !ok || was.Partitions == u.Partitions && was.NumericKeys == u.NumericKeys {
			continue
		}
		message := fmt.Sprintf("upstream %s changes from %s to %s; expected no change: add an upstream with another name and move its routes",
			u.Name, kindOf(was), kindOf(u))
		errors = append(errors, Error{u.Comment.Line, 1, message})
	}
	return errors
}

func kindOf(u Upstream) string {
	if !u.Keyed {
		return "unkeyed"
	}
	if u.NumericKeys {
		return fmt.Sprintf("%d partitions of numbers", u.Partitions)
	}
	return fmt.Sprintf("%d partitions", u.Partitions)
}
