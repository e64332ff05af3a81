// Package placement decides which node owns which partition.
package placement

import "time"

// Server is a backend server with its node, as a candidate owner.
type Server struct {
	Incarnation      uint64
	Name             string
	AvailabilityZone string
	// Weight is the server's share of load, usually its slots.
	Weight float64
	// Capacity is the rate in requests per second that the server sustains, 0 if
	// it is not known.
	Capacity float64
	Cold     bool
	// Leaving servers are draining or in an availability zone taken out.
	Leaving bool
	// LeaveReason is the reason of moves away from a leaving server. Empty
	// means ReasonDrain.
	LeaveReason Reason
	// WarmUpTimeout is how long partitions may wait at a leaving server for
	// others to warm up. 0 means Config.WarmUpTimeout.
	WarmUpTimeout time.Duration
	// Lost servers have no lease; their partitions may be taken.
	Lost bool
}

// Partition is one partition as the control leader sees it.
type Partition struct {
	Number uint32
	// Owner is the owner's incarnation, 0 for none.
	Owner uint64
	Epoch uint64
	// Load is the smoothed rate in requests per second.
	Load float64
	// PinnedTo is an incarnation, 0 for none.
	PinnedTo uint64
	// Moving partitions have a planned move in flight.
	Moving bool
	// MovingTo is the incarnation that a moving partition goes to.
	MovingTo uint64
	// MoveDeferred partitions are not moved while their owner lives, because a move
	// was put off a short time ago.
	MoveDeferred bool
}

// View is the input of a plan for one upstream.
type View struct {
	Upstream string
	// LoadsUnknown keeps the planner from evening out load, because the loads
	// have not been observed for long enough.
	LoadsUnknown bool
	Servers      []Server
	Partitions   []Partition
}

// Reason says why a partition is moved.
type Reason string

// Reasons of moves.
const (
	ReasonFirstAssignment Reason = "firstAssignment"
	ReasonOwnerLost       Reason = "ownerLost"
	ReasonDrain           Reason = "drain"
	ReasonZoneOut         Reason = "zoneOut"
	ReasonPin             Reason = "pin"
	ReasonRebalance       Reason = "rebalance"
	ReasonReturn          Reason = "return"
)

// Move is a decision to give a partition to another owner.
type Move struct {
	Partition uint32
	From      uint64
	To        uint64
	// Epoch is the epoch of the assignment that the move replaces.
	Epoch  uint64
	Reason Reason
	// Planned moves need a release by the current owner first.
	Planned bool
}
