package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// framedClient sends calls with short bodies on framed connections, one
// for each other node.
type framedClient struct {
	watched *connections

	mu    sync.Mutex
	peers map[string]*dialed
	ended bool
	links sync.WaitGroup
}

// dialed is a connection, or the attempt to open it.
type dialed struct {
	ready chan struct{}
	// Set before ready is closed.
	link *clientLink
	err  error
}

// connect returns the connection to an address, and opens one if there is none.
func (p *framedClient) connect(ctx context.Context, expired <-chan time.Time, address string) (*clientLink, error) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return nil, &dialError{errLinkClosed}
	}
	d := p.peers[address]
	if d == nil {
		d = &dialed{ready: make(chan struct{})}
		p.peers[address] = d
		p.links.Go(func() { p.open(address, d) })
	}
	p.mu.Unlock()
	select {
	case <-d.ready:
		return d.link, d.err
	case <-ctx.Done():
		return nil, &dialError{ctx.Err()}
	case <-expired:
		return nil, &dialError{context.DeadlineExceeded}
	}
}

// open dials and runs the connection until it ends. Those who wait for it may
// give up; others use it then.
func (p *framedClient) open(address string, d *dialed) {
	nc, err := dial(context.Background(), "tcp", address)
	if err != nil {
		d.err = err
		p.forget(address, d)
		close(d.ready)
		return
	}
	c := &clientLink{streams: map[uint32]*stream{}}
	c.left = func() { p.forget(address, d) }
	c.prepare(preface)
	c.start(p.watched.add(nc, framedTarget(address), c))
	c.signal()
	d.link = c
	p.mu.Lock()
	if p.ended {
		c.close()
	}
	p.mu.Unlock()
	close(d.ready)
	c.run()
}

// framedTarget names the framed connection to an address among the watched ones.
func framedTarget(address string) string { return "framed " + address }

func (p *framedClient) forget(address string, d *dialed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == d {
		delete(p.peers, address)
	}
}

// close closes all connections and returns when their goroutines have ended.
func (p *framedClient) close() {
	p.mu.Lock()
	p.ended = true
	for _, d := range p.peers {
		select {
		case <-d.ready:
			if d.link != nil {
				d.link.close()
			}
		default:
		}
	}
	p.mu.Unlock()
	p.links.Wait()
}

// clientLink is a framed connection to another node.
type clientLink struct {
	link
	// left takes the connection out of use for new calls.
	left func()

	mu      sync.Mutex
	streams map[uint32]*stream
	last    uint32
	gone    bool
	// shown is the registration that the other node was shown last.
	shown view.Identity
}

// reply is what became of a call.
type reply struct {
	answer  *relay.Response
	refusal *outcome.Refusal
	err     error
}

// stream is a call on its way.
type stream struct {
	sending string
	replied chan reply
	// body is set for a streamed answer.
	body *incoming
}

// begin sends a call. With an error nothing was sent; errLinkClosed means that
// another connection may take the call.
func (c *clientLink) begin(i view.Identity, call *relay.Call, left time.Duration) (*stream, uint32, error) {
	buffer := payloads.Get().(*[]byte)
	defer payloads.Put(buffer)
	var err error
	if *buffer, err = appendCall((*buffer)[:0], call, left); err != nil {
		return nil, 0, err
	}
	var size [binary.MaxVarintLen64]byte
	c.waitRoom()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return nil, 0, errLinkClosed
	}
	if i.Incarnation != c.shown.Incarnation || i.Secret != c.shown.Secret {
		c.shown = i
		hello, err := appendMessage(nil, &wirev1.PeerHello{Incarnation: strconv.FormatUint(i.Incarnation, 10), Secret: i.Secret})
		if err != nil {
			return nil, 0, err
		}
		c.send(frameHello, 0, hello)
	}
	c.last++
	s := &stream{sending: call.Sending, replied: make(chan reply, 1)}
	if !c.send(frameCall, c.last, sized(&size, *buffer), *buffer, call.Body.Buffered) {
		return nil, 0, errLinkClosed
	}
	c.streams[c.last] = s
	return s, c.last, nil
}

