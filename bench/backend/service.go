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
	// ShapeConstant gives each request the mean.
	ShapeConstant
	// ShapeLogNormal has a heavy tail: the 99th percentile is 5 times the mean.
	ShapeLogNormal
)

// logNormalSigma is the standard deviation of the logarithm of a service time.
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
	// Mean is the mean service time of GET and HEAD requests. 0 means
	// DefaultServiceMean.
	Mean time.Duration
	// WriteFactor multiplies the mean for all other methods. 0 means 1.
	WriteFactor float64
}

// draw returns a random service time. write is true for methods other than GET
// and HEAD.
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

// randomFor returns the random number generator of one request. Its seed
// depends only on the run's seed and the request, so the order of arrival does
// not change what a request draws.
func randomFor(seed uint64, operation, attempt string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(operation+"#"+attempt)))
}
