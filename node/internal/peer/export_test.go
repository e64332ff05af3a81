package peer

// For tests of the frames' decoders.
var (
	DecodeFramedCall   = decodeCall
	DecodeFramedAnswer = decodeAnswer
	DecodeRefusal      = decodeRefusal
	AppendFramedCall   = appendCall
	AppendFramedAnswer = appendAnswer
	AppendMessage      = appendMessage
)

// For tests of framed connections.
const (
	Preface       = preface
	StreamWindow  = streamWindow
	MaxFrameBytes = maxFrameBytes
	FrameHello    = byte(frameHello)
	FrameCall     = byte(frameCall)
	FrameRefusal  = byte(frameRefusal)
)
