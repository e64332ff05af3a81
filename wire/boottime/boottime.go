// Package boottime has the clock that leases and deadlines are counted by.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads CLOCK_BOOTTIME, which advances while the machine is suspended.
// The zero value is ready and safe for concurrent use.
type Clock struct{}

// Now returns the time since the machine booted as a time.Time without
// monotonic reading. It panics if the kernel has no such clock.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
