package upgrade

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"opaldale/internal/commit"
	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// recorder is an in-memory key-value store that records its requests and responds synchronously.
type recorder struct{ *kvstoretest.RecordingStore }

func (r recorder) Store(q kvstore.Request, f func(kvstore.Response)) {
	r.Record(q)
	switch q.Op {
	case kvstore.Get:
		f(r.Get(q.Key))
	case kvstore.List:
		f(r.List(q.Prefix))
	default:
		f(r.Apply(q.Mutations))
	}
}

// TestGoldenAnnouncements compares the requests by which a node announces its formats, for each earlier value of
// its key, and the decoded announcements with the golden file.
func TestGoldenAnnouncements(t *testing.T) {
	var d golden.Document
	golden.RoundTrip(t, &d, "notice", golden.Filled[announcement](0))
	for _, before := range []string{"", `{"level":1}`, `{"level":1,"frames":1}`} {
		r := recorder{kvstoretest.NewRecordingStore()}
		if before != "" {
			key := NodeKeyPrefix + "agent-1"
			r.Entries[key] = kvstore.KeyValue{Key: key, Value: json.RawMessage(before), Revision: 27}
		}
		Announce(r, rand.New(rand.NewPCG(1, 2)), "agent-1")
		d.Add("announced before: "+before, r.Requests())
	}
	frames := FrameCapabilities([]kvstore.KeyValue{{Key: "nodes/agent-1", Value: json.RawMessage(`{"level":2,"frames":3}`)},
		{Key: "nodes/agent-2", Value: json.RawMessage(`{"level":1}`)}})
	d.Add("frames", fmt.Sprint(frames))
	d.Compare(t, "announcements")
}

// TestGoldenRaise compares the requests that raise the format level with the golden file.
func TestGoldenRaise(t *testing.T) {
	newest := kvstore.KeyValue{Key: NodeKeyPrefix + "agent-1", Value: json.RawMessage(`{"level":1,"frames":1}`), Revision: 3}
	other := newest
	other.Key = NodeKeyPrefix + "agent-2"
	r := recorder{kvstoretest.NewRecordingStore(newest, other)}
	leaderKey := kvstore.Compare{Key: "leader", Revision: 61}
	limits := commit.Limits{MutationsPerTxn: 5, MutationsPerSecond: 1e9, MaxValueBytes: 2048}
	c := commit.New(r, limits, leaderKey, func(err error) { t.Error(err) })
	done := false
	raiser := New(Config{
		Port:      r,
		Term:      41,
		LeaderKey: leaderKey,
		Nodes:     []ident.NodeID{"agent-1", "agent-2"},
		Persist:   c.MarkDirty,
		OnRaised:  func() { done = true },
	})
	raiser.Poll()
	c.Flush()
	if !done || raiser.State() != Raised {
		t.Errorf("OnRaised called %v, state %s, want true, %s", done, raiser.State(), Raised)
	}
	golden.Compare(t, "raise", r.Requests())
}
