package peer

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// TestKeptHeadersAreBounded guards against kept responses with long headers that take
// far more memory than the limit, which counted bodies only.
func TestKeptHeadersAreBounded(t *testing.T) {
	var r recentCalls
	long := strings.Repeat("h", 200<<10)
	for i := range 500 {
		c := r.begin(strconv.Itoa(i))
		r.end(time.Unix(1000, 0), c, relay.NewBufferedResponse(200, http.Header{"X-Long": {long}}, nil), nil)
	}
	kept := 0
	for _, c := range r.calls {
		kept += len(c.header.Get("X-Long"))
	}
	if kept > maxRecentBytes {
		t.Errorf("%d bytes of headers are kept, want at most %d", kept, maxRecentBytes)
	}
}
