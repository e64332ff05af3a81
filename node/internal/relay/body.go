package relay

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// Body is a request body: a part kept in memory, and for large bodies a rest
// that can be read only once and only after the request has been admitted.
// The zero value is an empty body.
type Body struct {
	// Buffered is the whole body if Rest is nil.
	Buffered []byte
	Rest     io.Reader
	// Length of the whole body in bytes if Rest is not nil, -1 if unknown.
	Length int64
	// Abort makes a read of Rest that waits for the sender return an error. It
	// is nil if and only if Rest is nil.
	Abort func()

	touched atomic.Bool
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

// Resendable reports whether the body can still be read from its beginning.
func (b *Body) Resendable() bool { return b.Rest == nil || !b.touched.Load() }

// Reader returns the body from its beginning. It panics if the body is not
// resendable.
func (b *Body) Reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Buffered)
	}
	if b.touched.Load() {
		panic("relay: body was read before")
	}
	return io.MultiReader(bytes.NewReader(b.Buffered), &restReader{body: b})
}

// Buffer reads the rest into memory, until limit bytes of the body are kept. After
// an error the body cannot be used.
func (b *Body) Buffer(limit int) error {
	if b.Rest == nil || len(b.Buffered) >= limit {
		return nil
	}
	if b.Length > int64(limit) {
		return nil
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(b.Length, int64(2*len(b.Buffered)))))
	buffer.Write(b.Buffered)
	b.touched.Store(true)
	read, err := buffer.ReadFrom(io.LimitReader(b.Rest, int64(limit-len(b.Buffered))))
	if err != nil {
		return fmt.Errorf("body: %w", err)
	}
	whole := int64(buffer.Len()) == b.Length || b.Length < 0 && read < int64(limit-len(b.Buffered))
	b.Buffered = buffer.Bytes()
	switch {
	case whole:
		b.Rest, b.Abort = nil, nil
	case b.Length >= 0:
		return fmt.Errorf("body: %w", io.ErrUnexpectedEOF)
	}
	b.touched.Store(false)
	return nil
}

type restReader struct {
	body *Body
}

// Read marks the body as no longer resendable and reads its rest.
func (r *restReader) Read(p []byte) (int, error) {
	r.body.touched.Store(true)
	return r.body.Rest.Read(p)
}

// ReadBody takes a body from r: bodies up to MaxBufferedBytes are read whole, larger
// ones are left unread if their length is announced, so that the sender can
// wait for admission. Length is -1 if it was not announced.
func ReadBody(r io.Reader, length int64, abort func()) (*Body, error) {
	switch {
	case length == 0:
		return &Body{}, nil
	case length > MaxBufferedBytes:
		return &Body{Rest: r, Length: length, Abort: abort}, nil
	case length > 0:
		kept := make([]byte, length)
		_, err := io.ReadFull(r, kept)
		return &Body{Buffered: kept}, err
	}
	kept, err := io.ReadAll(io.LimitReader(r, MaxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(kept) <= MaxBufferedBytes {
		return &Body{Buffered: kept}, nil
	}
	return &Body{Buffered: kept, Rest: r, Length: -1, Abort: abort}, nil
}
