package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

var errCancelled = errors.New("call cancelled")

// serverConn is the serving side of a framed connection from another node.
type serverConn struct {
	frameConn
	h *Handler
	// incarnation and secret are those of the last hello frame. Only the
	// reading goroutine uses them.
	incarnation, secret string
	workers             *workers
	// goroutines are the writer and the calls.
	goroutines sync.WaitGroup

	mu sync.Mutex
	// windowChanged is signalled when a window grows or a call is cancelled.
	windowChanged sync.Cond
	streams       map[uint32]*serverCall
	// window is the number of bytes that may be sent of all bodies together.
	window int
	// draining means that the connection closes once its calls have ended.
	draining bool
}

// serverCall is a call of another node that runs on this node.
type serverCall struct {
	conn             *serverConn
	id               uint32
	entryIncarnation string
	call             *relay.Call
	ctx              context.Context
	cancel           context.CancelFunc
	// window is the number of bytes of the body that may be sent. The
	// connection's mu guards window and cancelled.
	window    int
	cancelled bool
	// target counts the call on its connection. It is nil if the connection is
	// not monitored.
	target *target
}

func newServerConn(h *Handler, w *workers, nc net.Conn) *serverConn {
	l := &serverConn{h: h, workers: w, streams: map[uint32]*serverCall{}, window: connectionWindow}
	l.windowChanged.L = &l.mu
	l.allows = l.checkFrameSize
	l.init("")
	l.onPing = l.handlePing
	l.start(nc)
	return l
}

// maxUnknownFrameBytes is the largest payload from a sender that is not authenticated. It
// is enough for a hello and most calls, which get a refusal.
const maxUnknownFrameBytes = 16 << 10

// checkFrameSize returns an error for a large frame of a sender that is not authenticated.
func (l *serverConn) checkFrameSize(size uint32) error {
	if size > maxUnknownFrameBytes && l.h.authenticate(l.incarnation, l.secret, l.nc.RemoteAddr().String()) != nil {
		return errors.Errorf("frame of %d bytes from an unknown sender, over the limit of %d", size, maxUnknownFrameBytes)
	}
	return nil
}

// run serves the connection until it is closed and its calls have ended.
func (l *serverConn) run() {
	l.goroutines.Go(l.writeLoop)
	for {
		f, err := l.nextFrame()
		if err == nil {
			err = l.handleFrame(f)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.h.Log.Debug().Err(err).Str("remote", l.nc.RemoteAddr().String()).Msg("framed connection from a node closed")
			}
			break
		}
	}
	l.close()
	l.mu.Lock()
	for _, s := range l.streams {
		s.cancelled = true
		s.cancel()
	}
	l.windowChanged.Broadcast()
	l.mu.Unlock()
	l.goroutines.Wait()
}

func (l *serverConn) handleFrame(f frame) error {
	switch f.kind {
	case frameHello:
		var m wirev1.PeerHello
		if err := decodeMessage(f.payload, &m); err != nil {
			return err
		}
		l.incarnation, l.secret = m.GetIncarnation(), m.GetSecret()
	case frameCall:
		l.beginCall(f)
	case frameCancel:
		l.cancelCall(f.stream)
	case frameWindow:
		n, size := protowire.ConsumeVarint(f.payload)
		if size < 0 || n > connectionWindow {
			return errMalformed
		}
		l.mu.Lock()
		l.window += int(n)
		if s := l.streams[f.stream]; s != nil {
			s.window += int(n)
		}
		l.windowChanged.Broadcast()
		l.mu.Unlock()
	case frameDone:
		l.closeWhenIdle()
	default:
		return errors.Errorf("unexpected %v frame from the calling node", f.kind)
	}
	return nil
}

// goAway notifies the other node to send no more calls. The connection is closed
// without its confirmation after goAwayTimeout.
func (l *serverConn) goAway() {
	l.send(frameGoAway, 0)
	time.AfterFunc(goAwayTimeout, l.closeWhenIdle)
}

// closeWhenIdle closes the connection once its calls have ended. It is called
// when the other node sends no more calls or does not respond.
func (l *serverConn) closeWhenIdle() {
	l.mu.Lock()
	l.draining = true
	last := len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.closeWhenWritten()
	}
}

// beginCall authenticates the sender of a call and passes the call to a
// goroutine.
func (l *serverConn) beginCall(f frame) {
	if refusal := l.h.authenticate(l.incarnation, l.secret, l.nc.RemoteAddr().String()); refusal != nil {
		l.refuse(f.stream, refusal)
		return
	}
	c, err := decodeCall(f.payload, l.h.Clock.Now())
	if err != nil {
		l.h.Log.Warn().Err(err).Str("remote", l.nc.RemoteAddr().String()).Msg("call from a node cannot be decoded")
		l.refuse(f.stream, relay.NotRun(outcome.ReasonBadRequest))
		return
	}
	s := &serverCall{conn: l, id: f.stream, entryIncarnation: l.incarnation, call: c, window: streamWindow}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	l.mu.Lock()
	_, duplicate := l.streams[f.stream]
	full := len(l.streams) >= maxStreams
	if !duplicate && !full {
		l.streams[f.stream] = s
	}
	l.mu.Unlock()
	switch {
	case duplicate:
		s.cancel()
		l.close()
	case full:
		s.cancel()
		l.refuse(f.stream, relay.NotRun(outcome.ReasonQueueFull))
	default:
		if c, ok := l.nc.(*monitoredConn); ok {
			s.target = l.h.connections.beginCallOn(c)
		}
		l.goroutines.Add(1)
		l.workers.do(s)
	}
}

