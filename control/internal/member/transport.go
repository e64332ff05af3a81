// Package member transports the messages of the replicated log between control
// members, over HTTP/2 without encryption.
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
	// dialTimeout and stepTimeout are close to raft.DefaultMinElectionTimeout: a
	// message that takes longer is of no use.
	dialTimeout = 300 * time.Millisecond
	stepTimeout = 500 * time.Millisecond
	// snapshotTimeout is enough for 256 MiB at 100 Mbit/s.
	snapshotTimeout = 30 * time.Second
	// pingIdleTime is the time without received data after which a ping is sent.
	// pingTimeout is the time without an answer after which the connection counts
	// as half-open and is closed.
	pingIdleTime = 250 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// maxQueuedMessages limits the messages queued for one peer. Further messages
	// are dropped; the log sends them again.
	maxQueuedMessages = 256
	// maxBatchMessages limits the messages of one request.
	maxBatchMessages = 64
	// maxBatchBytes is the size from which a request gets no further message. It
	// bounds the memory for a request at both ends.
	maxBatchBytes = 4 << 20
	// maxRequestBytes limits the body of one received request.
	maxRequestBytes = 256 << 20
	// maxLearnedAddresses limits the addresses stored for senders outside the
	// membership.
	maxLearnedAddresses = 16
	// maxOperatorAddresses limits the operator addresses stored: those of the
	// members and of senders that are not in the membership yet.
	maxOperatorAddresses = 16
)

// Config configures a Transport. GroupID, Secret, Address, Receive and
// HandleForm are required.
type Config struct {
	GroupID string
	// Secret is shared by all members. Requests without it are refused.
	Secret string
	// Address is the host and port at which other members reach this one.
	Address string
	// OperatorAddress is the address at which operators reach this member. Other
	// members refer operators to it while this member leads.
	OperatorAddress string
	Logger          zerolog.Logger
	// Receive is called with the messages of other members. It must not block for
	// long.
	Receive func([]*wirev1.RaftMessage)
	// HandleForm answers a member without a log, which asks whether the group
	// exists.
	HandleForm func(*wirev1.FormRequest) (*wirev1.FormResponse, error)
	// HandleJoin answers a member that asks to be added. Nil means that only
	// operators add members.
	HandleJoin func(*wirev1.JoinRequest) (*wirev1.JoinResponse, error)
	// HandleAnnounce is called with the address of a member that announces itself.
	// Nil means that only operators add members.
	HandleAnnounce func(*wirev1.AnnounceRequest) (*wirev1.AnnounceResponse, error)
}

// Transport sends messages to other members and serves MemberService. All
// methods are safe for concurrent use.
type Transport struct {
	config Config
	client *http.Client
	// cancel ends context and with it all peers.
	cancel  context.CancelFunc
	context context.Context
	running sync.WaitGroup

	mutex sync.Mutex
	peers map[uint64]*peer
	// learnedAddresses has the addresses of senders outside the membership, by
	// member id.
	learnedAddresses map[uint64]string
	memberAddresses  map[uint64]string
	// operatorAddresses has the operator addresses that members sent, by member
	// id.
	operatorAddresses map[uint64]string
}

// New returns a Transport without peers. Close must be called to end it.
func New(config Config) (*Transport, error) {
	switch {
	case config.GroupID == "":
		return nil, errors.New("member transport: group id is empty")
	case config.Secret == "":
		return nil, errors.New("member transport: member secret is empty")
	case config.Address == "":
		return nil, errors.New("member transport: address of the member is empty")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		config: config, context: ctx, cancel: cancel,
		client: &http.Client{Transport: newRoundTripper()},
		peers:  map[uint64]*peer{}, learnedAddresses: map[uint64]string{}, memberAddresses: map[uint64]string{}, operatorAddresses: map[uint64]string{},
	}, nil
}

func newRoundTripper() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
}

// SetMembers replaces the addresses of the members. Peers whose address changed
// are ended.
func (t *Transport) SetMembers(members []*wirev1.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.memberAddresses)
	for _, m := range members {
		t.memberAddresses[m.Id] = m.Address
		delete(t.learnedAddresses, m.Id)
	}
	for id := range t.operatorAddresses {
		if t.memberAddresses[id] == "" {
			delete(t.operatorAddresses, id)
		}
	}
	for id, p := range t.peers {
		if address := t.address(id); address != p.address {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// address returns the address of a member or of a sender outside the
// membership, or "" if it is unknown.
func (t *Transport) address(id uint64) string {
	if address := t.memberAddresses[id]; address != "" {
		return address
	}
	return t.learnedAddresses[id]
}

// learnAddress stores the address of a sender outside the membership, so that
// the sender can be answered.
func (t *Transport) learnAddress(id uint64, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.memberAddresses[id] != "" || t.learnedAddresses[id] == address || address == "" || len(t.learnedAddresses) >= maxLearnedAddresses && t.learnedAddresses[id] == "" {
		return
	}
	t.learnedAddresses[id] = address
	if p := t.peers[id]; p != nil {
		p.cancel()
		delete(t.peers, id)
	}
}

// learnOperatorAddress stores the operator address of a sender. Members of an
// earlier version do not send one; an invalid address counts as none.
func (t *Transport) learnOperatorAddress(id uint64, text string) {
	if address, err := netip.ParseAddrPort(text); err != nil || !address.IsValid() {
		text = ""
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.operatorAddresses[id]; known || len(t.operatorAddresses) < maxOperatorAddresses {
		t.operatorAddresses[id] = text
	}
}

// OperatorAddress returns the address at which operators reach a member, or ""
// if the member has not sent one.
func (t *Transport) OperatorAddress(id uint64) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.operatorAddresses[id]
}

// Send queues a message and does not block. The message is dropped if the
// member's address is unknown or the queue is full.
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
	response, err := t.newClient(address).Form(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("form request to %s: %w", address, err)
	}
	return response.Msg, nil
}

// Join asks the member at an address to add this one to the group.
func (t *Transport) Join(ctx context.Context, address string, request *wirev1.JoinRequest) (*wirev1.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	request.GroupId = t.config.GroupID
	call := connect.NewRequest(request)
	t.authorize(call.Header())
	response, err := t.newClient(address).Join(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("join request to %s: %w", address, err)
	}
	return response.Msg, nil
}

// Announce tells the process at an address that this one is a member.
func (t *Transport) Announce(ctx context.Context, address string, request *wirev1.AnnounceRequest) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	request.GroupId = t.config.GroupID
	call := connect.NewRequest(request)
	t.authorize(call.Header())
	if _, err := t.newClient(address).Announce(ctx, call); err != nil {
		return fmt.Errorf("announce request to %s: %w", address, err)
	}
	return nil
}

func (t *Transport) newClient(address string) wirev1connect.MemberServiceClient {
	return wirev1connect.NewMemberServiceClient(t.client, "http://"+address)
}

// Close sends the queued messages for at most stepTimeout, then ends all peers
// and waits for them.
func (t *Transport) Close() {
	t.mutex.Lock()
	for id, p := range t.peers {
		close(p.drain)
		delete(t.peers, id)
	}
	t.mutex.Unlock()
	time.AfterFunc(stepTimeout, t.cancel)
	t.running.Wait()
	t.cancel()
	t.client.CloseIdleConnections()
}
