package links

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// Config holds a monitor's times.
type Config struct {
	// Pause is granted beyond a link's usual delays before it is suspected.
	Pause time.Duration
	// HalfLife is that of the penalty for breaks.
	HalfLife time.Duration
}

const (
	// suspectLevel and downLevel are the detector's levels from which a direction is
	// suspect, and down.
	suspectLevel = 2
	downLevel    = 8
	// recoverProofs is how many signs of a working link, none later than recoverGap after
	// the one before, end a break: of a link that loses most of what is sent, now and then
	// one message passes.
	recoverProofs = 3
	recoverGap    = 3 * time.Second
	// rejections is how many refused connections in a row count as a break.
	rejections = 3
)

// Verdict is what is known of one direction of a link.
type Verdict struct {
	State    State
	Since    ident.MonotonicTime // of the state
	Evidence Evidence            // the newest
	Level    float64             // of the detector, at the last evaluation
	Damped   bool                // counts as down for having broken too often
	Breaks   uint64
}

// Change is a change of a verdict.
type Change struct {
	Peer      Peer
	Direction Direction
	From, To  Verdict
}

// way is one direction of a link.
type way struct {
	detector detector
	damper   damper
	instant  State // by the detector alone
	raw      State // without damping
	proofs   int   // signs of a working link since it was down
	verdict  Verdict
	newest   ident.MonotonicTime // time of the newest good evidence
	ever     bool
}

// link is both directions, and the requests that are open.
type link struct {
	in, out  way
	pending  ident.MonotonicTime // when the oldest message without a sign of arrival was sent
	waits    bool                // there is such a message
	refusing bool                // the newest answers were refusals
	rejected int                 // connections refused in a row
	stamp    ident.MonotonicTime // of the newest evidence or message sent
}

// Monitor judges the links of one node.
type Monitor struct {
	config Config
	links  map[Peer]*link
}

// NewMonitor makes a monitor without links.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, links: map[Peer]*link{}}
}

// Watch makes a link known before there is evidence.
func (m *Monitor) Watch(p Peer) { m.link(p) }

func (m *Monitor) link(p Peer) *link {
	l := m.links[p]
	if l == nil {
		l = &link{}
		m.links[p] = l
	}
	return l
}

// Sent notes a message whose arrival will show: a request, or a heartbeat that is echoed.
func (m *Monitor) Sent(p Peer, now ident.MonotonicTime) {
	l := m.link(p)
	l.stamp = max(l.stamp, now)
	if !l.waits {
		l.pending, l.waits = now, true
	}
}

// Withdrawn notes that a message was not sent after all.
func (m *Monitor) Withdrawn(p Peer, sent ident.MonotonicTime) {
	if l := m.link(p); l.waits && l.pending == sent {
		l.waits = false
	}
}

// Overdue returns for how long something that was sent shows no sign of arrival, 0 if
// nothing does.
func (m *Monitor) Overdue(p Peer, now ident.MonotonicTime) time.Duration {
	if l := m.links[p]; l != nil && l.waits {
		return now.Sub(l.pending)
	}
	return 0
}

// Heard notes that something came from the peer.
func (m *Monitor) Heard(p Peer, now ident.MonotonicTime) { m.heard(m.link(p), now, Message) }

func (m *Monitor) heard(l *link, now ident.MonotonicTime, e Evidence) {
	w := &l.in
	if w.ever && w.raw != Down {
		w.detector.sample(now.Sub(w.newest))
	}
	w.good(now, e)
	l.stamp = max(l.stamp, now)
}

// arrived notes that what was sent at a time has come to the peer.
func (m *Monitor) arrived(l *link, sent, now ident.MonotonicTime, e Evidence) {
	l.rejected = 0
	l.stamp = max(l.stamp, now)
	if l.out.ever && sent <= l.out.newest {
		return // known before: a sibling repeats the newest heartbeat that it has heard
	}
	l.out.detector.sample(now.Sub(sent))
	l.out.good(sent, e)
	if l.waits && sent >= l.pending {
		l.waits = false
	}
}

// good notes evidence that the direction worked at a time.
func (w *way) good(at ident.MonotonicTime, e Evidence) {
	if at.Sub(w.newest) > recoverGap {
		w.proofs = 0
	}
	w.proofs++
	w.newest, w.ever = max(w.newest, at), true
	w.verdict.Evidence = e
}

// Answered notes the answer to a request.
func (m *Monitor) Answered(p Peer, sent, now ident.MonotonicTime) {
	l := m.link(p)
	l.refusing = false
	m.heard(l, now, Answer)
	m.arrived(l, sent, now, Answer)
}

// Echoed notes that the peer has repeated what was sent to it at a time.
func (m *Monitor) Echoed(p Peer, sent, now ident.MonotonicTime) {
	m.arrived(m.link(p), sent, now, Echo)
}

// Refused notes an answer that says only that the peer doesn't serve this node.
func (m *Monitor) Refused(p Peer, sent, now ident.MonotonicTime) {
	l := m.link(p)
	l.refusing = true
	m.heard(l, now, ErrorAnswer)
	m.arrived(l, sent, now, ErrorAnswer)
}

