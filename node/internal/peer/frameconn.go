package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
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
	// maxSpareBufferBytes is the largest write buffer that is kept for reuse.
	// It limits the memory of idle connections.
	maxSpareBufferBytes = 64 << 10
)

var errConnClosed = errors.New("connection between nodes is closed")

// frameConn is a framed connection. Any goroutine may queue frames; one
// goroutine writes all queued frames at once.
type frameConn struct {
	nc     net.Conn
	br     *bufio.Reader
	closed chan struct{}
	once   sync.Once
	wake   chan struct{}
	// onPing gets the pings with a stream number, and onPong the pongs. Nil means
	// that they are handled like those without. They are set before the first read.
	onPing, onPong func(frame)
	// allows returns an error if no frame with a payload of this size may be read. Nil
	// means that all may up to maxFrameBytes.
	allows func(size uint32) error

	mu sync.Mutex
	// spaceFreed is signalled when the writer has taken the queue, when the connection
	// is closed and when the context of a waiting call ends.
	spaceFreed sync.Cond
	// queue has the frames to write. spareBuffer is an empty buffer for reuse.
	queue, spareBuffer []byte
	// closeAfterWrite means that the connection closes once the queue is
	// written.
	closeAfterWrite bool
	isClosed        bool
}

// init sets up a connection that is not open yet, so that frames can be queued.
// The prefix is written before them.
func (c *frameConn) init(prefix string) {
	c.closed, c.wake = make(chan struct{}), make(chan struct{}, 1)
	c.spaceFreed.L = &c.mu
	c.queue = append(c.queue, prefix...)
}

// start sets the open connection. The caller must run writeLoop.
func (c *frameConn) start(nc net.Conn) {
	c.nc, c.br = nc, bufio.NewReaderSize(nc, readBufferBytes)
}

// close closes the connection at once.
func (c *frameConn) close() {
	c.once.Do(func() {
		c.mu.Lock()
		c.isClosed = true
		c.spaceFreed.Broadcast()
		c.mu.Unlock()
		close(c.closed)
		_ = c.nc.Close()
	})
}

// closeWhenWritten closes the connection once the queue is written. No further
// frames are accepted.
func (c *frameConn) closeWhenWritten() {
	c.mu.Lock()
	c.closeAfterWrite = true
	c.mu.Unlock()
	c.wakeWriter()
}

func (c *frameConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// hasSpace reports whether the queue holds at most maxQueuedBytes or the connection is
// closed.
func (c *frameConn) hasSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSpace()
}

// isSpace is hasSpace with c.mu held.
func (c *frameConn) isSpace() bool { return len(c.queue) <= maxQueuedBytes || c.isClosed }

// waitForSpace waits until hasSpace is true. It returns an error if the context ends
// before.
func (c *frameConn) waitForSpace(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSpace() {
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spaceFreed.Broadcast()
	})
	defer stop()
	for !c.isSpace() {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("wait until queued frames are written: %w", err)
		}
		c.spaceFreed.Wait()
	}
	return nil
}

// send queues a frame and never blocks. It returns false, and sends nothing, if
// the connection is closed or about to close.
func (c *frameConn) send(t frameType, stream uint32, parts ...[]byte) bool {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	c.mu.Lock()
	if c.isClosed || c.closeAfterWrite {
		c.mu.Unlock()
		return false
	}
	idle := len(c.queue) == 0
	c.queue = binary.BigEndian.AppendUint32(c.queue, uint32(size))
	c.queue = append(c.queue, byte(t))
	c.queue = binary.BigEndian.AppendUint32(c.queue, stream)
	for _, p := range parts {
		c.queue = append(c.queue, p...)
	}
	c.mu.Unlock()
	if idle {
		c.wakeWriter()
	}
	return true
}

// writeLoop writes queued frames until the connection is closed.
func (c *frameConn) writeLoop() {
	defer c.close()
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		// Other runnable goroutines may queue frames first, which saves
		// separate write calls.
		runtime.Gosched()
		c.mu.Lock()
		out, ending := c.queue, c.closeAfterWrite
		c.queue, c.spareBuffer = c.spareBuffer[:0], nil
		c.spaceFreed.Broadcast()
		c.mu.Unlock()
		if len(out) > 0 {
			if _, err := c.nc.Write(out); err != nil {
				return
			}
		}
		if ending {
			return
		}
		if cap(out) <= maxSpareBufferBytes {
			c.mu.Lock()
			c.spareBuffer = out
			c.mu.Unlock()
		}
	}
}

// frame is one frame that was read. The receiver may keep the payload.
type frame struct {
	kind    frameType
	stream  uint32
	payload []byte
}

// nextFrame reads the next frame other than a ping or pong, which it handles.
func (c *frameConn) nextFrame() (frame, error) {
	for {
		head, err := c.br.Peek(frameHeaderBytes)
		if err != nil {
			return frame{}, err
		}
		f := frame{kind: frameType(head[4]), stream: binary.BigEndian.Uint32(head[5:])}
		size := binary.BigEndian.Uint32(head)
		if size > maxFrameBytes {
			return frame{}, errors.Errorf("%v frame has %d bytes, over the limit of %d", f.kind, size, maxFrameBytes)
		}
		if c.allows != nil {
			if err := c.allows(size); err != nil {
				return frame{}, err
			}
		}
		_, _ = c.br.Discard(frameHeaderBytes)
		if size > 0 {
			f.payload = make([]byte, size)
			if _, err := io.ReadFull(c.br, f.payload); err != nil {
				return frame{}, err
			}
		}
		switch {
		case f.kind == framePing && f.stream != 0 && c.onPing != nil:
			c.onPing(f)
		case f.kind == framePing:
			c.send(framePong, 0)
		case f.kind == framePong && f.stream != 0 && c.onPong != nil:
			c.onPong(f)
		case f.kind == framePong:
			// Nothing to do: the read itself proves that the connection works.
		default:
			return f, nil
		}
	}
}
