package backend

import (
	"sync"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// runningCalls has what nested calls take over from the calls that the backend
// server runs, by the request id that it received. A call that states such an id as its parent
// comes from the backend server. It is safe for concurrent use. The zero value
// is ready to use.
type runningCalls struct {
	mu      sync.Mutex
	parents map[string]relay.Parent
}

func (r *runningCalls) add(id string, parent relay.Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parents == nil {
		r.parents = map[string]relay.Parent{}
	}
	r.parents[id] = parent
}

func (r *runningCalls) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.parents, id)
}

// Parent returns what a nested call takes over from the call that the backend server
// runs under a request id. It reports false if the backend server runs no such call.
func (s *Server) Parent(requestID string) (relay.Parent, bool) {
	s.running.mu.Lock()
	defer s.running.mu.Unlock()
	parent, ok := s.running.parents[requestID]
	return parent, ok
}

// receivedID returns the request id that the backend server receives with a
// call.
func (s *Server) receivedID(c *relay.Call) string {
	if s.cfg.Dialect != nil {
		return c.ID
	}
	return c.BackendRequestID()
}
