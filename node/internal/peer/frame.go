package peer

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// preface begins each framed connection and tells it from HTTP/2.
const preface = "JBK1"

const (
	// frameHeaderBytes is payload length (4), type (1) and stream (4), big-endian.
	frameHeaderBytes = 9
	// maxFrameBytes bounds a payload: a header of maxHeaderBytes, its share of
	// length prefixes, and a body of relay.MaxBufferedBytes.
	maxFrameBytes = 4*maxHeaderBytes + relay.MaxBufferedBytes
)

type frameType byte

// Types of frames. Those of a stream carry its number, the others 0.
const (
	frameHello frameType = iota + 1
	frameCall
	frameAnswer
	frameRefusal
	frameData
	frameEnd
	frameReset
	frameCancel
	frameWindow
	framePing
	framePong
	frameGoAway
	frameDone
)

var frameNames = [...]string{
	"unknown", "hello", "call", "answer", "refusal", "data", "end", "reset", "cancel", "window", "ping", "pong", "goAway", "done",
}

// String returns the name in docs/protocols.md.
func (t frameType) String() string {
	if int(t) < len(frameNames) {
		return frameNames[t]
	}
	return frameNames[0]
}

var errMalformed = errors.New("malformed frame")

// payloads has buffers in which payloads are encoded.
var payloads = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// appendMessage encodes a message. It fails where a name or a method is not
// UTF-8.
func appendMessage(b []byte, m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b, fmt.Errorf("frame: %w", err)
	}
	return b, nil
}

func decodeMessage(payload []byte, m proto.Message) error {
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// sized returns the length to put before a part of a payload, in the buffer
// given.
func sized(buffer *[binary.MaxVarintLen64]byte, part []byte) []byte {
	return protowire.AppendVarint(buffer[:0], uint64(len(part)))
}

// split returns the first part of a payload, which has its length before it,
// and the body after it.
func split(payload []byte) (message, body []byte, err error) {
	message, n := protowire.ConsumeBytes(payload)
	if n < 0 {
		return nil, nil, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
	}
	return message, payload[n:], nil
}

func fieldsOf(h http.Header) []*wirev1.PeerField {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	all := make([]wirev1.PeerField, n)
	fields := make([]*wirev1.PeerField, 0, n)
	for name, values := range h {
		for _, v := range values {
			f := &all[len(fields)]
			f.Name, f.Value = name, []byte(v)
			fields = append(fields, f)
		}
	}
	return fields
}

// headerOf returns end-to-end headers. Others are left out, as relay.EndToEnd
// does.
func headerOf(fields []*wirev1.PeerField) http.Header {
	h := make(http.Header, len(fields))
	values := make([]string, 0, len(fields))
	for _, f := range fields {
		name := f.GetName()
		if relay.Reserved(name) {
			continue
		}
		if earlier, ok := h[name]; ok {
			h[name] = append(earlier, string(f.GetValue()))
			continue
		}
		values = append(values, string(f.GetValue()))
		last := len(values)
		h[name] = values[last-1 : last : last]
	}
	return h
}

// appendCall writes a call without its body.
func appendCall(b []byte, c *relay.Call, left time.Duration) ([]byte, error) {
	return appendMessage(b, &wirev1.PeerCall{
		Call: EncodeCall(c, left), Method: c.Method, Uri: []byte(c.URI), Host: []byte(c.Host), Header: fieldsOf(c.Header),
	})
}

// decodeCall reads the payload of a call frame.
func decodeCall(payload []byte, now time.Time) (*relay.Call, error) {
	message, body, err := split(payload)
	if err != nil {
		return nil, err
	}
	var m wirev1.PeerCall
	if err := decodeMessage(message, &m); err != nil {
		return nil, err
	}
	c, err := DecodeCall(m.GetCall(), now)
	if err != nil {
		return nil, err
	}
	c.Method, c.URI, c.Host, c.Header = m.GetMethod(), string(m.GetUri()), string(m.GetHost()), headerOf(m.GetHeader())
	c.Body = &relay.Body{Buffered: body}
	if c.Method == "" || c.URI == "" || len(body) > relay.MaxBufferedBytes {
		return nil, errMalformed
	}
	return c, nil
}

// bodyKind says how the body of an answer is sent.
type bodyKind int

// Kinds of bodies.
const (
	// bodyKept follows the message in the same frame.
	bodyKept bodyKind = iota
	bodyStreamed
	bodyNone
)

// appendAnswer writes an answer without its body.
func appendAnswer(b []byte, a *relay.Response, sending string, kind bodyKind) ([]byte, error) {
	m := &wirev1.PeerAnswer{
		Sending: sending, Status: uint32(a.Status), Streamed: kind == bodyStreamed, NoBody: kind == bodyNone, Header: fieldsOf(a.Header),
	}
	if a.Length >= 0 {
		m.Length = &a.Length
	}
	return appendMessage(b, m)
}

// decodeAnswer reads the payload of an answer frame. The body of a streamed
// answer is nil.
func decodeAnswer(payload []byte) (a *relay.Response, sending string, err error) {
	message, body, err := split(payload)
	if err != nil {
		return nil, "", err
	}
	var m wirev1.PeerAnswer
	if err := decodeMessage(message, &m); err != nil {
		return nil, "", err
	}
	status, length := int(m.GetStatus()), int64(-1)
	if m.Length != nil {
		length = m.GetLength()
	}
	kept := !m.GetStreamed() && !m.GetNoBody()
	if status < 100 || status > 999 || length < -1 || !kept && len(body) > 0 || kept && length != int64(len(body)) {
		return nil, "", errMalformed
	}
	header := headerOf(m.GetHeader())
	switch {
	case m.GetStreamed():
		return &relay.Response{Status: status, Header: header, Length: length}, m.GetSending(), nil
	case m.GetNoBody():
		return &relay.Response{Status: status, Header: header, Length: length, Body: http.NoBody}, m.GetSending(), nil
	}
	return relay.NewBufferedResponse(status, header, body), m.GetSending(), nil
}

func appendRefusal(b []byte, r *outcome.Refusal) ([]byte, error) {
	return appendMessage(b, &wirev1.PeerRefusal{
		Outcome: r.Outcome.String(), Reason: string(r.Reason), RetryAfterMs: uint32(max(r.RetryAfter.Milliseconds(), 0)),
	})
}

func decodeRefusal(payload []byte) (*outcome.Refusal, error) {
	var m wirev1.PeerRefusal
	if err := decodeMessage(payload, &m); err != nil {
		return nil, err
	}
	if m.GetReason() == "" || int64(m.GetRetryAfterMs()) > maxLeft.Milliseconds() {
		return nil, errMalformed
	}
	r := relay.Unknown(outcome.Reason(m.GetReason()))
	if m.GetOutcome() == outcome.OutcomeNotRun.String() {
		r = relay.NotRun(r.Reason)
	}
	r.RetryAfter = time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	return r, nil
}
