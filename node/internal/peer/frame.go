package peer

import (
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// preface begins each framed connection and tells it from HTTP/2.
const preface = "JBK1"

const (
	// frameHeaderBytes is payload length (4), type (1) and stream (4), big-endian.
	frameHeaderBytes = 9
	// maxFrameBytes bounds a payload: a header of maxHeaderBytes, its share of
	// length prefixes, and a body of relay.KeepBytes.
	maxFrameBytes = 4*maxHeaderBytes + relay.KeepBytes
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

// Flags of an answer.
const (
	// answerStreamed means that the body follows in data frames.
	answerStreamed = 1 << iota
	// answerNoBody means that the answer has no body whatever its length.
	answerNoBody
)

var errMalformed = errors.New("malformed frame")

// payloads has buffers in which payloads are encoded.
var payloads = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendHeader writes the number of fields and each value with its name.
func appendHeader(b []byte, h http.Header) []byte {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	b = binary.AppendUvarint(b, uint64(n))
	for name, values := range h {
		for _, v := range values {
			b = appendString(appendString(b, name), v)
		}
	}
	return b
}

// fields reads the parts of a payload. The first malformed one sets bad, after
// which all others are empty.
type fields struct {
	text string
	bad  bool
}

func (f *fields) uint() uint64 {
	var v uint64
	for shift := 0; shift < 64 && len(f.text) > 0; shift += 7 {
		c := f.text[0]
		f.text = f.text[1:]
		if shift == 63 && c > 1 {
			break
		}
		v |= uint64(c&0x7f) << shift
		if c < 0x80 {
			return v
		}
	}
	f.fail()
	return 0
}

func (f *fields) fail() { f.text, f.bad = "", true }

func (f *fields) string() string {
	n := f.uint()
	if n > uint64(len(f.text)) {
		f.fail()
		return ""
	}
	s := f.text[:n]
	f.text = f.text[n:]
	return s
}

// header reads end-to-end headers. Others are left out, as relay.EndToEnd does.
func (f *fields) header() http.Header {
	n := f.uint()
	// Each field takes two bytes at least.
	if n > uint64(len(f.text))/2 {
		f.fail()
		return nil
	}
	h := make(http.Header, n)
	values := make([]string, 0, n)
	for range n {
		name, value := f.string(), f.string()
		if f.bad {
			return nil
		}
		if relay.Reserved(name) {
			continue
		}
		if earlier, ok := h[name]; ok {
			h[name] = append(earlier, value)
			continue
		}
		values = append(values, value)
		last := len(values)
		h[name] = values[last-1 : last : last]
	}
	return h
}

// appendCall writes a call without its body.
func appendCall(b []byte, c *relay.Call, left time.Duration) []byte {
	b = appendString(b, EncodeCall(c, left))
	b = appendString(b, c.Method)
	b = appendString(b, c.URI)
	b = appendString(b, c.Host)
	return appendHeader(b, c.Header)
}

// split returns the first part of a payload, which is written with its length
// before it, as text, and the body after it.
func split(payload []byte) (string, []byte, error) {
	n, size := binary.Uvarint(payload)
	if size <= 0 || n > uint64(len(payload)-size) {
		return "", nil, errMalformed
	}
	rest := payload[size:]
	return string(rest[:n]), rest[n:], nil
}

// decodeCall reads the payload of a call frame.
func decodeCall(payload []byte) (*relay.Call, time.Duration, error) {
	text, body, err := split(payload)
	if err != nil {
		return nil, 0, err
	}
	f := fields{text: text}
	c, left, err := DecodeCall(f.string())
	if err != nil {
		return nil, 0, err
	}
	c.Method, c.URI, c.Host, c.Header = f.string(), f.string(), f.string(), f.header()
	c.Body = &relay.Body{Kept: body}
	if f.bad || f.text != "" || c.Method == "" || c.URI == "" || len(body) > relay.KeepBytes {
		return nil, 0, errMalformed
	}
	return c, left, nil
}

// appendAnswer writes an answer without its body.
func appendAnswer(b []byte, a *relay.Answer, sending string, flags uint64) []byte {
	b = appendString(b, sending)
	b = binary.AppendUvarint(b, uint64(a.Status))
	b = binary.AppendUvarint(b, flags)
	b = binary.AppendUvarint(b, uint64(a.Length+1))
	return appendHeader(b, a.Header)
}

// decodeAnswer reads the payload of an answer frame. The body of a streamed
// answer is nil.
func decodeAnswer(payload []byte) (a *relay.Answer, sending string, err error) {
	text, body, err := split(payload)
	if err != nil {
		return nil, "", err
	}
	f := fields{text: text}
	sending = f.string()
	status, flags, length := f.uint(), f.uint(), int64(f.uint())-1
	header := f.header()
	streamed, none := flags&answerStreamed != 0, flags&answerNoBody != 0
	if f.bad || f.text != "" || status < 100 || status > 999 || length < -1 || len(body) > 0 && (streamed || none) {
		return nil, "", errMalformed
	}
	switch {
	case streamed:
		return &relay.Answer{Status: int(status), Header: header, Length: length}, sending, nil
	case none:
		return &relay.Answer{Status: int(status), Header: header, Length: length, Body: http.NoBody}, sending, nil
	case length != int64(len(body)):
		return nil, "", errMalformed
	}
	return relay.KeptAnswer(int(status), header, body), sending, nil
}

func appendRefusal(b []byte, r *outcome.Refusal) []byte {
	b = appendString(b, r.Outcome.String())
	b = appendString(b, string(r.Reason))
	return binary.AppendUvarint(b, uint64(max(r.RetryAfter.Milliseconds(), 0)))
}

func decodeRefusal(payload []byte) (*outcome.Refusal, error) {
	f := fields{text: string(payload)}
	said, reason, retryAfter := f.string(), outcome.Reason(f.string()), f.uint()
	if f.bad || f.text != "" || reason == "" || retryAfter > uint64(maxLeft.Milliseconds()) {
		return nil, errMalformed
	}
	r := relay.Unknown(reason)
	if said == outcome.OutcomeNotRun.String() {
		r = relay.NotRun(reason)
	}
	r.RetryAfter = time.Duration(retryAfter) * time.Millisecond
	return r, nil
}
