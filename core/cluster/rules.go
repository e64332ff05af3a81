package cluster

import (
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Bounds of the rules text and of its history.
const (
	// MaxRulesBytes bounds one rules text.
	MaxRulesBytes = 1 << 20
	// MaxHistory bounds the earlier revisions that are kept.
	MaxHistory = 256
	// MaxHistoryBytes bounds the texts of earlier revisions together, because
	// they are part of each snapshot.
	MaxHistoryBytes = 1 << 20
)

// applyRules replaces the rules if the command builds on the current ones.
func (s *State) applyRules(command *wirev1.ApplyRules) Result {
	if len(command.GetText()) > MaxRulesBytes {
		return invalid("rules of %d bytes, at most %d are allowed", len(command.GetText()), MaxRulesBytes)
	}
	for r := range s.revisions() {
		if command.GetRequestId() == "" || r.GetRequestId() != command.GetRequestId() {
			continue
		}
		if r.GetText() != command.GetText() {
			return conflict("request id %q made revision %d with other content", command.GetRequestId(), r.GetRevision())
		}
		return Result{Code: CodeUnchanged, Revision: r.GetRevision()}
	}
	current := s.Revision()
	if command.GetText() == s.rules.GetText() {
		return Result{Code: CodeUnchanged, Revision: current}
	}
	if command.GetBaseRevision() != current {
		// Another sending of a change that was accepted and then replaced.
		if r := s.RulesAt(command.GetBaseRevision() + 1); r != nil && r.GetText() == command.GetText() {
			return Result{Code: CodeUnchanged, Revision: r.GetRevision()}
		}
		return conflict("rules are at revision %d, the change builds on %d", current, command.GetBaseRevision())
	}
	if s.rules != nil {
		s.history = bounded(append(slices.Clone(s.history), s.rules))
	}
	s.rules = &wirev1.RulesRevision{
		Revision: current + 1, Text: command.GetText(), RequestId: command.GetRequestId(),
		Author: command.GetAuthor(), AcceptedUnixMs: command.GetAcceptedUnixMs(),
	}
	return Result{Delta: &wirev1.Update{Rules: s.rules}}
}

// bounded drops the oldest revisions that are over the bounds.
func bounded(history []*wirev1.RulesRevision) []*wirev1.RulesRevision {
	size, first := 0, len(history)
	for first > 0 && len(history)-first < MaxHistory {
		size += len(history[first-1].GetText())
		if size > MaxHistoryBytes {
			break
		}
		first--
	}
	return slices.Clone(history[first:])
}
