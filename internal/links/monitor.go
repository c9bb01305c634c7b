package links

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// Config holds a monitor's times.
type Config struct {
	// SuspectGrace is granted beyond a link's usual delays before it is suspected.
	SuspectGrace time.Duration
	// HalfLife is that of the penalty for breaks.
	HalfLife time.Duration
}

const (
	// suspectLevel and downLevel are the detector's levels from which a direction is
	// suspect, and down.
	suspectLevel = 2
	downLevel    = 8
	// recoverySuccesses is how many signs of a working link, none later than recoveryMaxGap after
	// the one before, end a break: of a link that loses most of what is sent, now and then
	// one message passes.
	recoverySuccesses = 3
	recoveryMaxGap    = 3 * time.Second
	// maxConnectionRefusals is how many refused connections in a row count as a break.
	maxConnectionRefusals = 3
)

// Verdict is what is known of one direction of a link.
type Verdict struct {
	State     State
	Since     ident.MonotonicTime // of the state
	Evidence  Evidence            // the newest
	Suspicion float64             // of the detector, at the last evaluation
	Damped    bool                // counts as down for having broken too often
	Breaks    uint64
}

// VerdictChange is a change of a verdict.
type VerdictChange struct {
	Endpoint  Endpoint
	Direction Direction
	From, To  Verdict
}

// directionState is one direction of a link.
type directionState struct {
	detector    detector
	damper      damper
	detected    State // by the detector alone
	undamped    State // without damping
	successes   int   // signs of a working link since it was down
	verdict     Verdict
	lastSuccess ident.MonotonicTime // time of the newest good evidence
	hasSuccess  bool
}

// link is both directions, and the requests that are open.
type link struct {
	in, out       directionState
	oldestUnacked ident.MonotonicTime // when the oldest message without a sign of arrival was sent
	hasUnacked    bool                // there is such a message
	refusing      bool                // the newest answers were refusals
	refusedConns  int                 // connections refused in a row
	lastActivity  ident.MonotonicTime // of the newest evidence or message sent
}

// Monitor judges the links of one node.
type Monitor struct {
	config Config
	links  map[Endpoint]*link
}

// NewMonitor makes a monitor without links.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, links: map[Endpoint]*link{}}
}

// Watch makes a link known before there is evidence.
func (m *Monitor) Watch(p Endpoint) { m.link(p) }

func (m *Monitor) link(p Endpoint) *link {
	l := m.links[p]
	if l == nil {
		l = &link{}
		m.links[p] = l
	}
	return l
}

// Sent notes a message whose arrival will show: a request, or a heartbeat that is echoed.
func (m *Monitor) Sent(p Endpoint, now ident.MonotonicTime) {
	l := m.link(p)
	l.lastActivity = max(l.lastActivity, now)
	if !l.hasUnacked {
		l.oldestUnacked, l.hasUnacked = now, true
	}
}

// Unsent notes that a message was not sent after all.
func (m *Monitor) Unsent(p Endpoint, sent ident.MonotonicTime) {
	if l := m.link(p); l.hasUnacked && l.oldestUnacked == sent {
		l.hasUnacked = false
	}
}

// Overdue returns for how long something that was sent shows no sign of arrival, 0 if
// nothing does.
func (m *Monitor) Overdue(p Endpoint, now ident.MonotonicTime) time.Duration {
	if l := m.links[p]; l != nil && l.hasUnacked {
		return now.Sub(l.oldestUnacked)
	}
	return 0
}

// Received notes that something came from the peer.
func (m *Monitor) Received(p Endpoint, now ident.MonotonicTime) {
	m.recordInbound(m.link(p), now, Message)
}

func (m *Monitor) recordInbound(l *link, now ident.MonotonicTime, e Evidence) {
	w := &l.in
	if w.hasSuccess && w.undamped != Down {
		w.detector.sample(now.Sub(w.lastSuccess))
	}
	w.recordSuccess(now, e)
	l.lastActivity = max(l.lastActivity, now)
}

// recordDelivery notes that what was sent at a time has come to the peer.
func (m *Monitor) recordDelivery(l *link, sent, now ident.MonotonicTime, e Evidence) {
	l.refusedConns = 0
	l.lastActivity = max(l.lastActivity, now)
	if l.out.hasSuccess && sent <= l.out.lastSuccess {
		return // known before: a sibling repeats the newest heartbeat that it has heard
	}
	l.out.detector.sample(now.Sub(sent))
	l.out.recordSuccess(sent, e)
	if l.hasUnacked && sent >= l.oldestUnacked {
		l.hasUnacked = false
	}
}

// recordSuccess notes evidence that the direction worked at a time.
func (w *directionState) recordSuccess(at ident.MonotonicTime, e Evidence) {
	if at.Sub(w.lastSuccess) > recoveryMaxGap {
		w.successes = 0
	}
	w.successes++
	w.lastSuccess, w.hasSuccess = max(w.lastSuccess, at), true
	w.verdict.Evidence = e
}

// Answered notes the answer to a request.
func (m *Monitor) Answered(p Endpoint, sent, now ident.MonotonicTime) {
	l := m.link(p)
	l.refusing = false
	m.recordInbound(l, now, Response)
	m.recordDelivery(l, sent, now, Response)
}

// Echoed notes that the peer has repeated what was sent to it at a time.
func (m *Monitor) Echoed(p Endpoint, sent, now ident.MonotonicTime) {
	m.recordDelivery(m.link(p), sent, now, Echo)
}

