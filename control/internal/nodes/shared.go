package nodes

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"hash/maphash"
	"io"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// sharedEntries is the number of messages that are kept encoded. Streams that
// are woken by one change send the same few updates, beside a snapshot that is
// in use for 500 ms.
const sharedEntries = 32

// shared keeps the latest results by key, each made once, also where several
// streams ask for it at the same time. It is safe for concurrent use.
type shared[K comparable] struct {
	mu      sync.Mutex
	entries []*sharedEntry[K]
}

type sharedEntry[K comparable] struct {
	key  K
	once sync.Once
	// input is what the result was made of. It and the result must not be
	// modified.
	input, result []byte
	err           error
}

func (s *shared[K]) get(key K, fill func(*sharedEntry[K])) *sharedEntry[K] {
	s.mu.Lock()
	at := slices.IndexFunc(s.entries, func(e *sharedEntry[K]) bool { return e.key == key })
	var e *sharedEntry[K]
	if at >= 0 {
		// The latest used one is last, so that snapshots outlast small updates.
		e = s.entries[at]
		s.entries = append(slices.Delete(s.entries, at, at+1), e)
	} else {
		e = &sharedEntry[K]{key: key}
		if len(s.entries) == sharedEntries {
			s.entries = slices.Delete(s.entries, 0, 1)
		}
		s.entries = append(s.entries, e)
	}
	s.mu.Unlock()
	e.once.Do(func() { fill(e) })
	return e
}

// codec is the binary codec of protobuf. It encodes an update once for all
// streams that send the same message.
type codec struct {
	updates shared[*wirev1.Update]
}

// Name replaces the codec of connect-go with the same name.
func (*codec) Name() string { return "proto" }

// Marshal returns the encoded message, which the caller may modify.
func (c *codec) Marshal(message any) ([]byte, error) {
	return c.MarshalAppend(nil, message)
}

// MarshalAppend appends the encoded message.
func (c *codec) MarshalAppend(to []byte, message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is not a protobuf message", message)
	}
	u, ok := m.(*wirev1.Update)
	if !ok {
		return proto.MarshalOptions{}.MarshalAppend(to, m)
	}
	e := c.updates.get(u, func(e *sharedEntry[*wirev1.Update]) { e.result, e.err = proto.Marshal(u) })
	if e.err != nil {
		return nil, fmt.Errorf("encode an update: %w", e.err)
	}
	return append(to, e.result...), nil
}

// Unmarshal decodes a message.
func (*codec) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errors.Errorf("%T is not a protobuf message", message)
	}
	return proto.Unmarshal(data, m)
}

type contentKey struct {
	hash   uint64
	length int
}

// compressions keeps compressed messages by their content.
type compressions struct {
	seed maphash.Seed
	kept shared[contentKey]
}

// compressor gathers a message and compresses it when it is closed, unless an
// equal one was compressed a moment ago.
type compressor struct {
	kept    *compressions
	to      io.Writer
	message bytes.Buffer
}

func newCompressions() *compressions { return &compressions{seed: maphash.MakeSeed()} }

func (c *compressions) compressor() connect.Compressor { return &compressor{kept: c} }

// Write takes a part of the message.
func (c *compressor) Write(p []byte) (int, error) { return c.message.Write(p) }

// Reset begins another message.
func (c *compressor) Reset(to io.Writer) {
	c.to = to
	c.message.Reset()
}

// Close writes the compressed message.
func (c *compressor) Close() error {
	message := c.message.Bytes()
	key := contentKey{maphash.Bytes(c.kept.seed, message), len(message)}
	e := c.kept.kept.get(key, func(e *sharedEntry[contentKey]) {
		e.input = bytes.Clone(message)
		e.result, e.err = compress(e.input)
	})
	result, err := e.result, e.err
	if !bytes.Equal(e.input, message) {
		// Another message with the same hash.
		result, err = compress(message)
	}
	if err != nil {
		return err
	}
	if _, err := c.to.Write(result); err != nil {
		return fmt.Errorf("write a compressed message: %w", err)
	}
	return nil
}

func compress(message []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(message); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// sharing returns the options that make streams share encoded messages.
func sharing() connect.HandlerOption {
	kept := newCompressions()
	return connect.WithHandlerOptions(
		connect.WithCodec(&codec{}),
		connect.WithCompression("gzip", func() connect.Decompressor { return &gzip.Reader{} }, kept.compressor),
	)
}
