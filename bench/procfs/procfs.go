// Package procfs reads the processor time, memory, and input and output of a
// process from /proc.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of processor time in /proc/PID/stat. It is 10 ms on
// every Linux architecture that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process since its start.
type Usage struct {
	// At is the time of reading.
	At time.Time
	// Processor is the processor time in user and system mode.
	Processor time.Duration
	// Resident is the resident memory in bytes, Peak its maximum so far.
	Resident, Peak uint64
	// In and Out are the bytes of all reads and writes, including files and the
	// wake-ups of the Go scheduler. tools/measure-control counts the bytes of each
	// connection.
	In, Out uint64
}

// ReadUsage reads the usage of a process. The process must belong to the same
// user.
func ReadUsage(pid int) (Usage, error) {
	u := Usage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("read usage of process %d: %w", pid, err)
	}
	// The process name, in parentheses, may contain spaces. User and system time
	// are fields 14 and 15 of the line, and 12 and 13 after the name.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return u, errors.Errorf("process %d: stat has %d fields after the name, expected 13 or more", pid, len(fields))
	}
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("read processor time of process %d: %w", pid, err)
		}
		u.Processor += time.Duration(n) * clockTick
	}
	for _, v := range []struct {
		file, name string
		unit       uint64
		target     *uint64
	}{
		{"status", "VmRSS:", 1024, &u.Resident},
		{"status", "VmHWM:", 1024, &u.Peak},
		{"io", "rchar:", 1, &u.In},
		{"io", "wchar:", 1, &u.Out},
	} {
		n, err := field(pid, v.file, v.name)
		if err != nil {
			return u, err
		}
		*v.target = n * v.unit
	}
	return u, nil
}

// field reads a number from a file of a process that has a name and a value on
// each line. name includes the colon.
func field(pid int, file, name string) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, fmt.Errorf("read usage of process %d: %w", pid, err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, name); found {
			n, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("read %s of process %d: %w", name, pid, err)
			}
			return n, nil
		}
	}
	return 0, errors.Errorf("process %d: no line %s in %s", pid, name, file)
}
