package handover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"opaldale/internal/ident"
)

// TestSteps drives a term with random events: the steps come in order, each once, and never
// without what they need.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, now := DefaultConfig(), ident.Mono(time.Hour)
		history := &History{}
		history.Saw(1, now)
		m := New(config, history, now)
		began, announced, ended := now, ident.Mono(0), false
		worseSince := ident.Mono(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			e := Event{Now: now, Worse: rapid.IntRange(0, 9).Draw(t, "worse") > 0, To: "agent-1",
				Isolated: rapid.IntRange(0, 9).Draw(t, "isolated") == 0, Idle: rapid.Bool().Draw(t, "idle"),
				CanWrite: rapid.IntRange(0, 3).Draw(t, "can write") > 0}
			bad := e.Worse || e.Isolated
			switch {
			case !bad:
				worseSince = 0
			case worseSince == 0:
				worseSince = now
			}
			switch step := m.Handle(e); step {
			case Announce:
				if announced > 0 || !bad || !e.CanWrite || now.Sub(began) < config.Hold || now.Sub(worseSince) < config.Persist {
					t.Fatalf("announced at %v after the begin, %v after a sibling was better placed: %+v", now.Sub(began), now.Sub(worseSince), e)
				}
				if to, reason := m.To(); e.Worse != (to != "") || reason == NoReason {
					t.Fatalf("to %q for %v: %+v", to, reason, e)
				}
				announced = now
			case End:
				if announced == 0 || ended || !e.Idle && now.Sub(announced) < config.Drain {
					t.Fatalf("ended %v after the announcement: %+v", now.Sub(announced), e)
				}
				ended = true
			}
			if m.Yields() != (announced > 0) {
				t.Fatalf("yields %v, announced %v", m.Yields(), announced > 0)
			}
			if announced > 0 && !ended && now.Sub(announced) >= 2*config.Drain+1500*time.Millisecond {
				t.Fatal("an announced handover does not end")
			}
		}
	})
}

// TestHandoversAreBounded: nodes that each find another better placed all the time hand the
// lead on no more often than the bound, and less and less.
func TestHandoversAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, start := DefaultConfig(), ident.Mono(time.Hour)
		nodes := rapid.IntRange(2, 5).Draw(t, "nodes")
		histories := make([]History, nodes)
		now, leader, term := start, 0, ident.Term(1)
		saw := func() {
			for i := range histories {
				histories[i].Saw(term, now)
			}
		}
		saw()
		m := New(config, &histories[leader], now)
		var times []ident.Mono
		for now.Sub(start) < 10*time.Minute {
			now = now.Add(250 * time.Millisecond)
			if m.Handle(Event{Now: now, Worse: true, To: "x", Idle: true, CanWrite: true}) == End {
				times = append(times, now)
				leader = (leader + 1 + rapid.IntRange(0, nodes-2).Draw(t, "next")) % nodes
				term++
				saw()
				m = New(config, &histories[leader], now)
			}
		}
		for i, at := range times {
			n := 0
			for _, other := range times[:i+1] {
				if at.Sub(other) < time.Minute {
					n++
				}
			}
			if n > MaxPerMinute(config) {
				t.Fatalf("%d handovers within a minute, the bound is %d", n, MaxPerMinute(config))
			}
		}
		if len(times) == 0 || len(times) > 12 {
			t.Fatalf("%d handovers in ten minutes", len(times))
		}
	})
}

// TestRequested: a node that is being stopped hands over at once, and once.
func TestRequested(t *testing.T) {
	now := ident.Mono(time.Hour)
	m := New(DefaultConfig(), &History{}, now)
	if m.Request(now, "agent-1") != Announce || m.Request(now, "agent-2") != Nothing {
		t.Error("a request is announced once")
	}
	if to, reason := m.To(); to != "agent-1" || reason != Requested {
		t.Errorf("to %q for %v", to, reason)
	}
	if m.Handle(Event{Now: now, Idle: true}) != End || m.Handle(Event{Now: now, Idle: true}) != Nothing {
		t.Error("the term is ended once")
	}
}
