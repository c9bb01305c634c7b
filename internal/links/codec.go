package links

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"opaldale/internal/ident"
	"opaldale/internal/wire"
)

// Limits of an encoded list of advertisements. A list that exceeds one of them is malformed.
const (
	MaxAdvertisements = 16
	MaxLinks          = 64  // per advertisement
	MaxProbeTargets   = 32  // per advertisement
	MaxName           = 200 // bytes in a name or an address
)

// ErrMalformedAdvertisements is returned for input that is not a valid encoded list of advertisements.
var ErrMalformedAdvertisements = errors.New("malformed link state advertisements")

// wireVersion is the version of the encoding.
const wireVersion = 1

// The flags of a link.
const (
	flagRefusing = 1 << iota
	flagDamped
	knownFlags = flagRefusing | flagDamped
)

// AppendAdvertisements appends an encoded list to b: the version, the number of advertisements, and each
// advertisement with its links and probe targets. Integers are big-endian; counts and lengths of names
// are one byte; ages are in milliseconds. The caller must not exceed the limits on counts. Names longer
// than MaxName are truncated.
func AppendAdvertisements(b []byte, advertisements []Advertisement) []byte {
	b = append(b, wireVersion, byte(len(advertisements)))
	for i := range advertisements {
		b = advertisements[i].append(b)
	}
	return b
}

func (a *Advertisement) append(b []byte) []byte {
	b = appendName(b, string(a.Origin))
	b = binary.BigEndian.AppendUint64(b, a.Incarnation)
	b = binary.BigEndian.AppendUint64(b, a.Sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(0, a.Age.Milliseconds()), math.MaxUint32)))
	b = append(b, byte(len(a.Links)))
	for _, l := range a.Links {
		b = l.append(b)
	}
	b = append(b, byte(len(a.ProbeTargets)))
	for _, target := range a.ProbeTargets {
		b = appendName(b, target.Zone)
		b = appendName(b, target.Address)
	}
	return b
}

func (l LinkState) append(b []byte) []byte {
	b = append(b, byte(l.Endpoint.Kind))
	b = appendName(b, l.Endpoint.Name)
	return append(b, byte(l.In), byte(l.Out), l.flags())
}

func (l LinkState) flags() byte {
	var flags byte
	if l.Refusing {
		flags |= flagRefusing
	}
	if l.Damped {
		flags |= flagDamped
	}
	return flags
}

// appendName appends a name, truncated to MaxName bytes.
func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), MaxName)]
	b = append(b, byte(len(name)))
	return append(b, name...)
}

// DecodeAdvertisements decodes a list encoded by AppendAdvertisements. Trailing bytes are an error. The
// ages are as stated by the sender; see Database.Merge. Errors wrap ErrMalformedAdvertisements.
func DecodeAdvertisements(b []byte) ([]Advertisement, error) {
	d := decoder{wire.NewReader(b)}
	if v := d.Uint8(); v != wireVersion {
		return nil, fmt.Errorf("%w: got encoding version %d, want %d", ErrMalformedAdvertisements, v, wireVersion)
	}
	n := d.count(MaxAdvertisements)
	advertisements := make([]Advertisement, 0, n)
	for range n {
		advertisements = append(advertisements, d.advertisement())
	}
	if !d.Complete() {
		return nil, ErrMalformedAdvertisements
	}
	return advertisements, nil
}

// decoder decodes advertisements and their parts.
type decoder struct{ *wire.Reader }

func (d decoder) advertisement() Advertisement {
	a := Advertisement{
		Origin:      ident.NodeID(d.name()),
		Incarnation: d.Uint64(),
		Sequence:    d.Uint64(),
		Age:         time.Duration(d.Uint32()) * time.Millisecond,
	}
	if a.Origin == "" {
		d.Fail()
	}
	for range d.count(MaxLinks) {
		a.Links = append(a.Links, d.link())
	}
	for range d.count(MaxProbeTargets) {
		a.ProbeTargets = append(a.ProbeTargets, ProbeTarget{Zone: d.name(), Address: d.name()})
	}
	return a
}

func (d decoder) link() LinkState {
	l := LinkState{
		Endpoint: Endpoint{Kind: Kind(d.Uint8()), Name: d.name()},
		In:       d.state(),
		Out:      d.state(),
	}
	flags := d.Uint8()
	if !l.Endpoint.Kind.valid() || flags&^knownFlags != 0 {
		d.Fail()
	}
	l.Refusing = flags&flagRefusing != 0
	l.Damped = flags&flagDamped != 0
	return l
}

func (d decoder) state() State {
	s := State(d.Uint8())
	if s > Down {
		d.Fail()
	}
	return s
}

func (d decoder) name() string {
	n := int(d.Uint8())
	if n > MaxName {
		d.Fail()
	}
	return d.String(n)
}

// count reads the length of a list. It returns 0 if the message is malformed, and marks the message as
// malformed if the length exceeds limit.
func (d decoder) count(limit int) int {
	n := int(d.Uint8())
	if n > limit {
		d.Fail()
	}
	if d.Malformed() {
		return 0
	}
	return n
}
