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
	MaxAdvertisements = 16
	MaxLinks          = 64
	MaxProbeTargets   = 32
	MaxName           = 200
)

// ErrMalformedAdvertisements is returned for what is not a well-formed message of rows.
var ErrMalformedAdvertisements = errors.New("malformed rows of links")

// wireVersion begins each message of rows.
const wireVersion = 1

// Flags of a link.
const (
	flagRefusing = 1 << iota
	flagDamped
	knownFlags = flagRefusing | flagDamped
)

// AppendAdvertisements writes rows behind b: a version, their number, and each row with its links and
// witnesses. Integers are big-endian; names have their length in a byte, ages are in
// milliseconds.
func AppendAdvertisements(b []byte, rows []Advertisement) []byte {
	b = append(b, wireVersion, byte(len(rows)))
	for i := range rows {
		b = rows[i].append(b)
	}
	return b
}

func (r *Advertisement) append(b []byte) []byte {
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
		b = append(b, byte(l.Endpoint.Kind))
		b = appendName(b, l.Endpoint.Name)
		b = append(b, byte(l.In), byte(l.Out), flags)
	}
	b = append(b, byte(len(r.ProbeTargets)))
	for _, w := range r.ProbeTargets {
		b = appendName(b, w.Zone)
		b = appendName(b, w.Address)
	}
	return b
}

func appendName(b []byte, s string) []byte {
	s = s[:min(len(s), MaxName)]
	return append(append(b, byte(len(s))), s...)
}

// DecodeAdvertisements reads what AppendAdvertisements wrote. The age of each row is checked to be possible by
// View.Merge, which knows when the message can have been made.
func DecodeAdvertisements(b []byte) ([]Advertisement, error) {
	d := &decoder{rest: b}
	if v := d.byte(); v != wireVersion {
		return nil, fmt.Errorf("%w: version %d", ErrMalformedAdvertisements, v)
	}
	n := d.count(MaxAdvertisements)
	rows := make([]Advertisement, 0, n)
	for range n {
		rows = append(rows, d.advertisement())
	}
	if d.malformed || len(d.rest) > 0 {
		return nil, ErrMalformedAdvertisements
	}
	return rows, nil
}

// decoder takes fields off the front, and remembers whether one was short or impossible.
type decoder struct {
	rest      []byte
	malformed bool
}

func (d *decoder) next(n int) []byte {
	if d.malformed || n > len(d.rest) {
		d.malformed = true
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) byte() byte {
	if b := d.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint64() uint64 {
	if b := d.next(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// count reads a number of things; more than there may be is malformed.
func (d *decoder) count(limit int) int {
	n := int(d.byte())
	if n > limit {
		d.malformed = true
	}
	if d.malformed {
		return 0
	}
	return n
}

func (d *decoder) name() string {
	n := int(d.byte())
	if n > MaxName {
		d.malformed = true
		return ""
	}
	return string(d.next(n))
}

func (d *decoder) state() State {
	s := State(d.byte())
	if s > Down {
		d.malformed = true
	}
	return s
}

func (d *decoder) advertisement() Advertisement {
	advertisement := Advertisement{Origin: ident.NodeID(d.name()), Incarnation: d.uint64(), Sequence: d.uint64()}
	advertisement.Age = time.Duration(d.uint32()) * time.Millisecond
	if advertisement.Origin == "" {
		d.malformed = true
	}
	links := d.count(MaxLinks)
	for range links {
		advertisement.Links = append(advertisement.Links, d.link())
	}
	witnesses := d.count(MaxProbeTargets)
	for range witnesses {
		advertisement.ProbeTargets = append(advertisement.ProbeTargets, ProbeTarget{Zone: d.name(), Address: d.name()})
	}
	return advertisement
}

func (d *decoder) link() LinkState {
	l := LinkState{Endpoint: Endpoint{Kind: Kind(d.byte()), Name: d.name()}}
	l.In, l.Out = d.state(), d.state()
	flags := d.byte()
	if l.Endpoint.Kind < KVStore || l.Endpoint.Kind > Machines || flags&^knownFlags != 0 {
		d.malformed = true
	}
	l.Refusing, l.Damped = flags&flagRefusing != 0, flags&flagDamped != 0
	return l
}
