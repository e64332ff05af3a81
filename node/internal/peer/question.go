package peer

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/view"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// A question is a ping with a payload and a stream number, and its answer the pong
// with that number. Nodes that know no questions answer any ping with a pong without
// a number, so that they are not disturbed.

// errUnanswered means that the other node does not answer questions of this one.
var errUnanswered = errors.New("the other node does not answer the question")

// Ask sends a question on the framed connection to an address and returns the
// answer. The error wraps syscall.ECONNREFUSED if no process listens there.
func (p *Client) Ask(ctx context.Context, address string, question []byte) ([]byte, error) {
	target := p.connections.beginCallTo(framedTarget(address))
	defer p.connections.endCall(target)
	for range maxConnectAttempts {
		conn, err := p.framed.connect(ctx, nil, address)
		if err != nil {
			return nil, err
		}
		answer, err := conn.ask(ctx, p, question)
		if !errors.Is(err, errConnClosed) {
			return answer, err
		}
		// A question may be asked twice. The node may have ended, which the next
		// attempt to connect shows.
		conn.unregister()
	}
	return nil, errConnClosed
}

// ask sends a question and waits for the answer.
func (c *clientConn) ask(ctx context.Context, p *Client, question []byte) ([]byte, error) {
	answered := make(chan []byte, 1)
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil, errConnClosed
	}
	if err := c.sendHello(p.view.Identity()); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	c.lastID++
	id := c.lastID
	if c.questions == nil {
		c.questions = map[uint32]chan []byte{}
	}
	c.questions[id] = answered
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.questions, id)
	}()
	if !c.send(framePing, id, question) {
		return nil, errConnClosed
	}
	select {
	case answer := <-answered:
		if len(answer) == 0 {
			return nil, errUnanswered
		}
		return answer, nil
	case <-c.closed:
		return nil, errConnClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendHello sends a registration unless it was the last one sent. c.mu is held.
func (c *clientConn) sendHello(i view.Identity) error {
	if i.Incarnation == c.sentIdentity.Incarnation && i.Secret == c.sentIdentity.Secret {
		return nil
	}
	c.sentIdentity = i
	hello, err := appendMessage(nil, &wirev1.PeerHello{Incarnation: strconv.FormatUint(i.Incarnation, 10), Secret: i.Secret})
	if err != nil {
		return err
	}
	c.send(frameHello, 0, hello)
	return nil
}

// handlePong passes an answer to the one who asked.
func (c *clientConn) handlePong(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered, ok := c.questions[f.stream]; ok {
		delete(c.questions, f.stream)
		answered <- f.payload
	}
}

// handlePing answers a question of the calling node. The answer is empty if the
// node is not known or there is no one to answer.
func (l *serverConn) handlePing(f frame) {
	var answer []byte
	if l.h.Answer != nil && l.h.authenticate(l.incarnation, l.secret, l.nc.RemoteAddr().String()) == nil {
		from, err := strconv.ParseUint(l.incarnation, 10, 64)
		if err == nil {
			answer = l.h.Answer(from, f.payload)
		}
	}
	l.send(framePong, f.stream, answer)
}
