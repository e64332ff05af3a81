package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/wire/conns"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// Limits of an announcement.
const (
	maxAnnounceBytes = 16 << 10
	announceTimeout  = 5 * time.Second
	maxNameBytes     = 200
	maxSlots         = 1 << 16
	maxConnections   = 1 << 16
)

// announcement is the body of POST /v1/announce.
type announcement struct {
	Name         string `json:"name"`
	Upstream     string `json:"upstream"`
	Address      string `json:"address"`
	BootID       string `json:"bootId"`
	Slots        uint32 `json:"slots"`
	Connections  uint32 `json:"connections"`
	ChecksFences bool   `json:"checksFences"`
	// ClockMs is the reading of the backend server's monotonic clock in ms, 0
	// if it does not report one.
	ClockMs int64 `json:"clockMs"`
}

// leave is the body of POST /v1/leave.
type leave struct {
	Name   string `json:"name"`
	BootID string `json:"bootId"`
}

// leaveState is the response to POST /v1/leave.
type leaveState struct {
	// Done is true once the backend server owns nothing and runs nothing.
	Done       bool `json:"done"`
	Partitions int  `json:"partitions"`
	InFlight   int  `json:"inFlight"`
}

// Handler serves the backend server's calls to the node: POST /v1/announce and
// POST /v1/leave.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if !decode(w, r, &a) {
			return
		}
		if err := s.announce(a); err != nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		reply(w, http.StatusOK, map[string]bool{"accepted": true})
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		var l leave
		if !decode(w, r, &l) {
			return
		}
		state, err := s.leave(l)
		if err != nil {
			reply(w, http.StatusConflict, map[string]string{"error": err.Error()})
			return
		}
		reply(w, http.StatusOK, state)
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(target); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "body is not the expected JSON: " + err.Error()})
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the backend server has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (a announcement) check() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address: expected IP address and port: %w", err)
	}
	switch {
	case a.Name == "" || len(a.Name) > maxNameBytes:
		return errors.Errorf("name: expected 1 to %d bytes", maxNameBytes)
	case a.Upstream == "" || len(a.Upstream) > maxNameBytes:
		return errors.Errorf("upstream: expected 1 to %d bytes", maxNameBytes)
	case a.BootID == "" || len(a.BootID) > maxNameBytes:
		return errors.Errorf("bootId: expected 1 to %d bytes", maxNameBytes)
	case a.Slots == 0 || a.Slots > maxSlots:
		return errors.Errorf("slots: expected 1 to %d", maxSlots)
	case a.ClockMs < 0:
		return errors.New("clockMs: expected 0 or more")
	case a.Connections == 0 || a.Connections > maxConnections:
		return errors.Errorf("connections: expected 1 to %d", maxConnections)
	}
	return nil
}

// announce applies an announcement. A second backend server is refused until
// the first one is lost, because a node serves exactly one.
func (s *Server) announce(a announcement) error {
	if err := a.check(); err != nil {
		return err
	}
	b := &wirev1.BackendServer{
		Name: a.Name, Upstream: a.Upstream, Address: a.Address, BootId: a.BootID,
		Slots: a.Slots, Connections: a.Connections, ChecksFences: a.ChecksFences,
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	old := s.announced
	if old != nil && !s.lost && old.GetName() != a.Name {
		s.mu.Unlock()
		return errors.Errorf("name: this node already serves the backend server %q", old.GetName())
	}
	started := old == nil || old.GetBootId() != a.BootID
	b.Leaving = !started && old.GetLeaving()
	changed := s.lost || !proto.Equal(old, b)
	s.announced, s.lastContact, s.lost = b, now, false
	if started {
		s.leaving, s.leavingStored = false, false
	}
	s.mu.Unlock()
	s.grants.setServerClock(now, a.ClockMs)
	if !changed {
		return nil
	}
	s.log.Info().Str("name", a.Name).Str("upstream", a.Upstream).Str("address", a.Address).Str("bootId", a.BootID).
		Bool("started", started).Msg("backend server announced")
	s.applyConfig(started)
	if started {
		s.admission.backendStarted(a.BootID)
	}
	s.cfg.OnChange()
	return nil
}

// leave records that the backend server wants to stop. The backend server
// repeats the call until the response has Done set.
func (s *Server) leave(l leave) (leaveState, error) {
	s.mu.Lock()
	b := s.announced
	if b == nil || b.GetName() != l.Name || b.GetBootId() != l.BootID {
		s.mu.Unlock()
		return leaveState{}, errors.New("no backend server of this name and bootId is announced")
	}
	first := s.recordLeaving(s.cfg.Clock.Now(), true, true)
	s.mu.Unlock()
	if first {
		s.log.Info().Str("name", l.Name).Msg("backend server leaves")
		s.cfg.OnChange()
	}
	_, used := s.pool.counts()
	state := leaveState{Partitions: s.countPartitions(), InFlight: used}
	state.Done = state.Partitions == 0 && state.InFlight == 0
	return state, nil
}

// HTTPServer returns an HTTP server for Handler.
func (s *Server) HTTPServer() *conns.Server {
	return conns.Bound(&http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: announceTimeout, ReadTimeout: announceTimeout, MaxHeaderBytes: maxAnnounceBytes,
	}, conns.Config{})
}

// IsAddress reports whether a is the IP address of the backend server.
func (s *Server) IsAddress(a netip.Addr) bool {
	b := s.Announced()
	if b == nil {
		return false
	}
	own, err := netip.ParseAddrPort(b.GetAddress())
	return err == nil && own.Addr().Unmap() == a
}
