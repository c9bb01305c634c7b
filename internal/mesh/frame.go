// Package mesh carries the nodes' own messages to one another, in a binary
// format written by hand.
//
// A frame is its length in four bytes, then a version, a kind and the fields of
// that kind. Integers are big-endian; strings have their length in two bytes,
// bodies in four.
package mesh

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

// Kind tells the messages apart.
type Kind uint8

// The messages.
const (
	Hello     Kind = iota + 1 // first on a connection: who sends
	Heartbeat                 // who leads, as far as the sender knows
	Ask                       // a request passed on to the leader
	Tell                      // the answer to it
	Links                     // what nodes know of their links; only to nodes that can read it
	Yield                     // the leader hands the lead over; only to nodes that can read it
	Relay                     // an Ask for a third node to pass on to the leader; only to nodes that can read it
)

// LinksCapability is what a node announces that can read Links, Yield and Relay. They came without
// a change of Version, since older nodes close a connection on which they come.
const LinksCapability = 1

// Verb says what is asked.
type Verb uint8

// What can be asked.
const (
	Submit Verb = iota + 1
	Poll
	Cancel
	Checkin
)

// Frame is one message; only the fields of its kind are carried.
type Frame struct {
	Kind   Kind
	Node   ident.NodeID // Hello: sender; Heartbeat: leader, may be empty; Yield: who should follow, may be empty
	Term   ident.Term   // Heartbeat, Yield
	Life   Life         // Heartbeat
	ID     uint64       // Ask, Relay, Tell; Heartbeat: never the same again; Links: the receiver's newest Heartbeat
	Rows   []links.Row  // Links
	Verb   Verb         // Ask, Relay
	Job    string       // Ask, Relay: the id in the path
	Status uint16       // Tell
	Retry  uint16       // Tell: Retry-After in seconds, 0 for none
	Body   []byte       // Ask, Relay, Tell
}

// Life is what a node says with a beat of itself, and of what it heard. Times are in
// milliseconds; None: never.
type Life struct {
	Echo         uint64 // newest beat that came from the receiver, 0: none
	ProcessAge   uint32 // of the process
	Allowance    uint32 // for how long the receiver may keep leases for the leader, from what is echoed on
	SinceLeader  uint32 // since the sender heard a leader lead
	SinceRenewal uint32 // since the sender kept for one
}

// None stands for never in a Life.
const None = 1<<32 - 1

// Millis puts a time into a Life; too long ones are cut short of None.
func Millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), None-1))
}

// Duration takes it out again.
func Duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ErrFrame is returned for whatever is not a frame of this version.
var ErrFrame = errors.New("malformed frame")

// Append writes the frame behind b.
func (f *Frame) Append(b []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, Version, byte(f.Kind))
	str := func(s string) {
		b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
		b = append(b, s...)
	}
	body := func() {
		b = binary.BigEndian.AppendUint32(b, uint32(len(f.Body)))
		b = append(b, f.Body...)
	}
	switch f.Kind {
	case Hello:
		str(string(f.Node))
	case Heartbeat:
		str(string(f.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Term))
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = binary.BigEndian.AppendUint64(b, f.Life.Echo)
		for _, v := range []uint32{f.Life.ProcessAge, f.Life.Allowance, f.Life.SinceLeader, f.Life.SinceRenewal} {
			b = binary.BigEndian.AppendUint32(b, v)
		}
	case Ask, Relay:
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = append(b, byte(f.Verb))
		str(f.Job)
		body()
	case Tell:
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = binary.BigEndian.AppendUint16(b, f.Status)
		b = binary.BigEndian.AppendUint16(b, f.Retry)
		body()
	case Links:
		b = binary.BigEndian.AppendUint64(b, f.ID)
		b = links.AppendRows(b, f.Rows)
	case Yield:
		str(string(f.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(f.Term))
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// Decode reads a frame without its length.
func Decode(b []byte) (*Frame, error) {
	if len(b) < 2 || len(b) > MaxFrame {
		return nil, ErrFrame
	}
	if b[0] != Version {
		return nil, fmt.Errorf("%w: version %d", ErrFrame, b[0])
	}
	f := &Frame{Kind: Kind(b[1])}
	r := reader{b: b[2:]}
	switch f.Kind {
	case Hello:
		f.Node = ident.NodeID(r.str())
	case Heartbeat:
		f.Node = ident.NodeID(r.str())
		f.Term = ident.Term(r.u64())
		f.ID = r.u64()
		f.Life = Life{Echo: r.u64(), ProcessAge: r.u32(), Allowance: r.u32(), SinceLeader: r.u32(), SinceRenewal: r.u32()}
	case Ask, Relay:
		f.ID = r.u64()
		f.Verb = Verb(r.u8())
		f.Job = r.str()
		f.Body = r.body()
		if f.Verb < Submit || f.Verb > Checkin {
			return nil, fmt.Errorf("%w: verb %d", ErrFrame, f.Verb)
		}
	case Tell:
		f.ID = r.u64()
		f.Status = r.u16()
		f.Retry = r.u16()
		f.Body = r.body()
	case Links:
		f.ID = r.u64()
		rows, err := links.DecodeRows(r.rest())
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrFrame, err)
		}
		f.Rows = rows
	case Yield:
		f.Node = ident.NodeID(r.str())
		f.Term = ident.Term(r.u64())
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrFrame, f.Kind)
	}
	if r.bad || len(r.b) != 0 {
		return nil, ErrFrame
	}
	return f, nil
}

// reader takes fields off the front and remembers whether one was short.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.b) {
		r.bad = true
		return nil
	}
	out := r.b[:n:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() uint8 {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// rest takes all that is left.
func (r *reader) rest() []byte { return r.take(len(r.b)) }

func (r *reader) str() string { return string(r.take(int(r.u16()))) }

func (r *reader) body() []byte {
	n := r.u32()
	if r.bad {
		return nil
	}
	if n > MaxFrame {
		r.bad = true
		return nil
	}
	return r.take(int(n))
}

// Read reads one frame from a connection.
func Read(rd io.Reader) (*Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(rd, b); err != nil {
		return nil, err
	}
	return Decode(b)
}
