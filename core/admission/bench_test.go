package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// BenchmarkOfferDone measures one iteration of a busy server with the given
// number of queued requests: a request ends, another one starts, and a new one
// is offered.
func BenchmarkOfferDone(b *testing.B) {
	for _, queued := range []int{0, 1, 100, 10_000} {
		for _, keys := range []uint64{1, 1000} {
			b.Run(fmt.Sprintf("queued=%d/keys=%d", queued, keys), func(b *testing.B) {
				c := admission.New(admission.Config{Slots: 1, MaxQueued: 20_000, KeyShare: 1})
				now := time.Unix(0, 0)
				var id, running uint64
				offer := func() {
					id++
					c.Offer(now, admission.Request{
						ID: id, Key: 1 + id%keys, Priority: 5, Deadline: now.Add(time.Hour),
					})
				}
				for c.Queued() < queued {
					offer()
				}
				if queued == 0 {
					offer()
				}
				running = 1
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Microsecond)
					events := c.Done(now, running, admission.Result{Latency: time.Microsecond})
					offer()
					running = id
					if len(events) > 0 {
						running = events[0].ID
					}
				}
			})
		}
	}
}
