// Package load is an open-loop generator of requests over HTTP: it sends at
// the times that a seed fixes, whether or not earlier responses have come, and
// measures latency from the intended time, so a slow system cannot slow the
// load down and hide its latency (coordinated omission).
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
	// MaxDuration bounds a run.
	MaxDuration = time.Hour
)

// Class is one kind of request.
type Class struct {
	Name string
	// Weight is the share of the class among the weights of all classes.
	Weight float64
	// Method defaults to GET.
	Method string
	// Path may have the placeholder {key}.
	Path string
	// KeyHeader is the header that takes the key, empty for none.
	KeyHeader string
	// Bytes is the size of the request body.
	Bytes int
	// IdempotencyKey is the share of requests with the caller's own id, 0 to 1.
	IdempotencyKey float64
	// Resends bounds the resends of one operation. After notRun each operation
	// may be resent, after unknown only one that is idempotent or has the
	// caller's own id.
	Resends int
	// Timeout is the time after which the caller gives up. 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// SendDeadline tells the system the timeout.
	SendDeadline bool
}

// Idempotent reports whether requests of the class may run more than once.
func (c Class) Idempotent() bool {
	switch c.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// HotSet is a set of keys that get a large share of the requests.
type HotSet struct {
	Keys int
	// Share of requests that go to the hot keys, 0 to 1.
	Share float64
	// MoveEvery is the time after which other keys become hot. 0 means never.
	MoveEvery time.Duration
}

// Config configures a run.
type Config struct {
	Seed uint64
	// Targets are the addresses, host and port, that requests go to in turn.
	Targets []string
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// WarmUp is the first part of the duration, which the histograms leave out.
	WarmUp time.Duration
	// MaxRequests bounds the operations of the run, MaxInFlight those at once.
	// What exceeds MaxInFlight is counted as skipped.
	MaxRequests int
	MaxInFlight int
	// Keys is the number of keys, and Zipf the exponent of their popularity,
	// above 1.
	Keys    int
	Zipf    float64
	Hot     HotSet
	Classes []Class
}

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
		return c, errors.New("load: no targets")
	case c.Rate <= 0:
		return c, errors.Errorf("load: rate is %v, expected more than 0", c.Rate)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return c, errors.Errorf("load: duration is %v, expected more than 0 and at most %v", c.Duration, MaxDuration)
	case c.Zipf <= 1:
		return c, errors.Errorf("load: zipf exponent is %v, expected more than 1", c.Zipf)
	case c.Hot.Keys < 0 || c.Hot.Keys > c.Keys:
		return c, errors.Errorf("load: %d hot keys of %d", c.Hot.Keys, c.Keys)
	case len(c.Classes) == 0:
		return c, errors.New("load: no classes")
	}
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		if c.Classes[i].Weight < 0 {
			return c, errors.Errorf("load: class %s has the weight %v", c.Classes[i].Name, c.Classes[i].Weight)
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
