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

// maxCacheEntries is the number of messages that are kept encoded. Streams that
// are notified of one change send the same few updates, and a snapshot is
// reused for 500 ms.
const maxCacheEntries = 32

// maxCacheBytes limits the size of what one cache keeps. One entry is kept even
// if it is larger.
const maxCacheBytes = 8 << 20

// resultCache keeps the most recently used results by key. Each result is
// computed once, even if several streams request it at the same time. It is
// safe for concurrent use.
type resultCache[K comparable] struct {
	mu      sync.Mutex
	entries []*cacheEntry[K]
}

type cacheEntry[K comparable] struct {
	key  K
	once sync.Once
	// input is what the result was computed from. Neither may be modified.
	input, result []byte
	err           error
	// size is the number of bytes that the entry keeps in memory, 0 before the
	// result was computed. It is guarded by the cache's mu.
	size int
}

// get returns the entry of a key. If there is none, fill computes it and returns
// its size.
func (c *resultCache[K]) get(key K, fill func(*cacheEntry[K]) int) *cacheEntry[K] {
	e := c.entry(key)
	e.once.Do(func() { c.setSize(e, fill(e)) })
	return e
}

// setSize sets the size of an entry and drops the least recently used others that
// do not fit beside it.
func (c *resultCache[K]) setSize(e *cacheEntry[K], size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.size = size
	total := 0
	for _, other := range c.entries {
		total += other.size
	}
	c.entries = slices.DeleteFunc(c.entries, func(other *cacheEntry[K]) bool {
		if other == e || other.size == 0 || total <= maxCacheBytes {
			return false
		}
		total -= other.size
		return true
	})
}

// entry returns the entry of a key, which becomes the most recently used one. If
// there is none, it adds one.
func (c *resultCache[K]) entry(key K) *cacheEntry[K] {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.IndexFunc(c.entries, func(e *cacheEntry[K]) bool { return e.key == key })
	var e *cacheEntry[K]
	if index >= 0 {
		// The most recently used entry is last, so that small updates do not evict
		// snapshots.
		e = c.entries[index]
		c.entries = append(slices.Delete(c.entries, index, index+1), e)
	} else {
		e = &cacheEntry[K]{key: key}
		if len(c.entries) == maxCacheEntries {
			c.entries = slices.Delete(c.entries, 0, 1)
		}
		c.entries = append(c.entries, e)
	}
	return e
}

// codec is the binary protobuf codec. It encodes an update once for all streams
// that send the same message.
type codec struct {
	updates resultCache[*wirev1.Update]
}

// Name returns the name of connect-go's protobuf codec, which this one
// replaces.
func (*codec) Name() string { return "proto" }

// Marshal returns the encoded message, which the caller may modify.
func (c *codec) Marshal(message any) ([]byte, error) {
	return c.MarshalAppend(nil, message)
}

// MarshalAppend appends the encoded message to a slice and returns the result.
func (c *codec) MarshalAppend(to []byte, message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is not a protobuf message", message)
	}
	u, ok := m.(*wirev1.Update)
	if !ok {
		return proto.MarshalOptions{}.MarshalAppend(to, m)
	}
	e := c.updates.get(u, func(e *cacheEntry[*wirev1.Update]) int {
		e.result, e.err = proto.Marshal(u)
		// The key keeps the message, which is at least as large.
		return 2 * len(e.result)
	})
	if e.err != nil {
		return nil, fmt.Errorf("encode update: %w", e.err)
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

// compressionCache keeps compressed messages by their content. It is safe for
// concurrent use.
type compressionCache struct {
	seed    maphash.Seed
	results resultCache[contentKey]
}

// compressor buffers a message and writes it compressed on Close. It reuses the
// result of an equal message from the cache.
type compressor struct {
	cache   *compressionCache
	to      io.Writer
	message bytes.Buffer
}

func newCompressionCache() *compressionCache { return &compressionCache{seed: maphash.MakeSeed()} }

func (c *compressionCache) compressor() connect.Compressor { return &compressor{cache: c} }

// Write buffers a part of the message.
func (c *compressor) Write(p []byte) (int, error) { return c.message.Write(p) }

// Reset starts another message, which Close will write to the given writer.
func (c *compressor) Reset(to io.Writer) {
	c.to = to
	c.message.Reset()
}

// Close compresses the buffered message and writes it.
func (c *compressor) Close() error {
	message := c.message.Bytes()
	key := contentKey{maphash.Bytes(c.cache.seed, message), len(message)}
	e := c.cache.results.get(key, func(e *cacheEntry[contentKey]) int {
		e.input = bytes.Clone(message)
		e.result, e.err = compress(e.input)
		return len(e.input) + len(e.result)
	})
	result, err := e.result, e.err
	if !bytes.Equal(e.input, message) {
		// The cached entry is another message with the same hash.
		result, err = compress(message)
	}
	if err != nil {
		return err
	}
	if _, err := c.to.Write(result); err != nil {
		return fmt.Errorf("write compressed message: %w", err)
	}
	return nil
}

func compress(message []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(message); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	return b.Bytes(), nil
}

// sharedEncoding returns the handler options that let streams share encoded and
// compressed messages.
func sharedEncoding() connect.HandlerOption {
	cache := newCompressionCache()
	return connect.WithHandlerOptions(
		connect.WithCodec(&codec{}),
		connect.WithCompression("gzip", func() connect.Decompressor { return &gzip.Reader{} }, cache.compressor),
	)
}
