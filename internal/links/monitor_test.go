package links

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
)

var testConfig = Config{SuspectGrace: time.Second, PenaltyHalfLife: 15 * time.Second}

// simulatedLink simulates a link to a peer that echoes heartbeats, and evaluates the link periodically.
type simulatedLink struct {
	monitor       *Monitor
	peer          Endpoint
	now           ident.MonotonicTime
	nextHeartbeat ident.MonotonicTime // when the next heartbeat is sent
	delay         time.Duration
	down          func(ident.MonotonicTime) bool // whether the peer's messages are lost
	changes       int                            // inbound changes between down and any other state
}

const (
	heartbeatInterval = 700 * time.Millisecond
	stepInterval      = 50 * time.Millisecond
)

func newSimulatedLink(delay time.Duration) *simulatedLink {
	return &simulatedLink{
		monitor: NewMonitor(testConfig),
		peer:    Endpoint{PeerNode, "agent-1"},
		now:     ident.MonotonicTime(time.Hour),
		delay:   delay,
		down:    func(ident.MonotonicTime) bool { return false },
	}
}

func (l *simulatedLink) run(d time.Duration) {
	for end := l.now.Add(d); l.now < end; l.now = l.now.Add(stepInterval) {
		if l.now >= l.nextHeartbeat {
			l.nextHeartbeat = l.now.Add(heartbeatInterval)
			l.monitor.Sent(l.peer, l.now)
			if !l.down(l.now) {
				l.monitor.Received(l.peer, l.now)
				l.monitor.Echoed(l.peer, l.now.Add(-l.delay), l.now)
			}
		}
		for _, c := range l.monitor.Evaluate(l.now) {
			if c.Direction == Inbound && (c.From.State == Down) != (c.To.State == Down) {
				l.changes++
			}
		}
	}
}

func (l *simulatedLink) state(d Direction) State { return l.monitor.Verdict(l.peer, d).State }

// TestBreakIsDetected: a working link is up regardless of its delay, is down within a bounded time after it
// breaks, and is up again within a bounded time after a single short break.
func TestBreakIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.IntRange(1, 900).Draw(t, "delay_ms")) * time.Millisecond
		l := newSimulatedLink(delay)
		l.run(time.Duration(rapid.IntRange(10, 40).Draw(t, "steady_s")) * time.Second)
		if l.state(Inbound) != Up || l.state(Outbound) != Up {
			t.Fatalf("a working link is %v inbound, %v outbound; want up", l.state(Inbound), l.state(Outbound))
		}
		broke := l.now
		l.down = func(at ident.MonotonicTime) bool { return at >= broke }
		l.run(2*time.Second + 2*heartbeatInterval + 3*delay)
		if l.state(Inbound) != Down || l.state(Outbound) != Down {
			t.Fatalf("a broken link is %v inbound, %v outbound; want down", l.state(Inbound), l.state(Outbound))
		}
		l.down = func(ident.MonotonicTime) bool { return false }
		l.run((recoverySuccesses + 1) * heartbeatInterval)
		if l.state(Inbound) != Up || l.state(Outbound) != Up {
			t.Fatalf("a recovered link is %v inbound, %v outbound; want up", l.state(Inbound), l.state(Outbound))
		}
	})
}

// maxSuppression returns the maximum time that a link which stays up remains suppressed.
func maxSuppression(halfLife time.Duration) time.Duration {
	return time.Duration(math.Log2(maxPenalty/reuseAt) * float64(halfLife))
}

// TestFlapsAreDamped: if a link breaks periodically and each break is long enough to be detected, the
// verdict settles at down. With shorter breaks, only some of which are detected, the verdict changes no
// more often than damping allows. In both cases the link is up within a bounded time after the last break.
func TestFlapsAreDamped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := time.Duration(rapid.IntRange(1000, 6000).Draw(t, "period_ms")) * time.Millisecond
		share := rapid.Float64Range(0.2, 0.9).Draw(t, "share")
		down := time.Duration(float64(period) * share)
		l := newSimulatedLink(5 * time.Millisecond)
		l.run(20 * time.Second)
		began := l.now
		l.down = func(at ident.MonotonicTime) bool { return at.Sub(began)%period < down }
		l.run(settlingTime)
		l.changes = 0
		l.run(2 * time.Minute)
		detected := down >= detectableBreak
		if l.changes > maxChanges || detected && l.changes > 0 {
			t.Fatalf("got %d changes after %v of flapping with period %v, down for %v; want at most %d, 0 if detectable",
				l.changes, settlingTime, period, down, maxChanges)
		}
		if detected && (l.state(Inbound) != Down || !l.monitor.Verdict(l.peer, Inbound).Damped) {
			t.Fatalf("a link that is down for %v of every %v is %v inbound; want down and damped", down, period, l.state(Inbound))
		}
		l.down = func(ident.MonotonicTime) bool { return false }
		l.run(maxSuppression(testConfig.PenaltyHalfLife) + 3*time.Second)
		if l.state(Inbound) != Up || l.state(Outbound) != Up {
			t.Fatalf("%v after the last break the link is %v inbound, %v outbound; want up",
				maxSuppression(testConfig.PenaltyHalfLife)+3*time.Second, l.state(Inbound), l.state(Outbound))
		}
	})
}

