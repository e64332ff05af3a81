package control

// OperatorAddress is exported for tests.
var OperatorAddress = operatorAddress
