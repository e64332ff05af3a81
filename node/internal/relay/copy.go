package relay

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// copyBytes is the size of the buffers that stream bodies. Unit: bytes.
const copyBytes = 32 << 10

var errBodyLength = errors.New("body length differs from the announced length")

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// Copy streams from r to w through a pooled buffer and calls flush, if it is
// not nil, after each piece.
func Copy(w io.Writer, r io.Reader, flush func() error) (int64, error) {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	var total int64
	for {
		n, err := r.Read(buffer[:])
		if n > 0 {
			if _, e := w.Write(buffer[:n]); e != nil {
				return total, e
			}
			total += int64(n)
			if flush != nil {
				if e := flush(); e != nil {
					return total, e
				}
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// WriteResponse sends an answer to the previous hop and closes its body. The
// error means that the answer was cut short; the caller of WriteResponse must
// then abort the response, so that it never ends as a success.
func WriteResponse(w http.ResponseWriter, method string, a *Response, requestID string) error {
	defer func() { _ = a.Body.Close() }()
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(headers.RequestID, requestID)
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		// Keeps net/http from guessing a type that the backend server did not
		// give.
		h["Content-Type"] = nil
	}
	if _, ok := a.Header["Date"]; !ok {
		h["Date"] = nil
	}
	w.WriteHeader(a.Status)
	if method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		return nil
	}
	if kept, ok := a.BufferedBody(); ok {
		_, err := w.Write(kept)
		return err
	}
	var flush func() error
	if a.Length < 0 {
		flush = http.NewResponseController(w).Flush
	}
	n, err := Copy(w, a.Body, flush)
	if err != nil {
		return err
	}
	if a.Length >= 0 && n != a.Length {
		return errBodyLength
	}
	if a.Trailer != nil {
		for name, values := range a.Trailer() {
			h[http.TrailerPrefix+name] = values
		}
	}
	return nil
}
