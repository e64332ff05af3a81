package peer

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
