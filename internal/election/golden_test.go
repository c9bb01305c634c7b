package election

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// recordingStore is a stage that keeps the requests that came, in words.
type recordingStore struct {
	*fakeStore
	requests strings.Builder
}

func (s *recordingStore) Store(r kvstore.Request, f func(kvstore.Response)) {
	s.requests.WriteString(kvstoretest.Describe(r))
	s.fakeStore.Store(r, f)
}

// TestGoldenElection pins the requests of a node that takes the lead, keeps it and gives it up,
// by what the key of the term has held before.
func TestGoldenElection(t *testing.T) {
	var d golden.Document
	for _, c := range []struct {
		name string
		term string
		end  func(*Elector)
	}{
		{"first term", "", func(m *Elector) { m.Resign(time.Minute, "test") }},
		{"term without a level", "41", func(m *Elector) { m.Resign(time.Minute, "test") }},
		{"term with a level", `{"term":41,"level":1}`, func(m *Elector) { m.HandOver(time.Minute, "test") }},
	} {
		s := &recordingStore{fakeStore: newFakeStore()}
		s.revision = 200
		if c.term != "" {
			s.keys[TermKey] = kvstore.KeyValue{Key: TermKey, Value: json.RawMessage(c.term), Revision: 33}
		}
		m := New(s, noCallbacks{}, "agent-1", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
		m.Start()
		s.advance(700 * time.Millisecond)
		c.end(m)
		s.advance(50 * time.Millisecond)
		d.Add(c.name, s.requests.String())
	}
	d.Compare(t, "election")
}

// TestGoldenLeaderKey pins what a node that follows makes of the leader key, and asks.
func TestGoldenLeaderKey(t *testing.T) {
	s := &recordingStore{fakeStore: newFakeStore()}
	value := `{"node":"agent-7","term":43,"nonce":99}`
	s.keys[LeaderKey] = kvstore.KeyValue{Key: LeaderKey, Value: json.RawMessage(value), Revision: 57}
	m := New(s, noCallbacks{}, "agent-1", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
	m.Start()
	s.advance(50 * time.Millisecond)
	if node, known := m.Leader(); node != "agent-7" || !known || m.knownLeader.Term != 43 || m.knownLeader.Nonce != 99 {
		t.Errorf("%+v", m.knownLeader)
	}
	golden.Compare(t, "follower", s.requests.String())
}

// TestGoldenRecords pins the values of the leader's and the term's keys.
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
