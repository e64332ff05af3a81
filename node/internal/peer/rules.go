package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	// rulesPath is followed by the rules revision of the requesting node.
	rulesPath = "/jujubeknot/rules/"
	// rulesTimeout is several times the network latency between availability
	// zones.
	rulesTimeout = 200 * time.Millisecond
	// maxRulesBytes limits the encoded rules that a node accepts from another
	// one. Rules of 10,000 lines have 830 KB.
	maxRulesBytes = 4 << 20
)

// FetchRules requests rules newer than a revision from the node at an address.
// The response has no Rules if that node has no such rules.
func (p *Client) FetchRules(ctx context.Context, address string, revision uint64) (*wirev1.PeerRules, error) {
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+rulesPath+strconv.FormatUint(revision, 10), nil)
	if err != nil {
		return nil, fmt.Errorf("fetch rules from node: %w", err)
	}
	p.setCredentials(q.Header)
	response, err := p.pooled.RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("fetch rules from node: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetch rules from node: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRulesBytes))
	if err != nil {
		return nil, fmt.Errorf("fetch rules from node: %w", err)
	}
	answer := &wirev1.PeerRules{}
	if err := proto.Unmarshal(body, answer); err != nil {
		return nil, fmt.Errorf("fetch rules from node: %w", err)
	}
	return answer, nil
}

// rules serves a request for rules newer than a revision.
func (h *Handler) rules(w http.ResponseWriter, revision string) {
	known, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		http.Error(w, "expected a revision", http.StatusBadRequest)
		return
	}
	silence := h.View.SinceConfirmation(h.Clock.Now()).Milliseconds()
	answer, err := proto.Marshal(&wirev1.PeerRules{
		Rules: h.View.Table().RulesNewerThan(known), SilenceMs: uint32(min(max(silence, 0), maxRemaining.Milliseconds())),
	})
	if err != nil {
		h.Log.Error().Err(err).Msg("rules for a node cannot be encoded")
		http.Error(w, "rules cannot be encoded", http.StatusInternalServerError)
		return
	}
	// If the write fails, the other node requests the rules again.
	_, _ = w.Write(answer)
}
