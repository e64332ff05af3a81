package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

var errCancelled = errors.New("call was cancelled")

// serverLink is a framed connection from another node.
type serverConn struct {
	frameConn
	h *Handler
	// incarnation and secret as shown last. Only the reader uses them.
	incarnation, secret string
	workers             *workers
	// parts are the writer and the calls.
	goroutines sync.WaitGroup

	mu sync.Mutex
	// credits is signalled when a window grows and when a call is cancelled.
	windowChanged sync.Cond
	streams       map[uint32]*serverCall
	window        int
	drained       bool
}

// served is a call that runs here.
type serverCall struct {
	conn             *serverConn
	id               uint32
	entryIncarnation string
	call             *relay.Call
	ctx              context.Context
	cancel           context.CancelFunc
	// window is what may be sent of the body. The link's lock guards it.
	window    int
	cancelled bool
	// target counts the call on its connection, nil where that is not watched.
	target *target
}

func newServerConn(h *Handler, w *workers, nc net.Conn) *serverConn {
	l := &serverConn{h: h, workers: w, streams: map[uint32]*serverCall{}, window: connectionWindow}
	l.windowChanged.L = &l.mu
	l.init("")
	l.start(nc)
	return l
}

// run serves the connection until it ends and its calls have ended.
func (l *serverConn) run() {
	l.goroutines.Go(l.writeLoop)
	for {
		f, err := l.nextFrame()
		if err == nil {
			err = l.handleFrame(f)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.h.Log.Debug().Err(err).Str("remote", l.nc.RemoteAddr().String()).Msg("framed connection ended")
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
		return errors.Errorf("unexpected %v frame", f.kind)
	}
	return nil
}

// noMore ends the connection once its calls have ended: none follows.
func (l *serverConn) closeWhenIdle() {
	l.mu.Lock()
	l.drained = true
	last := len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.closeWhenWritten()
	}
}

// begin checks the sender of a call and hands the call to a goroutine.
func (l *serverConn) beginCall(f frame) {
	if refusal := l.h.authenticate(l.incarnation, l.secret, l.nc.RemoteAddr().String()); refusal != nil {
		l.refuse(f.stream, refusal)
		return
	}
	c, err := decodeCall(f.payload, l.h.Clock.Now())
	if err != nil {
		l.h.Log.Warn().Err(err).Str("remote", l.nc.RemoteAddr().String()).Msg("request of another node cannot be read")
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
			s.conn.h.Log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Str("requestId", s.call.ID).Msg("call of another node failed")
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
		// The entry node sees an incomplete answer.
		s.conn.send(frameReset, s.id)
	}
}

// end takes the call off the connection, and ends the connection if it was the
// last one that will come.
func (s *serverCall) end() {
	l := s.conn
	s.cancel()
	if s.target != nil {
		l.h.connections.endCall(s.target)
	}
	l.mu.Lock()
	delete(l.streams, s.id)
	last := l.drained && len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.closeWhenWritten()
	}
	l.goroutines.Done()
}

// answer sends an answer and closes its body. The error means that it was cut
// short.
func (s *serverCall) sendAnswer(a *relay.Answer) error {
	defer func() { _ = a.Body.Close() }()
	kept, complete := a.Kept()
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
	s.conn.waitForSpace()
	s.conn.send(frameAnswer, s.id, length, *buffer, kept)
	if kind != bodyStreamed {
		return nil
	}
	return s.sendBody(a)
}

// stream sends the body in data frames and then the trailer.
func (s *serverCall) sendBody(a *relay.Answer) error {
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

// Write sends a part of the body as far as the windows allow, and waits for
// them to grow.
func (s *serverCall) Write(p []byte) (int, error) {
	l, total := s.conn, len(p)
	for len(p) > 0 {
		l.waitForSpace()
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
