package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// framedClient has the framed connections for calls with short bodies, one for
// each other node. It is safe for concurrent use.
type framedClient struct {
	connections *connectionSet
	// dialing ends with close, so that close waits for no attempt to connect.
	dialing     context.Context
	stopDialing context.CancelFunc

	mu      sync.Mutex
	conns   map[string]*connEntry
	closed  bool
	running sync.WaitGroup
}

// connEntry is an open connection or an attempt to open one.
type connEntry struct {
	ready chan struct{}
	// conn and err are set before ready is closed.
	conn *clientConn
	err  error
}

func newFramedClient(connections *connectionSet) *framedClient {
	dialing, stopDialing := context.WithCancel(context.Background())
	return &framedClient{connections: connections, dialing: dialing, stopDialing: stopDialing, conns: map[string]*connEntry{}}
}

// connect returns the connection to an address, and opens it if there is none.
// Its error is a dialError.
func (p *framedClient) connect(ctx context.Context, expired <-chan time.Time, address string) (*clientConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &dialError{errConnClosed}
	}
	entry := p.conns[address]
	if entry == nil {
		entry = &connEntry{ready: make(chan struct{})}
		p.conns[address] = entry
		p.running.Go(func() { p.open(address, entry) })
	}
	p.mu.Unlock()
	select {
	case <-entry.ready:
		return entry.conn, entry.err
	case <-ctx.Done():
		return nil, &dialError{ctx.Err()}
	case <-expired:
		return nil, &dialError{context.DeadlineExceeded}
	}
}

// open dials a connection and runs it until it closes. The attempt goes on if
// the call that caused it ends, since other calls may wait for the connection.
func (p *framedClient) open(address string, entry *connEntry) {
	nc, err := dial(p.dialing, "tcp", address)
	if err != nil {
		entry.err = err
		p.remove(address, entry)
		close(entry.ready)
		return
	}
	c := &clientConn{streams: map[uint32]*stream{}}
	c.unregister = func() { p.remove(address, entry) }
	c.init(preface)
	c.onPong = c.handlePong
	c.start(p.connections.add(nc, framedTarget(address), c))
	c.wakeWriter()
	entry.conn = c
	p.mu.Lock()
	if p.closed {
		c.close()
	}
	p.mu.Unlock()
	close(entry.ready)
	c.run()
}

// framedTarget returns the key of the framed connection to an address in a
// connectionSet.
func framedTarget(address string) string { return "framed " + address }

func (p *framedClient) remove(address string, entry *connEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == entry {
		delete(p.conns, address)
	}
}

// close closes all connections and waits for their goroutines.
func (p *framedClient) close() {
	p.mu.Lock()
	p.closed = true
	for _, entry := range p.conns {
		select {
		case <-entry.ready:
			if entry.conn != nil {
				entry.conn.close()
			}
		default:
		}
	}
	p.mu.Unlock()
	p.stopDialing()
	p.running.Wait()
}

// clientConn is the calling side of a framed connection to another node.
type clientConn struct {
	frameConn
	// unregister removes the connection from its framedClient, so that new
	// calls open another one.
	unregister func()

	mu      sync.Mutex
	streams map[uint32]*stream
	// questions are those without an answer.
	questions map[uint32]chan []byte
	lastID    uint32
	// closing means that the connection takes no new calls.
	closing bool
	// sentIdentity is the registration in the last hello frame.
	sentIdentity view.Identity
}

// reply is the outcome of a call on a connection.
type reply struct {
	answer  *relay.Response
	refusal *outcome.Refusal
	err     error
}

// stream is a call in flight.
type stream struct {
	sending string
	replied chan reply
	// body is not nil once a streamed response has begun.
	body *streamedBody
}

// begin sends a call. If it returns an error, the call was not sent. After
// errConnClosed the call may be sent on another connection.
func (c *clientConn) begin(ctx context.Context, i view.Identity, call *relay.Call, remaining time.Duration) (*stream, uint32, error) {
	buffer := payloadBuffers.Get().(*[]byte)
	defer payloadBuffers.Put(buffer)
	var err error
	if *buffer, err = appendCall((*buffer)[:0], call, remaining); err != nil {
		return nil, 0, err
	}
	var size [binary.MaxVarintLen64]byte
	if err := c.waitUntilDue(ctx, remaining); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, 0, errConnClosed
	}
	if err := c.sendHello(i); err != nil {
		return nil, 0, err
	}
	c.lastID++
	s := &stream{sending: call.Sending, replied: make(chan reply, 1)}
	if !c.send(frameCall, c.lastID, lengthPrefix(&size, *buffer), *buffer, call.Body.Buffered) {
		return nil, 0, errConnClosed
	}
	c.streams[c.lastID] = s
	return s, c.lastID, nil
}