func (l *serverConn) refuse(id uint32, r *outcome.Refusal) {
	payload, err := appendRefusal(nil, r)
	if err != nil {
		l.send(frameReset, id)
		return
	}
	l.send(frameRefusal, id, payload)
}

func (l *serverConn) cancelCall(id uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.streams[id]; s != nil {
		s.cancelled = true
		s.cancel()
		l.windowChanged.Broadcast()
	}
}

func (s *serverCall) run() {
	defer s.end()
	defer func() {
		if p := recover(); p != nil {
			s.conn.h.Log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Str("requestId", s.call.ID).Msg("panic in a call from a node")
			s.conn.send(frameReset, s.id)
		}
	}()
	h := s.conn.h
	started := h.Clock.Now()
	h.Pressure.Begin()
	defer h.Pressure.End()
	answer, refusal := h.do(s.ctx, s.call)
	h.logCall(s.entryIncarnation, s.call, answer, refusal, h.Clock.Now().Sub(started))
	if refusal != nil {
		s.conn.refuse(s.id, refusal)
		return
	}
	if err := s.sendAnswer(answer); err != nil {
		// The reset makes the entry node treat the response as incomplete.
		s.conn.send(frameReset, s.id)
	}
}

// end removes the call from the connection, and closes the connection if no
// other call runs or follows on it.
func (s *serverCall) end() {
	l := s.conn
	s.cancel()
	if s.target != nil {
		l.h.connections.endCall(s.target)
	}
	l.mu.Lock()
	delete(l.streams, s.id)
	last := l.draining && len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.closeWhenWritten()
	}
	l.goroutines.Done()
}

// sendAnswer sends a response and closes its body. An error means that the
// response is incomplete.
func (s *serverCall) sendAnswer(a *relay.Response) error {
	defer func() { _ = a.Body.Close() }()
	kept, complete := a.BufferedBody()
	kind := bodyInline
	switch {
	case s.call.Method == http.MethodHead || a.Body == http.NoBody:
		kind, kept = bodyNone, nil
	case !complete:
		kind = bodyStreamed
	}
	buffer := payloadBuffers.Get().(*[]byte)
	defer payloadBuffers.Put(buffer)
	var err error
	if *buffer, err = appendAnswer((*buffer)[:0], a, s.call.Sending, kind); err != nil {
		return err
	}
	var size [binary.MaxVarintLen64]byte
	length := lengthPrefix(&size, *buffer)
	if len(length)+len(*buffer)+len(kept) > maxFrameBytes {
		return errMalformed
	}
	if err := s.conn.waitForSpace(s.ctx); err != nil {
		return err
	}
	s.conn.send(frameAnswer, s.id, length, *buffer, kept)
	if kind != bodyStreamed {
		return nil
	}
	return s.sendBody(a)
}

// sendBody sends the body in data frames and the trailer after it.
func (s *serverCall) sendBody(a *relay.Response) error {
	total, err := relay.Copy(s, a.Body, nil)
	if err != nil {
		return err
	}
	if a.Length >= 0 && total != a.Length {
		return io.ErrUnexpectedEOF
	}
	var trailer http.Header
	if a.Trailer != nil {
		trailer = a.Trailer()
	}
	end, err := appendMessage(nil, &wirev1.PeerTrailer{Trailer: fieldsFromHeader(trailer)})
	if err != nil {
		return err
	}
	s.conn.send(frameEnd, s.id, end)
	return nil
}

// Write sends a part of the body in data frames. It waits while a flow control
// window is used up.
func (s *serverCall) Write(p []byte) (int, error) {
	l, total := s.conn, len(p)
	for len(p) > 0 {
		if err := l.waitForSpace(s.ctx); err != nil {
			return total - len(p), err
		}
		l.mu.Lock()
		for min(s.window, l.window) <= 0 && !s.cancelled {
			l.windowChanged.Wait()
		}
		n := min(len(p), s.window, l.window)
		if s.cancelled {
			l.mu.Unlock()
			return total - len(p), errCancelled
		}
		s.window -= n
		l.window -= n
		l.mu.Unlock()
		if !l.send(frameData, s.id, p[:n]) {
			return total - len(p), errConnClosed
		}
		p = p[n:]
	}
	return total, nil
}