// AnsweredWithError notes an answer that says only that the peer doesn't serve this node.
func (m *Monitor) AnsweredWithError(p Endpoint, sent, now ident.MonotonicTime) {
	l := m.link(p)
	l.refusing = true
	m.recordInbound(l, now, ErrorResponse)
	m.recordDelivery(l, sent, now, ErrorResponse)
}

// ConnectionRefused notes that a connection to the peer was refused. Alone that shows nothing: a host
// without free sockets refuses as well.
func (m *Monitor) ConnectionRefused(p Endpoint, now ident.MonotonicTime) {
	l := m.link(p)
	l.refusedConns++
	l.out.verdict.Evidence = ConnectionRefused
	l.lastActivity = max(l.lastActivity, now)
}

// Idle says whether there was neither evidence nor a message for so long, so that only a
// probe can tell.
func (m *Monitor) Idle(p Endpoint, now ident.MonotonicTime, d time.Duration) bool {
	return now.Sub(m.link(p).lastActivity) >= d
}

// Evaluate brings all verdicts up to date and returns those that have changed, in order.
func (m *Monitor) Evaluate(now ident.MonotonicTime) []VerdictChange {
	var changes []VerdictChange
	for _, p := range m.Endpoints() {
		l := m.links[p]
		in, out := m.evaluateInbound(p, l, now), m.evaluateOutbound(l, now)
		if p.roundTrip() {
			in = out
		}
		for _, v := range []struct {
			direction Direction
			way       *directionState
			raw       State
		}{{Inbound, &l.in, in}, {Outbound, &l.out, out}} {
			before := v.way.verdict
			v.way.apply(v.raw, now, m.config.HalfLife)
			if after := v.way.verdict; after.State != before.State || after.Damped != before.Damped {
				changes = append(changes, VerdictChange{p, v.direction, before, after})
			}
		}
	}
	return changes
}

// evaluateInbound returns the state of the inbound direction. Siblings send heartbeats all the
// time; machines report to one node at a time, so their silence shows nothing.
func (m *Monitor) evaluateInbound(p Endpoint, l *link, now ident.MonotonicTime) State {
	w := &l.in
	if !w.hasSuccess {
		return Unknown
	}
	w.verdict.Suspicion = w.detector.suspicion(now.Sub(w.lastSuccess), m.config.SuspectGrace)
	state := stateOf(w.verdict.Suspicion)
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

// evaluateOutbound returns the state of the outbound direction: it is in doubt only while
// something that was sent shows no sign of arrival.
func (m *Monitor) evaluateOutbound(l *link, now ident.MonotonicTime) State {
	w := &l.out
	w.verdict.Suspicion = 0
	if l.refusedConns >= maxConnectionRefusals {
		return Down
	}
	if !l.hasUnacked {
		if !w.hasSuccess {
			return Unknown
		}
		return Up
	}
	overdue := now.Sub(l.oldestUnacked)
	if w.detector.samples == 0 {
		// Nothing ever arrived: no delays are known to judge by.
		if overdue > firstResponseTimeout {
			w.verdict.Evidence = Silence
			return Down
		}
		return Unknown
	}
	w.verdict.Suspicion = w.detector.suspicion(overdue, m.config.SuspectGrace)
	state := stateOf(w.verdict.Suspicion)
	if state != Up {
		w.verdict.Evidence = Silence
	}
	return state
}

// firstResponseTimeout is how long the first message to a peer may go without a sign of arrival.
const firstResponseTimeout = 5 * time.Second

func stateOf(level float64) State {
	switch {
	case level >= downLevel:
		return Down
	case level >= suspectLevel:
		return Suspect
	}
	return Up
}

// apply is the one place where a direction changes its state.
func (w *directionState) apply(instant State, now ident.MonotonicTime, halfLife time.Duration) {
	w.damper.decay(now, halfLife)
	if instant == Down && w.detected != Down {
		w.damper.recordBreak(now, halfLife)
		w.verdict.Breaks++
	}
	w.detected = instant
	switch {
	case instant == Down && w.undamped != Down:
		w.undamped, w.successes = Down, 0
	case w.undamped != Down || w.successes >= recoverySuccesses:
		w.undamped = instant
	}
	state := w.undamped
	if w.damper.suppressed {
		state = Down
	}
	w.verdict.Damped = w.damper.suppressed
	if state != w.verdict.State {
		w.verdict.State, w.verdict.Since = state, now
	}
}

// Delivering says whether what is sent to the peer seems to arrive at this moment, without
// regard to how often that has changed.
func (m *Monitor) Delivering(p Endpoint) bool {
	l := m.links[p]
	return l == nil || l.out.detected != Down
}

// Forget drops all that is known of a link: its far end is there no more.
func (m *Monitor) Forget(p Endpoint) { delete(m.links, p) }

// Endpoints returns the far ends of all links, in order.
func (m *Monitor) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(m.links))
	for p := range m.links {
		out = append(out, p)
	}
	slices.SortFunc(out, Endpoint.compare)
	return out
}

// Verdict returns what is known of one direction of a link.
func (m *Monitor) Verdict(p Endpoint, d Direction) Verdict {
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
func (m *Monitor) Refusing(p Endpoint) bool {
	l := m.links[p]
	return l != nil && l.refusing
}

// Usable says whether requests to the peer are served, as far as is known: it is reached,
// and neither suppressed nor refusing. Nothing known counts as usable.
func (m *Monitor) Usable(p Endpoint) bool {
	l := m.links[p]
	return l == nil || l.out.verdict.State != Down && l.in.verdict.State != Down && !l.refusing
}
