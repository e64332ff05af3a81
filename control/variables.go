package control

import (
	"encoding/json"
	"expvar"
	"net/http"
	"runtime"
)

// variables serves expvar's variables and this member's own. They are not
// published under global names, because one process may run several members.
func (m *Member) variables() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]json.RawMessage{}
		expvar.Do(func(v expvar.KeyValue) {
			all[v.Key] = json.RawMessage(v.Value.String())
		})
		leadership := m.log.Leadership()
		state := m.log.State()
		own, err := json.Marshal(map[string]any{
			"name": m.config.Name, "memberId": m.config.MemberID, "leading": leadership.Leading, "leader": leadership.Leader,
			"term": leadership.Term, "index": state.Index(), "rulesRevision": state.Revision(), "nodes": state.NodeCount(),
			"goroutines": runtime.NumGoroutine(),
		})
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
