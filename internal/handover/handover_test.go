package handover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
)

// TestSteps advances a coordinator with random conditions, and checks that the steps occur in order, at most
// once each, and only when their preconditions hold.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTermModel()
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			m.advance(t, m.drawConditions(t))
		}
	})
}

// termModel is a coordinator under test together with the expected progress of its term.
type termModel struct {
	config        Config
	coordinator   *Coordinator
	now           ident.MonotonicTime
	termStartedAt ident.MonotonicTime
	reasonSince   ident.MonotonicTime // 0 while there is no reason for a handover
	announcedAt   ident.MonotonicTime // 0 until the successor is announced
	ended         bool
}

func newTermModel() *termModel {
	config, now := DefaultConfig(), ident.MonotonicTime(time.Hour)
	history := &History{}
	history.ObserveTerm(1, now)
	return &termModel{config: config, coordinator: New(config, history, now), now: now, termStartedAt: now}
}

// drawConditions advances the clock and returns the conditions at that time.
func (m *termModel) drawConditions(t *rapid.T) Conditions {
	m.now = m.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause_ms")) * time.Millisecond)
	successor := ident.NodeID("")
	if rapid.IntRange(0, 9).Draw(t, "better placed") > 0 {
		successor = "agent-1"
	}
	conditions := Conditions{
		Now:           m.now,
		Successor:     successor,
		Isolated:      rapid.IntRange(0, 9).Draw(t, "isolated") == 0,
		WritesDrained: rapid.Bool().Draw(t, "writes drained"),
		StoreWritable: rapid.IntRange(0, 3).Draw(t, "store writable") > 0,
	}
	switch hasReason := conditions.Successor != "" || conditions.Isolated; {
	case !hasReason:
		m.reasonSince = 0
	case m.reasonSince == 0:
		m.reasonSince = m.now
	}
	return conditions
}

// advance passes conditions to the coordinator, and checks the resulting step.
func (m *termModel) advance(t *rapid.T, conditions Conditions) {
	switch m.coordinator.Advance(conditions) {
	case Announce:
		m.checkAnnounce(t, conditions)
		m.announcedAt = m.now
	case EndTerm:
		if m.announcedAt == 0 || m.ended || !conditions.WritesDrained && m.now.Sub(m.announcedAt) < m.config.DrainTimeout {
			t.Fatalf("term ended %v after the announcement (announced: %v, ended before: %v); "+
				"want one end, after the announcement, with writes drained or after %v: %+v",
				m.now.Sub(m.announcedAt), m.announcedAt > 0, m.ended, m.config.DrainTimeout, conditions)
		}
		m.ended = true
	}
	if m.coordinator.Begun() != (m.announcedAt > 0) {
		t.Fatalf("Begun() = %v, want %v", m.coordinator.Begun(), m.announcedAt > 0)
	}
	if m.announcedAt > 0 && !m.ended && m.now.Sub(m.announcedAt) >= 2*m.config.DrainTimeout+1500*time.Millisecond {
		t.Fatalf("term not ended %v after the announcement, want an end within %v", m.now.Sub(m.announcedAt),
			2*m.config.DrainTimeout+1500*time.Millisecond)
	}
}

func (m *termModel) checkAnnounce(t *rapid.T, conditions Conditions) {
	if m.announcedAt > 0 || m.reasonSince == 0 || !conditions.StoreWritable ||
		m.now.Sub(m.termStartedAt) < m.config.MinTermDuration ||
		m.now.Sub(m.reasonSince) < m.config.StabilizationWindow {
		t.Fatalf("announced %v after the start of the term, %v after the reason occurred (announced before: %v); "+
			"want at least %v and %v, once, while there is a reason and the store is writable: %+v",
			m.now.Sub(m.termStartedAt), m.now.Sub(m.reasonSince), m.announcedAt > 0,
			m.config.MinTermDuration, m.config.StabilizationWindow, conditions)
	}
	if d := m.coordinator.Decision(); d.Successor != conditions.Successor || d.Reason == NoReason {
		t.Fatalf("decision is successor %q, reason %v, want successor %q and a reason; conditions %+v",
			d.Successor, d.Reason, conditions.Successor, conditions)
	}
}

// TestHandoversAreBounded checks that the rate of handovers is limited, in a minute and over ten minutes, even
// if every leader always finds a better connected peer.
func TestHandoversAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, start := DefaultConfig(), ident.MonotonicTime(time.Hour)
		nodes := rapid.IntRange(2, 5).Draw(t, "nodes")
		histories := make([]History, nodes)
		now, leader, term := start, 0, ident.Term(1)
		observe := func() {
			for i := range histories {
				histories[i].ObserveTerm(term, now)
			}
		}
		observe()
		coordinator := New(config, &histories[leader], now)
		var times []ident.MonotonicTime
		for now.Sub(start) < 10*time.Minute {
			now = now.Add(250 * time.Millisecond)
			conditions := Conditions{Now: now, Successor: "x", WritesDrained: true, StoreWritable: true}
			if coordinator.Advance(conditions) == EndTerm {
				times = append(times, now)
				leader = (leader + 1 + rapid.IntRange(0, nodes-2).Draw(t, "next")) % nodes
				term++
				observe()
				coordinator = New(config, &histories[leader], now)
			}
		}
		for i, at := range times {
			n := 0
			for _, other := range times[:i+1] {
				if at.Sub(other) < time.Minute {
					n++
				}
			}
			if n > maxPerMinute(config) {
				t.Fatalf("got %d handovers within a minute, want at most %d", n, maxPerMinute(config))
			}
		}
		if len(times) == 0 || len(times) > 12 {
			t.Fatalf("got %d handovers in ten minutes, want 1 to 12", len(times))
		}
	})
}

// maxPerMinute returns the maximum number of handovers in a minute in a cluster whose nodes observe
// each other's terms: each leader leads for at least the minimum duration.
func maxPerMinute(c Config) int { return 1 + int(time.Minute/max(c.MinTermDuration, time.Second)) }

// TestRequested checks that a requested handover, as at shutdown, begins immediately and only once.
func TestRequested(t *testing.T) {
	now := ident.MonotonicTime(time.Hour)
	coordinator := New(DefaultConfig(), &History{}, now)
	first, second := coordinator.Request(now, "agent-1"), coordinator.Request(now, "agent-2")
	if first != Announce || second != NoStep {
		t.Errorf("two requests: got steps %d and %d, want %d (Announce) and %d (NoStep)", first, second, Announce, NoStep)
	}
	if d := coordinator.Decision(); d.Successor != "agent-1" || d.Reason != Requested {
		t.Errorf("decision is successor %q, reason %v, want successor agent-1, reason %v", d.Successor, d.Reason, Requested)
	}
	drained := Conditions{Now: now, WritesDrained: true}
	first, second = coordinator.Advance(drained), coordinator.Advance(drained)
	if first != EndTerm || second != NoStep {
		t.Errorf("two advances after draining: got steps %d and %d, want %d (EndTerm) and %d (NoStep)",
			first, second, EndTerm, NoStep)
	}
}
