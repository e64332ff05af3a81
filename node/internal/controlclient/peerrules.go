package controlclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// askInterval is the time between two rounds of questions: rules that nodes in
	// touch with control have are here within one of them.
	askInterval = 250 * time.Millisecond
	// askNodes is the number of nodes that are asked in a round: some may be cut off
	// as well.
	askNodes = 3
)

// Peers are the other nodes, as far as they know rules.
type Peers interface {
	// FetchRules asks the node at an address for rules newer than a revision.
	FetchRules(ctx context.Context, address string, revision uint64) (*wirev1.PeerRules, error)
}

// rulesLoop takes newer rules from other nodes while control is silent: a node
// that control cannot reach still takes callers, and others refuse what it
// decides by rules that are out of force.
func (s *Session) rulesLoop(ctx context.Context) {
	for sleep(ctx, askInterval) {
		if s.cfg.View.SinceConfirmation(s.cfg.Clock.Now()) > s.cfg.FetchRulesAfter {
			s.askPeers(ctx)
		}
	}
}

// askPeers asks some nodes in random order until one has newer rules or has
// heard control lately.
func (s *Session) askPeers(ctx context.Context) {
	addresses := slices.DeleteFunc(s.cfg.View.Table().PeerAddresses(), func(a string) bool { return a == s.cfg.Node.GetPeerAddress() })
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	for _, address := range addresses[:min(len(addresses), askNodes)] {
		asked := s.cfg.Clock.Now()
		answer, err := s.cfg.Peers.FetchRules(ctx, address, s.cfg.View.Table().Revision())
		if err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", address).Msg("no rules from another node")
			continue
		}
		if r := answer.GetRules(); r != nil && !s.adoptRules(ctx, r, address) {
			continue
		}
		if silence := time.Duration(answer.GetSilenceMs()) * time.Millisecond; silence < s.cfg.FetchRulesAfter {
			s.cfg.View.RecordConfirmation(asked.Add(-silence))
			return
		}
	}
}

// adoptRules puts rules in force that another node has, and reports whether those
// or later ones are. Nodes and owners stay as they are: request ids come with
// them, and only from control.
func (s *Session) adoptRules(ctx context.Context, r *wirev1.RulesRevision, from string) bool {
	s.tables.Lock()
	defer s.tables.Unlock()
	old := s.cfg.View.Table()
	t, err := old.With(&wirev1.Update{Index: old.Index(), Rules: r})
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("peer", from).Msg("rules of another node cannot be read; the earlier revision stays in force")
		return false
	}
	if t.Revision() == old.Revision() {
		return true
	}
	s.cfg.Log.Info().Uint64("rulesRevision", t.Revision()).Uint64("index", t.Index()).Str("peer", from).Msg("rules in force")
	s.putInForce(ctx, t)
	return true
}
