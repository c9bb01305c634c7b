// Package transport carries messages between the nodes of a cluster over TCP, in a binary format.
//
// Each node opens a connection to every peer and sends on that connection. It receives on the connections
// that its peers open. Delivery is best-effort: messages to a peer that is not connected or whose queue
// is full are dropped. Messages on one connection are delivered in order.
//
// An encoded frame consists of its length in four bytes, the format version and the message type in one
// byte each, and the fields of that message type. Integers are big-endian. A string is preceded by its
// length in two bytes, a body by its length in four.
package transport

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
)

// Version is the version of the frame format. Frames of other versions are rejected as malformed.
const Version = 2

// MaxFrameBytes is the maximum size of a frame, not counting the length field. It allows for a body of
// 64 KiB and the other fields.
const MaxFrameBytes = 64<<10 + 1024

// MessageType is the type of message that a frame carries.
type MessageType uint8

// The message types.
const (
	// MsgHello is the first message on each connection. It identifies the sender.
	MsgHello MessageType = iota + 1
	// MsgHeartbeat is sent to every peer at a fixed interval. It names the sender as the leader if
	// the sender holds a valid leader lease. The receiver's transport echoes an empty heartbeat on
	// the same connection.
	MsgHeartbeat
	// MsgRequest forwards a request of a client or a worker to the leader.
	MsgRequest
	// MsgResponse is the response to MsgRequest and MsgRelayRequest.
	MsgResponse
	// MsgLinkState carries the link state advertisements of the sender and of other nodes. It is sent
	// only to nodes that announce LinkStateCapability.
	MsgLinkState
	// MsgTransferLeader announces that the leader hands over its leadership. It is sent only to nodes
	// that announce LinkStateCapability.
	MsgTransferLeader
	// MsgRelayRequest carries a request that the receiver forwards to the leader, because the sender
	// cannot reach the leader. It is sent only to nodes that announce LinkStateCapability.
	MsgRelayRequest
)

// LinkStateCapability is the capability that a node announces if it can decode MsgLinkState,
// MsgTransferLeader and MsgRelayRequest. These message types were added without a new Version: a node
// that does not support them closes the connection on which it receives one.
const LinkStateCapability = 1

// Method is the operation that a request invokes.
type Method uint8

// The methods.
const (
	SubmitJob Method = iota + 1
	GetJob
	CancelJob
	WorkerHeartbeat
)

// Frame is one message. Only the fields that belong to its Type are encoded. The comments name the message
// types to which each field belongs.
type Frame struct {
	Type MessageType
	// Node is the sender in MsgHello, the leader in MsgHeartbeat, and the preferred successor in
	// MsgTransferLeader. It may be "" in the latter two.
	Node      ident.NodeID
	Term      ident.Term    // MsgHeartbeat, MsgTransferLeader
	Heartbeat PeerHeartbeat // MsgHeartbeat
	// ID is the unique ID of a heartbeat, or the ID that a request and its response share. In
	// MsgLinkState it is the ID of the newest heartbeat that the sender received from the receiver.
	ID          uint64                // MsgHeartbeat, MsgRequest, MsgRelayRequest, MsgResponse, MsgLinkState
	LinkState   []links.Advertisement // MsgLinkState
	Method      Method                // MsgRequest, MsgRelayRequest
	JobID       string                // MsgRequest, MsgRelayRequest: as in the path of the HTTP request, not validated
	Status      uint16                // MsgResponse: HTTP status
	RetryAfterS uint16                // MsgResponse: Retry-After header in seconds; 0: no header
	Body        []byte                // MsgRequest, MsgRelayRequest, MsgResponse
}

// PeerHeartbeat is the status of the sender in a heartbeat to one receiver. Times are in milliseconds.
type PeerHeartbeat struct {
	EchoID           uint64 // ID of the newest heartbeat that the sender received from the receiver; 0: none
	UptimeMS         uint32 // time since the start of the sender's process
	LeaseAllowanceMS uint32 // how long after sending heartbeat EchoID the receiver may renew worker leases
	SinceLeaderMS    uint32 // time since a leader lease was last known to be valid, or NeverMS
	SinceRenewalMS   uint32 // time since the sender last renewed a worker lease on behalf of the leader, or NeverMS
}

// NeverMS is the value in a PeerHeartbeat for the time since an event that has not occurred.
const NeverMS = 1<<32 - 1

// ToMillis converts a duration to milliseconds for a PeerHeartbeat, clamped to 0..NeverMS-1.
func ToMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), NeverMS-1))
}

// FromMillis converts a time in a PeerHeartbeat, which must not be NeverMS, to a duration.
func FromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
