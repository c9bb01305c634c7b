package links

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// LinkState is what a row says of one link of its origin.
type LinkState struct {
	Peer     Peer
	In, Out  State
	Refusing bool
	Damped   bool // either direction
}

// usable says whether the link surely carries requests that are served.
func (l LinkState) usable() bool { return l.Out == Up && l.In != Down && !l.Refusing }

// broken says whether the link surely doesn't.
func (l LinkState) broken() bool { return l.Out == Down || l.In == Down || l.Refusing }

// Witness is a machine that siblings may ask in order to judge their own link to its zone.
type Witness struct {
	Zone    string
	Address string
}

// Row is one node's view of its own links.
type Row struct {
	Origin ident.NodeID
	// Incarnation tells the processes of a node apart: the later one has the larger.
	Incarnation uint64
	// Sequence rises with each row of a process.
	Sequence uint64
	// Age is the most that may have passed since the row was made.
	Age       time.Duration
	Links     []LinkState
	Witnesses []Witness // of a leader
}

// Link returns what a row says of a link; both directions are unknown if it says nothing.
func (r *Row) Link(p Peer) LinkState {
	for _, l := range r.Links {
		if l.Peer == p {
			return l
		}
	}
	return LinkState{Peer: p}
}

// newer says whether a row was made after another one of the same origin.
func (r *Row) newer(o *Row) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// Row makes the row of the node that the monitor belongs to.
func (m *Monitor) Row(origin ident.NodeID, incarnation, sequence uint64) Row {
	r := Row{Origin: origin, Incarnation: incarnation, Sequence: sequence}
	for _, p := range m.Peers() {
		in, out := m.Verdict(p, Inbound), m.Verdict(p, Outbound)
		r.Links = append(r.Links, LinkState{Peer: p, In: in.State, Out: out.State, Refusing: m.Refusing(p), Damped: in.Damped || out.Damped})
	}
	return r
}

// RowLifetime is the age at which a row says nothing any more.
const RowLifetime = 4 * time.Second

// Refusal says why a row was not taken.
type Refusal uint8

// The outcomes of View.Merge.
const (
	Taken   Refusal = iota
	Foreign         // of this node itself, or of one that isn't in the settings
	Expired         // too old, or of unknown age
	Older           // than the row that is held
)

func (r Refusal) String() string { return [...]string{"taken", "foreign", "expired", "older"}[r] }

// View is what a node knows of the rows of its siblings.
type View struct {
	members map[ident.NodeID]bool
	rows    map[ident.NodeID]heldRow
}

type heldRow struct {
	row  Row
	made ident.MonotonicTime // not made before that, by this node's clock
}

// NewView makes a view of the siblings named.
func NewView(siblings []ident.NodeID) *View {
	v := &View{members: map[ident.NodeID]bool{}, rows: map[ident.NodeID]heldRow{}}
	for _, n := range siblings {
		v.members[n] = true
	}
	return v
}

// Merge takes a row, from its origin or passed on. Its age must hold at the time now: it is
// counted from what the sender has echoed of this node, so that a copy which was held up on
// its way is known to be old, whatever its clock says.
func (v *View) Merge(r Row, now ident.MonotonicTime) Refusal {
	if !v.members[r.Origin] {
		return Foreign
	}
	if r.Age >= RowLifetime || r.Age < 0 {
		return Expired
	}
	held, ok := v.rows[r.Origin]
	if ok && now.Sub(held.made) < RowLifetime && !r.newer(&held.row) {
		return Older
	}
	v.rows[r.Origin] = heldRow{row: r, made: now.Add(-r.Age)}
	return Taken
}

// Row returns a sibling's row, if it is not too old, with its age.
func (v *View) Row(n ident.NodeID, now ident.MonotonicTime) (Row, bool) {
	held, ok := v.rows[n]
	age := now.Sub(held.made)
	if !ok || age >= RowLifetime {
		return Row{}, false
	}
	r := held.row
	r.Age = age
	return r, true
}

// Rows returns all rows that are not too old, in the order of their origins.
func (v *View) Rows(now ident.MonotonicTime) []Row {
	var out []Row
	for _, n := range v.origins() {
		if r, ok := v.Row(n, now); ok {
			out = append(out, r)
		}
	}
	return out
}

func (v *View) origins() []ident.NodeID {
	out := make([]ident.NodeID, 0, len(v.rows))
	for n := range v.rows {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