// Rejected notes that a connection to the peer was refused. Alone that shows nothing: a host
// without free sockets refuses as well.
func (m *Monitor) Rejected(p Peer, now ident.MonotonicTime) {
	l := m.link(p)
	l.rejected++
	l.out.verdict.Evidence = Rejected
	l.stamp = max(l.stamp, now)
}

// Idle says whether there was neither evidence nor a message for so long, so that only a
// probe can tell.
func (m *Monitor) Idle(p Peer, now ident.MonotonicTime, d time.Duration) bool {
	return now.Sub(m.link(p).stamp) >= d
}

// Evaluate brings all verdicts up to date and returns those that have changed, in order.
func (m *Monitor) Evaluate(now ident.MonotonicTime) []Change {
	var changes []Change
	for _, p := range m.Peers() {
		l := m.links[p]
		in, out := m.judgeInbound(p, l, now), m.judgeOutbound(l, now)
		if p.roundTrip() {
			in = out
		}
		for _, v := range []struct {
			direction Direction
			way       *way
			raw       State
		}{{Inbound, &l.in, in}, {Outbound, &l.out, out}} {
			before := v.way.verdict
			v.way.settle(v.raw, now, m.config.HalfLife)
			if after := v.way.verdict; after.State != before.State || after.Damped != before.Damped {
				changes = append(changes, Change{p, v.direction, before, after})
			}
		}
	}
	return changes
}

// judgeInbound returns the state of the inbound direction. Siblings send heartbeats all the
// time; machines report to one node at a time, so their silence shows nothing.
func (m *Monitor) judgeInbound(p Peer, l *link, now ident.MonotonicTime) State {
	w := &l.in
	if !w.ever {
		return Unknown
	}
	w.verdict.Level = w.detector.level(now.Sub(w.newest), m.config.Pause)
	state := stateOf(w.verdict.Level)
	if w.detector.samples == 0 {
		state = Up
	}
	if p.Kind == Machines && state != Up {
		return Unknown
	}
	if state != Up {
		w.verdict.Evidence = Silence
	}
	return state
}

// judgeOutbound returns the state of the outbound direction: it is in doubt only while
// something that was sent shows no sign of arrival.
func (m *Monitor) judgeOutbound(l *link, now ident.MonotonicTime) State {
	w := &l.out
	w.verdict.Level = 0
	if l.rejected >= rejections {
		return Down
	}
	if !l.waits {
		if !w.ever {
			return Unknown
		}
		return Up
	}
	overdue := now.Sub(l.pending)
	if w.detector.samples == 0 {
		// Nothing ever arrived: no delays are known to judge by.
		if overdue > firstAnswer {
			w.verdict.Evidence = Silence
			return Down
		}
		return Unknown
	}
	w.verdict.Level = w.detector.level(overdue, m.config.Pause)
	state := stateOf(w.verdict.Level)
	if state != Up {
		w.verdict.Evidence = Silence
	}
	return state
}

// firstAnswer is how long the first message to a peer may go without a sign of arrival.
const firstAnswer = 5 * time.Second

func stateOf(level float64) State {
	switch {
	case level >= downLevel:
		return Down
	case level >= suspectLevel:
		return Suspect
	}
	return Up
}

// settle is the one place where a direction changes its state.
func (w *way) settle(instant State, now ident.MonotonicTime, halfLife time.Duration) {
	w.damper.decay(now, halfLife)
	if instant == Down && w.instant != Down {
		w.damper.broke(now, halfLife)
		w.verdict.Breaks++
	}
	w.instant = instant
	switch {
	case instant == Down && w.raw != Down:
		w.raw, w.proofs = Down, 0
	case w.raw != Down || w.proofs >= recoverProofs:
		w.raw = instant
	}
	state := w.raw
	if w.damper.suppressed {
		state = Down
	}
	w.verdict.Damped = w.damper.suppressed
	if state != w.verdict.State {
		w.verdict.State, w.verdict.Since = state, now
	}
}

// Passing says whether what is sent to the peer seems to arrive at this moment, without
// regard to how often that has changed.
func (m *Monitor) Passing(p Peer) bool {
	l := m.links[p]
	return l == nil || l.out.instant != Down
}

// Forget drops all that is known of a link: its far end is there no more.
func (m *Monitor) Forget(p Peer) { delete(m.links, p) }

// Peers returns the far ends of all links, in order.
func (m *Monitor) Peers() []Peer {
	out := make([]Peer, 0, len(m.links))
	for p := range m.links {
		out = append(out, p)
	}
	slices.SortFunc(out, Peer.compare)
	return out
}

// Verdict returns what is known of one direction of a link.
func (m *Monitor) Verdict(p Peer, d Direction) Verdict {
	l := m.links[p]
	switch {
	case l == nil:
		return Verdict{}
	case d == Inbound:
		return l.in.verdict
	}
	return l.out.verdict
}

// Refusing says whether the peer's newest answers were refusals.
func (m *Monitor) Refusing(p Peer) bool {
	l := m.links[p]
	return l != nil && l.refusing
}

// Usable says whether requests to the peer are served, as far as is known: it is reached,
// and neither suppressed nor refusing. Nothing known counts as usable.
func (m *Monitor) Usable(p Peer) bool {
	l := m.links[p]
	return l == nil || l.out.verdict.State != Down && l.in.verdict.State != Down && !l.refusing
}
