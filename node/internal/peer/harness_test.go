package peer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/peer"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// fakeOwner answers calls with a function.
type fakeOwner func(context.Context, *relay.Call) (*relay.Response, *outcome.Refusal)

func (f fakeOwner) Do(ctx context.Context, c *relay.Call) (*relay.Response, *outcome.Refusal) {
	return f(ctx, c)
}

func (fakeOwner) Settle(string) outcome.SettleAnswer {
	return outcome.SettleAnswer{State: outcome.SettleUnknown}
}

// nodes has a client with incarnation 1 and a server that knows this incarnation.
type nodes struct {
	handler *peer.Handler
	client  *peer.Client
	server  *peer.Server
	node    *wirev1.Node
}

// start returns nodes whose server runs calls with owner until the test ends.
func start(t testing.TB, owner fakeOwner) *nodes {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startOn(t, l, owner)
}

// startOn is start with a listener.
func startOn(t testing.TB, l net.Listener, owner fakeOwner) *nodes {
	entry := &wirev1.Node{Incarnation: 1, Name: "entry", PeerSecret: "secret"}
	table, err := routing.New().With(&wirev1.Update{Index: 1, Nodes: []*wirev1.Node{entry}})
	if err != nil {
		t.Fatal(err)
	}
	v := view.New(table)
	v.SetIdentity(view.Identity{Incarnation: 1, Secret: "secret"})
	h := &peer.Handler{Log: zerolog.Nop(), Clock: boottime.Clock{}, View: v, Owner: owner}
	n := &nodes{h, peer.NewClient(peer.ClientConfig{Clock: boottime.Clock{}, View: v}), peer.NewServer(h, nil), &wirev1.Node{Incarnation: 2, PeerAddress: l.Addr().String()}}
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(l) }()
	t.Cleanup(func() {
		n.client.Close()
		_ = n.server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server ended with %v", err)
		}
	})
	return n
}

func (n *nodes) do(ctx context.Context, path string) (*relay.Response, *outcome.Refusal) {
	return n.client.Do(ctx, n.node, &relay.Call{
		ID: "id", Sending: "sending" + path, Upstream: "u", Idempotent: true, Method: "GET", URI: path, Host: "h", Body: &relay.Body{},
		Header: http.Header{"X-Kept": {"1", "2", "K\xf8benhavn"}}, Deadline: boottime.Clock{}.Now().Add(time.Minute),
	})
}
