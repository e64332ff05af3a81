package caller

import (
	"github.com/jujubeknot/jujubeknot/core/comeback"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// refuseWithoutRules returns the refusal of a request for which the node has no current
// rules. Before the first ones, it says when the node probably has some.
func (h *Handler) refuseWithoutRules(t *routing.Table) *outcome.Refusal {
	refusal := relay.NotRun(outcome.ReasonNoRules)
	if !t.HasRoutes() {
		refusal.RetryAfter = comeback.ReturnAfter(h.cfg.Clock.Now().Sub(h.started))
	}
	return refusal
}