// waitUntilDue is waitForSpace for a call with the given time left.
func (c *clientConn) waitUntilDue(ctx context.Context, remaining time.Duration) error {
	if c.hasSpace() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return c.waitForSpace(ctx)
}

// cancel notifies the other node that the response to a call is no longer
// needed.
func (c *clientConn) cancel(id uint32) {
	if c.removeStream(id) != nil {
		c.send(frameCancel, id)
	}
}

// removeStream removes and returns a stream. It returns nil if the stream has
// ended.
func (c *clientConn) removeStream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[id]
	delete(c.streams, id)
	return s
}

// run reads frames until the connection closes, then fails the calls in flight.
func (c *clientConn) run() {
	var goroutines sync.WaitGroup
	goroutines.Go(c.writeLoop)
	for {
		f, err := c.nextFrame()
		if err == nil {
			err = c.handleFrame(f)
		}
		if err != nil {
			break
		}
	}
	c.unregister()
	c.close()
	c.mu.Lock()
	c.closing = true
	pending := c.streams
	c.streams = map[uint32]*stream{}
	c.mu.Unlock()
	for _, s := range pending {
		if s.body != nil {
			s.body.end(io.ErrUnexpectedEOF, nil)
			continue
		}
		s.replied <- reply{err: errConnClosed}
	}
	goroutines.Wait()
}

func (c *clientConn) ping() { c.send(framePing, 0) }

// closeIdle closes the connection unless a call is in flight.
func (c *clientConn) closeIdle() {
	c.mu.Lock()
	idle := len(c.streams) == 0 && len(c.questions) == 0
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.unregister()
		c.close()
	}
}

func (c *clientConn) handleFrame(f frame) error {
	switch f.kind {
	case frameGoAway:
		c.mu.Lock()
		c.closing = true
		// The done frame is the last one. It confirms to the other node that no
		// call follows.
		c.send(frameDone, 0)
		c.mu.Unlock()
		c.unregister()
		return nil
	case frameData:
		return c.handleData(f)
	case frameAnswer, frameRefusal, frameEnd, frameReset:
	default:
		return errors.Errorf("unexpected %v frame from the called node", f.kind)
	}
	if f.kind == frameAnswer {
		return c.handleAnswer(f)
	}
	s := c.removeStream(f.stream)
	switch {
	case s == nil:
		// The call was cancelled in the meantime.
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
		s.body.end(io.EOF, headerFromFields(m.GetTrailer()))
	case s.body != nil:
		s.body.end(io.ErrUnexpectedEOF, nil)
	default:
		s.replied <- reply{err: errors.New("call reset by the owner's node")}
	}
	return nil
}

func (c *clientConn) handleAnswer(f frame) error {
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
	mismatched := sending != s.sending
	if answer.Body != nil || mismatched {
		delete(c.streams, f.stream)
	} else {
		s.body = newStreamedBody(c, f.stream)
		answer.Body = s.body
		answer.Trailer = func() http.Header { return s.body.trailer }
	}
	c.mu.Unlock()
	if mismatched {
		if answer.Body == nil {
			c.send(frameCancel, f.stream)
		}
		s.replied <- reply{refusal: relay.Unknown(outcome.ReasonAnswerIncomplete), err: errors.Errorf("response has request id %q, expected %q", sending, s.sending)}
		return nil
	}
	s.replied <- reply{answer: answer}
	return nil
}

func (c *clientConn) handleData(f frame) error {
	c.mu.Lock()
	s := c.streams[f.stream]
	c.mu.Unlock()
	if s != nil && s.body != nil {
		return s.body.add(f.payload)
	}
	// Data of a cancelled call still counts against the connection's window.
	c.sendWindowUpdate(0, len(f.payload))
	return nil
}

func (c *clientConn) sendWindowUpdate(id uint32, n int) {
	var b [binary.MaxVarintLen64]byte
	c.send(frameWindow, id, protowire.AppendVarint(b[:0], uint64(n)))
}
