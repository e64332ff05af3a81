package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	"github.com/jujubeknot/jujubeknot/core/cluster"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// maxChangeAttempts limits the attempts at one change of the rules. An attempt
// fails with a conflict if another change was accepted concurrently.
const maxChangeAttempts = 32

// Document is a configuration in a format that the operator chooses.
type Document struct {
	// Version is assigned by the operator. A document replaces only documents
	// with a lower version.
	Version uint64
	// Content is stored and returned unchanged.
	Content []byte
	// Rules is the rules text made from the document. It has no zone rules: the
	// zone rules in force are kept.
	Rules string
}

// NotLeaderError is returned for a request that only the leader can serve.
type NotLeaderError struct {
	// OperatorAddress is the address at which operators reach the leader, empty if
	// unknown.
	OperatorAddress string
}

// Error returns the message with the address of the leader, if it is known.
func (e *NotLeaderError) Error() string {
	if e.OperatorAddress == "" {
		return "not the leader; no leader known"
	}
	return "not the leader; operators reach it at " + e.OperatorAddress
}

// ErrInvalidDocument is wrapped by the error for a document that cannot be
// accepted by any attempt.
var ErrInvalidDocument = errors.New("invalid document")

// ApplyDocument puts a document in force and returns once the change is
// durable. A document whose version is not above that of the stored one changes
// nothing, so a call may be repeated. It is safe for concurrent use.
func (m *Member) ApplyDocument(ctx context.Context, d Document) error {
	if _, faults := rules.Parse(d.Rules); faults.Err() != nil {
		return fmt.Errorf("%w: %s", ErrInvalidDocument, faults.Error())
	}
	result, waited, err := m.change(ctx, func(state *cluster.State) *wirev1.ApplyRules {
		if d.Version <= state.Document().GetVersion() {
			return nil
		}
		return &wirev1.ApplyRules{
			Text: withZoneRules(d.Rules, zoneRules(state.Rules().GetText())), Author: "document",
			Document: &wirev1.RulesDocument{Version: d.Version, Content: d.Content},
		}
	})
	m.config.Logger.Info().Err(err).Uint64("version", d.Version).Uint64("revision", result.Revision).Stringer("result", result.Code).EmbedObject(waited).Msg("document")
	return err
}

// Document returns the newest document after a quorum has confirmed that there
// is no newer one. Version is 0 if there is none yet. It is safe for concurrent
// use.
func (m *Member) Document(ctx context.Context) (Document, error) {
	if err := m.log.Confirm(ctx); err != nil {
		return Document{}, publicError(err)
	}
	d := m.log.State().Document()
	return Document{Version: d.GetVersion(), Content: d.GetContent()}, nil
}

// SetZone takes an availability zone out of service if out is true, else puts
// it back in service. It returns once the change is durable. A repeated call
// changes nothing. It is safe for concurrent use.
func (m *Member) SetZone(ctx context.Context, zone string, out bool) error {
	line := "zone " + zone + " out  # operator: taken out of service\n"
	if _, faults := rules.Parse(line); faults.Err() != nil {
		return fmt.Errorf("%w: %s", ErrInvalidDocument, faults.Error())
	}
	result, waited, err := m.change(ctx, func(state *cluster.State) *wirev1.ApplyRules {
		text := state.Rules().GetText()
		var zones []string
		for _, l := range zoneRules(text) {
			if zoneOfRule(l) != zone {
				zones = append(zones, l)
			}
		}
		if out {
			zones = append(zones, line)
		}
		return &wirev1.ApplyRules{Text: withZoneRules(withoutZoneRules(text), zones), Author: "operator"}
	})
	m.config.Logger.Info().Err(err).Str("zone", zone).Bool("out", out).Uint64("revision", result.Revision).Stringer("result", result.Code).EmbedObject(waited).Msg("zone")
	return err
}

// waits has the time that a change of the rules spent in each wait, over all its
// attempts.
type waits struct {
	// confirm is the time until a quorum had confirmed that this member leads, and
	// commit that until the change was synced by a quorum and applied.
	confirm, commit time.Duration
	conflicts       int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (w waits) MarshalZerologObject(e *zerolog.Event) {
	e.Dur("confirmTook", w.confirm).Dur("commitTook", w.commit).Int("conflicts", w.conflicts)
}

// change proposes the command that makeCommand returns for the current state.
// After a conflict it calls makeCommand again with the newer state. Nil from
// makeCommand means that there is nothing to change.
func (m *Member) change(ctx context.Context, makeCommand func(*cluster.State) *wirev1.ApplyRules) (cluster.Result, waits, error) {
	var result cluster.Result
	var w waits
	for range maxChangeAttempts {
		since := time.Now()
		err := m.log.Confirm(ctx)
		w.confirm += time.Since(since)
		if err != nil {
			return result, w, fmt.Errorf("confirmation of leadership: %w", publicError(err))
		}
		state := m.log.State()
		command := makeCommand(state)
		if command == nil {
			return cluster.Result{Code: cluster.CodeUnchanged, Revision: state.Revision()}, w, nil
		}
		command.BaseRevision, command.AcceptedUnixMs = state.Revision(), time.Now().UnixMilli()
		since = time.Now()
		result, err = m.log.Propose(ctx, &wirev1.Command{Kind: &wirev1.Command_ApplyRules{ApplyRules: command}})
		w.commit += time.Since(since)
		switch {
		case err != nil:
			return result, w, fmt.Errorf("commit of the change: %w", publicError(err))
		case result.Code == cluster.CodeInvalid:
			return result, w, fmt.Errorf("%w: %s", ErrInvalidDocument, result.Message)
		case result.Code != cluster.CodeConflict:
			return result, w, nil
		}
		w.conflicts++
	}
	return result, w, errors.Errorf("change of the rules abandoned after %d conflicts with other changes", maxChangeAttempts)
}

// publicError replaces the error types of internal packages by those of this
// package.
func publicError(err error) error {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{OperatorAddress: notLeader.OperatorAddress}
	}
	return err
}

// zoneOfRule returns the zone that a zone rule names, empty for other lines.
func zoneOfRule(line string) string {
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "zone" {
		return ""
	}
	return words[1]
}

// zoneRules returns the lines of a rules text that are zone rules.
func zoneRules(text string) []string {
	var zones []string
	for line := range strings.Lines(text) {
		if zoneOfRule(line) != "" {
			zones = append(zones, line)
		}
	}
	return zones
}

func withoutZoneRules(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if zoneOfRule(line) == "" {
			b.WriteString(line)
		}
	}
	return b.String()
}

func withZoneRules(text string, zones []string) string {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text + strings.Join(zones, "")
}
