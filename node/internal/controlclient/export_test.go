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

// RetryLimit is for tests.
var RetryLimit = retryLimit

// FirstRetry is the shortest pause.
const FirstRetry = retryPause

// TogetherLimit is for tests.
var TogetherLimit = togetherLimit
