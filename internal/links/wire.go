package links

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"opaldale/internal/ident"
)

// Bounds of a message of rows. A message with more is malformed.
const (
	MaxRows      = 16
	MaxLinks     = 64
	MaxWitnesses = 32
	MaxName      = 200
)

// ErrRows is returned for what is not a well-formed message of rows.
var ErrRows = errors.New("malformed rows of links")

// wireVersion begins each message of rows.
const wireVersion = 1

// Flags of a link.
const (
	flagRefusing = 1 << iota
	flagDamped
	knownFlags = flagRefusing | flagDamped
)

// AppendRows writes rows behind b: a version, their number, and each row with its links and
// witnesses. Integers are big-endian; names have their length in a byte, ages are in
// milliseconds.
func AppendRows(b []byte, rows []Row) []byte {
	b = append(b, wireVersion, byte(len(rows)))
	for i := range rows {
		b = rows[i].append(b)
	}
	return b
}

func (r *Row) append(b []byte) []byte {
	b = appendName(b, string(r.Origin))
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(0, r.Age.Milliseconds()), 1<<32-1)))
	b = append(b, byte(len(r.Links)))
	for _, l := range r.Links {
		flags := byte(0)
		if l.Refusing {
			flags |= flagRefusing
		}
		if l.Damped {
			flags |= flagDamped
		}
		b = append(b, byte(l.Peer.Kind))
		b = appendName(b, l.Peer.Name)
		b = append(b, byte(l.In), byte(l.Out), flags)
	}
	b = append(b, byte(len(r.Witnesses)))
	for _, w := range r.Witnesses {
		b = appendName(b, w.Zone)
		b = appendName(b, w.Address)
	}
	return b
}

func appendName(b []byte, s string) []byte {
	s = s[:min(len(s), MaxName)]
	return append(append(b, byte(len(s))), s...)
}

// DecodeRows reads what AppendRows wrote. The age of each row is checked to be possible by
// View.Merge, which knows when the message can have been made.
func DecodeRows(b []byte) ([]Row, error) {
	d := &decoder{rest: b}
	if v := d.byte(); v != wireVersion {
		return nil, fmt.Errorf("%w: version %d", ErrRows, v)
	}
	n := d.count(MaxRows)
	rows := make([]Row, 0, n)
	for range n {
		rows = append(rows, d.row())
	}
	if d.bad || len(d.rest) > 0 {
		return nil, ErrRows
	}
	return rows, nil
}

// decoder takes fields off the front, and remembers whether one was short or impossible.
type decoder struct {
	rest []byte
	bad  bool
}

func (d *decoder) take(n int) []byte {
	if d.bad || n > len(d.rest) {
		d.bad = true
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint64() uint64 {
	if b := d.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// count reads a number of things; more than there may be is malformed.
func (d *decoder) count(most int) int {
	n := int(d.byte())
	if n > most {
		d.bad = true
	}
	if d.bad {
		return 0
	}
	return n
}

func (d *decoder) name() string {
	n := int(d.byte())
	if n > MaxName {
		d.bad = true
		return ""
	}
	return string(d.take(n))
}

func (d *decoder) state() State {
	s := State(d.byte())
	if s > Down {
		d.bad = true
	}
	return s
}

func (d *decoder) row() Row {
	r := Row{Origin: ident.NodeID(d.name()), Incarnation: d.uint64(), Sequence: d.uint64()}
	r.Age = time.Duration(d.uint32()) * time.Millisecond
	if r.Origin == "" {
		d.bad = true
	}
	links := d.count(MaxLinks)
	for range links {
		r.Links = append(r.Links, d.link())
	}
	witnesses := d.count(MaxWitnesses)
	for range witnesses {
		r.Witnesses = append(r.Witnesses, Witness{Zone: d.name(), Address: d.name()})
	}
	return r
}

func (d *decoder) link() LinkState {
	l := LinkState{Peer: Peer{Kind: Kind(d.byte()), Name: d.name()}}
	l.In, l.Out = d.state(), d.state()
	flags := d.byte()
	if l.Peer.Kind < StateService || l.Peer.Kind > Machines || flags&^knownFlags != 0 {
		d.bad = true
	}
	l.Refusing, l.Damped = flags&flagRefusing != 0, flags&flagDamped != 0
	return l
}
