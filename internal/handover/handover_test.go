package handover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
)

// TestSteps drives a term with random events: the steps come in order, each once, and only when
// their conditions hold.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTermModel()
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			m.handle(t, m.drawEvent(t))
		}
	})
}

// termModel is a coordinator with what the test has seen of its term.
type termModel struct {
	config         Config
	coordinator    *Coordinator
	now            ident.MonotonicTime
	began          ident.MonotonicTime
	warrantedSince ident.MonotonicTime // 0 while there is no reason for a handover
	announced      ident.MonotonicTime // 0 until then
	ended          bool
}

func newTermModel() *termModel {
	config, now := DefaultConfig(), ident.MonotonicTime(time.Hour)
	history := &History{}
	history.ObserveTerm(1, now)
	return &termModel{config: config, coordinator: New(config, history, now), now: now, began: now}
}

// drawEvent returns an event some time after the one before.
func (m *termModel) drawEvent(t *rapid.T) Event {
	m.now = m.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause_ms")) * time.Millisecond)
	successor := ident.NodeID("")
	if rapid.IntRange(0, 9).Draw(t, "better placed") > 0 {
		successor = "agent-1"
	}
	e := Event{
		Now:           m.now,
		Successor:     successor,
		Isolated:      rapid.IntRange(0, 9).Draw(t, "isolated") == 0,
		WritesDrained: rapid.Bool().Draw(t, "writes drained"),
		StoreWritable: rapid.IntRange(0, 3).Draw(t, "store writable") > 0,
	}
	switch warranted := e.Successor != "" || e.Isolated; {
	case !warranted:
		m.warrantedSince = 0
	case m.warrantedSince == 0:
		m.warrantedSince = m.now
	}
	return e
}

// handle passes an event to the coordinator, and checks the step that follows.
func (m *termModel) handle(t *rapid.T, e Event) {
	switch m.coordinator.Handle(e) {
	case Announce:
		m.checkAnnounce(t, e)
		m.announced = m.now
	case EndTerm:
		if m.announced == 0 || m.ended || !e.WritesDrained && m.now.Sub(m.announced) < m.config.DrainTimeout {
			t.Fatalf("ended %v after the announcement: %+v", m.now.Sub(m.announced), e)
		}
		m.ended = true
	}
	if m.coordinator.Begun() != (m.announced > 0) {
		t.Fatalf("begun %v, announced %v", m.coordinator.Begun(), m.announced > 0)
	}
	if m.announced > 0 && !m.ended && m.now.Sub(m.announced) >= 2*m.config.DrainTimeout+1500*time.Millisecond {
		t.Fatal("an announced handover does not end")
	}
}

func (m *termModel) checkAnnounce(t *rapid.T, e Event) {
	if m.announced > 0 || m.warrantedSince == 0 || !e.StoreWritable ||
		m.now.Sub(m.began) < m.config.MinTermDuration ||
		m.now.Sub(m.warrantedSince) < m.config.StabilizationWindow {
		t.Fatalf("announced %v into the term, %v after a handover was warranted: %+v",
			m.now.Sub(m.began), m.now.Sub(m.warrantedSince), e)
	}
	if d := m.coordinator.Decision(); d.Successor != e.Successor || d.Reason == NoReason {
		t.Fatalf("to %q for %v: %+v", d.Successor, d.Reason, e)
	}
}

// TestHandoversAreBounded: nodes of which each always finds another one better placed hand over no
// more often than the bound, and ever less often.
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
			e := Event{Now: now, Successor: "x", WritesDrained: true, StoreWritable: true}
			if coordinator.Handle(e) == EndTerm {
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
				t.Fatalf("%d handovers within a minute, the bound is %d", n, maxPerMinute(config))
			}
		}
		if len(times) == 0 || len(times) > 12 {
			t.Fatalf("%d handovers in ten minutes", len(times))
		}
	})
}

// maxPerMinute returns how many times in a minute leadership can be handed over at the
// most in a cluster whose nodes see each other's terms: each leader keeps it for the minimum
// duration first.
func maxPerMinute(c Config) int { return 1 + int(time.Minute/max(c.MinTermDuration, time.Second)) }

// TestRequested: a node that is being stopped hands over at once, and only once.
func TestRequested(t *testing.T) {
	now := ident.MonotonicTime(time.Hour)
	coordinator := New(DefaultConfig(), &History{}, now)
	if coordinator.Request(now, "agent-1") != Announce || coordinator.Request(now, "agent-2") != NoStep {
		t.Error("a request is announced once")
	}
	if d := coordinator.Decision(); d.Successor != "agent-1" || d.Reason != Requested {
		t.Errorf("to %q for %v", d.Successor, d.Reason)
	}
	drained := Event{Now: now, WritesDrained: true}
	if coordinator.Handle(drained) != EndTerm || coordinator.Handle(drained) != NoStep {
		t.Error("the term is ended once")
	}
}
