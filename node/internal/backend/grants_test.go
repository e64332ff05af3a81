package backend_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
)

// grantServer is a stand-in backend server that accepts grants.
type grantServer struct {
	mu       sync.Mutex
	receiver lease.GrantReceiver
	messages []lease.Grant
	// arrived gets a value for each message. The response to the message waits
	// until release is closed. Both may be nil.
	arrived chan struct{}
	release chan struct{}
}

func (b *grantServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var g lease.Grant
	if r.URL.Path != "/v1/grant" || json.NewDecoder(r.Body).Decode(&g) != nil {
		return
	}
	if b.arrived != nil {
		b.arrived <- struct{}{}
		<-b.release
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.messages = append(b.messages, g)
	answer := b.receiver.Apply(time.Now(), g)
	if answer.Error != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (b *grantServer) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiver = lease.GrantReceiver{}
}

func partitions(n uint32) []lease.GrantedPartition {
	list := make([]lease.GrantedPartition, n)
	for i := range list {
		list[i] = lease.GrantedPartition{Partition: uint32(i), Epoch: 1}
	}
	return list
}

// TestGrantsShareMessages guards against sending one message for each released
// partition. 64 such messages waited for two connections, and each release for
// its own message, which paused keys for 100 ms and more.
func TestGrantsShareMessages(t *testing.T) {
	b := &grantServer{arrived: make(chan struct{}, 100), release: make(chan struct{})}
	server := httptest.NewServer(b)
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := startServer(ctx, t, server.Listener.Addr())
	until := boottime.Clock{}.Now().Add(time.Hour)
	s.AddGrants(1, "files", partitions(64))
	var group sync.WaitGroup
	send := func() {
		group.Go(func() {
			if err := s.SendGrants(ctx, until); err != nil {
				t.Error(err)
			}
		})
	}
	send()
	<-b.arrived
	for _, p := range partitions(63) {
		s.RemoveGrants(p)
		send()
	}
	close(b.release)
	group.Wait()
	if len(b.messages) != 2 || b.receiver.PartitionCount() != 1 {
		t.Errorf("%d messages, %d partitions granted, want 2 and 1", len(b.messages), b.receiver.PartitionCount())
	}
}

// TestLeaseExtensionOmitsPartitions guards against an extension of the lease that
// lists all partitions again, and against a restarted backend server that gets no
// partitions because the extension omits them.
func TestLeaseExtensionOmitsPartitions(t *testing.T) {
	b := &grantServer{}
	server := httptest.NewServer(b)
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := startServer(ctx, t, server.Listener.Addr())
	until := boottime.Clock{}.Now().Add(time.Hour)
	extend := func() {
		t.Helper()
		until = until.Add(400 * time.Millisecond)
		if err := s.SendGrants(ctx, until); err != nil {
			t.Error(err)
		}
	}
	s.AddGrants(1, "files", partitions(64))
	extend()
	extend()
	if last := b.messages[len(b.messages)-1]; len(b.messages) != 2 || last.Whole || len(last.Partitions) > 0 {
		t.Errorf("%d messages, the last is %+v, want 2 and the last without partitions", len(b.messages), last)
	}
	b.restart()
	extend()
	if last := b.messages[len(b.messages)-1]; len(b.messages) != 4 || !last.Whole || b.receiver.PartitionCount() != 64 {
		t.Errorf("after a restart %d messages, %d partitions granted, want 4 and 64, the last message whole", len(b.messages), b.receiver.PartitionCount())
	}
	s.EndGrants()
	extend()
	if b.receiver.PartitionCount() != 0 {
		t.Errorf("%d partitions granted after the end of the lease, want 0", b.receiver.PartitionCount())
	}
}
