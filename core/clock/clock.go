// Package clock defines the clock that the decision logic reads the time from.
package clock

import "time"

// Clock returns the current time. Implementations must be safe for concurrent use.
type Clock interface {
	// Now returns a time that never decreases and that advances while the
	// machine is suspended. Only differences between two results are meaningful.
	Now() time.Time
}
