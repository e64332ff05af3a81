package pipeline

import (
	"sync"

	"github.com/jujubeknot/jujubeknot/core/intake"
	"github.com/jujubeknot/jujubeknot/node/internal/ledger"
)

// Parts of the framing of HTTP/2, RFC 9113.
const (
	http2PrefaceBytes     = 24
	frameHeaderBytes      = 9
	frameData             = 0
	frameHeaders          = 1
	frameContinuation     = 9
	flagEndHeaders        = 4
	compressedBytesAField = 4
)

// frameCounter counts what the frames of an HTTP/2 connection cost in memory until their
// requests have begun. The HTTP/2 server decodes headers and buffers bodies before it calls
// a handler, which can take long while the processor is busy. It is safe for concurrent
// use.
type frameCounter struct {
	entry *ledger.Entry
	// window is the number of bytes of bodies that the HTTP/2 server buffers at most.
	window int64

	mu sync.Mutex
	// skip is the rest of the payload of the latest frame that is not counted, and left
	// the rest that is.
	skip, left int
	head       [frameHeaderBytes]byte
	headBytes  int
	// block is the cost of the header that is being received, blocks those of the
	// received ones. data is that of bodies.
	block  int64
	blocks []int64
	data   int64
}

// count counts received bytes. It reports false if there is no room for them.
func (f *frameCounter) count(p []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(p) > 0 {
		switch {
		case f.skip > 0:
			n := min(f.skip, len(p))
			f.skip, p = f.skip-n, p[n:]
		case f.left > 0:
			n := min(f.left, len(p))
			f.left, p = f.left-n, p[n:]
			if !f.hold(n) {
				return false
			}
			if f.left == 0 {
				f.endFrame()
			}
		default:
			n := copy(f.head[f.headBytes:], p)
			f.headBytes, p = f.headBytes+n, p[n:]
			if f.headBytes == frameHeaderBytes {
				f.beginFrame()
			}
		}
	}
	return true
}

func (f *frameCounter) beginFrame() {
	f.headBytes = 0
	length := int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
	switch f.head[3] {
	case frameData, frameHeaders, frameContinuation:
		if f.left = length; length == 0 {
			f.endFrame()
		}
	default:
		f.skip = length
	}
}

func (f *frameCounter) endFrame() {
	if f.head[3] != frameData && f.head[4]&flagEndHeaders != 0 {
		f.blocks = append(f.blocks, f.block)
		f.block = 0
	}
}

// hold holds the cost of payload bytes of the current frame.
func (f *frameCounter) hold(n int) bool {
	if f.head[3] == frameData {
		if len(f.blocks) == 0 {
			// All requests have begun, and hold their windows.
			return true
		}
		data := min(int64(n), f.window-f.data)
		f.data += data
		return f.entry.Hold(data)
	}
	cost := intake.HeaderCost(n, (n+compressedBytesAField-1)/compressedBytesAField)
	f.block += cost
	return f.entry.Hold(cost)
}

// requestBegun releases the cost of the earliest header and of the bodies so far, which
// their requests hold from now on.
func (f *frameCounter) requestBegun() {
	f.mu.Lock()
	defer f.mu.Unlock()
	released := f.data
	f.data = 0
	if len(f.blocks) > 0 {
		released += f.blocks[0]
		f.blocks = f.blocks[1:]
	}
	f.entry.Release(released)
}

// idle releases the cost of all received requests, because none is left.
func (f *frameCounter) idle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	released := f.data
	for _, b := range f.blocks {
		released += b
	}
	f.data, f.blocks = 0, nil
	f.entry.Release(released)
}
