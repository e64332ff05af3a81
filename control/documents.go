package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// maxConflicts bounds the tries of a change that others race with. Each
// conflict means that another change was accepted meanwhile.
const maxConflicts = 32

// Document is a configuration in an operator's own format.
type Document struct {
	// Version is the operator's. A document replaces only lower versions.
	Version uint64
	// Content is kept as it is and read back unchanged.
	Content []byte
	// Rules is the rules text that routes for the document. It has no zone
	// rules: those in force stay.
	Rules string
}

// NotLeaderError is returned where only the leader can answer.
type NotLeaderError struct {
	// Operator is the address at which operators reach the leader, empty if
	// unknown.
	Operator string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Operator == "" {
		return "not the leader; no leader known"
	}
	return "not the leader; operators reach it at " + e.Operator
}

// ErrInvalidDocument is wrapped by the errors of documents that can never be
// accepted.
var ErrInvalidDocument = errors.New("invalid document")

// ApplyDocument puts a document in force unless its version is at or below that
// of the stored one, and returns once that is durable. It is safe for
// concurrent use, and a repetition changes nothing.
func (m *Member) ApplyDocument(ctx context.Context, d Document) error {
	if _, faults := rules.Parse(d.Rules); faults.Err() != nil {
		return fmt.Errorf("%w: %s", ErrInvalidDocument, faults.Error())
	}
	result, err := m.change(ctx, func(state *cluster.State) *wirev1.ApplyRules {
		if d.Version <= state.Document().GetVersion() {
			return nil
		}
		return &wirev1.ApplyRules{
			Text: withZones(d.Rules, zoneLines(state.Rules().GetText())), Author: "document",
			Document: &wirev1.RulesDocument{Version: d.Version, Content: d.Content},
		}
	})
	m.config.Logger.Info().Err(err).Uint64("version", d.Version).Uint64("revision", result.Revision).Stringer("result", result.Code).Msg("document")
	return err
}

// Document returns the newest document once a quorum has confirmed that there
// is no newer one. Version is 0 before the first.
func (m *Member) Document(ctx context.Context) (Document, error) {
	if err := m.log.Confirm(ctx); err != nil {
		return Document{}, publicError(err)
	}
	d := m.log.State().Document()
	return Document{Version: d.GetVersion(), Content: d.GetContent()}, nil
}

// SetZone takes an availability zone out of service or back, and returns once
// that is durable. A repetition changes nothing.
func (m *Member) SetZone(ctx context.Context, zone string, out bool) error {
	line := "zone " + zone + " out  # operator: taken out of service\n"
	if _, faults := rules.Parse(line); faults.Err() != nil {
		return fmt.Errorf("%w: %s", ErrInvalidDocument, faults.Error())
	}
	result, err := m.change(ctx, func(state *cluster.State) *wirev1.ApplyRules {
		text := state.Rules().GetText()
		var zones []string
		for _, l := range zoneLines(text) {
			if zoneOf(l) != zone {
				zones = append(zones, l)
			}
		}
		if out {
			zones = append(zones, line)
		}
		return &wirev1.ApplyRules{Text: withZones(withoutZones(text), zones), Author: "operator"}
	})
	m.config.Logger.Info().Err(err).Str("zone", zone).Bool("out", out).Uint64("revision", result.Revision).Stringer("result", result.Code).Msg("zone")
	return err
}

// change proposes what make returns for the current state, again with a newer
// one if another change came first. Nil from make means that there is nothing
// to change.
func (m *Member) change(ctx context.Context, makeCommand func(*cluster.State) *wirev1.ApplyRules) (cluster.Result, error) {
	var result cluster.Result
	for range maxConflicts {
		if err := m.log.Confirm(ctx); err != nil {
			return result, publicError(err)
		}
		state := m.log.State()
		command := makeCommand(state)
		if command == nil {
			return cluster.Result{Code: cluster.CodeUnchanged, Revision: state.Revision()}, nil
		}
		command.BaseRevision, command.AcceptedUnixMs = state.Revision(), time.Now().UnixMilli()
		var err error
		result, err = m.log.Propose(ctx, &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: command}})
		switch {
		case err != nil:
			return result, publicError(err)
		case result.Code == cluster.CodeInvalid:
			return result, fmt.Errorf("%w: %s", ErrInvalidDocument, result.Message)
		case result.Code != cluster.CodeConflict:
			return result, nil
		}
	}
	return result, errors.Errorf("%d other changes came first", maxConflicts)
}

func publicError(err error) error {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Operator: notLeader.OperatorAddress}
	}
	return err
}

// zoneOf returns the zone that a line of the rules is about, empty if none.
func zoneOf(line string) string {
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "zone" {
		return ""
	}
	return words[1]
}

// zoneLines returns the zone rules of a text.
func zoneLines(text string) []string {
	var zones []string
	for line := range strings.Lines(text) {
		if zoneOf(line) != "" {
			zones = append(zones, line)
		}
	}
	return zones
}

func withoutZones(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if zoneOf(line) == "" {
			b.WriteString(line)
		}
	}
	return b.String()
}

func withZones(text string, zones []string) string {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text + strings.Join(zones, "")
}
