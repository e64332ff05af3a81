// Package boottime provides the clock that leases and deadlines are measured with.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads CLOCK_BOOTTIME, which advances while the machine is suspended. The
// zero value is ready to use. It is safe for concurrent use.
type Clock struct{}

// Now returns the time since the machine booted as a time.Time without a
// monotonic clock reading. Only differences between two results are meaningful.
// It panics if the kernel does not support CLOCK_BOOTTIME.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
