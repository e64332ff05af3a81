package controlclient

import (
	"math/rand/v2"
	"time"
)

// Backoffs before registrations. Many nodes lose their leases or fail to
// register at the same moment. Their next attempts must not coincide again.
const (
	// maxRegisterBackoff bounds the backoff after failed registrations.
	maxRegisterBackoff = 400 * time.Millisecond
	// maxElectionBackoff bounds it after a member answered that it knows no leader: an
	// election takes 300 to 600 ms, and an answer takes a member about 0.1 ms.
	maxElectionBackoff = 250 * time.Millisecond
	// rejoinBackoff and maxRejoinBackoff are the longest backoffs after the first
	// and after many losses of the lease in quick succession.
	rejoinBackoff    = 100 * time.Millisecond
	maxRejoinBackoff = 2 * time.Second
	// stableLeaseTime is how long a lease must have been held for its loss to
	// count as the first one.
	stableLeaseTime = 10 * time.Second
)

// Backoffs before retries of renewals and watch streams.
const (
	// retryBackoffPerNode is added to the longest backoff for each node. When the
	// leader is lost, all nodes together then make about 500 attempts per second,
	// independent of their number. Each attempt opens a connection to the next
	// leader.
	retryBackoffPerNode = 4 * time.Millisecond
	// minLeaseTries is the number of longest backoffs that fit in the remaining
	// time of the lease.
	minLeaseTries = 4
)

// maxSoonHints is the number of leader hints in a row that a node follows soon.
const maxSoonHints = 2

// maxReportDelay bounds the delay before nodes report that new rules are in
// force. The objective is that new rules are in force within 4 s. That leaves
// this time for the reports.
const maxReportDelay = time.Second

// leaseLost is the reason of the end of an incarnation whose lease ran out.
const leaseLost = "leaseLost"

// backendLost is the reason of the end of an incarnation whose backend server
// was lost.
const backendLost = "backendServerLost"

// registerBackoff returns the backoff after a number of failed registrations and a further
// one. A node that has just learnt which member leads asks that one soon; hints is how
// often in a row it learnt that, because two members may each take the other for the leader.
func registerBackoff(failures, hints int, latest failure) time.Duration {
	switch {
	case latest == failureHinted && hints <= maxSoonHints:
		return randomBackoff(minRetryBackoff, 0, minRetryBackoff)
	case latest == failureAnswered:
		return randomBackoff(minRetryBackoff, failures, maxElectionBackoff)
	default:
		return randomBackoff(minRetryBackoff, failures, maxRegisterBackoff)
	}
}

// retryBackoffLimit returns the longest backoff before a retry of a renewal or
// a watch stream, for a number of nodes and the remaining time of the lease.
func retryBackoffLimit(nodes int, remaining time.Duration) time.Duration {
	return max(minRetryBackoff, min(time.Duration(nodes)*retryBackoffPerNode, remaining/minLeaseTries))
}

// retryBackoff returns a random backoff between minRetryBackoff and
// retryBackoffLimit.
func (i *incarnation) retryBackoff() time.Duration {
	i.mu.Lock()
	remaining := i.holder.Expiry().Sub(i.s.cfg.Clock.Now())
	i.mu.Unlock()
	limit := retryBackoffLimit(i.s.cfg.View.Table().NodeCount(), remaining)
	return minRetryBackoff + rand.N(limit-minRetryBackoff+1)
}

// reportDelayLimit returns the longest delay before a number of nodes report
// the same event. The renewals of 300 nodes within 50 ms prevent a leader that
// has a quarter of a core from sending its heartbeats.
func reportDelayLimit(nodes int) time.Duration {
	return min(time.Duration(max(nodes, 1))*retryBackoffPerNode, maxReportDelay)
}

// randomBackoff returns a random backoff above 0 and up to an upper bound. The
// upper bound is the argument first, doubled for each earlier failure, or limit
// if limit is lower.
func randomBackoff(first time.Duration, failures int, limit time.Duration) time.Duration {
	longest := limit
	if failures < 16 {
		longest = min(limit, first<<failures)
	}
	return rand.N(longest) + 1
}
