// Package member carries replicated-log messages between control members.
package member

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

const (
	// dialTimeout and stepTimeout are near the shortest election timeout: a
	// message that takes longer is of no use.
	dialTimeout = 300 * time.Millisecond
	stepTimeout = 500 * time.Millisecond
	// snapshotTimeout lets 256 MiB pass at 100 Mbit/s.
	snapshotTimeout = 30 * time.Second
	// pingAfter is the silence after which a connection is probed, pingTimeout
	// the time until it counts as half-open and is closed.
	pingAfter   = 250 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// queueMessages bounds what waits for one peer. Dropped messages are sent
	// again by the log.
	queueMessages = 256
	// batchMessages bounds the messages of one request.
	batchMessages = 64
	// maxRequestBytes bounds what is read of one request.
	maxRequestBytes = 256 << 20
	// maxLearned bounds the addresses kept of members that are not in the
	// membership.
	maxLearned = 16
	// maxOperators bounds the operator addresses kept: the members of a group
	// and those that are not in its membership yet.
	maxOperators = 16
)

// Config of a Transport. GroupID, Secret, Address and Receive are required.
type Config struct {
	GroupID string
	// Secret is shared by all members. Requests without it are refused.
	Secret string
	// Address at which other members reach this one.
	Address string
	// OperatorAddress is the address at which operators reach this member. Other
	// members name it to operators while this member leads.
	OperatorAddress string
	Logger          zerolog.Logger
	// Receive takes messages of other members. It must not block for long.
	Receive func([]*wirev1.RaftMessage)
	// HandleForm answers a member that has no log yet.
	HandleForm func(*wirev1.FormRequest) (*wirev1.FormResponse, error)
	// HandleJoin answers a member that asks to be added.
	HandleJoin func(*wirev1.JoinRequest) (*wirev1.JoinResponse, error)
}

// Transport sends messages to other members and serves MemberService. It is
// safe for concurrent use.
type Transport struct {
	config Config
	client *http.Client
	// stop ends all peers.
	stop    context.CancelFunc
	context context.Context
	running sync.WaitGroup

	mutex sync.Mutex
	peers map[uint64]*peer
	// learned has the addresses of senders outside the membership.
	learned map[uint64]string
	members map[uint64]string
	// operators has the operator addresses that members sent.
	operators map[uint64]string
}

// New returns a Transport without peers. Close ends it.
func New(config Config) (*Transport, error) {
	switch {
	case config.GroupID == "":
		return nil, errors.New("group id is empty")
	case config.Secret == "":
		return nil, errors.New("secret of the members is empty")
	case config.Address == "":
		return nil, errors.New("address of the member is empty")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		config: config, context: ctx, stop: cancel,
		client: &http.Client{Transport: newRoundTripper()},
		peers:  map[uint64]*peer{}, learned: map[uint64]string{}, members: map[uint64]string{}, operators: map[uint64]string{},
	}, nil
}

func newRoundTripper() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

// SetMembers replaces the addresses of the members.
func (t *Transport) SetMembers(members []*wirev1.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.members)
	for _, m := range members {
		t.members[m.Id] = m.Address
		delete(t.learned, m.Id)
	}
	for id := range t.operators {
		if t.members[id] == "" {
			delete(t.operators, id)
		}
	}
	for id, p := range t.peers {
		if address := t.address(id); address != p.address {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// address returns that of a member or of a sender outside the membership,
// empty if unknown.
func (t *Transport) address(id uint64) string {
	if address := t.members[id]; address != "" {
		return address
	}
	return t.learned[id]
}

// learn notes the address of a sender that the membership does not have.
func (t *Transport) learn(id uint64, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.members[id] != "" || t.learned[id] == address || address == "" || len(t.learned) >= maxLearned && t.learned[id] == "" {
		return
	}
	t.learned[id] = address
	if p := t.peers[id]; p != nil {
		p.cancel()
		delete(t.peers, id)
	}
}

// learnOperator notes where operators reach a sender. A member of an earlier
// version does not say it.
func (t *Transport) learnOperator(id uint64, text string) {
	if address, err := netip.ParseAddrPort(text); err != nil || !address.IsValid() {
		text = ""
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.operators[id]; known || len(t.operators) < maxOperators {
		t.operators[id] = text
	}
}

// OperatorAddress returns the address at which operators reach a member, empty
// if the member has not named one.
func (t *Transport) OperatorAddress(id uint64) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.operators[id]
}

// Send queues a message. It is dropped where the member's address is unknown
// or too many messages wait.
func (t *Transport) Send(message *wirev1.RaftMessage) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p := t.peers[message.To]
	if p == nil {
		address := t.address(message.To)
		if address == "" || t.context.Err() != nil {
			return
		}
		p = t.newPeer(message.To, address)
		t.peers[message.To] = p
	}
	p.enqueue(message)
}

// Form asks the member at an address whether the group exists.
func (t *Transport) Form(ctx context.Context, address string, request *wirev1.FormRequest) (*wirev1.FormResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	request.GroupId = t.config.GroupID
	call := connect.NewRequest(request)
	t.authorize(call.Header())
	response, err := t.rpc(address).Form(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return response.Msg, nil
}

// Join asks the member at an address to have this one added to the group.
func (t *Transport) Join(ctx context.Context, address string, request *wirev1.JoinRequest) (*wirev1.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	request.GroupId = t.config.GroupID
	call := connect.NewRequest(request)
	t.authorize(call.Header())
	response, err := t.rpc(address).Join(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	return response.Msg, nil
}

func (t *Transport) rpc(address string) wirev1connect.MemberServiceClient {
	return wirev1connect.NewMemberServiceClient(t.client, "http://"+address)
}

// Close ends all peers and waits for them. Queued messages are sent before.
func (t *Transport) Close() {
	t.mutex.Lock()
	for id, p := range t.peers {
		close(p.drain)
		delete(t.peers, id)
	}
	t.mutex.Unlock()
	time.AfterFunc(stepTimeout, t.stop)
	t.running.Wait()
	t.stop()
	t.client.CloseIdleConnections()
}
