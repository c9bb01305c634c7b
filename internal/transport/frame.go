// Package transport carries the nodes' own messages to one another, in a binary
// format written by hand.
//
// A frame is its length in four bytes, then a version, a kind and the fields of
// that kind. Integers are big-endian; strings have their length in two bytes,
// bodies in four.
package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/links"
)

// Version is the format's version; frames of others are refused.
const Version = 2

// MaxFrame bounds a frame: a report or a submission of 64 KiB and its envelope.
const MaxFrame = 64<<10 + 1024

// MessageType tells the messages apart.
type MessageType uint8

// The messages.
const (
	MsgHello          MessageType = iota + 1 // first on a connection: who sends
	MsgHeartbeat                             // who leads, as far as the sender knows
	MsgRequest                               // a request passed on to the leader
	MsgResponse                              // the answer to it
	MsgLinkState                             // what nodes know of their links; only to nodes that can read it
	MsgTransferLeader                        // the leader hands the lead over; only to nodes that can read it
	MsgRelayRequest                          // an Ask for a third node to pass on to the leader; only to nodes that can read it
)

// LinkStateCapability is what a node announces that can read Links, Yield and Relay. They came without
// a change of Version, since older nodes close a connection on which they come.
const LinkStateCapability = 1

// Method says what is asked.
type Method uint8

// What can be asked.
const (
	SubmitJob Method = iota + 1
	GetJob
	CancelJob
	WorkerHeartbeat
)

// Frame is one message; only the fields of its kind are carried.
type Frame struct {
	Type        MessageType
	Node        ident.NodeID          // Hello: sender; Heartbeat: leader, may be empty; Yield: who should follow, may be empty
	Term        ident.Term            // Heartbeat, Yield
	Heartbeat   PeerHeartbeat         // Heartbeat
	ID          uint64                // Ask, Relay, Tell; Heartbeat: never the same again; Links: the receiver's newest Heartbeat
	LinkState   []links.Advertisement // Links
	Method      Method                // Ask, Relay
	JobID       string                // Ask, Relay: the id in the path
	Status      uint16                // Tell
	RetryAfterS uint16                // Tell: Retry-After in seconds, 0 for none
	Body        []byte                // Ask, Relay, Tell
}

// PeerHeartbeat is what a node says with a beat of itself, and of what it heard. Times are in
// milliseconds; None: never.
type PeerHeartbeat struct {
	EchoID           uint64 // newest beat that came from the receiver, 0: none
	UptimeMS         uint32 // of the process
	LeaseAllowanceMS uint32 // for how long the receiver may keep leases for the leader, from what is echoed on
	SinceLeaderMS    uint32 // since the sender heard a leader lead
	SinceRenewalMS   uint32 // since the sender kept for one
}

// Never stands for never in a Life.
const Never = 1<<32 - 1

// ToMillis puts a time into a Life; too long ones are cut short of None.
func ToMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), Never-1))
}

// FromMillis takes it out again.
func FromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ErrMalformedFrame is returned for whatever is not a frame of this version.
var ErrMalformedFrame = errors.New("malformed frame")

// Append writes the frame behind b.
func (f *Frame) Append(b []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, Version, byte(f.Type))
	appendString := func(s string) {
		b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
		b = append(b, s...)
	}
	appendBody := func() {
		b = binary.BigEndian.AppendUint32(b, uint32(len(f.Body)))
		b = append(b, f.Body...)
	}
	switch f.Type {
	case MsgHello:
		appendString(string(f.Node))
	case MsgHeartbeat:
		appendString(string(f.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Term))
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = binary.BigEndian.AppendUint64(b, f.Heartbeat.EchoID)
		for _, v := range []uint32{f.Heartbeat.UptimeMS, f.Heartbeat.LeaseAllowanceMS, f.Heartbeat.SinceLeaderMS, f.Heartbeat.SinceRenewalMS} {
			b = binary.BigEndian.AppendUint32(b, v)
		}
	case MsgRequest, MsgRelayRequest:
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = append(b, byte(f.Method))
		appendString(f.JobID)
		appendBody()
	case MsgResponse:
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = binary.BigEndian.AppendUint16(b, f.Status)
		b = binary.BigEndian.AppendUint16(b, f.RetryAfterS)
		appendBody()
	case MsgLinkState:
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = links.AppendAdvertisements(b, f.LinkState)
	case MsgTransferLeader:
		appendString(string(f.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Term))
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// Decode reads a frame without its length.
func Decode(b []byte) (*Frame, error) {
	if len(b) < 2 || len(b) > MaxFrame {
		return nil, ErrMalformedFrame
	}
	if b[0] != Version {
		return nil, fmt.Errorf("%w: version %d", ErrMalformedFrame, b[0])
	}
	f := &Frame{Type: MessageType(b[1])}
	r := fieldReader{rest: b[2:]}
	switch f.Type {
	case MsgHello:
		f.Node = ident.NodeID(r.string16())
	case MsgHeartbeat:
		f.Node = ident.NodeID(r.string16())
		f.Term = ident.Term(r.u64())
		f.ID = r.u64()
		f.Heartbeat = PeerHeartbeat{EchoID: r.u64(), UptimeMS: r.u32(), LeaseAllowanceMS: r.u32(), SinceLeaderMS: r.u32(), SinceRenewalMS: r.u32()}
	case MsgRequest, MsgRelayRequest:
		f.ID = r.u64()
		f.Method = Method(r.u8())
		f.JobID = r.string16()
		f.Body = r.body()
		if f.Method < SubmitJob || f.Method > WorkerHeartbeat {
			return nil, fmt.Errorf("%w: verb %d", ErrMalformedFrame, f.Method)
		}
	case MsgResponse:
		f.ID = r.u64()
		f.Status = r.u16()
		f.RetryAfterS = r.u16()
		f.Body = r.body()
	case MsgLinkState:
		f.ID = r.u64()
		rows, err := links.DecodeAdvertisements(r.remaining())
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
		}
		f.LinkState = rows
	case MsgTransferLeader:
		f.Node = ident.NodeID(r.string16())
		f.Term = ident.Term(r.u64())
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrMalformedFrame, f.Type)
	}
	if r.malformed || len(r.rest) != 0 {
		return nil, ErrMalformedFrame
	}
	return f, nil
}

// fieldReader takes fields off the front and remembers whether one was short.
type fieldReader struct {
	rest      []byte
	malformed bool
}

func (r *fieldReader) next(n int) []byte {
	if r.malformed || n > len(r.rest) {
		r.malformed = true
		return nil
	}
	out := r.rest[:n:n]
	r.rest = r.rest[n:]
	return out
}

func (r *fieldReader) u8() uint8 {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *fieldReader) u16() uint16 {
	if b := r.next(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *fieldReader) u32() uint32 {
	if b := r.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *fieldReader) u64() uint64 {
	if b := r.next(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// remaining takes all that is left.
func (r *fieldReader) remaining() []byte { return r.next(len(r.rest)) }

func (r *fieldReader) string16() string { return string(r.next(int(r.u16()))) }

func (r *fieldReader) body() []byte {
	n := r.u32()
	if r.malformed {
		return nil
	}
	if n > MaxFrame {
		r.malformed = true
		return nil
	}
	return r.next(int(n))
}

// Read reads one frame from a connection.
func Read(r io.Reader) (*Frame, error) {
	var lengthPrefix [4]byte
	if _, err := io.ReadFull(r, lengthPrefix[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(lengthPrefix[:])
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformedFrame, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return Decode(b)
}
