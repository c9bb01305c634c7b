package upgrade

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"opaldale/internal/commit"
	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
	"opaldale/internal/statetest"
)

// recorder is a state service that keeps the requests that came, in words.
type recorder struct {
	*statetest.Queue
	requests strings.Builder
}

func (r *recorder) State(q statesvc.Request, f func(statesvc.Reply)) {
	r.requests.WriteString(statetest.Describe(q))
	switch q.Op {
	case statesvc.Get:
		f(r.Get(q.Path))
	case statesvc.List:
		f(statesvc.Reply{Outcome: statesvc.OK, Pairs: []statesvc.Pair{r.Keys[Prefix+"agent-1"], r.Keys[Prefix+"agent-2"]}})
	default:
		f(r.Apply(q.Then))
	}
}

// TestGoldenAnnouncements pins what a node announces, over what it has announced before, and
// what others read of it.
func TestGoldenAnnouncements(t *testing.T) {
	var d golden.Document
	golden.RoundTrip(t, &d, "notice", golden.Filled[notice](0))
	for _, before := range []string{"", `{"level":1}`, `{"level":1,"frames":1}`} {
		r := &recorder{Queue: statetest.NewQueue(statetest.New())}
		if before != "" {
			r.Keys[Prefix+"agent-1"] = statesvc.Pair{Path: Prefix + "agent-1", Value: json.RawMessage(before), Stamp: 27}
		}
		Announce(r, rand.New(rand.NewPCG(1, 2)), "agent-1")
		d.Add("announced before: "+before, r.requests.String())
	}
	frames := FramesOf([]statesvc.Pair{{Path: "nodes/agent-1", Value: json.RawMessage(`{"level":2,"frames":3}`)},
		{Path: "nodes/agent-2", Value: json.RawMessage(`{"level":1}`)}})
	d.Add("frames", fmt.Sprint(frames))
	d.Compare(t, "announcements")
}

// TestGoldenRaise pins what is asked and written to raise the level.
func TestGoldenRaise(t *testing.T) {
	newest := statesvc.Pair{Path: Prefix + "agent-1", Value: json.RawMessage(`{"level":1,"frames":1}`), Stamp: 3}
	other := newest
	other.Path = Prefix + "agent-2"
	r := &recorder{Queue: statetest.NewQueue(statetest.New(newest, other))}
	c := commit.New(r, commit.Limits{Ops: 5, PerSecond: 1e9, ValueBytes: 2048}, statesvc.Cond{Path: "leader", Stamp: 61}, func(why string) { t.Error(why) })
	done := false
	raiser := New(r, 41, statesvc.Cond{Path: "leader", Stamp: 61}, []ident.NodeID{"agent-1", "agent-2"}, c.Mark, func() { done = true })
	raiser.Look()
	c.Flush()
	if !done || raiser.State() != Raised {
		t.Errorf("done %v, %s", done, raiser.State())
	}
	golden.Compare(t, "raise", r.requests.String())
}
