package migration

import (
	"encoding/json"
	"strings"
	"testing"

	"opaldale/internal/commit"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
)

// testLimits are limits of a store that allows small transactions.
var testLimits = commit.Limits{MutationsPerTxn: 5, MutationsPerSecond: 1e9, MaxValueBytes: 2048}

// newTermHistory makes the history of a term, with what is stored.
func newTermHistory(t *testing.T, s *kvstoretest.SteppedStore) (*History, *commit.Committer) {
	t.Helper()
	c := commit.New(s, testLimits, kvstore.Compare{Key: "leader", Revision: 1}, func(err error) { t.Error(err) })
	h := NewHistory(c, func() int64 { return 1000 })
	for path, p := range s.Entries {
		if strings.HasPrefix(path, Prefix) {
			h.Load(path, p.Value, p.Revision)
		}
	}
	return h, c
}

// TestHistory: moves are counted by every later term, and forgotten once their job is closed.
func TestHistory(t *testing.T) {
	s := kvstoretest.NewSteppedStore(kvstoretest.NewMemoryStore())
	h, c := newTermHistory(t, s)
	move := &Move{Move: proposal(), Attempt: 3}
	for n := range 2 {
		durable := false
		h.RecordMove(move, func() { durable = true })
		if durable {
			t.Error("durable before it is written")
		}
		s.Settle(c)
		if !durable || h.MoveCount("j-1") != n+1 || h.MoveCount("j-2") != 0 {
			t.Errorf("durable %v, %d moves on record, %d of another job", durable, h.MoveCount("j-1"), h.MoveCount("j-2"))
		}
		if h, c = newTermHistory(t, s); h.MoveCount("j-1") != n+1 {
			t.Errorf("the next term knows of %d moves, want %d", h.MoveCount("j-1"), n+1)
		}
	}
	if n := len(s.Entries[Key("j-1")].Value); n > 1024 {
		t.Errorf("two moves take %d bytes", n)
	}
	attempt := ident.Attempt(3)
	find := func(ident.TaskID) (ident.Attempt, bool) { return attempt, true }
	if got := h.Interrupted(find); len(got) != 1 || got[0] != move.Task {
		t.Errorf("interrupted: %v", got)
	}
	if attempt = 4; len(h.Interrupted(find)) != 0 {
		t.Error("a task in a later attempt counts as interrupted")
	}
	h.Prune(func(ident.JobID) bool { return true })
	c.Flush()
	if s.Run(); h.MoveCount("j-1") != 2 {
		t.Error("a job that is not over is forgotten")
	}
	h.Prune(func(ident.JobID) bool { return false })
	c.Flush()
	if s.Run(); len(s.Entries) != 0 || h.MoveCount("j-1") != 0 {
		t.Errorf("left: %v", s.Entries)
	}
}

// TestUnreadableRecord: a record that can't be decoded bars its job and no other, and stays until the job is
// closed.
func TestUnreadableRecord(t *testing.T) {
	for _, value := range []string{`7`, `{"moves":"many"}`, `{}`, `{"moves":[]}`, `{"moves":[{"task":-1}]}`} {
		s := kvstoretest.NewSteppedStore(kvstoretest.NewMemoryStore())
		s.Entries[Key("j-1")] = kvstore.KeyValue{Key: Key("j-1"), Value: json.RawMessage(value), Revision: 5}
		h, c := newTermHistory(t, s)
		if !h.IsBarred("j-1") || h.IsBarred("j-2") {
			t.Errorf("%s: barred %v, another %v", value, h.IsBarred("j-1"), h.IsBarred("j-2"))
		}
		c.Flush()
		if s.Run(); string(s.Entries[Key("j-1")].Value) != value {
			t.Errorf("%s has become %s", value, s.Entries[Key("j-1")].Value)
		}
		h.Forget("j-1")
		c.Flush()
		if s.Run(); len(s.Entries) != 0 {
			t.Errorf("%s is left", value)
		}
	}
}
