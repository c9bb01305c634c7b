package election

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// recordingStore is a fakeStore that also records a description of each request.
type recordingStore struct {
	*fakeStore
	kvstoretest.RequestLog
}

func (s *recordingStore) Store(request kvstore.Request, onResponse func(kvstore.Response)) {
	s.Record(request)
	s.fakeStore.Store(request, onResponse)
}

// TestGoldenElection compares the requests of a node that is elected, renews its lease and steps down with
// the golden file, for a missing term key and for each encoding of its value.
func TestGoldenElection(t *testing.T) {
	var d golden.Document
	for _, c := range []struct {
		name string
		term string
		end  func(*Elector)
	}{
		{"first term", "", func(e *Elector) { e.Resign(time.Minute, "test") }},
		{"term without a level", "41", func(e *Elector) { e.Resign(time.Minute, "test") }},
		{"term with a level", `{"term":41,"level":1}`, func(e *Elector) { e.HandOver(time.Minute, "test") }},
	} {
		s := &recordingStore{fakeStore: newFakeStore()}
		s.Revision = 200
		if c.term != "" {
			s.Entries[TermKey] = kvstore.KeyValue{Key: TermKey, Value: json.RawMessage(c.term), Revision: 33}
		}
		e := New(s, noCallbacks{}, "agent-1", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
		e.Start()
		s.Advance(700 * time.Millisecond)
		c.end(e)
		s.Advance(50 * time.Millisecond)
		d.Add(c.name, s.Requests())
	}
	d.Compare(t, "election")
}

// TestGoldenLeaderKey checks that a follower decodes the leader key, and compares its requests with the
// golden file.
func TestGoldenLeaderKey(t *testing.T) {
	s := &recordingStore{fakeStore: newFakeStore()}
	value := `{"node":"agent-7","term":43,"nonce":99}`
	s.Entries[LeaderKey] = kvstore.KeyValue{Key: LeaderKey, Value: json.RawMessage(value), Revision: 57}
	e := New(s, noCallbacks{}, "agent-1", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
	e.Start()
	s.Advance(50 * time.Millisecond)
	if node, known := e.Leader(); node != "agent-7" || !known || e.knownLeader.Term != 43 || e.knownLeader.Nonce != 99 {
		t.Errorf("known leader is %+v (known: %v), want node agent-7, term 43, nonce 99", e.knownLeader, known)
	}
	golden.Compare(t, "follower", s.Requests())
}

// TestGoldenRecords compares the encoded values of the leader key and the term key with the golden file.
func TestGoldenRecords(t *testing.T) {
	var d golden.Document
	golden.RoundTrip(t, &d, "leader", golden.Filled[leaderRecord](0))
	golden.RoundTrip(t, &d, "term with a level", golden.Filled[termRecord](0))
	for _, l := range []ident.FormatLevel{0, ident.FormatPacked} {
		d.Add("key of the term", string(EncodeTerm(41, l)))
	}
	d.Add("keys", LeaderKey+"\n"+TermKey)
	d.Compare(t, "records")
}
