package controlclient

import (
	"math/rand/v2"
	"time"
)

// Pauses before registrations. Many nodes lose their leases or fail to register
// at the same moment, and their tries must not meet again.
const (
	// maxRetryPause bounds the pause after failed registrations.
	maxRetryPause = 400 * time.Millisecond
	// rejoinPause and maxRejoinPause are the longest pauses after the first and
	// after many losses of the lease one soon after the other.
	rejoinPause    = 100 * time.Millisecond
	maxRejoinPause = 2 * time.Second
	// steadyAfter is how long a lease must have been held for its loss to count
	// as the first.
	steadyAfter = 10 * time.Second
)

// leaseLost is the reason of the end of an incarnation whose lease ran out.
const leaseLost = "leaseLost"

// backendLost is the reason of the end of an incarnation whose backend server is
// lost.
const backendLost = "backendServerLost"

// spread returns a random pause of up to the first one, doubled with each
// earlier failure, and up to a limit.
func spread(first time.Duration, failures int, limit time.Duration) time.Duration {
	longest := limit
	if failures < 16 {
		longest = min(limit, first<<failures)
	}
	return rand.N(longest) + 1
}
