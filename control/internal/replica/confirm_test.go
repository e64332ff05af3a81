package replica_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// stallingFS blocks syncs of files until a channel is closed.
type stallingFS struct {
	disk.FS
	stalled atomic.Pointer[chan struct{}]
}

type stallingFile struct {
	disk.File
	fs *stallingFS
}

func (f *stallingFS) Create(name string) (disk.File, error) {
	file, err := f.FS.Create(name)
	return stallingFile{file, f}, err
}

func (f stallingFile) Sync() error {
	if c := f.fs.stalled.Load(); c != nil {
		<-*c
	}
	return f.File.Sync()
}

// TestConfirmIsNotQueuedBehindProposals guards against lease renewals that wait
// behind a full queue of proposals. A renewal waits for the quorum round of
// Confirm.
func TestConfirmIsNotQueuedBehindProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup(t, 0, replica.Config{})
		files, err := disk.OpenOrCreateFolder(g.folder(1))
		if err != nil {
			t.Fatal(err)
		}
		g.initial = []*wirev1.Member{{Id: 1, Address: "m1"}}
		stalling := &stallingFS{FS: files}
		g.startWith(1, stalling)
		defer g.stopAll()
		_, m := g.leader()
		g.propose(m, "first")
		const proposals = 3000
		var answered, before atomic.Int64
		var group sync.WaitGroup
		stalled := make(chan struct{})
		stalling.stalled.Store(&stalled)
		for i := range proposals {
			group.Go(func() {
				// Some are refused because there are too many uncommitted entries.
				_, _ = m.Propose(t.Context(), register(fmt.Sprint("n", i)))
				answered.Add(1)
			})
		}
		synctest.Wait()
		group.Go(func() {
			if err := m.Confirm(t.Context()); err != nil {
				t.Error(err)
			}
			before.Store(answered.Load())
		})
		synctest.Wait()
		close(stalled)
		group.Wait()
		if before.Load() > proposals/2 {
			t.Errorf("%d of %d proposals were answered before the quorum round, want at most half", before.Load(), proposals)
		}
	})
}
