package cluster

import (
	"slices"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Limits of the rules text and of its history.
const (
	// MaxRulesBytes is the maximum size of the text of one revision, and of a
	// document.
	MaxRulesBytes = 1 << 20
	// MaxHistory is the maximum number of earlier revisions that are kept.
	MaxHistory = 256
	// MaxHistoryBytes is the maximum size of the texts of all earlier revisions
	// together, because they are part of every snapshot.
	MaxHistoryBytes = 1 << 20
)

// applyRules replaces the rules if the command is based on the current
// revision.
func (s *State) applyRules(command *wirev1.ApplyRules) Result {
	if len(command.GetText()) > MaxRulesBytes {
		return invalid("rules text has %d bytes, at most %d are allowed", len(command.GetText()), MaxRulesBytes)
	}
	if command.GetDocument() != nil {
		return s.applyDocument(command)
	}
	for r := range s.keptRevisions() {
		if command.GetRequestId() == "" || r.GetRequestId() != command.GetRequestId() {
			continue
		}
		if r.GetText() != command.GetText() {
			return conflict("request id %q was used for revision %d with different content", command.GetRequestId(), r.GetRevision())
		}
		return Result{Code: CodeUnchanged, Revision: r.GetRevision()}
	}
	current := s.Revision()
	if command.GetText() == s.rules.GetText() {
		return Result{Code: CodeUnchanged, Revision: current}
	}
	if command.GetBaseRevision() != current {
		// The command repeats a change that was accepted and then replaced.
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
		s.history = trimHistory(append(slices.Clone(s.history), s.rules))
	}
	s.rules = &wirev1.RulesRevision{
		Revision: s.Revision() + 1, Text: command.GetText(), RequestId: command.GetRequestId(),
		Author: command.GetAuthor(), AcceptedUnixMs: command.GetAcceptedUnixMs(),
	}
	return Result{Delta: &wirev1.Update{Rules: s.rules}}
}

// applyDocument replaces the document and the rules made from it. A document
// whose version is not above the stored one changes nothing, because it was
// accepted before or a later one has replaced it.
func (s *State) applyDocument(command *wirev1.ApplyRules) Result {
	document := command.GetDocument()
	if len(document.GetContent()) > MaxRulesBytes {
		return invalid("document has %d bytes, at most %d are allowed", len(document.GetContent()), MaxRulesBytes)
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

// trimHistory drops the oldest revisions beyond MaxHistory and MaxHistoryBytes.
func trimHistory(history []*wirev1.RulesRevision) []*wirev1.RulesRevision {
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
