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
	if command.GetDocument() != nil {
		return s.applyDocument(command)
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
	return s.replaceRules(command)
}

// replaceRules makes the text of a command the next revision.
func (s *State) replaceRules(command *wirev1.ApplyRules) Result {
	if s.rules != nil {
		s.history = bounded(append(slices.Clone(s.history), s.rules))
	}
	s.rules = &wirev1.RulesRevision{
		Revision: s.Revision() + 1, Text: command.GetText(), RequestId: command.GetRequestId(),
		Author: command.GetAuthor(), AcceptedUnixMs: command.GetAcceptedUnixMs(),
	}
	return Result{Delta: &wirev1.Update{Rules: s.rules}}
}

// applyDocument replaces the document and the rules made from it. A document
// whose version is not above the stored one changes nothing: it was accepted
// before, or a later one has replaced it.
func (s *State) applyDocument(command *wirev1.ApplyRules) Result {
	document := command.GetDocument()
	if len(document.GetContent()) > MaxRulesBytes {
		return invalid("document of %d bytes, at most %d are allowed", len(document.GetContent()), MaxRulesBytes)
	}
	if document.GetVersion() <= s.document.GetVersion() {
		return Result{Code: CodeUnchanged, Revision: s.Revision()}
	}
	if command.GetBaseRevision() != s.Revision() {
		return conflict("rules are at revision %d, the change builds on %d", s.Revision(), command.GetBaseRevision())
	}
	s.document = document
	if command.GetText() == s.rules.GetText() {
		return Result{}
	}
	return s.replaceRules(command)
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
