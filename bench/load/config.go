// Package load is an open-loop load generator over HTTP. It sends requests at
// times that depend only on the seed, whether or not earlier responses have
// come. It measures latency from the intended time of sending, so that a slow
// system does not reduce the load and hide its latency (coordinated omission).
package load

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	DefaultMaxRequests = 1_000_000
	DefaultMaxInFlight = 4096
	DefaultKeys        = 10_000
	DefaultZipf        = 1.1
	DefaultTimeout     = 2 * time.Second
	// MaxDuration is the maximum of Config.Duration.
	MaxDuration = time.Hour
)

// Class is one kind of operation.
type Class struct {
	Name string
	// Weight divided by the sum of all weights is the share of the class in the
	// operations.
	Weight float64
	// Method defaults to GET.
	Method string
	// Path may contain the placeholder {key}.
	Path string
	// KeyHeader is the name of the header that carries the key. Empty means none.
	KeyHeader string
	// Bytes is the size of the request body.
	Bytes int
	// IdempotencyKey is the share of operations that carry a request id from the
	// caller, 0 to 1.
	IdempotencyKey float64
	// Resends is the maximum number of resends of one operation. After the outcome
	// notRun every operation may be resent. After unknown only an operation that
	// is idempotent or has a request id from the caller may be resent.
	Resends int
	// Timeout is the time from the intended sending, resends included, after which
	// the caller abandons the operation. 0 means DefaultTimeout.
	Timeout time.Duration
	// SendDeadline makes the requests carry the remaining time as their deadline.
	SendDeadline bool
}

// Idempotent reports whether the method of the class is idempotent, so that its
// operations may run more than once.
func (c Class) Idempotent() bool {
	switch c.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// HotSet is a set of keys that receive a large share of the operations.
type HotSet struct {
	// Keys is the number of hot keys. 0 means that there is no hot set.
	Keys int
	// Share is the share of operations on the hot keys, 0 to 1.
	Share float64
	// MoveEvery is the interval after which the next Keys keys become the hot
	// ones. 0 means never.
	MoveEvery time.Duration
}

// Config configures a run. Targets, Rate, Duration and Classes are required.
type Config struct {
	// Seed fixes the times, classes, keys and ids of the operations.
	Seed uint64
	// Targets are the addresses, host and port, that operations are sent to in
	// turn. Each resend goes to the next target.
	Targets []string
	// Rate is the mean number of operations per second.
	Rate float64
	// Duration is the time in which operations begin, at most MaxDuration.
	Duration time.Duration
	// WarmUp is the first part of Duration. Operations that are due in it are
	// missing from the counts and histograms of the result.
	WarmUp time.Duration
	// MaxRequests is the maximum number of operations in the run. 0 means
	// DefaultMaxRequests.
	MaxRequests int
	// MaxInFlight is the maximum number of operations at once. Further operations
	// are not sent and have OutcomeSkipped. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// Keys is the number of keys. 0 means DefaultKeys.
	Keys int
	// Zipf is the exponent of the Zipf distribution of the keys, above 1. 0 means
	// DefaultZipf.
	Zipf    float64
	Hot     HotSet
	Classes []Class
}

// withDefaults returns the configuration with its defaults, or an error if a
// value is missing or out of range.
func (c Config) withDefaults() (Config, error) {
	if c.MaxRequests <= 0 {
		c.MaxRequests = DefaultMaxRequests
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Keys <= 0 {
		c.Keys = DefaultKeys
	}
	if c.Zipf == 0 {
		c.Zipf = DefaultZipf
	}
	switch {
	case len(c.Targets) == 0:
		return c, errors.New("load: no targets, expected one or more")
	case c.Rate <= 0:
		return c, errors.Errorf("load: rate is %v, expected more than 0", c.Rate)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return c, errors.Errorf("load: duration is %v, expected more than 0 and at most %v", c.Duration, MaxDuration)
	case c.Zipf <= 1:
		return c, errors.Errorf("load: zipf exponent is %v, expected more than 1", c.Zipf)
	case c.Hot.Keys < 0 || c.Hot.Keys > c.Keys:
		return c, errors.Errorf("load: %d hot keys of %d keys, expected 0 or more and at most all", c.Hot.Keys, c.Keys)
	case len(c.Classes) == 0:
		return c, errors.New("load: no classes, expected one or more")
	}
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		if c.Classes[i].Weight < 0 {
			return c, errors.Errorf("load: weight of class %s is %v, expected 0 or more", c.Classes[i].Name, c.Classes[i].Weight)
		}
		if c.Classes[i].Method == "" {
			c.Classes[i].Method = http.MethodGet
		}
		if c.Classes[i].Timeout <= 0 {
			c.Classes[i].Timeout = DefaultTimeout
		}
	}
	return c, nil
}
