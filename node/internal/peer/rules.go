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
	// rulesPath is followed by the revision that the asking node has.
	rulesPath = "/jujubeknot/rules/"
	// rulesTimeout is several times the way between availability zones.
	rulesTimeout = 200 * time.Millisecond
	// rulesBytes bounds the rules that a node takes from another one: those of
	// 10,000 lines have 830 KB.
	maxRulesBytes = 4 << 20
)

// FetchRules asks the node at an address for rules newer than a revision. Rules are
// not set in the answer if there are none.
func (p *Client) FetchRules(ctx context.Context, address string, revision uint64) (*wirev1.PeerRules, error) {
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+rulesPath+strconv.FormatUint(revision, 10), nil)
	if err != nil {
		return nil, fmt.Errorf("rules of another node: %w", err)
	}
	p.setCredentials(q.Header)
	response, err := p.pooled.RoundTrip(q)
	if err != nil {
		return nil, fmt.Errorf("rules of another node: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("rules of another node: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRulesBytes))
	if err != nil {
		return nil, fmt.Errorf("rules of another node: %w", err)
	}
	answer := &wirev1.PeerRules{}
	if err := proto.Unmarshal(body, answer); err != nil {
		return nil, fmt.Errorf("rules of another node: %w", err)
	}
	return answer, nil
}

// rules answers a node that asks for rules newer than its own.
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
		h.Log.Error().Err(err).Msg("rules for another node cannot be encoded")
		http.Error(w, "rules cannot be encoded", http.StatusInternalServerError)
		return
	}
	// A failed write means that the other node asks again.
	_, _ = w.Write(answer)
}
