// Package lab runs a complete group in one process on loopback: control members,
// nodes, and a stand-in backend server for each node.
package lab

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/core/lease"
)

// DefaultMembers is the default number of control members.
const DefaultMembers = 3

// Config configures a Lab. Folder and Deployment are required. The zero value of
// any other field selects its default.
type Config struct {
	// Folder is where the data folders of the control members are created.
	Folder     string
	Deployment Deployment
	// Members is the number of control members, default DefaultMembers.
	Members int
	Lease   lease.Config
	// Policy is the policy of keyed upstreams whose rules name none. Default
	// balanced.
	Policy string
	// MovesInFlight and ChurnPerMinute have the same meaning as in the settings
	// of control.
	MovesInFlight  int
	ChurnPerMinute float64
	// PeerFaults routes connections between nodes through fault proxies.
	// SilencePeers needs it.
	PeerFaults bool
	// Logger receives the log lines of all roles. The zero value discards them.
	Logger zerolog.Logger
	// Seed is the seed of the first backend server; each further server adds 1.
	Seed uint64
}

// Deployment describes the backend servers and the rules of one team.
type Deployment struct {
	Name string
	// Zones are the names of the availability zones. Servers are assigned to
	// them in turn.
	Zones     []string
	Upstreams []Upstream
	// Rules is the text of the rules file without zone rules. The Lab appends
	// those.
	Rules string
}

// Upstream is a group of stand-in backend servers.
type Upstream struct {
	Name    string
	Keyed   bool
	Servers int
	// Server is the configuration of each server. The Lab sets its name, zone,
	// addresses, seed and records.
	Server backend.Config
}

// Rahma returns the deployment of Rahma Grants Lab at its present size.
func Rahma() Deployment {
	const slots, connections = 6, 110
	service := backend.Service{Shape: backend.ShapeExponential, Mean: 5 * time.Millisecond}
	return Deployment{
		Name:  "rahma",
		Zones: []string{"amman-1", "amman-2", "amman-3", "amman-4"},
		Upstreams: []Upstream{
			{
				Name: "applications", Keyed: true, Servers: 7,
				Server: backend.Config{
					Slots: slots, Connections: connections, Service: service, ChecksFences: true,
					Calls: []backend.Call{{Share: 0.05, Method: "GET", Path: "/documents/{key}/complete"}},
				},
			},
			{
				Name: "documents", Servers: 4,
				Server: backend.Config{Slots: slots, Connections: connections, Service: service},
			},
		},
		Rules: `upstream applications keyed partitions=1024 slots=6 connections=110 # Lina: one owner for each centre
upstream documents unkeyed slots=6 connections=110 # Lina: any server may store a document
route /applications/ to applications key=segment:2 timeout=5s # Omar: status and deadlines
route /documents/ to documents timeout=30s # Omar: scanned photos
retry applications budget=10% attempts=3 # Samir: no storm of retries
retry documents budget=10% attempts=3 # Samir: no storm of retries
hedge documents budget=5% after=50ms # Samir: stragglers hold up reviewers
`,
	}
}

// Fjordpadle returns the deployment of Fjordpadle Felles AS at its present size.
func Fjordpadle() Deployment {
	const slots, connections = 18, 100
	service := backend.Service{Shape: backend.ShapeExponential, Mean: 5 * time.Millisecond}
	return Deployment{
		Name:  "fjordpadle",
		Zones: []string{"vestland-1", "vestland-2", "vestland-3"},
		Upstreams: []Upstream{
			{
				Name: "waiverDesk", Keyed: true, Servers: 8,
				Server: backend.Config{Slots: slots, Connections: connections, Service: service, ChecksFences: true},
			},
			{
				Name: "rosterStore", Servers: 3,
				Server: backend.Config{
					Slots: slots, Connections: connections, Service: service,
					Calls: []backend.Call{{Share: 0.3, Method: "GET", Path: "/waivers/{key}"}},
				},
			},
		},
		Rules: `upstream waiverDesk keyed partitions=1024 slots=18 connections=100 # Ingrid: one owner for each renter
upstream rosterStore unkeyed slots=18 connections=100 # Ingrid: any server may store a photo
route /waivers/ to waiverDesk key=segment:2 timeout=3s # Kåre: boats wait for this
route /rosters/ to rosterStore timeout=30s # Kåre: rosters and photos
retry waiverDesk budget=10% attempts=3 # Solveig: no storm of retries
retry rosterStore budget=10% attempts=3 # Solveig: no storm of retries
hedge rosterStore budget=5% after=50ms # Ingrid: one slow server in three
`,
	}
}
