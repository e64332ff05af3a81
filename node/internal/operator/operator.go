// Package operator serves the metrics and the health of a node to operators.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/wire/conns"
)

// MetricsContentType is the content type of GET /metrics.
const MetricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// Limits of the server.
const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = time.Minute
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// Handler serves the operators' port of one node: GET /debug/vars has the
// metrics as JSON in the format of package expvar, GET /metrics has them in the
// Prometheus text format, and GET /healthz reports whether the node is ready.
// The fields must not be changed while it serves.
type Handler struct {
	// Secret is the bearer token that operators must send. If it is empty, only
	// loopback addresses have access.
	Secret string
	// Vars returns the metrics, to be encoded as JSON.
	Vars func() any
	// Metrics writes the metrics in the Prometheus text format.
	Metrics func(io.Writer) error
	// Ready reports whether the node has a lease and a routing table.
	Ready func() bool
}

// Server returns an HTTP server for the handler.
func (h *Handler) Server() *conns.Server {
	return conns.Bound(&http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, conns.Config{})
}

// ServeHTTP serves one request of an operator. Only GET and HEAD are allowed.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.allowed(r) {
		http.Error(w, "operators' port: access is refused", http.StatusForbidden)
		return
	}
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "only GET and HEAD", http.StatusMethodNotAllowed)
	case r.URL.Path == "/debug/vars":
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		// A failed write means that the operator has disconnected.
		_ = e.Encode(h.Vars())
	case r.URL.Path == "/metrics":
		w.Header().Set("Content-Type", MetricsContentType)
		// A failed write means that the operator has disconnected.
		_ = h.Metrics(w)
	case r.URL.Path == "/healthz":
		if !h.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	default:
		http.NotFound(w, r)
	}
}

func (h *Handler) allowed(r *http.Request) bool {
	if h.Secret != "" {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		return ok && subtle.ConstantTimeCompare([]byte(token), []byte(h.Secret)) == 1
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	a, err := netip.ParseAddr(host)
	return err == nil && a.Unmap().IsLoopback()
}
