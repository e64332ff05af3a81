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

// preface is sent first on each framed connection and distinguishes it from
// HTTP/2.
const preface = "JBK1"

const (
	// frameHeaderBytes is the size of payload length (4), type (1) and stream
	// (4), all big-endian.
	frameHeaderBytes = 9
	// maxFrameBytes is the largest payload: a header of maxHeaderBytes with its
	// length prefixes, and a body of relay.MaxBufferedBytes.
	maxFrameBytes = 4*maxHeaderBytes + relay.MaxBufferedBytes
)

type frameType byte

// Types of frames. Frames of a stream carry its number, the others carry 0.
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

// String returns the name of the type as in docs/protocols.md.
func (t frameType) String() string {
	if int(t) < len(frameNames) {
		return frameNames[t]
	}
	return frameNames[0]
}

var errMalformed = errors.New("malformed frame")

// payloadBuffers has reusable buffers in which payloads are encoded.
var payloadBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// appendMessage appends an encoded message. It fails if a header name or a
// method is not UTF-8.
func appendMessage(b []byte, m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b, fmt.Errorf("encode frame: %w", err)
	}
	return b, nil
}

func decodeMessage(payload []byte, m proto.Message) error {
	if err := proto.Unmarshal(payload, m); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// lengthPrefix returns the prefix for a part of a payload, encoded in buffer.
func lengthPrefix(buffer *[binary.MaxVarintLen64]byte, part []byte) []byte {
	return protowire.AppendVarint(buffer[:0], uint64(len(part)))
}

// splitMessage returns the length-prefixed message at the start of a payload
// and the body that follows it.
func splitMessage(payload []byte) (message, body []byte, err error) {
	message, n := protowire.ConsumeBytes(payload)
	if n < 0 {
		return nil, nil, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
	}
	return message, payload[n:], nil
}

func fieldsFromHeader(h http.Header) []*wirev1.PeerField {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	all := make([]wirev1.PeerField, n)
	fields := make([]*wirev1.PeerField, 0, n+2)
	for name, values := range h {
		for _, v := range values {
			f := &all[len(fields)]
			f.Name, f.Value = name, []byte(v)
			fields = append(fields, f)
		}
	}
	return fields
}

// headerFromFields returns the end-to-end headers among the fields. It drops
// all others, like relay.EndToEnd.
func headerFromFields(fields []*wirev1.PeerField) http.Header {
	h := make(http.Header, len(fields))
	values := make([]string, 0, len(fields))
	for _, f := range fields {
		name := f.GetName()
		if relay.Reserved(name) {
			continue
		}
		if previous, ok := h[name]; ok {
			h[name] = append(previous, string(f.GetValue()))
			continue
		}
		values = append(values, string(f.GetValue()))
		last := len(values)
		h[name] = values[last-1 : last : last]
	}
	return h
}

// appendCall appends an encoded call without its body.
func appendCall(b []byte, c *relay.Call, remaining time.Duration) ([]byte, error) {
	return appendMessage(b, &wirev1.PeerCall{
		Call: EncodeCall(c, remaining), Method: c.Method, Uri: []byte(c.URI), Host: []byte(c.Host), Header: appendOrganisation(append(fieldsFromHeader(c.Header), classField(c)), c),
	})
}

// decodeCall decodes the payload of a call frame. The call refers to the
// payload.
func decodeCall(payload []byte, now time.Time) (*relay.Call, error) {
	message, body, err := splitMessage(payload)
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
	c.Method, c.URI, c.Host, c.Header = m.GetMethod(), string(m.GetUri()), string(m.GetHost()), headerFromFields(m.GetHeader())
	setClassFromFields(c, m.GetHeader())
	if !setOrganisationFromFields(c, m.GetHeader()) {
		return nil, errMalformed
	}
	c.Body = &relay.Body{Buffered: body}
	if c.Method == "" || c.URI == "" || len(body) > relay.MaxBufferedBytes {
		return nil, errMalformed
	}
	return c, nil
}

// bodyEncoding is the way in which the body of a response is sent.
type bodyEncoding int

// Encodings of bodies.
const (
	// bodyInline follows the message in the same frame.
	bodyInline bodyEncoding = iota
	// bodyStreamed follows in data frames.
	bodyStreamed
	bodyNone
)

// appendAnswer appends an encoded response without its body.
func appendAnswer(b []byte, a *relay.Response, sending string, kind bodyEncoding) ([]byte, error) {
	m := &wirev1.PeerAnswer{
		Sending: sending, Status: uint32(a.Status), Streamed: kind == bodyStreamed, NoBody: kind == bodyNone, Header: fieldsFromHeader(a.Header),
	}
	if a.Length >= 0 {
		m.Length = &a.Length
	}
	return appendMessage(b, m)
}

// decodeAnswer decodes the payload of an answer frame. The body of a streamed
// response is nil.
func decodeAnswer(payload []byte) (a *relay.Response, sending string, err error) {
	message, body, err := splitMessage(payload)
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
	if length < -1 || !kept && len(body) > 0 || kept && length != int64(len(body)) {
		return nil, "", errMalformed
	}
	header := headerFromFields(m.GetHeader())
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
	if m.GetReason() == "" || int64(m.GetRetryAfterMs()) > maxRemaining.Milliseconds() {
		return nil, errMalformed
	}
	r := relay.Unknown(outcome.Reason(m.GetReason()))
	if m.GetOutcome() == outcome.OutcomeNotRun.String() {
		r = relay.NotRun(r.Reason)
	}
	r.RetryAfter = time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	return r, nil
}
