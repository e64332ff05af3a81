package backend

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shape is the shape of a distribution of service times.
type Shape int

// Shapes of service times.
const (
	// ShapeExponential has a standard deviation as large as the mean.
	ShapeExponential Shape = iota
	// ShapeConstant has no deviation.
	ShapeConstant
	// ShapeLogNormal has a heavy tail: the 99th percentile is 5 times the mean.
	ShapeLogNormal
)

// logNormalSigma is the standard deviation of the logarithm.
const logNormalSigma = 1.0

// String returns the shape for reports.
func (s Shape) String() string {
	switch s {
	case ShapeConstant:
		return "constant"
	case ShapeLogNormal:
		return "logNormal"
	default:
		return "exponential"
	}
}

// Service is a distribution of service times.
type Service struct {
	Shape Shape
	// Mean is that of requests without a body; 0 means DefaultServiceMean.
	Mean time.Duration
	// WriteFactor multiplies the time of requests that are not GET or HEAD. 0
	// means 1.
	WriteFactor float64
}

// draw returns a service time.
func (s Service) draw(r *rand.Rand, write bool) time.Duration {
	mean := float64(s.Mean)
	if write && s.WriteFactor > 0 {
		mean *= s.WriteFactor
	}
	switch s.Shape {
	case ShapeConstant:
		return time.Duration(mean)
	case ShapeLogNormal:
		return time.Duration(mean * math.Exp(r.NormFloat64()*logNormalSigma-logNormalSigma*logNormalSigma/2))
	default:
		return time.Duration(mean * r.ExpFloat64())
	}
}

// randomFor returns the generator of one request. It depends on the request and
// the seed only, not on the order of arrival.
func randomFor(seed uint64, operation, attempt string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(operation+"#"+attempt)))
}
