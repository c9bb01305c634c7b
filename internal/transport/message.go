// Package transport carries messages between the nodes of a cluster over TCP, in a binary format.
//
// Each node opens a connection to every peer, on which it sends; what it receives comes on the
// connections that the peers have opened. Messages may be lost: those for a peer without a
// connection, or whose queue is full, are dropped. Order is kept on each connection.
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

// Version is the version of the format. Frames of other versions are malformed.
const Version = 2

// MaxFrameBytes bounds a frame without its length: a body of 64 KiB and the other fields.
const MaxFrameBytes = 64<<10 + 1024

// MessageType says which message a frame carries.
type MessageType uint8

// The messages.
const (
	// MsgHello is the first on each connection, and names the sender.
	MsgHello MessageType = iota + 1
	// MsgHeartbeat is sent to every peer at a fixed interval. It names the leader, if the sender
	// is sure to lead. The receiver's transport sends an empty one back on the same connection.
	MsgHeartbeat
	// MsgRequest forwards a client's or a worker's request to the leader.
	MsgRequest
	// MsgResponse answers MsgRequest and MsgRelayRequest.
	MsgResponse
	// MsgLinkState carries link state advertisements, the sender's own and those it has received.
	// Only nodes that announce LinkStateCapability get it.
	MsgLinkState
	// MsgTransferLeader says that the leader hands over. Only nodes that announce
	// LinkStateCapability get it.
	MsgTransferLeader
	// MsgRelayRequest is a MsgRequest that the receiver passes on to the leader, as the sender
	// cannot reach it. Only nodes that announce LinkStateCapability get it.
	MsgRelayRequest
)

// LinkStateCapability is what a node announces that can decode MsgLinkState, MsgTransferLeader and
// MsgRelayRequest. They were added within Version 2: a node that does not know them closes the
// connection on which they arrive.
const LinkStateCapability = 1

// Method is the operation that a request asks for.
type Method uint8

// The methods.
const (
	SubmitJob Method = iota + 1
	GetJob
	CancelJob
	WorkerHeartbeat
)

// Frame is one message. Only the fields of its type are carried; the comments name the types.
type Frame struct {
	Type MessageType
	// Node is the sender in MsgHello, the leader or "" in MsgHeartbeat, and the preferred
	// successor or "" in MsgTransferLeader.
	Node      ident.NodeID
	Term      ident.Term    // MsgHeartbeat, MsgTransferLeader
	Heartbeat PeerHeartbeat // MsgHeartbeat
	// ID identifies a heartbeat among all ever sent, and a response's request. In MsgLinkState it
	// is that of the newest heartbeat that came from the receiver.
	ID          uint64                // MsgHeartbeat, MsgRequest, MsgRelayRequest, MsgResponse, MsgLinkState
	LinkState   []links.Advertisement // MsgLinkState
	Method      Method                // MsgRequest, MsgRelayRequest
	JobID       string                // MsgRequest, MsgRelayRequest: as in the request's path, not validated
	Status      uint16                // MsgResponse: HTTP status
	RetryAfterS uint16                // MsgResponse: Retry-After in seconds, 0 for none
	Body        []byte                // MsgRequest, MsgRelayRequest, MsgResponse
}

// PeerHeartbeat is the sender's status in a heartbeat. Times are in milliseconds.
type PeerHeartbeat struct {
	EchoID           uint64 // the newest heartbeat that came from the receiver, 0 for none
	UptimeMS         uint32 // of the sender's process
	LeaseAllowanceMS uint32 // for how long after the echoed heartbeat the receiver may renew worker leases
	SinceLeaderMS    uint32 // since a leader was last known to be sure of its lease, or Never
	SinceRenewalMS   uint32 // since the sender last renewed a worker lease in place of the leader, or Never
}

// NeverMS stands in a PeerHeartbeat for the time since something that has not happened.
const NeverMS = 1<<32 - 1

// ToMillis returns a time for a PeerHeartbeat, at least 0 and less than Never.
func ToMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), NeverMS-1))
}

// FromMillis returns a time of a PeerHeartbeat.
func FromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
