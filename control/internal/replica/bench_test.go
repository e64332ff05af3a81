package replica_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/control/internal/disk"
	"github.com/jujubeknot/jujubeknot/control/internal/replica"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// loopback starts a group that communicates over loopback and syncs to real
// files, and returns its leader.
func loopback(b *testing.B, size int) *replica.Replica {
	b.Helper()
	var servers []*httptest.Server
	var initial []*wirev1.Member
	for id := 1; id <= size; id++ {
		server := httptest.NewUnstartedServer(nil)
		servers = append(servers, server)
		initial = append(initial, &wirev1.Member{Id: uint64(id), Address: server.Listener.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var replicas []*replica.Replica
	for i, m := range initial {
		r := openReplica(b, filepath.Join(b.TempDir(), fmt.Sprint(m.Id)), m, initial, 0)
		mux := http.NewServeMux()
		mux.Handle(r.Handler())
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		servers[i].Config.Handler, servers[i].Config.Protocols = mux, protocols
		servers[i].Start()
		running.Go(func() {
			if err := r.Run(ctx); err != nil {
				b.Errorf("member %d: %v", m.Id, err)
			}
		})
		replicas = append(replicas, r)
	}
	b.Cleanup(func() {
		cancel()
		running.Wait()
		for _, s := range servers {
			s.Close()
		}
	})
	return waitForLeader(b, replicas)
}

func openReplica(b *testing.B, dir string, self *wirev1.Member, initial []*wirev1.Member, snapshots uint64) *replica.Replica {
	b.Helper()
	files, err := disk.OpenOrCreateFolder(dir)
	if err != nil {
		b.Fatal(err)
	}
	r, err := replica.New(replica.Config{
		GroupID: "bench", MemberID: self.Id, Address: self.Address, Secret: "bench", Files: files,
		Clock: systemClock{}, Initial: initial, Logger: zerolog.Nop(), SnapshotEntries: snapshots,
	})
	if err != nil {
		b.Fatal(err)
	}
	return r
}

func waitForLeader(b *testing.B, replicas []*replica.Replica) *replica.Replica {
	b.Helper()
	for {
		for _, r := range replicas {
			if r.Leadership().Leading && r.Confirm(b.Context()) == nil {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// proposeParallel proposes count commands from several goroutines.
func proposeParallel(b *testing.B, r *replica.Replica, workers, count int) {
	b.Helper()
	var next atomic.Int64
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for epoch := uint64(0); next.Add(1) <= int64(count); epoch++ {
				// Partitions of earlier runs have other epochs. A change that is
				// refused for this reason is appended to the log all the same.
				if _, err := r.Propose(b.Context(), assign(uint32(worker), epoch)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}

// BenchmarkPropose measures the rate of synced and committed appends.
func BenchmarkPropose(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, proposers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("members=%d/proposers=%d", members, proposers), func(b *testing.B) {
				r := loopback(b, members)
				b.ResetTimer()
				proposeParallel(b, r, proposers, b.N)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
			})
		}
	}
}

// BenchmarkConfirm measures confirmations of leadership by quorum rounds.
func BenchmarkConfirm(b *testing.B) {
	r := loopback(b, 3)
	b.ResetTimer()
	for b.Loop() {
		if err := r.Confirm(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdle measures the total processor time of three idle members.
func BenchmarkIdle(b *testing.B) {
	loopback(b, 3)
	used := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before := used()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((used()-before).Microseconds())/1000/b.Elapsed().Seconds(), "cpu-ms/s")
}

// BenchmarkRestart measures the time from the start of a member until it leads
// and confirms (serving-ms). load-ms is the part for reading its data folder.
func BenchmarkRestart(b *testing.B) {
	self := &wirev1.Member{Id: 1, Address: "127.0.0.1:1"}
	initial := []*wirev1.Member{self}
	for _, entries := range []int{1_000, 100_000} {
		for _, snapshots := range []uint64{1 << 40, uint64(entries) / 10} {
			b.Run(fmt.Sprintf("entries=%d/snapshots=%v", entries, snapshots < 1<<40), func(b *testing.B) {
				dir := b.TempDir()
				run := func(use func(*replica.Replica)) time.Duration {
					before := time.Now()
					r := openReplica(b, dir, self, initial, snapshots)
					loaded := time.Since(before)
					ctx, cancel := context.WithCancel(context.Background())
					ended := make(chan error, 1)
					go func() { ended <- r.Run(ctx) }()
					use(waitForLeader(b, []*replica.Replica{r}))
					b.StopTimer()
					cancel()
					if err := <-ended; err != nil {
						b.Fatal(err)
					}
					b.StartTimer()
					return loaded
				}
				run(func(r *replica.Replica) { proposeParallel(b, r, 256, entries) })
				loaded := time.Duration(0)
				b.ResetTimer()
				for range b.N {
					loaded += run(func(*replica.Replica) {})
				}
				b.ReportMetric(float64(loaded.Milliseconds())/float64(b.N), "load-ms")
				b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "serving-ms")
			})
		}
	}
}
