package member

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// retryInterval is the pause after a failed request to a member.
const retryInterval = 50 * time.Millisecond

// peer sends messages to one member. Snapshots have their own queue, so that
// heartbeats do not wait behind them.
type peer struct {
	id      uint64
	address string
	client  wirev1connect.MemberServiceClient
	cancel  context.CancelFunc
	// drain is closed when the peer shall end after it has sent the queued
	// messages.
	drain     chan struct{}
	messages  chan *wirev1.RaftMessage
	snapshots chan *wirev1.RaftMessage
	transport *Transport

	mutex sync.Mutex
	// lastFailure is the status code of the last error, empty while the member is
	// reachable.
	lastFailure     string
	droppedMessages int
}

func (t *Transport) newPeer(id uint64, address string) *peer {
	ctx, cancel := context.WithCancel(t.context)
	p := &peer{
		id: id, address: address, client: t.newClient(address), cancel: cancel, drain: make(chan struct{}),
		messages: make(chan *wirev1.RaftMessage, maxQueuedMessages), snapshots: make(chan *wirev1.RaftMessage, 1), transport: t,
	}
	t.running.Add(2)
	go func() {
		defer t.running.Done()
		p.run(ctx, p.messages, stepTimeout)
	}()
	go func() {
		defer t.running.Done()
		p.run(ctx, p.snapshots, snapshotTimeout)
	}()
	return p
}

// enqueue adds a message to its queue, or drops it if the queue is full.
func (p *peer) enqueue(message *wirev1.RaftMessage) {
	queue := p.messages
	if message.Kind == wirev1.RaftMessage_KIND_SNAPSHOT {
		queue = p.snapshots
	}
	select {
	case queue <- message:
	default:
		p.mutex.Lock()
		p.droppedMessages++
		p.mutex.Unlock()
	}
}

// run sends queued messages in batches until the context ends, or until the
// queue is empty after drain was closed.
func (p *peer) run(ctx context.Context, queue <-chan *wirev1.RaftMessage, timeout time.Duration) {
	draining := false
	for {
		var batch []*wirev1.RaftMessage
		if draining {
			if batch = appendQueued(batch, queue); len(batch) == 0 {
				return
			}
		} else {
			select {
			case <-ctx.Done():
				return
			case <-p.drain:
				draining = true
				continue
			case first := <-queue:
				batch = appendQueued([]*wirev1.RaftMessage{first}, queue)
			}
		}
		if p.send(ctx, batch, timeout) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval):
		}
	}
}

// appendQueued appends queued messages to a batch, up to maxBatchMessages and
// until it has maxBatchBytes.
func appendQueued(batch []*wirev1.RaftMessage, queue <-chan *wirev1.RaftMessage) []*wirev1.RaftMessage {
	size := 0
	for _, m := range batch {
		size += proto.Size(m)
	}
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

// send sends a batch and reports whether the member accepted it.
func (p *peer) send(ctx context.Context, batch []*wirev1.RaftMessage, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	config := &p.transport.config
	call := connect.NewRequest(&wirev1.StepRequest{GroupId: config.GroupID, Address: config.Address, Messages: batch})
	p.transport.authorize(call.Header())
	if config.OperatorAddress != "" {
		call.Header().Set(headers.MemberOperator, config.OperatorAddress)
	}
	_, err := p.client.Step(ctx, call)
	p.reportResult(err)
	return err == nil
}

// reportResult logs when a member becomes unreachable or reachable, or when the
// kind of failure changes.
func (p *peer) reportResult(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	logger := &p.transport.config.Logger
	if err == nil {
		if p.lastFailure != "" {
			logger.Info().Uint64("member", p.id).Str("address", p.address).Int("dropped", p.droppedMessages).Msg("member is reachable again")
		}
		p.lastFailure, p.droppedMessages = "", 0
		return
	}
	// Only the codes of failures are compared, because their texts contain
	// changing ports.
	if failure := connect.CodeOf(err).String(); failure != p.lastFailure {
		p.lastFailure = failure
		logger.Warn().Uint64("member", p.id).Str("address", p.address).Err(err).Msg("cannot send to member")
	}
}
