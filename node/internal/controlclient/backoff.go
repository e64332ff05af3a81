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

// Pauses before renewals and watch streams are tried again.
const (
	// retryShare is added to the longest pause for each node: when the leader is
	// lost, all nodes together try about 500 times a second, however many they
	// are. Each of them opens a connection to the next leader.
	retryShare = 4 * time.Millisecond
	// leaseTries is how many such pauses fit in what is left of the lease.
	leaseTries = 4
)

// longestTogether bounds the pause before nodes report together that new rules
// are in force, to what "in force within 4 s" leaves room for.
const longestTogether = time.Second

// leaseLost is the reason of the end of an incarnation whose lease ran out.
const leaseLost = "leaseLost"

// backendLost is the reason of the end of an incarnation whose backend server is
// lost.
const backendLost = "backendServerLost"

// retryLimit returns the longest pause before a renewal or a watch stream is
// tried again, for a number of nodes and with some time left of the lease.
func retryLimit(nodes int, left time.Duration) time.Duration {
	return max(retryPause, min(time.Duration(nodes)*retryShare, left/leaseTries))
}

// retryAfter returns a random pause between retryPause and the limit.
func (i *incarnation) retryAfter() time.Duration {
	i.mu.Lock()
	left := i.holder.Expiry().Sub(i.s.cfg.Clock.Now())
	i.mu.Unlock()
	limit := retryLimit(i.s.cfg.View.Table().NodeCount(), left)
	return retryPause + rand.N(limit-retryPause+1)
}

// togetherLimit returns the longest pause before a number of nodes report the same
// event: the renewals of 300 nodes within 50 ms keep a leader on a quarter of a
// core from its heartbeats.
func togetherLimit(nodes int) time.Duration {
	return min(time.Duration(max(nodes, 1))*retryShare, longestTogether)
}

// spread returns a random pause of up to the first one, doubled with each
// earlier failure, and up to a limit.
func spread(first time.Duration, failures int, limit time.Duration) time.Duration {
	longest := limit
	if failures < 16 {
		longest = min(limit, first<<failures)
	}
	return rand.N(longest) + 1
}