// cancel tells the other node that nobody waits for a call any more.
func (c *clientLink) cancel(id uint32) {
	if c.take(id) != nil {
		c.send(frameCancel, id)
	}
}

// take removes a stream. It returns nil if it has ended.
func (c *clientLink) take(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[id]
	delete(c.streams, id)
	return s
}

// run reads frames until the connection ends, and fails the calls left then.
func (c *clientLink) run() {
	var parts sync.WaitGroup
	parts.Go(c.write)
	for {
		f, err := c.next()
		if err == nil {
			err = c.receive(f)
		}
		if err != nil {
			break
		}
	}
	c.left()
	c.close()
	c.mu.Lock()
	c.gone = true
	lost := c.streams
	c.streams = map[uint32]*stream{}
	c.mu.Unlock()
	for _, s := range lost {
		if s.body != nil {
			s.body.end(io.ErrUnexpectedEOF, nil)
			continue
		}
		s.replied <- reply{err: errLinkClosed}
	}
	parts.Wait()
}

func (c *clientLink) ping() { c.send(framePing, 0) }

// closeIdle closes the connection unless a call has begun meanwhile.
func (c *clientLink) closeIdle() {
	c.mu.Lock()
	idle := len(c.streams) == 0
	c.gone = c.gone || idle
	c.mu.Unlock()
	if idle {
		c.left()
		c.close()
	}
}

func (c *clientLink) receive(f frame) error {
	switch f.kind {
	case frameGoAway:
		c.mu.Lock()
		c.gone = true
		// The last frame: the other node knows that no call follows it.
		c.send(frameDone, 0)
		c.mu.Unlock()
		c.left()
		return nil
	case frameData:
		return c.data(f)
	case frameAnswer, frameRefusal, frameEnd, frameReset:
	default:
		return errors.Errorf("unexpected %v frame", f.kind)
	}
	if f.kind == frameAnswer {
		return c.answered(f)
	}
	s := c.take(f.stream)
	switch {
	case s == nil:
		// The call was given up meanwhile.
		return nil
	case f.kind == frameRefusal && s.body == nil:
		r, err := decodeRefusal(f.payload)
		s.replied <- reply{refusal: r, err: err}
		return err
	case f.kind == frameEnd && s.body != nil:
		var m wirev1.PeerTrailer
		if err := decodeMessage(f.payload, &m); err != nil {
			s.body.end(err, nil)
			return err
		}
		s.body.end(io.EOF, headerOf(m.GetTrailer()))
	case s.body != nil:
		s.body.end(io.ErrUnexpectedEOF, nil)
	default:
		s.replied <- reply{err: errors.New("call was reset")}
	}
	return nil
}

func (c *clientLink) answered(f frame) error {
	answer, sending, err := decodeAnswer(f.payload)
	if err != nil {
		return err
	}
	c.mu.Lock()
	s := c.streams[f.stream]
	if s == nil || s.body != nil {
		c.mu.Unlock()
		return nil
	}
	crossed := sending != s.sending
	if answer.Body != nil || crossed {
		delete(c.streams, f.stream)
	} else {
		s.body = newIncoming(c, f.stream)
		answer.Body = s.body
		answer.Trailer = func() http.Header { return s.body.trailer }
	}
	c.mu.Unlock()
	if crossed {
		if answer.Body == nil {
			c.send(frameCancel, f.stream)
		}
		s.replied <- reply{refusal: relay.Unknown(outcome.ReasonAnswerIncomplete), err: errors.Errorf("answer to %q on the request %q", sending, s.sending)}
		return nil
	}
	s.replied <- reply{answer: answer}
	return nil
}

func (c *clientLink) data(f frame) error {
	c.mu.Lock()
	s := c.streams[f.stream]
	c.mu.Unlock()
	if s != nil && s.body != nil {
		return s.body.add(f.payload)
	}
	// Data of a call given up still counts against the connection's window.
	c.credit(0, len(f.payload))
	return nil
}

func (c *clientLink) credit(id uint32, n int) {
	var b [binary.MaxVarintLen64]byte
	c.send(frameWindow, id, protowire.AppendVarint(b[:0], uint64(n)))
}