const (
	// settlingTime is the time within which the verdict on a link with detectable breaks settles at down.
	settlingTime = 40 * time.Second
	// detectableBreak is the minimum duration of a break that is always detected on a link with
	// heartbeats.
	detectableBreak = 3500 * time.Millisecond
	// maxChanges is the maximum number of changes in two minutes under damping: the penalties of breaks
	// at least 11.1 s apart add up to less than suppressAt, and two minutes hold at most 11 such breaks.
	maxChanges = 22
)

// TestSlowLinkIsNotSuspected: silence for the usual delay of a slow link leaves that link Up, while the
// same silence makes a fast link Down.
func TestSlowLinkIsNotSuspected(t *testing.T) {
	m := NewMonitor(testConfig)
	slow, fast := Endpoint{PeerNode, "slow"}, Endpoint{PeerNode, "fast"}
	now := ident.MonotonicTime(time.Hour)
	for range 30 {
		m.Sent(slow, now)
		m.Sent(fast, now)
		m.Responded(fast, now, now.Add(10*time.Millisecond))
		m.Responded(slow, now, now.Add(2*time.Second))
		now = now.Add(2 * time.Second)
		m.Evaluate(now)
	}
	m.Sent(slow, now)
	m.Sent(fast, now)
	now = now.Add(2 * time.Second)
	m.Evaluate(now)
	if s := m.Verdict(slow, Outbound).State; s != Up {
		t.Errorf("slow link is %v after its usual delay, want up", s)
	}
	if s := m.Verdict(fast, Outbound).State; s != Down {
		t.Errorf("fast link is %v after 200 times its usual delay, want down", s)
	}
}

// TestDirectionsAreIndependent: messages from a peer do not show that the peer receives messages of this
// node, even if they echo the last heartbeat that the peer received. A repeated echo is not a sample of
// the delay.
func TestDirectionsAreIndependent(t *testing.T) {
	l := newSimulatedLink(5 * time.Millisecond)
	l.run(10 * time.Second)
	last := l.monitor.link(l.peer).out.lastSuccess
	for range 20 {
		l.now = l.now.Add(heartbeatInterval)
		l.monitor.Sent(l.peer, l.now)
		l.monitor.Received(l.peer, l.now)
		l.monitor.Echoed(l.peer, last, l.now) // repeats the echo of an old heartbeat
		l.monitor.Evaluate(l.now)
	}
	if in, out := l.state(Inbound), l.state(Outbound); in != Up || out != Down {
		t.Errorf("got inbound %v, outbound %v; want up, down", in, out)
	}
}

// TestEvidence: error responses, refused connections and silence are distinguished.
func TestEvidence(t *testing.T) {
	store, now := Endpoint{Kind: KVStore}, ident.MonotonicTime(time.Hour)
	newWorkingMonitor := func() *Monitor {
		m := NewMonitor(testConfig)
		for range 10 {
			m.Sent(store, now)
			m.Responded(store, now, now.Add(5*time.Millisecond))
			now = now.Add(500 * time.Millisecond)
			m.Evaluate(now)
		}
		return m
	}
	for _, c := range []struct {
		name         string
		recordEvents func(*Monitor)
		evidence     Evidence
		state        State
		usable       bool
	}{
		{"responses", func(m *Monitor) {
			m.Sent(store, now)
			m.Responded(store, now, now)
		}, Response, Up, true},
		{"error responses", func(m *Monitor) {
			m.Sent(store, now)
			m.RespondedWithError(store, now, now)
		}, ErrorResponse, Up, false},
		{"one refused connection", func(m *Monitor) { m.ConnectionRefused(store, now) }, ConnectionRefused, Up, true},
		{"three refused connections", func(m *Monitor) {
			m.ConnectionRefused(store, now)
			m.ConnectionRefused(store, now)
			m.ConnectionRefused(store, now)
		}, ConnectionRefused, Down, false},
		{"silence", func(m *Monitor) {
			m.Sent(store, now)
			now = now.Add(3 * time.Second)
		}, Silence, Down, false},
		{"a request that was not sent", func(m *Monitor) {
			m.Sent(store, now)
			m.Unsent(store, now)
			now = now.Add(time.Minute)
		}, Response, Up, true},
	} {
		m := newWorkingMonitor()
		c.recordEvents(m)
		m.Evaluate(now)
		v := m.Verdict(store, Outbound)
		if v.Evidence != c.evidence || v.State != c.state || usable(m, store) != c.usable {
			t.Errorf("%s: got %v by %v, usable %v; want %v by %v, usable %v",
				c.name, v.State, v.Evidence, usable(m, store), c.state, c.evidence, c.usable)
		}
	}
}

// usable reports whether the endpoint serves requests according to the verdicts.
func usable(m *Monitor, endpoint Endpoint) bool {
	in := m.Verdict(endpoint, Inbound).State
	out := m.Verdict(endpoint, Outbound).State
	return in != Down && out != Down && !m.Refusing(endpoint)
}

// TestSilentZoneIsUnknown: silence of a zone does not show that the link is broken, because a machine
// sends its heartbeats to one node at a time.
func TestSilentZoneIsUnknown(t *testing.T) {
	m, zone, now := NewMonitor(testConfig), Endpoint{Machines, "east"}, ident.MonotonicTime(time.Hour)
	for range 10 {
		m.Received(zone, now)
		now = now.Add(time.Second)
		m.Evaluate(now)
	}
	now = now.Add(time.Minute)
	m.Evaluate(now)
	if s := m.Verdict(zone, Inbound).State; s != Unknown {
		t.Errorf("inbound state after a minute of silence is %v, want unknown", s)
	}
}
