package links

import (
	"slices"
	"time"

	"opaldale/internal/ident"
)

// Config holds the timing parameters of a Monitor.
type Config struct {
	// SuspectGrace is added to the usual delay of a link. Only a longer delay raises the suspicion.
	SuspectGrace time.Duration
	// PenaltyHalfLife is the half-life of the flap damping penalty.
	PenaltyHalfLife time.Duration
}

// maxConnectionRefusals is the number of consecutive refused connections that count as a break.
const maxConnectionRefusals = 3

// link is the state of the link to one endpoint.
type link struct {
	in, out directionState

	// oldestUnacked is when the oldest unacknowledged message was sent. It is valid if hasUnacked.
	oldestUnacked ident.MonotonicTime
	hasUnacked    bool

	refusing     bool                // the newest response was an ErrorResponse
	refusedConns int                 // consecutive refused connections
	lastActivity ident.MonotonicTime // time of the newest evidence, or of the last message sent
}

func (l *link) recordActivity(now ident.MonotonicTime) { l.lastActivity = max(l.lastActivity, now) }

// Monitor monitors the links of one node. Its event methods, from Sent to ConnectionRefused, record
// evidence; Evaluate derives verdicts from it. In all of these methods now is the current time, and sent
// is the time at which this node sent the message that the event is about.
type Monitor struct {
	config Config
	links  map[Endpoint]*link
}

// NewMonitor returns a monitor without links.
func NewMonitor(config Config) *Monitor {
	return &Monitor{config: config, links: map[Endpoint]*link{}}
}

// Watch adds a link for which there is no evidence yet. The first event of an endpoint adds its link as
// well.
func (m *Monitor) Watch(endpoint Endpoint) { m.link(endpoint) }

// Forget removes a link whose endpoint no longer exists.
func (m *Monitor) Forget(endpoint Endpoint) { delete(m.links, endpoint) }

func (m *Monitor) link(endpoint Endpoint) *link {
	l := m.links[endpoint]
	if l == nil {
		l = &link{}
		m.links[endpoint] = l
	}
	return l
}

// Sent records that this node sent a message that the endpoint acknowledges: a request, or a heartbeat
// that the peer echoes.
func (m *Monitor) Sent(endpoint Endpoint, now ident.MonotonicTime) {
	l := m.link(endpoint)
	l.recordActivity(now)
	if !l.hasUnacked {
		l.oldestUnacked, l.hasUnacked = now, true
	}
}

// Unsent reverts Sent for a message that could not be sent.
func (m *Monitor) Unsent(endpoint Endpoint, sent ident.MonotonicTime) {
	if l := m.link(endpoint); l.hasUnacked && l.oldestUnacked == sent {
		l.hasUnacked = false
	}
}

// Received records the arrival of a message that is not the response to a request.
func (m *Monitor) Received(endpoint Endpoint, now ident.MonotonicTime) {
	m.link(endpoint).recordArrival(now, Message)
}

// Responded records the response to a request.
func (m *Monitor) Responded(endpoint Endpoint, sent, now ident.MonotonicTime) {
	l := m.link(endpoint)
	l.refusing = false
	l.recordArrival(now, Response)
	l.recordDelivery(sent, now, Response)
}

// RespondedWithError records a response in which the endpoint refuses to serve this node.
func (m *Monitor) RespondedWithError(endpoint Endpoint, sent, now ident.MonotonicTime) {
	l := m.link(endpoint)
	l.refusing = true
	l.recordArrival(now, ErrorResponse)
	l.recordDelivery(sent, now, ErrorResponse)
}

// Echoed records that the endpoint has repeated the ID of a message from this node. The message
// that carries the echo is recorded by Received.
func (m *Monitor) Echoed(endpoint Endpoint, sent, now ident.MonotonicTime) {
	m.link(endpoint).recordDelivery(sent, now, Echo)
}

// ConnectionRefused records a refused connection. Only maxConnectionRefusals consecutive ones count as a
// break, because a machine that has run out of sockets refuses connections as well.
func (m *Monitor) ConnectionRefused(endpoint Endpoint, now ident.MonotonicTime) {
	l := m.link(endpoint)
	l.refusedConns++
	l.out.verdict.Evidence = ConnectionRefused
	l.recordActivity(now)
}

// recordArrival records the arrival of a message from the endpoint as evidence.
func (l *link) recordArrival(now ident.MonotonicTime, evidence Evidence) {
	if l.in.hasSuccess && l.in.undamped != Down {
		l.in.detector.sample(now.Sub(l.in.lastSuccess))
	}
	l.in.recordSuccess(now, evidence)
	l.recordActivity(now)
}

// recordDelivery records as evidence that a message of this node arrived at the endpoint.
func (l *link) recordDelivery(sent, now ident.MonotonicTime, evidence Evidence) {
	l.refusedConns = 0
	l.recordActivity(now)
	if l.out.hasSuccess && sent <= l.out.lastSuccess {
		return // already recorded: each heartbeat of a peer echoes the newest heartbeat that it received
	}
	l.out.detector.sample(now.Sub(sent))
	l.out.recordSuccess(sent, evidence)
	if l.hasUnacked && sent >= l.oldestUnacked {
		l.hasUnacked = false
	}
}

// Overdue returns the time since the oldest unacknowledged message was sent, 0 if there is none.
func (m *Monitor) Overdue(endpoint Endpoint, now ident.MonotonicTime) time.Duration {
	if l := m.links[endpoint]; l != nil && l.hasUnacked {
		return now.Sub(l.oldestUnacked)
	}
	return 0
}

// Idle reports whether no message was sent and no evidence recorded for at least d, so that only a probe
// can determine the link's state.
func (m *Monitor) Idle(endpoint Endpoint, now ident.MonotonicTime, d time.Duration) bool {
	return now.Sub(m.link(endpoint).lastActivity) >= d
}

// Delivering reports whether the failure detector assumes that messages to the endpoint currently arrive,
// regardless of flap damping. It returns true for an unknown link.
func (m *Monitor) Delivering(endpoint Endpoint) bool {
	l := m.links[endpoint]
	return l == nil || l.out.detected != Down
}

// Refusing reports whether the endpoint's newest response was an ErrorResponse.
func (m *Monitor) Refusing(endpoint Endpoint) bool {
	l := m.links[endpoint]
	return l != nil && l.refusing
}

// Endpoints returns the endpoints of all links, sorted by kind and name.
func (m *Monitor) Endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(m.links))
	for endpoint := range m.links {
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, Endpoint.compare)
	return endpoints
}

// Verdict returns the verdict of the last Evaluate on one direction of a link. It returns the zero
// Verdict for an unknown link.
func (m *Monitor) Verdict(endpoint Endpoint, direction Direction) Verdict {
	l := m.links[endpoint]
	switch {
	case l == nil:
		return Verdict{}
	case direction == Inbound:
		return l.in.verdict
	}
	return l.out.verdict
}
