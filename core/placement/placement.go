// Package placement decides which node owns which partition. It plans the moves
// of partitions between backend servers from their load, weight and state.
package placement

import "time"

// Server is a backend server and its node, as a candidate owner of partitions.
type Server struct {
	Incarnation      uint64
	Name             string
	AvailabilityZone string
	// Weight is the relative share of the load that the server should get, usually
	// its number of slots. Values of 0 and below count as 1.
	Weight float64
	// Capacity is the rate in requests/s that the server sustains, 0 if unknown.
	Capacity float64
	// Slots is the number of requests that the server runs at a time. 0 means
	// Weight.
	Slots float64
	// Cold servers are in cold start and get only a limited rate.
	Cold bool
	// Leaving servers are draining or in an availability zone that is taken out of
	// use. They get no partitions and those they have are moved away.
	Leaving bool
	// LeaveReason is the reason given for moves away from a leaving server. Empty
	// means ReasonDrain.
	LeaveReason Reason
	// WarmUpTimeout is how long partitions may stay at a leaving server until
	// other servers have warmed up. 0 means Config.WarmUpTimeout.
	WarmUpTimeout time.Duration
	// Lost servers have no lease, so their partitions may be reassigned at once.
	Lost bool
}

// Partition is the state of one partition as the control leader sees it.
type Partition struct {
	Number uint32
	// Owner is the incarnation of the owner, 0 for none.
	Owner uint64
	Epoch uint64
	// Load is the smoothed request rate in requests/s.
	Load float64
	// HotSince is since when the partition has got far more than its share of the
	// load, zero if it does not.
	HotSince time.Time
	// PinnedTo is the incarnation that the partition is pinned to, 0 for none.
	PinnedTo uint64
	// Moving reports whether a planned move of the partition is in flight.
	Moving bool
	// MovingTo is the incarnation of the target of that move.
	MovingTo uint64
	// MoveDeferred keeps the partition at its owner while the owner is alive,
	// because a planned move of the partition was put off a short time ago.
	MoveDeferred bool
}

// View is the input of the plan for one upstream.
type View struct {
	Upstream string
	// LoadsUnknown disables rebalancing, because the loads have not been observed
	// for long enough.
	LoadsUnknown bool
	// PeakRatio is the ratio of the expected peak of the load of the partitions that
	// are not hot to their load now. Values below 1 count as 1.
	PeakRatio  float64
	Servers    []Server
	Partitions []Partition
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
	// ReasonHotKey moves a hot partition to a server that bears it.
	ReasonHotKey Reason = "hotKey"
	// ReasonRelief moves other partitions away from a server whose load is above
	// what it sustains.
	ReasonRelief Reason = "relief"
)

// Move is the decision to assign a partition to another owner.
type Move struct {
	Partition uint32
	// From is the incarnation of the current owner, 0 for none. To is the
	// incarnation of the new one.
	From uint64
	To   uint64
	// Epoch is the epoch of the assignment that the move replaces.
	Epoch  uint64
	Reason Reason
	// Gain is the waiting time that callers are expected to be spared by the move,
	// less the waiting time that it costs them. It is 0 for moves that were not
	// decided by it.
	Gain time.Duration
	// Planned moves take effect only after the current owner has released the
	// partition.
	Planned bool
}
