// Package transport carries messages between the nodes of a cluster over TCP, in a binary format.
//
// Each node opens a connection to every peer, on which it sends. It receives on the connections opened
// by its peers. Delivery is best-effort: messages for a peer that is not connected or whose queue is
// full are dropped. Messages on one connection are delivered in order.
//
// A frame is its length in four bytes, then the format's version, the message type and the fields
// of that type. Integers are big-endian. Strings are preceded by their length in two bytes,
// bodies in four.
package transport

import (
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
)

// Version is the version of the frame format. Frames of other versions are malformed.
const Version = 2

// MaxFrameBytes is the maximum size of a frame without its length: a body of 64 KiB and the other fields.
const MaxFrameBytes = 64<<10 + 1024

// MessageType is the type of message that a frame carries.
type MessageType uint8

// The messages.
const (
	// MsgHello is the first message on each connection. It identifies the sender.
	MsgHello MessageType = iota + 1
	// MsgHeartbeat is sent to every peer at a fixed interval. It names the leader if that is the
	// sender and its lease is valid. The receiver's transport sends an empty one back on the same
	// connection.
	MsgHeartbeat
	// MsgRequest forwards a client's or a worker's request to the leader.
	MsgRequest
	// MsgResponse answers MsgRequest and MsgRelayRequest.
	MsgResponse
	// MsgLinkState carries link state advertisements of the sender and of other nodes. It is sent
	// only to nodes that announce LinkStateCapability.
	MsgLinkState
	// MsgTransferLeader announces that the leader hands over. It is sent only to nodes that announce
	// LinkStateCapability.
	MsgTransferLeader
	// MsgRelayRequest is a MsgRequest that the receiver forwards to the leader, because the sender
	// cannot reach it. It is sent only to nodes that announce LinkStateCapability.
	MsgRelayRequest
)

// LinkStateCapability is announced by nodes that can decode MsgLinkState, MsgTransferLeader and
// MsgRelayRequest. These were added within Version 2: a node that does not know them closes the
// connection on which they arrive.
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

// Frame is one message. Only the fields of its type are encoded; the comments name the types.
type Frame struct {
	Type MessageType
	// Node is the sender in MsgHello, the leader or "" in MsgHeartbeat, and the preferred
	// successor or "" in MsgTransferLeader.
	Node      ident.NodeID
	Term      ident.Term    // MsgHeartbeat, MsgTransferLeader
	Heartbeat PeerHeartbeat // MsgHeartbeat
	// ID identifies a heartbeat among all ever sent, or a request and its response. In MsgLinkState
	// it is the ID of the newest heartbeat received from the addressee.
	ID          uint64                // MsgHeartbeat, MsgRequest, MsgRelayRequest, MsgResponse, MsgLinkState
	LinkState   []links.Advertisement // MsgLinkState
	Method      Method                // MsgRequest, MsgRelayRequest
	JobID       string                // MsgRequest, MsgRelayRequest: as in the request's path, not validated
	Status      uint16                // MsgResponse: HTTP status
	RetryAfterS uint16                // MsgResponse: Retry-After in seconds, 0 for none
	Body        []byte                // MsgRequest, MsgRelayRequest, MsgResponse
}

// PeerHeartbeat is the sender's status in a heartbeat to one addressee. Times are in milliseconds.
type PeerHeartbeat struct {
	EchoID           uint64 // ID of the newest heartbeat received from the addressee, 0 for none
	UptimeMS         uint32 // of the sender's process
	LeaseAllowanceMS uint32 // how long after sending the echoed heartbeat the addressee may renew worker leases
	SinceLeaderMS    uint32 // since a leader's lease was last known to be valid, or NeverMS
	SinceRenewalMS   uint32 // since the sender last renewed a worker lease on behalf of the leader, or NeverMS
}

// NeverMS is the time in a PeerHeartbeat since an event that has not occurred.
const NeverMS = 1<<32 - 1

// ToMillis returns d in milliseconds for a PeerHeartbeat, clamped to the range from 0 to below NeverMS.
func ToMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), NeverMS-1))
}

// FromMillis returns the duration for a time in a PeerHeartbeat. It must not be NeverMS.
func FromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
