package relay

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// copyBufferBytes is the size of the buffers through which bodies are streamed.
const copyBufferBytes = 32 << 10

var errBodyLength = errors.New("body length differs from the announced length")

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Copy copies from r to w through a pooled buffer until io.EOF, and returns the
// number of bytes. It calls flush, if it is not nil, after each write.
func Copy(w io.Writer, r io.Reader, flush func() error) (int64, error) {
	buffer := buffers.Get().(*[copyBufferBytes]byte)
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

// WriteResponse sends a response to the previous hop and closes its body. After
// an error the response is truncated: the caller of WriteResponse must then
// abort the response, so that it never looks complete.
func WriteResponse(w http.ResponseWriter, method string, resp *Response, requestID string) error {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	h.Set(headers.RequestID, requestID)
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		// Prevents net/http from guessing a type if the backend server sent
		// none.
		h["Content-Type"] = nil
	}
	if _, ok := resp.Header["Date"]; !ok {
		h["Date"] = nil
	}
	w.WriteHeader(resp.Status)
	if method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified {
		return nil
	}
	if buffered, ok := resp.BufferedBody(); ok {
		_, err := w.Write(buffered)
		return err
	}
	var flush func() error
	if resp.Length < 0 {
		flush = http.NewResponseController(w).Flush
	}
	n, err := Copy(w, resp.Body, flush)
	if err != nil {
		return err
	}
	if resp.Length >= 0 && n != resp.Length {
		return errBodyLength
	}
	if resp.Trailer != nil {
		for name, values := range resp.Trailer() {
			h[http.TrailerPrefix+name] = values
		}
	}
	return nil
}
