// Package slope measures what running control members and nodes cost, each as
// processes of their own, and how long changes and losses take.
package slope

import "github.com/jujubeknot/jujubeknot/bench/procfs"

// rate is what a process used per second between two looks.
type rate struct {
	// cores is the share of one core.
	cores            float64
	resident, peak   uint64
	inPerS, outPerS  float64
	inBytes, outByte uint64
}

func between(a, b procfs.Usage) rate {
	s := b.At.Sub(a.At).Seconds()
	return rate{
		cores: (b.Processor - a.Processor).Seconds() / s, resident: b.Resident, peak: b.Peak,
		inPerS: float64(b.In-a.In) / s, outPerS: float64(b.Out-a.Out) / s, inBytes: b.In - a.In, outByte: b.Out - a.Out,
	}
}
