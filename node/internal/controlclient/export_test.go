package controlclient

// NewGroup, Watch, Failure, Succeeded and Patience are for tests.
var (
	NewGroup  = newGroup
	Watch     = (*group).watch
	Failure   = (*group).failure
	Succeeded = (*group).succeeded
	Patience  = (*group).patience
)

// Spread is for tests.
var Spread = spread
