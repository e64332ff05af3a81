// Package clock has the clock that decisions are made by.
package clock

import "time"

// Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns a time that never falls and that advances while the machine
	// is suspended. Only differences between two results have a meaning.
	Now() time.Time
}
