package peer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// encodeClass returns the value of the header Jujubeknot-Peer-Class: the kind
// of a call and, if the call is nested, the priority of the call that it is made
// for.
func encodeClass(c *relay.Call) string {
	b := strconv.AppendUint(make([]byte, 0, 12), uint64(c.Kind), 16)
	if c.Nested {
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(c.ParentPriority), 10)
	}
	return string(b)
}

// setClass sets what a value of the header says about a call. A value that
// cannot be read says nothing, because the call can run without it.
func setClass(c *relay.Call, value string) {
	kind, parent, nested := strings.Cut(value, " ")
	k, err := strconv.ParseUint(kind, 16, 32)
	if err != nil {
		return
	}
	if nested {
		p, err := strconv.ParseUint(parent, 10, 8)
		if err != nil || p > admission.MaxPriority {
			return
		}
		c.Nested, c.ParentPriority = true, int(p)
	}
	c.Kind = uint32(k)
}

// classField returns the header of a call as a field of a frame.
func classField(c *relay.Call) *wirev1.PeerField {
	return &wirev1.PeerField{Name: headers.PeerClass, Value: []byte(encodeClass(c))}
}

// setClassFromFields sets what the fields of a call frame say about the call.
func setClassFromFields(c *relay.Call, fields []*wirev1.PeerField) {
	for _, f := range fields {
		if f.GetName() == headers.PeerClass {
			setClass(c, string(f.GetValue()))
		}
	}
}

// setClassFromHeader sets what the header of an HTTP/2 request says about the
// call.
func setClassFromHeader(c *relay.Call, h http.Header) {
	if value := h.Get(headers.PeerClass); value != "" {
		setClass(c, value)
	}
}
