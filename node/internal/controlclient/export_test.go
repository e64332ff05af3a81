package controlclient

// NewGroup, Watch, Failure and Succeeded are for tests.
var (
	NewGroup  = newGroup
	Watch     = (*group).watch
	Failure   = (*group).failure
	Succeeded = (*group).succeeded
)

// Spread is for tests.
var Spread = spread
