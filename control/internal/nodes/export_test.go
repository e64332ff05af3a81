package nodes

// Sharing is for tests.
var Sharing = sharing
