package controlclient

// NewGroup, Watch, RecordFailure, RecordSuccess and ScaledTimeout export the group.
var (
	NewGroup      = newGroup
	Watch         = (*group).watch
	RecordFailure = (*group).recordFailure
	RecordSuccess = (*group).recordSuccess
	ScaledTimeout = (*group).scaledTimeout
)

// RandomBackoff exports randomBackoff.
var RandomBackoff = randomBackoff

// RetryBackoffLimit exports retryBackoffLimit.
var RetryBackoffLimit = retryBackoffLimit

// MinRetryBackoff exports minRetryBackoff.
const MinRetryBackoff = minRetryBackoff

// ReportDelayLimit exports reportDelayLimit.
var ReportDelayLimit = reportDelayLimit
