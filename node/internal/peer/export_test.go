package peer

import (
	"net/http"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// Exported for tests of the frame decoders.
var (
	DecodeFramedCall   = decodeCall
	DecodeFramedAnswer = decodeAnswer
	DecodeRefusal      = decodeRefusal
	AppendFramedCall   = appendCall
	AppendFramedAnswer = appendAnswer
	AppendMessage      = appendMessage
)

// Exported for tests of framed connections.
const (
	Preface       = preface
	StreamWindow  = streamWindow
	MaxFrameBytes = maxFrameBytes
	FrameHello    = byte(frameHello)
	FrameCall     = byte(frameCall)
	FrameRefusal  = byte(frameRefusal)
)

// WaitUnidentified waits until a server has a number of connections whose first bytes
// have not arrived.
func WaitUnidentified(s *Server, count int) {
	waitFor(s, func() bool { return len(s.unidentified) == count })
}

// WaitStopping waits until the shutdown of a server has begun.
func WaitStopping(s *Server) {
	waitFor(s, func() bool { return s.stopping })
}

func waitFor(s *Server, condition func() bool) {
	for {
		s.mu.Lock()
		done := condition()
		s.mu.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// SetClass exports setClass for tests.
var SetClass = setClass

// SetClassFromFrame sets the class of a call from the call frame of another one.
func SetClassFromFrame(c, sent *relay.Call) {
	setClassFromFields(c, append(fieldsFromHeader(http.Header{"A": {"b"}}), classField(sent)))
}

// SetClassFromHeader sets the class of a call from the header of another one.
func SetClassFromHeader(c, sent *relay.Call) {
	setClassFromHeader(c, http.Header{headers.PeerClass: {encodeClass(sent)}})
}

// ClockReadingsOfRound returns how often a connMonitor with idle connections reads
// its clock in one round.
func ClockReadingsOfRound(connections int) int {
	readings := countingClock(0)
	m := &connMonitor{clock: &readings, connections: &connectionSet{}, observe: (*halfOpenDetector).observeDialed}
	for range connections {
		m.connections.add(nil, "", nil)
	}
	m.observeAll()
	return int(readings)
}

// countingClock counts its readings.
type countingClock int

func (c *countingClock) Now() time.Time {
	*c++
	return time.Time{}
}
