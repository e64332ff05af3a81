package control

// ReachableOperatorAddress is exported for tests.
var ReachableOperatorAddress = reachableOperatorAddress
