// Package lab runs whole systems on loopback in one process: control members,
// nodes and the stand-in backend servers beside them.
package lab

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/core/lease"
)

// DefaultMembers is the number of control members.
const DefaultMembers = 3

// Config configures a Lab. Folder and Deployment are required; the zero value
// of the others means the default.
type Config struct {
	// Folder takes the data folders of the control members.
	Folder     string
	Deployment Deployment
	// Members is the number of control members, default DefaultMembers.
	Members int
	Lease   lease.Config
	// Policy of keyed upstreams whose rules name none, default balanced.
	Policy string
	// MovesInFlight and ChurnPerMinute are as in control's settings.
	MovesInFlight  int
	ChurnPerMinute float64
	// PeerFaults passes connections between nodes through fault proxies, for
	// SilencePeers.
	PeerFaults bool
	// Logger gets the log lines of all roles. The zero value drops them.
	Logger zerolog.Logger
	Seed   uint64
}

// Deployment is what a team runs.
type Deployment struct {
	Name string
	// Zones are the names of the availability zones; servers take turns.
	Zones     []string
	Upstreams []Upstream
	// Rules is the rules file without zone rules, which the Lab adds.
	Rules string
}

// Upstream is a group of stand-in backend servers.
type Upstream struct {
	Name    string
	Keyed   bool
	Servers int
	// Server is the configuration of each; name, zone, addresses, seed and
	// records are set by the Lab.
	Server backend.Config
}

// Rahma returns the deployment of Rahma Grants Lab at today's size.
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

// Fjordpadle returns the deployment of Fjordpadle Felles AS at today's size.
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
