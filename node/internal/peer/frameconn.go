package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

const (
	readBufferBytes = 4 << 10
	// maxQueuedBytes is the length of the write queue above which new calls and
	// data wait. It limits the memory used for a slow reader.
	maxQueuedBytes = 1 << 20
	// maxSpareBufferBytes is the largest write buffer that is kept for reuse. It
	// limits the memory of idle connections.
	maxSpareBufferBytes = 64 << 10
)

var errConnClosed = errors.New("connection between nodes is closed")

// frameConn is a framed connection. Any goroutine may queue frames; one goroutine
// writes all queued frames at once.
type frameConn struct {
	nc     net.Conn
	br     *bufio.Reader
	closed chan struct{}
	once   sync.Once
	wake   chan struct{}

	mu sync.Mutex
	// spaceFreed is signalled when the writer has taken the queue and when the
	// connection is closed.
	spaceFreed sync.Cond
	// queue has the frames to write. spareBuffer is an empty buffer for reuse.
	queue, spareBuffer []byte
	// closeAfterWrite means that the connection closes once the queue is written.
	closeAfterWrite bool
	isClosed        bool
}

// init sets up a connection that is not open yet, so that frames can be queued.
// The prefix is written before them.
func (l *frameConn) init(prefix string) {
	l.closed, l.wake = make(chan struct{}), make(chan struct{}, 1)
	l.spaceFreed.L = &l.mu
	l.queue = append(l.queue, prefix...)
}

// start sets the open connection. The caller must run writeLoop.
func (l *frameConn) start(nc net.Conn) {
	l.nc, l.br = nc, bufio.NewReaderSize(nc, readBufferBytes)
}

// close closes the connection at once.
func (l *frameConn) close() {
	l.once.Do(func() {
		l.mu.Lock()
		l.isClosed = true
		l.spaceFreed.Broadcast()
		l.mu.Unlock()
		close(l.closed)
		_ = l.nc.Close()
	})
}

// closeWhenWritten closes the connection once the queue is written. No further
// frames are accepted.
func (l *frameConn) closeWhenWritten() {
	l.mu.Lock()
	l.closeAfterWrite = true
	l.mu.Unlock()
	l.wakeWriter()
}

func (l *frameConn) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// waitForSpace waits until the queue holds at most maxQueuedBytes or the
// connection is closed.
func (l *frameConn) waitForSpace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > maxQueuedBytes && !l.isClosed {
		l.spaceFreed.Wait()
	}
}

// send queues a frame and never blocks. It returns false, and sends nothing, if
// the connection is closed or about to close.
func (l *frameConn) send(t frameType, stream uint32, parts ...[]byte) bool {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	l.mu.Lock()
	if l.isClosed || l.closeAfterWrite {
		l.mu.Unlock()
		return false
	}
	idle := len(l.queue) == 0
	l.queue = binary.BigEndian.AppendUint32(l.queue, uint32(size))
	l.queue = append(l.queue, byte(t))
	l.queue = binary.BigEndian.AppendUint32(l.queue, stream)
	for _, p := range parts {
		l.queue = append(l.queue, p...)
	}
	l.mu.Unlock()
	if idle {
		l.wakeWriter()
	}
	return true
}

// writeLoop writes queued frames until the connection is closed.
func (l *frameConn) writeLoop() {
	defer l.close()
	for {
		select {
		case <-l.wake:
		case <-l.closed:
			return
		}
		// Other runnable goroutines may queue frames first, which saves separate
		// write calls.
		runtime.Gosched()
		l.mu.Lock()
		out, ending := l.queue, l.closeAfterWrite
		l.queue, l.spareBuffer = l.spareBuffer[:0], nil
		l.spaceFreed.Broadcast()
		l.mu.Unlock()
		if len(out) > 0 {
			if _, err := l.nc.Write(out); err != nil {
				return
			}
		}
		if ending {
			return
		}
		if cap(out) <= maxSpareBufferBytes {
			l.mu.Lock()
			l.spareBuffer = out
			l.mu.Unlock()
		}
	}
}

// frame is one frame that was read. The receiver may keep the payload.
type frame struct {
	kind    frameType
	stream  uint32
	payload []byte
}

// nextFrame reads the next frame other than a ping or pong. It answers pings.
func (l *frameConn) nextFrame() (frame, error) {
	for {
		head, err := l.br.Peek(frameHeaderBytes)
		if err != nil {
			return frame{}, err
		}
		f := frame{kind: frameType(head[4]), stream: binary.BigEndian.Uint32(head[5:])}
		size := binary.BigEndian.Uint32(head)
		if size > maxFrameBytes {
			return frame{}, errors.Errorf("%v frame has %d bytes, over the limit", f.kind, size)
		}
		_, _ = l.br.Discard(frameHeaderBytes)
		if size > 0 {
			f.payload = make([]byte, size)
			if _, err := io.ReadFull(l.br, f.payload); err != nil {
				return frame{}, err
			}
		}
		switch f.kind {
		case framePing:
			l.send(framePong, 0)
		case framePong:
			// Nothing to do: the read itself proves that the connection works.
		default:
			return f, nil
		}
	}
}
