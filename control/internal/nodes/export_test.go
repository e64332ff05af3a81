package nodes

// Sharing is for tests.
var Sharing = sharing

// Turns is for tests.
type Turns = turns

// Take is for tests.
var Take = turns.take
