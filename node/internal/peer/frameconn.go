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
	// maxQueuedBytes is how much may wait to be written before calls and data
	// wait too. Memory for a slow reader stays bounded by it.
	maxQueuedBytes = 1 << 20
	// keptBufferBytes bounds the write buffers that an idle connection keeps.
	maxSpareBufferBytes = 64 << 10
)

var errConnClosed = errors.New("connection between nodes is closed")

// link is a framed connection: frames are queued by any goroutine and written
// together by one.
type frameConn struct {
	nc     net.Conn
	br     *bufio.Reader
	closed chan struct{}
	once   sync.Once
	wake   chan struct{}

	mu sync.Mutex
	// room is signalled when the queue was taken, and at the end.
	spaceFreed sync.Cond
	// queue has the frames to write, spare is the buffer written before.
	queue, spareBuffer []byte
	// ending means that the connection is closed once the queue is written.
	closeAfterWrite bool
	isClosed        bool
}

// prepare sets up a connection that is not open yet, so that frames can be
// queued behind the bytes that come first.
func (l *frameConn) init(prefix string) {
	l.closed, l.wake = make(chan struct{}), make(chan struct{}, 1)
	l.spaceFreed.L = &l.mu
	l.queue = append(l.queue, prefix...)
}

// start hands over the open connection. The caller runs write.
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

// finish closes the connection once everything queued has been written.
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

// waitRoom returns when the queue is short, or the connection has ended.
func (l *frameConn) waitForSpace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > maxQueuedBytes && !l.isClosed {
		l.spaceFreed.Wait()
	}
}

// send queues a frame. It returns false, and sends nothing, if the connection
// has ended. It never waits.
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

// write writes queued frames until the connection ends.
func (l *frameConn) writeLoop() {
	defer l.close()
	for {
		select {
		case <-l.wake:
		case <-l.closed:
			return
		}
		// Goroutines that are ready may add frames, which saves them a write
		// call of their own.
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

// frame is one frame as read. The payload is the receiver's to keep.
type frame struct {
	kind    frameType
	stream  uint32
	payload []byte
}

// next reads the next frame that is not a ping or its answer.
func (l *frameConn) nextFrame() (frame, error) {
	for {
		head, err := l.br.Peek(frameHeaderBytes)
		if err != nil {
			return frame{}, err
		}
		f := frame{kind: frameType(head[4]), stream: binary.BigEndian.Uint32(head[5:])}
		size := binary.BigEndian.Uint32(head)
		if size > maxFrameBytes {
			return frame{}, errors.Errorf("%v frame of %d bytes", f.kind, size)
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
			// Its bytes were the answer.
		default:
			return f, nil
		}
	}
}
