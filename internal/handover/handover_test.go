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
		config, now := DefaultConfig(), ident.MonotonicTime(time.Hour)
		history := &History{}
		history.ObserveTerm(1, now)
		coordinator := New(config, history, now)
		began, announced, ended := now, ident.MonotonicTime(0), false
		worseSince := ident.MonotonicTime(0)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pause_ms")) * time.Millisecond)
			successor := ident.NodeID("")
			if rapid.IntRange(0, 9).Draw(t, "worse") > 0 {
				successor = "agent-1"
			}
			e := Event{Now: now, Successor: successor,
				Isolated: rapid.IntRange(0, 9).Draw(t, "isolated") == 0, WritesDrained: rapid.Bool().Draw(t, "idle"),
				StoreWritable: rapid.IntRange(0, 3).Draw(t, "can write") > 0}
			warranted := e.Successor != "" || e.Isolated
			switch {
			case !warranted:
				worseSince = 0
			case worseSince == 0:
				worseSince = now
			}
			switch step := coordinator.Handle(e); step {
			case Announce:
				if announced > 0 || !warranted || !e.StoreWritable || now.Sub(began) < config.MinTermDuration || now.Sub(worseSince) < config.StabilizationWindow {
					t.Fatalf("announced at %v after the begin, %v after a sibling was better placed: %+v", now.Sub(began), now.Sub(worseSince), e)
				}
				if d := coordinator.Decision(); d.Successor != e.Successor || d.Reason == NoReason {
					t.Fatalf("to %q for %v: %+v", d.Successor, d.Reason, e)
				}
				announced = now
			case EndTerm:
				if announced == 0 || ended || !e.WritesDrained && now.Sub(announced) < config.DrainTimeout {
					t.Fatalf("ended %v after the announcement: %+v", now.Sub(announced), e)
				}
				ended = true
			}
			if coordinator.Begun() != (announced > 0) {
				t.Fatalf("yields %v, announced %v", coordinator.Begun(), announced > 0)
			}
			if announced > 0 && !ended && now.Sub(announced) >= 2*config.DrainTimeout+1500*time.Millisecond {
				t.Fatal("an announced handover does not end")
			}
		}
	})
}

// TestHandoversAreBounded: nodes that each find another better placed all the time hand the
// lead on no more often than the bound, and less and less.
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
			if coordinator.Handle(Event{Now: now, Successor: "x", WritesDrained: true, StoreWritable: true}) == EndTerm {
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

// TestRequested: a node that is being stopped hands over at once, and once.
func TestRequested(t *testing.T) {
	now := ident.MonotonicTime(time.Hour)
	coordinator := New(DefaultConfig(), &History{}, now)
	if coordinator.Request(now, "agent-1") != Announce || coordinator.Request(now, "agent-2") != NoStep {
		t.Error("a request is announced once")
	}
	if d := coordinator.Decision(); d.Successor != "agent-1" || d.Reason != Requested {
		t.Errorf("to %q for %v", d.Successor, d.Reason)
	}
	if coordinator.Handle(Event{Now: now, WritesDrained: true}) != EndTerm || coordinator.Handle(Event{Now: now, WritesDrained: true}) != NoStep {
		t.Error("the term is ended once")
	}
}
