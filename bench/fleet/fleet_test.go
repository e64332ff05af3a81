package fleet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/bench/fleet"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// waitTimeout bounds the wait for a registration. It is long because the machine
// may be busy.
const waitTimeout = 30 * time.Second

// fakeControl is a control member that accepts registrations and grants leases.
type fakeControl struct {
	wirev1connect.UnimplementedControlHandler
	mu    sync.Mutex
	count uint64
	// registered holds the latest registration of each node, deregistered the
	// nodes that returned their lease.
	registered   map[string]*wirev1.Node
	deregistered map[string]bool
	names        map[uint64]string
	// renewals counts the renewals under the latest registration of each node. A
	// node that sends its second renewal holds the lease that the first one
	// granted. A node that is stopped before that has no lease to return.
	renewals map[string]int
	latest   map[string]uint64
}

func newFakeControl(t *testing.T) (*fakeControl, netip.AddrPort) {
	f := &fakeControl{registered: map[string]*wirev1.Node{}, deregistered: map[string]bool{}, names: map[uint64]string{}, renewals: map[string]int{}, latest: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.Handle(wirev1connect.NewControlHandler(f))
	server := httptest.NewUnstartedServer(mux)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	return f, netip.MustParseAddrPort(server.Listener.Addr().String())
}

func (f *fakeControl) Register(_ context.Context, r *connect.Request[wirev1.RegisterRequest]) (*connect.Response[wirev1.RegisterResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	name := r.Msg.GetNode().GetName()
	f.registered[name], f.names[f.count], f.latest[name] = r.Msg.GetNode(), name, f.count
	delete(f.deregistered, name)
	delete(f.renewals, name)
	return connect.NewResponse(&wirev1.RegisterResponse{Incarnation: f.count, LeaseMs: 1500, RenewIntervalMs: 400}), nil
}

func (f *fakeControl) Renew(_ context.Context, r *connect.Request[wirev1.RenewRequest]) (*connect.Response[wirev1.RenewResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name := f.names[r.Msg.GetIncarnation()]; f.latest[name] == r.Msg.GetIncarnation() {
		f.renewals[name]++
	}
	return connect.NewResponse(&wirev1.RenewResponse{Sequence: r.Msg.GetSequence(), LeaseMs: 1500}), nil
}

func (f *fakeControl) Watch(ctx context.Context, _ *connect.Request[wirev1.WatchRequest], s *connect.ServerStream[wirev1.Update]) error {
	if err := s.Send(&wirev1.Update{Index: 1, Snapshot: true}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (f *fakeControl) Deregister(_ context.Context, r *connect.Request[wirev1.DeregisterRequest]) (*connect.Response[wirev1.DeregisterResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deregistered[f.names[r.Msg.GetIncarnation()]] = true
	return connect.NewResponse(&wirev1.DeregisterResponse{}), nil
}

// waitFor waits until a condition on the registrations holds. The condition is
// evaluated with the mutex held.
func (f *fakeControl) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		met := condition()
		f.mu.Unlock()
		if met {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Fatalf("timed out waiting for %s: registered %v, deregistered %v", what, f.registered, f.deregistered)
}

// freePorts returns the first of count consecutive free ports. It searches below
// the range that outgoing connections use.
func freePorts(t *testing.T, count int) uint16 {
	t.Helper()
	for first := 21000; first < 32000; first += count {
		var listeners []net.Listener
		for i := range count {
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i)); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == count {
			return uint16(first)
		}
	}
	t.Fatal("no consecutive free ports")
	return 0
}

func post(t *testing.T, h http.Handler, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, nil))
	return w.Code, strings.TrimSpace(w.Body.String())
}

// TestFleet guards against a fleet whose nodes do not register, are in other
// zones than those that the measurement kills, or do not carry out commands.
func TestFleet(t *testing.T) {
	const count = 6
	control, address := newFakeControl(t)
	first := freePorts(t, count)
	ctx, stop := context.WithCancel(t.Context())
	servers := make(chan error, 1)
	go func() { servers <- fleet.StandIns(ctx, count, first, "applications") }()
	nodes, err := fleet.New(fleet.Config{
		Count: count, Control: []netip.AddrPort{address}, FirstPort: first, Zones: 3, Secret: "laboratory-node-secret", Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		nodes.Close()
		stop()
		if err := <-servers; err != nil {
			t.Error(err)
		}
	}()
	isComplete := func(i int) bool {
		n := control.registered[fmt.Sprint("node-", i)]
		return control.renewals[n.GetName()] >= 2 && n.GetBackendServer().GetName() == fmt.Sprint("applications-", i) && n.GetAvailabilityZone() == fmt.Sprint("zone-", i%3+1)
	}
	for i := range count {
		control.waitFor(t, fmt.Sprintf("registration of node %d with its backend server", i), func() bool { return isComplete(i) })
	}
	h := nodes.Handler()
	if code, text := post(t, h, "/stop?from=1&step=3&count=2"); code != http.StatusOK {
		t.Fatalf("stop: got %d %s, want status 200", code, text)
	}
	control.waitFor(t, "nodes 1 and 4 to return their leases", func() bool {
		return len(control.deregistered) == 2 && control.deregistered["node-1"] && control.deregistered["node-4"]
	})
	if code, text := post(t, h, "/start?from=1&step=3&count=2"); code != http.StatusOK {
		t.Fatalf("start: got %d %s, want status 200", code, text)
	}
	control.waitFor(t, "nodes 1 and 4 to register again", func() bool { return len(control.deregistered) == 0 && isComplete(1) && isComplete(4) })
	if code, text := post(t, h, "/kill?from=5&step=1&count=1"); code != http.StatusOK || control.deregistered["node-5"] {
		t.Errorf("kill: got %d %s, deregistered %v, want status 200 and node-5 not deregistered", code, text, control.deregistered)
	}
	for path, want := range map[string]string{
		"/kill?from=0&step=1&count=7":  "expected indices of 6 nodes",
		"/kill?from=-1&step=1&count=1": "expected indices of 6 nodes",
		"/stop?from=0&step=0&count=2":  "expected indices of 6 nodes",
		"/start?from=0&step=1&count=0": "expected indices of 6 nodes",
		"/kill?from=0&step=x&count=1":  "parameter step",
		"/kill?from=0&step=1":          "parameter count",
	} {
		if code, text := post(t, h, path); code != http.StatusBadRequest || !strings.Contains(text, want) {
			t.Errorf("%s: got %d %s, want status 400 and %q", path, code, text, want)
		}
	}
}

// TestFleetConfig guards against a fleet that has no nodes, has no first port, or
// would listen on ports above 65535.
func TestFleetConfig(t *testing.T) {
	for _, c := range []fleet.Config{{Count: 0, FirstPort: 30000}, {Count: 10}, {Count: 10, FirstPort: 65530}} {
		if _, err := fleet.New(c); err == nil || !strings.Contains(err.Error(), "expected at least 1 node") {
			t.Errorf("%+v: got error %v, want one about the number of nodes", c, err)
		}
	}
}
