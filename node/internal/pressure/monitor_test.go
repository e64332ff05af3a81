package pressure

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// TestMonitorRunsOnlyWhileBusy guards against a node at rest that wakes fifty times a
// second to read how long its goroutines wait, and against a monitor that is not
// woken, or ends while its limit still refuses requests.
func TestMonitorRunsOnlyWhileBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			m.Run(ctx)
			close(ended)
		}()
		// A limit that is in effect rises with each reading.
		limited := func() int64 {
			m.Observe(time.Second)
			limit, _ := m.Limit()
			time.Sleep(10 * sampleInterval)
			now, _ := m.Limit()
			return now - limit
		}
		for range sampleFrom - 1 {
			m.Begin()
		}
		if rise := limited(); rise != 0 {
			t.Errorf("the limit rose by %d with %d requests in flight: the monitor runs at rest", rise, sampleFrom-1)
		}
		m.Begin()
		synctest.Wait()
		if rise := limited(); rise <= 0 {
			t.Errorf("the limit rose by %d with %d requests in flight: the monitor does not run", rise, sampleFrom)
		}
		for range sampleFrom {
			m.End()
		}
		time.Sleep(time.Minute)
		if limit, _ := m.Limit(); limit != unlimited {
			t.Errorf("limit %d a minute after the load, want none", limit)
		}
		if sampleFrom >= admission.MinProcessorLimit {
			t.Errorf("readings begin at %d requests, the lowest limit is %d", sampleFrom, admission.MinProcessorLimit)
		}
		cancel()
		<-ended
	})
}
