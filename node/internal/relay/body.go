package relay

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// MaxWholeBodyBytes is the size of the largest body that the owner receives
// completely before its call may run. A larger body is streamed to the backend
// server as it arrives, from its first byte if its length was announced.
const MaxWholeBodyBytes = 1 << 20

// Body is a request body: a part in memory and, for large bodies, a rest that
// is streamed. The rest can be read only once, and is read only after the
// request was admitted. The zero value is an empty body.
type Body struct {
	// Buffered is the beginning of the body, or all of it if Rest is nil.
	Buffered []byte
	Rest     io.Reader
	// Length is the length of the whole body in bytes, -1 if unknown. It is
	// valid only if Rest is not nil.
	Length int64
	// Abort unblocks a read of Rest that waits for the sender and makes it
	// return an error. It is nil if and only if Rest is nil.
	Abort func()

	restRead atomic.Bool
}

// Streamed reports whether a part of the body is not in memory.
func (b *Body) Streamed() bool { return b.Rest != nil }

// Size returns the length of the whole body in bytes, -1 if unknown.
func (b *Body) Size() int64 {
	if b.Rest != nil {
		return b.Length
	}
	return int64(len(b.Buffered))
}

// BytesBeforeRun returns the number of bytes of the body without which the owner
// runs no call: all of a short body, MaxWholeBodyBytes if the length is unknown, and
// one byte of a body that is announced as longer.
func (b *Body) BytesBeforeRun() int64 {
	switch size := b.Size(); {
	case size < 0:
		return MaxWholeBodyBytes
	case size <= MaxWholeBodyBytes:
		return size
	default:
		return 1
	}
}

// Resendable reports whether the body can still be read from its beginning.
func (b *Body) Resendable() bool { return b.Rest == nil || !b.restRead.Load() }

// Reader returns a reader of the body from its beginning. It panics if the body
// is not resendable.
func (b *Body) Reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Buffered)
	}
	if b.restRead.Load() {
		panic("relay: body is not resendable: it was already read")
	}
	return io.MultiReader(bytes.NewReader(b.Buffered), &restReader{body: b})
}

// Buffer reads the rest into memory, until limit bytes of the body are
// buffered. A body whose announced length exceeds the limit is left unchanged.
// After an error the body cannot be used.
func (b *Body) Buffer(limit int) error {
	if b.Rest == nil || len(b.Buffered) >= limit {
		return nil
	}
	if b.Length > int64(limit) {
		return nil
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(b.Length, int64(2*len(b.Buffered)))))
	buffer.Write(b.Buffered)
	b.restRead.Store(true)
	read, err := buffer.ReadFrom(io.LimitReader(b.Rest, int64(limit-len(b.Buffered))))
	if err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	complete := int64(buffer.Len()) == b.Length || b.Length < 0 && read < int64(limit-len(b.Buffered))
	b.Buffered = buffer.Bytes()
	switch {
	case complete:
		b.Rest, b.Abort = nil, nil
	case b.Length >= 0:
		return fmt.Errorf("read request body: %w", io.ErrUnexpectedEOF)
	}
	b.restRead.Store(false)
	return nil
}

type restReader struct {
	body *Body
}

// Read marks the body as no longer resendable and reads its rest.
func (r *restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	return r.body.Rest.Read(p)
}

// ReadBody reads a body from r. Bodies up to MaxBufferedBytes are read
// completely. Larger ones are left unread if their length was announced, so
// that the sender can wait for admission. Length is -1 if it was not announced.
func ReadBody(r io.Reader, length int64, abort func()) (*Body, error) {
	switch {
	case length == 0:
		return &Body{}, nil
	case length > MaxBufferedBytes:
		return &Body{Rest: r, Length: length, Abort: abort}, nil
	case length > 0:
		buffered := make([]byte, length)
		_, err := io.ReadFull(r, buffered)
		return &Body{Buffered: buffered}, err
	}
	buffered, err := io.ReadAll(io.LimitReader(r, MaxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(buffered) <= MaxBufferedBytes {
		return &Body{Buffered: buffered}, nil
	}
	return &Body{Buffered: buffered, Rest: r, Length: -1, Abort: abort}, nil
}
