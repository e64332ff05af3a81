package node

import (
	"encoding/json"
	"runtime"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/quota"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
)

// vars are the metrics that the operator port returns as JSON.
type vars struct {
	Node             string          `json:"node"`
	UptimeMs         int64           `json:"uptimeMs"`
	Requests         json.RawMessage `json:"requests"`
	Organisations    json.RawMessage `json:"organisations"`
	Attempts         json.RawMessage `json:"attempts"`
	Dropped          json.RawMessage `json:"droppedCallers"`
	InFlight         int64           `json:"inFlight"`
	InFlightLimit    int64           `json:"inFlightLimit"`
	Callers          callerVars      `json:"callers"`
	LatencyMicros    metrics.Latency `json:"latencyMicros"`
	Backend          backend.Stats   `json:"backend"`
	PeerConnections  int             `json:"peerConnections"`
	Lease            leaseVars       `json:"lease"`
	TableIndex       uint64          `json:"tableIndex"`
	RulesRevision    uint64          `json:"rulesRevision"`
	Nodes            int             `json:"nodes"`
	Partitions       int             `json:"partitions"`
	RequestIDs       int             `json:"requestIds"`
	RequestIDBytes   int64           `json:"requestIdBytes"`
	Goroutines       int             `json:"goroutines"`
	HeapBytes        uint64          `json:"heapBytes"`
	AvailabilityZone string          `json:"availabilityZone"`
	OmittedLogLines  uint64          `json:"omittedLogLines"`
	Quota            quota.Stats     `json:"quota"`
	// CertificateExpiry is an RFC 3339 time, omitted without TLS for callers.
	CertificateExpiry string `json:"certificateEnds,omitempty"`
}

type callerVars struct {
	Connections       int64 `json:"connections"`
	ConnectionsClosed int64 `json:"connectionsClosed"`
	MemoryBytes       int64 `json:"memoryBytes"`
	MemoryLimitBytes  int64 `json:"memoryLimitBytes"`
}

type leaseVars struct {
	Incarnation uint64 `json:"incarnation"`
	Valid       bool   `json:"valid"`
	RemainingMs int64  `json:"leftMs"`
}

func (n *Node) vars() any {
	now, i, t := boottime.Clock{}.Now(), n.view.Identity(), n.view.Table()
	v := vars{
		Node: n.cfg.Name, AvailabilityZone: n.cfg.AvailabilityZone, UptimeMs: now.Sub(n.started).Milliseconds(),
		Requests: json.RawMessage(n.metrics.Requests.String()), Organisations: json.RawMessage(n.metrics.Organisations.String()), Attempts: json.RawMessage(n.metrics.Attempts.String()),
		Dropped:  json.RawMessage(n.metrics.Dropped.String()),
		InFlight: n.metrics.InFlight.Load(), LatencyMicros: n.metrics.Latency(), Backend: n.backend.Stats(),
		PeerConnections: n.peers.Connections(), TableIndex: t.Index(), RulesRevision: t.Revision(), Nodes: t.NodeCount(),
		Partitions: n.owner.Partitions(), Goroutines: runtime.NumGoroutine(),
		OmittedLogLines: n.sample.Omitted(), Quota: n.quota.Stats(),
		Lease: leaseVars{Incarnation: i.Incarnation, Valid: n.view.HasLease(now), RemainingMs: max(i.LeaseExpiry.Sub(now).Milliseconds(), 0)},
	}
	v.InFlightLimit, _ = n.pressure.Limit()
	v.Callers = callerVars{n.metrics.Connections.Load(), n.metrics.ConnectionsClosed.Value(), n.ledger.Used(), n.cfg.CallerMemory}
	v.RequestIDs, v.RequestIDBytes = n.owner.RequestIDs()
	if n.certificates != nil {
		v.CertificateExpiry = n.certificates.Expires().UTC().Format(time.RFC3339)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	v.HeapBytes = m.HeapAlloc
	return v
}
