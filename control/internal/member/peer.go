package member

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// retryPause bounds how often an unreachable member is tried.
const retryPause = 50 * time.Millisecond

// peer sends to one member. Snapshots have their own queue so that heartbeats
// do not wait behind them.
type peer struct {
	id      uint64
	address string
	client  wirev1connect.MemberServiceClient
	cancel  context.CancelFunc
	// drain is closed when what is queued shall be sent before the end.
	drain     chan struct{}
	messages  chan *wirev1.RaftMessage
	snapshots chan *wirev1.RaftMessage
	transport *Transport

	mutex sync.Mutex
	// failure is the last error, empty while the member is reachable.
	failure string
	dropped int
}

func (t *Transport) newPeer(id uint64, address string) *peer {
	ctx, cancel := context.WithCancel(t.context)
	p := &peer{
		id: id, address: address, client: t.rpc(address), cancel: cancel, drain: make(chan struct{}),
		messages: make(chan *wirev1.RaftMessage, queueMessages), snapshots: make(chan *wirev1.RaftMessage, 1), transport: t,
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

func (p *peer) enqueue(message *wirev1.RaftMessage) {
	queue := p.messages
	if message.Kind == wirev1.RaftMessage_KIND_SNAPSHOT {
		queue = p.snapshots
	}
	select {
	case queue <- message:
	default:
		p.mutex.Lock()
		p.dropped++
		p.mutex.Unlock()
	}
}

// run sends what is queued, in batches, until the peer ends.
func (p *peer) run(ctx context.Context, queue <-chan *wirev1.RaftMessage, timeout time.Duration) {
	draining := false
	for {
		var batch []*wirev1.RaftMessage
		if draining {
			if batch = takeQueued(batch, queue); len(batch) == 0 {
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
				batch = takeQueued([]*wirev1.RaftMessage{first}, queue)
			}
		}
		if p.send(ctx, batch, timeout) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryPause):
		}
	}
}

// takeQueued adds messages that wait, up to the size of a batch.
func takeQueued(batch []*wirev1.RaftMessage, queue <-chan *wirev1.RaftMessage) []*wirev1.RaftMessage {
	for len(batch) < batchMessages {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// send reports whether the member took the batch.
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
	p.report(err)
	return err == nil
}

// report logs when a member becomes unreachable, reachable, or fails in
// another way than before.
func (p *peer) report(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	logger := &p.transport.config.Logger
	if err == nil {
		if p.failure != "" {
			logger.Info().Uint64("member", p.id).Str("address", p.address).Int("dropped", p.dropped).Msg("member is reachable again")
		}
		p.failure, p.dropped = "", 0
		return
	}
	// The code alone tells failures apart: texts have changing ports.
	if failure := connect.CodeOf(err).String(); failure != p.failure {
		p.failure = failure
		logger.Warn().Uint64("member", p.id).Str("address", p.address).Err(err).Msg("cannot send to member")
	}
}
