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

// variables serves expvar's variables and this member's own. They are not
// published under global names, because one process may run several members.
func (m *Member) variables() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]json.RawMessage{}
		expvar.Do(func(v expvar.KeyValue) {
			all[v.Key] = json.RawMessage(v.Value.String())
		})
		own, err := json.Marshal(m.figures())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		all["control"] = own
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// The connection is gone if writing fails; there is no one to tell.
		_ = json.NewEncoder(w).Encode(all)
	})
}

// figures returns this member's own variables.
func (m *Member) figures() map[string]any {
	leadership, state := m.log.Leadership(), m.log.State()
	return map[string]any{
		"name": m.config.Name, "memberId": m.config.MemberID, "leading": leadership.Leading, "leader": leadership.LeaderID,
		"term": leadership.Term, "index": state.Index(), "rulesRevision": state.Revision(), "nodes": state.NodeCount(),
		"members": len(m.log.Addresses()), "documentVersion": state.Document().GetVersion(), "goroutines": runtime.NumGoroutine(),
	}
}

// WriteMetrics writes the member's figures in the text format that monitoring
// tools read. It is safe for concurrent use.
func (m *Member) WriteMetrics(w io.Writer) error {
	if err := exposition.Write(w, "jujubeknot_control", m.figures(), nil); err != nil {
		return fmt.Errorf("metrics of the member: %w", err)
	}
	return nil
}
