package leader

import "time"

// Pause is for tests of what a leader with a share of a core does.
func Pause(processor float64, streams, records int) time.Duration {
	return New(Config{Processor: processor}).pause(streams, records)
}
