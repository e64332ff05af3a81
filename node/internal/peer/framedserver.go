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
type serverLink struct {
	link
	h *Handler
	// incarnation and secret as shown last. Only the reader uses them.
	incarnation, secret string
	workers             *workers
	// parts are the writer and the calls.
	parts sync.WaitGroup

	mu sync.Mutex
	// credits is signalled when a window grows and when a call is cancelled.
	credits sync.Cond
	streams map[uint32]*served
	window  int
	done    bool
}

// served is a call that runs here.
type served struct {
	l      *serverLink
	id     uint32
	from   string
	call   *relay.Call
	ctx    context.Context
	cancel context.CancelFunc
	// window is what may be sent of the body. The link's lock guards it.
	window int
	over   bool
	// target counts the call on its connection, nil where that is not watched.
	target *target
}

func newServerLink(h *Handler, w *workers, nc net.Conn) *serverLink {
	l := &serverLink{h: h, workers: w, streams: map[uint32]*served{}, window: connectionWindow}
	l.credits.L = &l.mu
	l.prepare("")
	l.start(nc)
	return l
}

// run serves the connection until it ends and its calls have ended.
func (l *serverLink) run() {
	l.parts.Go(l.write)
	for {
		f, err := l.next()
		if err == nil {
			err = l.receive(f)
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
		s.over = true
		s.cancel()
	}
	l.credits.Broadcast()
	l.mu.Unlock()
	l.parts.Wait()
}

func (l *serverLink) receive(f frame) error {
	switch f.kind {
	case frameHello:
		var m wirev1.PeerHello
		if err := decodeMessage(f.payload, &m); err != nil {
			return err
		}
		l.incarnation, l.secret = m.GetIncarnation(), m.GetSecret()
	case frameCall:
		l.begin(f)
	case frameCancel:
		l.cancelled(f.stream)
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
		l.credits.Broadcast()
		l.mu.Unlock()
	case frameDone:
		l.noMore()
	default:
		return errors.Errorf("unexpected %v frame", f.kind)
	}
	return nil
}

// noMore ends the connection once its calls have ended: none follows.
func (l *serverLink) noMore() {
	l.mu.Lock()
	l.done = true
	last := len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.finish()
	}
}

// begin checks the sender of a call and hands the call to a goroutine.
func (l *serverLink) begin(f frame) {
	if refusal := l.h.trust(l.incarnation, l.secret, l.nc.RemoteAddr().String()); refusal != nil {
		l.refuse(f.stream, refusal)
		return
	}
	c, err := decodeCall(f.payload, l.h.Clock.Now())
	if err != nil {
		l.h.Log.Warn().Err(err).Str("remote", l.nc.RemoteAddr().String()).Msg("request of another node cannot be read")
		l.refuse(f.stream, relay.NotRun(outcome.ReasonBadRequest))
		return
	}
	s := &served{l: l, id: f.stream, from: l.incarnation, call: c, window: streamWindow}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	l.mu.Lock()
	_, twice := l.streams[f.stream]
	full := len(l.streams) >= maxStreams
	if !twice && !full {
		l.streams[f.stream] = s
	}
	l.mu.Unlock()
	switch {
	case twice:
		s.cancel()
		l.close()
	case full:
		s.cancel()
		l.refuse(f.stream, relay.NotRun(outcome.ReasonQueueFull))
	default:
		if c, ok := l.nc.(*watchedConn); ok {
			s.target = l.h.watched.on(c)
		}
		l.parts.Add(1)
		l.workers.do(s)
	}
}

func (l *serverLink) refuse(id uint32, r *outcome.Refusal) {
	payload, err := appendRefusal(nil, r)
	if err != nil {
		l.send(frameReset, id)
		return
	}
	l.send(frameRefusal, id, payload)
}

func (l *serverLink) cancelled(id uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.streams[id]; s != nil {
		s.over = true
		s.cancel()
		l.credits.Broadcast()
	}
}

func (s *served) run() {
	defer s.end()
	defer func() {
		if p := recover(); p != nil {
			s.l.h.Log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Str("requestId", s.call.ID).Msg("call of another node failed")
			s.l.send(frameReset, s.id)
		}
	}()
	h := s.l.h
	started := h.Clock.Now()
	h.Pressure.Enter()
	defer h.Pressure.Leave()
	answer, refusal := h.do(s.ctx, s.call)
	h.logCall(s.from, s.call, answer, refusal, h.Clock.Now().Sub(started))
	if refusal != nil {
		s.l.refuse(s.id, refusal)
		return
	}
	if err := s.answer(answer); err != nil {
		// The entry node sees an incomplete answer.
		s.l.send(frameReset, s.id)
	}
}

// end takes the call off the connection, and ends the connection if it was the
// last one that will come.
func (s *served) end() {
	l := s.l
	s.cancel()
	if s.target != nil {
		l.h.watched.end(s.target)
	}
	l.mu.Lock()
	delete(l.streams, s.id)
	last := l.done && len(l.streams) == 0
	l.mu.Unlock()
	if last {
		l.finish()
	}
	l.parts.Done()
}

// answer sends an answer and closes its body. The error means that it was cut
// short.
func (s *served) answer(a *relay.Response) error {
	defer func() { _ = a.Body.Close() }()
	kept, whole := a.BufferedBody()
	kind := bodyKept
	switch {
	case s.call.Method == http.MethodHead || a.Body == http.NoBody:
		kind, kept = bodyNone, nil
	case !whole:
		kind = bodyStreamed
	}
	buffer := payloads.Get().(*[]byte)
	defer payloads.Put(buffer)
	var err error
	if *buffer, err = appendAnswer((*buffer)[:0], a, s.call.Sending, kind); err != nil {
		return err
	}
	var size [binary.MaxVarintLen64]byte
	length := sized(&size, *buffer)
	if len(length)+len(*buffer)+len(kept) > maxFrameBytes {
		return errMalformed
	}
	s.l.waitRoom()
	s.l.send(frameAnswer, s.id, length, *buffer, kept)
	if kind != bodyStreamed {
		return nil
	}
	return s.stream(a)
}

// stream sends the body in data frames and then the trailer.
func (s *served) stream(a *relay.Response) error {
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
	end, err := appendMessage(nil, &wirev1.PeerTrailer{Trailer: fieldsOf(trailer)})
	if err != nil {
		return err
	}
	s.l.send(frameEnd, s.id, end)
	return nil
}

// Write sends a part of the body as far as the windows allow, and waits for
// them to grow.
func (s *served) Write(p []byte) (int, error) {
	l, total := s.l, len(p)
	for len(p) > 0 {
		l.waitRoom()
		l.mu.Lock()
		for min(s.window, l.window) <= 0 && !s.over {
			l.credits.Wait()
		}
		n := min(len(p), s.window, l.window)
		if s.over {
			l.mu.Unlock()
			return total - len(p), errCancelled
		}
		s.window -= n
		l.window -= n
		l.mu.Unlock()
		if !l.send(frameData, s.id, p[:n]) {
			return total - len(p), errLinkClosed
		}
		p = p[n:]
	}
	return total, nil
}
