package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestStopDuringReportOfManyReleases guards against a node that never ends, because its
// stop ends while control has not answered a report and several thousand releases
// follow. Without the fix a repetition hangs with a probability of one half.
func TestStopDuringReportOfManyReleases(t *testing.T) {
	for i := range 4 {
		t.Run(fmt.Sprint(i), stopDuringReport)
	}
}

func stopDuringReport(t *testing.T) {
	c, first, _, _, _ := startTwoWith(t, strings.ReplaceAll(testRules, "partitions=16", "partitions=4096"), func(cfg *node.Config) {
		cfg.DrainTimeout = 100 * time.Millisecond
	})
	owner := c.ownerOf(0)
	c.mu.Lock()
	c.holdReports = true
	c.release(owner, 0)
	c.mu.Unlock()
	eventually(t, "control has the report of the first release", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.heldReports > 0
	})
	c.mu.Lock()
	c.releaseAll(owner)
	c.mu.Unlock()
	eventually(t, "the node has released its partitions", func() bool { return vars(t, first)["partitions"].(float64) == 0 })
	first.stop()
	select {
	case <-first.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the node has not ended 10 s after the signal to stop")
	}
}

// release instructs an owner to release one partition of applications. The caller holds
// c.mu.
func (c *fakeControl) release(owner uint64, number uint32) {
	a := c.assignments["applications"][number]
	c.watchers[owner] <- &wirev1.Update{Index: c.index, Releases: []*wirev1.Release{{
		Upstream: a.GetUpstream(), Partition: number, Epoch: a.GetEpoch(), TimeoutMs: 2000,
	}}}
}
