// Package slope measures how cost grows with the number of nodes: what control
// members and nodes use while they run as separate processes, and how long rule
// changes and the loss of nodes take.
package slope

import "github.com/jujubeknot/jujubeknot/bench/procfs"

// rate is what a process used between two samples.
type rate struct {
	// cores is the processor time used, 1 for one fully used core.
	cores float64
	// resident and peak are bytes of memory at the second sample.
	resident, peak                      uint64
	inBytesPerSecond, outBytesPerSecond float64
	inBytes, outBytes                   uint64
}

// usageRate returns the usage between two samples, a and the later b.
func usageRate(a, b procfs.Usage) rate {
	s := b.At.Sub(a.At).Seconds()
	return rate{
		cores: (b.Processor - a.Processor).Seconds() / s, resident: b.Resident, peak: b.Peak,
		inBytesPerSecond: float64(b.In-a.In) / s, outBytesPerSecond: float64(b.Out-a.Out) / s, inBytes: b.In - a.In, outBytes: b.Out - a.Out,
	}
}
