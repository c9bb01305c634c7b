package election

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
	"opaldale/internal/statetest"
)

// recordingStage is a stage that keeps the requests that came, in words.
type recordingStage struct {
	*stage
	requests strings.Builder
}

func (s *recordingStage) State(r statesvc.Request, f func(statesvc.Reply)) {
	s.requests.WriteString(statetest.Describe(r))
	s.stage.State(r, f)
}

// TestGoldenElection pins the requests of a node that takes the lead, keeps it and gives it up,
// by what the key of the term has held before.
func TestGoldenElection(t *testing.T) {
	var d golden.Document
	for _, c := range []struct {
		name string
		term string
		end  func(*Machine)
	}{
		{"first term", "", func(m *Machine) { m.Resign(time.Minute, "test") }},
		{"term without a level", "41", func(m *Machine) { m.Resign(time.Minute, "test") }},
		{"term with a level", `{"term":41,"level":1}`, func(m *Machine) { m.HandOver(time.Minute, "test") }},
	} {
		s := &recordingStage{stage: newStage()}
		s.ledger = 200
		if c.term != "" {
			s.keys[TermKey] = statesvc.Pair{Path: TermKey, Value: json.RawMessage(c.term), Stamp: 33}
		}
		m := New(s, nobody{}, "agent-1", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
		m.Start()
		s.pass(700 * time.Millisecond)
		c.end(m)
		s.pass(50 * time.Millisecond)
		d.Add(c.name, s.requests.String())
	}
	d.Compare(t, "election")
}

// TestGoldenLeaderKey pins what a node that follows makes of the leader key, and asks.
func TestGoldenLeaderKey(t *testing.T) {
	s := &recordingStage{stage: newStage()}
	value := `{"node":"agent-7","term":43,"nonce":99}`
	s.keys[LeaderKey] = statesvc.Pair{Path: LeaderKey, Value: json.RawMessage(value), Stamp: 57}
	m := New(s, nobody{}, "agent-1", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
	m.Start()
	s.pass(50 * time.Millisecond)
	if node, known := m.Leader(); node != "agent-7" || !known || m.known.Term != 43 || m.known.Nonce != 99 {
		t.Errorf("%+v", m.known)
	}
	golden.Compare(t, "follower", s.requests.String())
}

// TestGoldenRecords pins the values of the leader's and the term's keys.
func TestGoldenRecords(t *testing.T) {
	var d golden.Document
	golden.RoundTrip(t, &d, "leader", golden.Filled[record](0))
	golden.RoundTrip(t, &d, "term with a level", golden.Filled[termRecord](0))
	for _, l := range []ident.Level{0, ident.Packed} {
		d.Add("key of the term", string(TermValue(41, l)))
	}
	d.Add("keys", LeaderKey+"\n"+TermKey)
	d.Compare(t, "records")
}
