// Package headers names the HTTP headers that jujubeknot uses towards callers,
// backend servers and other nodes.
package headers

// Headers that callers may send and receive.
const (
	// IdempotencyKey is the caller's own id for a non-idempotent request.
	IdempotencyKey = "Idempotency-Key"
	// Attempt is 1 for the first sending of a request and higher for a resend.
	Attempt = "Jujubeknot-Attempt"
	// Deadline is the time left for the request in milliseconds.
	Deadline = "Jujubeknot-Deadline"
	// Depth is the number of calls above this one: 0 for a call from outside,
	// 1 for a call that a backend server makes while it handles such a call.
	Depth = "Jujubeknot-Depth"
	// Outcome is notRun or unknown on a refusal.
	Outcome = "Jujubeknot-Outcome"
	// RetryAfterMs is Retry-After in milliseconds.
	RetryAfterMs = "Jujubeknot-Retry-After-Ms"
	// RequestID identifies a request from entry to answer.
	RequestID = "Jujubeknot-Request-Id"
)

// Headers towards backend servers.
const (
	// Fence is the epoch of the partition's assignment.
	Fence = "Jujubeknot-Fence"
	// Partition is the partition that the request's key belongs to.
	Partition = "Jujubeknot-Partition"
	// BootID is the boot id of the backend server that answered.
	BootID = "Jujubeknot-Boot-Id"
)

// Headers between nodes. They are removed from requests of callers.
const (
	// PeerIncarnation is the sending node's incarnation.
	PeerIncarnation = "Jujubeknot-Peer-Incarnation"
	// PeerSecret is the secret of the sending node's incarnation.
	PeerSecret = "Jujubeknot-Peer-Secret"
	// PeerCall has everything that the owner's node must know about the call.
	// It is one header because its value differs with each request: several
	// would each take a place in the header tables of HTTP/2.
	PeerCall = "Jujubeknot-Peer-Call"
)

// Headers between control members.
const (
	// MemberSecret is the secret that control members share.
	MemberSecret = "Jujubeknot-Member-Secret"
	// Leader is the address that a control member without the lead names in its
	// error: the leader's for operators or for nodes, as the caller is.
	Leader = "Jujubeknot-Leader"
	// MemberOperator is the address of the sending member's listener for
	// operators.
	MemberOperator = "Jujubeknot-Member-Operator"
)

// Prefix starts each header of the project's own.
const Prefix = "Jujubeknot-"
