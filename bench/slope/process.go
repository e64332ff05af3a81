// Package slope measures what running control members and nodes cost, each as
// processes of their own, and how long changes and losses take.
package slope

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

// usage is what a process has used since its start.
type usage struct {
	at        time.Time
	processor time.Duration
	// resident and peak are bytes of memory now and at most.
	resident, peak uint64
	// in and out are bytes of all reads and writes, files and the wake-ups of
	// the Go scheduler included. Bytes by connection are counted by
	// tools/measure-control.
	in, out uint64
}

// look reads the usage of a process.
func look(pid int) (usage, error) {
	u := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	// The name in parentheses may have spaces. User and system time are fields
	// 14 and 15, the 12th and 13th after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return u, errors.Errorf("process %d: stat has %d fields after the name, expected 13 or more", pid, len(fields))
	}
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("processor time of process %d: %w", pid, err)
		}
		u.processor += time.Duration(n) * clockTick
	}
	for _, v := range []struct {
		file, name string
		unit       uint64
		target     *uint64
	}{
		{"status", "VmRSS:", 1024, &u.resident},
		{"status", "VmHWM:", 1024, &u.peak},
		{"io", "rchar:", 1, &u.in},
		{"io", "wchar:", 1, &u.out},
	} {
		n, err := field(pid, v.file, v.name)
		if err != nil {
			return u, err
		}
		*v.target = n * v.unit
	}
	return u, nil
}

// field reads a number from a file of lines with names.
func field(pid int, file, name string) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, name); found {
			n, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("%s of process %d: %w", name, pid, err)
			}
			return n, nil
		}
	}
	return 0, errors.Errorf("process %d: no %s in %s", pid, name, file)
}

// rate is what a process used per second between two looks.
type rate struct {
	// cores is the share of one core.
	cores            float64
	resident, peak   uint64
	inPerS, outPerS  float64
	inBytes, outByte uint64
}

func between(a, b usage) rate {
	s := b.at.Sub(a.at).Seconds()
	return rate{
		cores: (b.processor - a.processor).Seconds() / s, resident: b.resident, peak: b.peak,
		inPerS: float64(b.in-a.in) / s, outPerS: float64(b.out-a.out) / s, inBytes: b.in - a.in, outByte: b.out - a.out,
	}
}
