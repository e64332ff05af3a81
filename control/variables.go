package control

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"runtime"

	"github.com/jujubeknot/jujubeknot/wire/exposition"
)

// variables serves the variables of expvar and the metrics of this member. The
// metrics are not published in expvar, whose names are global, because a
// process may run several members.
func (m *Member) variables() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]json.RawMessage{}
		expvar.Do(func(v expvar.KeyValue) {
			all[v.Key] = json.RawMessage(v.Value.String())
		})
		own, err := json.Marshal(m.metrics())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		all["control"] = own
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A failed write means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(all)
	})
}

// metrics returns the metrics of this member.
func (m *Member) metrics() map[string]any {
	leadership, state := m.log.Leadership(), m.log.State()
	return map[string]any{
		"name": m.config.Name, "memberId": m.config.MemberID, "leading": leadership.Leading, "leader": leadership.LeaderID,
		"term": leadership.Term, "index": state.Index(), "rulesRevision": state.Revision(), "nodes": state.NodeCount(),
		"members": len(m.log.Addresses()), "documentVersion": state.Document().GetVersion(), "goroutines": runtime.NumGoroutine(),
		"placement": m.leader.PlacementCounts(),
	}
}

// WriteMetrics writes the member's metrics in the Prometheus text exposition
// format. It is safe for concurrent use.
func (m *Member) WriteMetrics(w io.Writer) error {
	if err := exposition.Write(w, "jujubeknot_control", m.metrics(), exposition.LabelNames{"moves": "reason"}); err != nil {
		return fmt.Errorf("metrics of the member: %w", err)
	}
	return nil
}
