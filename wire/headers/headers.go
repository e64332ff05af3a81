// Package headers defines the names of the HTTP headers that jujubeknot exchanges
// with callers and backend servers, between nodes and between control members.
package headers

// Headers that callers may send and receive.
const (
	// IdempotencyKey is an id that the caller assigns to a non-idempotent
	// request.
	IdempotencyKey = "Idempotency-Key"
	// Attempt is the number of the attempt: 1 for the first, higher for a
	// resend.
	Attempt = "Jujubeknot-Attempt"
	// Deadline is the remaining time for the request in milliseconds.
	Deadline = "Jujubeknot-Deadline"
	// Depth is the nesting depth of the call: 0 for a call from outside, 1 for
	// a call that a backend server makes while it handles a call of depth 0.
	Depth = "Jujubeknot-Depth"
	// ParentID is the request id that the backend server received with the
	// request for which it makes a call.
	ParentID = "Jujubeknot-Parent-Id"
	// Outcome is set on a refusal. It is notRun or unknown.
	Outcome = "Jujubeknot-Outcome"
	// RetryAfterMs is the value of Retry-After in milliseconds.
	RetryAfterMs = "Jujubeknot-Retry-After-Ms"
	// RequestID identifies a request from its entry to its response.
	RequestID = "Jujubeknot-Request-Id"
)

// Headers between nodes and backend servers.
const (
	// Fence is the epoch of the partition's assignment.
	Fence = "Jujubeknot-Fence"
	// Partition is the partition that the request's key belongs to.
	Partition = "Jujubeknot-Partition"
	// Organisation is the name of the organisation that the request is made for. The
	// node sets it, whatever the caller sent.
	Organisation = "Jujubeknot-Organisation"
	// BootID is the boot id of the backend server that responded.
	BootID = "Jujubeknot-Boot-Id"
)

// Headers between nodes. Nodes remove them from the requests of callers.
const (
	// PeerIncarnation is the sending node's incarnation.
	PeerIncarnation = "Jujubeknot-Peer-Incarnation"
	// PeerSecret is the secret of the sending node's incarnation.
	PeerSecret = "Jujubeknot-Peer-Secret"
	// PeerCall holds everything that the owner's node must know about the call.
	// It is a single header because its value differs for each request. Several
	// headers would each take an entry in the header tables of HTTP/2.
	PeerCall = "Jujubeknot-Peer-Call"
	// PeerClass holds the kind of the call and the priority of the call that it
	// is made for. Nodes of versions without it ignore it.
	PeerClass = "Jujubeknot-Peer-Class"
	// PeerOrganisation is the name of the organisation that the call is made for.
	// Nodes of versions without it ignore it.
	PeerOrganisation = "Jujubeknot-Peer-Organisation"
	// PeerTarget is the path and the query of a call as its caller sent them, if
	// the path of the HTTP/2 request has other escapes. Nodes of versions without
	// it use that path.
	PeerTarget = "Jujubeknot-Peer-Target"
)

// Headers between control members.
const (
	// MemberSecret is the secret that control members share.
	MemberSecret = "Jujubeknot-Member-Secret"
	// Leader is the address of the leader. A control member that is not the
	// leader sends it with its error. It is the address for operators if an
	// operator called, and the address for nodes if a node did.
	Leader = "Jujubeknot-Leader"
	// MemberOperator is the address on which the sending member listens for
	// operators.
	MemberOperator = "Jujubeknot-Member-Operator"
)

// Prefix is the prefix of the headers that the project defines.
const Prefix = "Jujubeknot-"
