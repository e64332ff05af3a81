package controlclient

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// fetchRulesInterval is the time between two rounds of requests. New rules
	// that connected nodes have received from control reach this node within one
	// round.
	fetchRulesInterval = 250 * time.Millisecond
	// fetchRulesNodes is the number of nodes that get a request in one round. It
	// is more than one because some of them may be disconnected from control as
	// well.
	fetchRulesNodes = 3
)

// Peers fetches rules from other nodes.
type Peers interface {
	// FetchRules requests rules that are newer than a revision from the node at an
	// address.
	FetchRules(ctx context.Context, address string, revision uint64) (*wirev1.PeerRules, error)
}

// peerRulesLoop fetches newer rules from other nodes while control has not
// confirmed the node's state for FetchRulesAfter. A node without a connection
// to control still accepts callers, and other nodes refuse calls that it routes
// by outdated rules.
func (s *Session) peerRulesLoop(ctx context.Context) {
	for sleep(ctx, fetchRulesInterval) {
		if s.cfg.View.SinceConfirmation(s.cfg.Clock.Now()) > s.cfg.FetchRulesAfter {
			s.fetchPeerRules(ctx)
		}
	}
}

// fetchPeerRules requests rules from some nodes in random order until one of
// them has had a confirmation by control within FetchRulesAfter.
func (s *Session) fetchPeerRules(ctx context.Context) {
	addresses := slices.DeleteFunc(s.cfg.View.Table().PeerAddresses(), func(a string) bool { return a == s.cfg.Node.GetPeerAddress() })
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	for _, address := range addresses[:min(len(addresses), fetchRulesNodes)] {
		sent := s.cfg.Clock.Now()
		response, err := s.cfg.Peers.FetchRules(ctx, address, s.cfg.View.Table().Revision())
		if err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", address).Msg("cannot fetch rules from another node")
			continue
		}
		if r := response.GetRules(); r != nil && !s.adoptRules(r, address) {
			continue
		}
		if silence := time.Duration(response.GetSilenceMs()) * time.Millisecond; silence < s.cfg.FetchRulesAfter {
			s.cfg.View.RecordConfirmation(sent.Add(-silence))
			return
		}
	}
}

// adoptRules puts rules of another node in force, and reports whether those or
// later ones are in force. It does not change nodes and owners, because their
// changes come with request ids, which only control sends.
func (s *Session) adoptRules(r *wirev1.RulesRevision, from string) bool {
	s.tableMu.Lock()
	defer s.tableMu.Unlock()
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
	s.putInForce(t)
	return true
}
