package controlclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

const (
	// reportInterval is the time after which a release is reported again.
	reportInterval = 200 * time.Millisecond
	reportTimeout  = time.Second
)

// releases wakes reportLoop after each release. Adding one never blocks, because
// releases may go on after the loop has ended. It is safe for concurrent use.
type releases struct {
	// added has a value after a release until reportLoop has woken.
	added chan struct{}

	mu sync.Mutex
	// putOff has the deferred releases that reportLoop has not taken yet. The
	// completed ones are kept by the owner.
	putOff []*wirev1.ReleasedPartition
}

func newReleases() *releases { return &releases{added: make(chan struct{}, 1)} }

func (r *releases) add(release owner.Release) {
	if release.Partition.GetPutOff() {
		r.mu.Lock()
		r.putOff = append(r.putOff, release.Partition)
		r.mu.Unlock()
	}
	wake(r.added)
}

func (r *releases) takePutOff() []*wirev1.ReleasedPartition {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.putOff
	r.putOff = nil
	return taken
}

// reportLoop reports releases at once. It repeats those that the table does not
// show yet, because the report or the leader may have been lost.
func (i *incarnation) reportLoop(ctx context.Context) {
	var putOff []*wirev1.ReleasedPartition
	// repeat fires reportInterval after a report. It is nil if there is nothing to
	// repeat.
	var repeat <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.releases.added:
		case <-repeat:
		}
		repeat = nil
		putOff = append(putOff, i.releases.takePutOff()...)
		request := &wirev1.ReleasedRequest{Incarnation: i.number, Partitions: slices.Clone(putOff)}
		for _, p := range i.s.cfg.Owner.Released(i.s.cfg.View.Table()) {
			request.Partitions = append(request.Partitions, p)
			request.MovedRequests = append(request.MovedRequests, movedRequests(p, i.s.cfg.Owner.Records(p)))
		}
		if len(request.Partitions) == 0 {
			continue
		}
		repeat = time.After(reportInterval)
		if _, err := call(ctx, i.s, reportTimeout, request, wirev1connect.ControlClient.Released); err != nil {
			i.s.cfg.Log.Warn().Err(err).Int("partitions", len(request.Partitions)).Msg("report of releases failed")
			continue
		}
		putOff = nil
	}
}
