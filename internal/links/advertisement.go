package links

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// LinkState is what a row says of one link of its origin.
type LinkState struct {
	Endpoint Endpoint
	In, Out  State
	Refusing bool
	Damped   bool // either direction
}

// usable says whether the link surely carries requests that are served.
func (l LinkState) usable() bool { return l.Out == Up && l.In != Down && !l.Refusing }

// broken says whether the link surely doesn't.
func (l LinkState) broken() bool { return l.Out == Down || l.In == Down || l.Refusing }

// ProbeTarget is a machine that siblings may ask in order to judge their own link to its zone.
type ProbeTarget struct {
	Zone    string
	Address string
}

// Advertisement is one node's view of its own links.
type Advertisement struct {
	Origin ident.NodeID
	// Incarnation tells the processes of a node apart: the later one has the larger.
	Incarnation uint64
	// Sequence rises with each row of a process.
	Sequence uint64
	// Age is the most that may have passed since the row was made.
	Age          time.Duration
	Links        []LinkState
	ProbeTargets []ProbeTarget // of a leader
}

// Link returns what a row says of a link; both directions are unknown if it says nothing.
func (r *Advertisement) Link(p Endpoint) LinkState {
	for _, l := range r.Links {
		if l.Endpoint == p {
			return l
		}
	}
	return LinkState{Endpoint: p}
}

// newer says whether a row was made after another one of the same origin.
func (r *Advertisement) newer(other *Advertisement) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Advertisement makes the row of the node that the monitor belongs to.
func (m *Monitor) Advertisement(origin ident.NodeID, incarnation, sequence uint64) Advertisement {
	r := Advertisement{Origin: origin, Incarnation: incarnation, Sequence: sequence}
	for _, p := range m.Endpoints() {
		in, out := m.Verdict(p, Inbound), m.Verdict(p, Outbound)
		r.Links = append(r.Links, LinkState{Endpoint: p, In: in.State, Out: out.State, Refusing: m.Refusing(p), Damped: in.Damped || out.Damped})
	}
	return r
}

// AdvertisementLifetime is the age at which a row says nothing any more.
const AdvertisementLifetime = 4 * time.Second

// MergeResult says why a row was not taken.
type MergeResult uint8

// The outcomes of View.Merge.
const (
	Accepted      MergeResult = iota
	UnknownOrigin             // of this node itself, or of one that isn't in the settings
	Expired                   // too old, or of unknown age
	Superseded                // than the row that is held
)

func (r MergeResult) String() string { return [...]string{"taken", "foreign", "expired", "older"}[r] }

// Database is what a node knows of the rows of its siblings.
type Database struct {
	members map[ident.NodeID]bool
	entries map[ident.NodeID]dbEntry
}

type dbEntry struct {
	advertisement Advertisement
	notBefore     ident.MonotonicTime // not made before that, by this node's clock
}

// NewDatabase makes a view of the siblings named.
func NewDatabase(peers []ident.NodeID) *Database {
	v := &Database{members: map[ident.NodeID]bool{}, entries: map[ident.NodeID]dbEntry{}}
	for _, n := range peers {
		v.members[n] = true
	}
	return v
}

// Merge takes a row, from its origin or passed on. Its age must hold at the time now: it is
// counted from what the sender has echoed of this node, so that a copy which was held up on
// its way is known to be old, whatever its clock says.
func (v *Database) Merge(advertisement Advertisement, now ident.MonotonicTime) MergeResult {
	if !v.members[advertisement.Origin] {
		return UnknownOrigin
	}
	if advertisement.Age >= AdvertisementLifetime || advertisement.Age < 0 {
		return Expired
	}
	held, ok := v.entries[advertisement.Origin]
	if ok && now.Sub(held.notBefore) < AdvertisementLifetime && !advertisement.newer(&held.advertisement) {
		return Superseded
	}
	v.entries[advertisement.Origin] = dbEntry{advertisement: advertisement, notBefore: now.Add(-advertisement.Age)}
	return Accepted
}

// Advertisement returns a sibling's row, if it is not too old, with its age.
func (v *Database) Advertisement(origin ident.NodeID, now ident.MonotonicTime) (Advertisement, bool) {
	held, ok := v.entries[origin]
	age := now.Sub(held.notBefore)
	if !ok || age >= AdvertisementLifetime {
		return Advertisement{}, false
	}
	r := held.advertisement
	r.Age = age
	return r, true
}

// Advertisements returns all rows that are not too old, in the order of their origins.
func (v *Database) Advertisements(now ident.MonotonicTime) []Advertisement {
	var out []Advertisement
	for _, n := range v.origins() {
		if r, ok := v.Advertisement(n, now); ok {
			out = append(out, r)
		}
	}
	return out
}

func (v *Database) origins() []ident.NodeID {
	out := make([]ident.NodeID, 0, len(v.entries))
	for n := range v.entries {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
