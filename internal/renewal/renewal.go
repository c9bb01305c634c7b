// Package renewal lets a node that is cut off together with workers, but not from
// them, keep their leases for a while on behalf of the leader it heard last: their
// tasks go on. It answers without orders, and only for a time after which a lease
// given by it is over before any job cancelled since must be gone.
//
// Both sides count from what the other has echoed, since beats may be held up for
// minutes: a node from when it sent the beat that a leader answered while surely
// leading, a leader from when it sent the beat that the node answered.
package renewal

import (
	"time"

	"opaldale/internal/ident"
)

// After is how long a node must be without the leader before it keeps leases.
const After = 4 * time.Second

// drift is the part by which times are counted against the one who counts: steady
// clocks drift apart by at most 0.05%.
const drift = 0.001

// Heartbeats remembers when the newest beats were sent.
type Heartbeats struct {
	ids [64]uint64
	at  [64]ident.Mono
	n   int
}

// Sent notes a beat.
func (e *Heartbeats) Sent(id uint64, at ident.Mono) {
	e.ids[e.n%len(e.ids)], e.at[e.n%len(e.ids)] = id, at
	e.n++
}

// When returns when a beat was sent, if it is a recent one of this process.
func (e *Heartbeats) When(id uint64) (ident.Mono, bool) {
	for i := range min(e.n, len(e.ids)) {
		if e.ids[i] == id {
			return e.at[i], true
		}
	}
	return 0, false
}

// Renewer is a node that doesn't lead.
type Renewer struct {
	term   ident.Term
	at     ident.Mono    // the leader surely led after that
	left   time.Duration // and allows to keep leases for so long from then on
	ever   bool
	newest ident.Mono // when we last kept
	did    bool
}

// Permit notes that a leader surely led at some time after at.
func (v *Renewer) Permit(t ident.Term, at ident.Mono, left time.Duration) {
	if v.ever && (t < v.term || at < v.at) {
		return
	}
	v.ever, v.term, v.at, v.left = true, t, at, left
}

// Age returns for how long no leader was heard to lead; false if none ever was.
func (v *Renewer) Age(now ident.Mono) (time.Duration, bool) { return now.Sub(v.at), v.ever }

// May says whether the lease of a worker that has seen a token may be renewed. A
// token of a later term is a successor's.
func (v *Renewer) May(now ident.Mono, e ident.Epoch) bool {
	age := now.Sub(v.at)
	return v.ever && age > After && age < time.Duration(float64(v.left)*(1-drift)) && e != 0 && e.Term() <= v.term
}

// Note notes that a lease was renewed.
func (v *Renewer) Note(now ident.Mono) { v.newest, v.did = now, true }

// Newest returns how long ago that was last done, if ever.
func (v *Renewer) Newest(now ident.Mono) (time.Duration, bool) { return now.Sub(v.newest), v.did }

// Claim is what a sibling says of itself with a beat.
type Claim struct {
	ProcessAge   time.Duration // of its process
	SinceLeader  time.Duration // how long ago it last heard a leader lead
	HasRenewed   bool          // it has kept, for the last time
	SinceRenewal time.Duration // so long ago
}

// Registry is a leader's knowledge of when siblings may have renewed leases.
type Registry struct {
	grace time.Duration
	nodes map[ident.NodeID]*entry
}

type entry struct {
	seen    ident.Mono // newest beat: it can't have heard us lead later
	cover   ident.Mono // all it did until then is known
	renewed ident.Mono // the last that is known, or may have been
}

// NewRegistry makes an empty one; grace is the longest that a leader allows.
func NewRegistry(grace time.Duration) *Registry {
	return &Registry{grace: grace, nodes: map[ident.NodeID]*entry{}}
}

// Heard takes a sibling's beat; sent is when we sent the beat that it echoes, if it
// echoes one of ours.
func (l *Registry) Heard(from ident.NodeID, now, sent ident.Mono, echoed bool, w Claim) {
	e := l.nodes[from]
	if e == nil {
		e = &entry{}
		l.nodes[from] = e
	}
	if echoed {
		if born := now.Add(-w.ProcessAge); born > e.cover && e.seen > 0 {
			// A process that we knew less of was there before it.
			e.renewed = max(e.renewed, min(born, e.limit(l)))
		}
		if w.HasRenewed {
			e.renewed = max(e.renewed, now.Add(-time.Duration(float64(w.SinceRenewal)*(1-drift))))
		}
		e.cover = max(e.cover, sent.Add(max(0, time.Duration(float64(After-w.SinceLeader)*(1-drift)))))
	}
	e.seen = now
}

func (e *entry) limit(l *Registry) ident.Mono { return e.seen.Add(l.grace) }

// Renewed returns the latest time at which any sibling may have renewed a lease.
func (l *Registry) Renewed(now ident.Mono) ident.Mono {
	newest := ident.Mono(0)
	for _, e := range l.nodes {
		newest = max(newest, e.renewed)
		if now > e.cover {
			newest = max(newest, min(now, e.limit(l)))
		}
	}
	return newest
}
