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

// testLimits are the limits of a store that allows small transactions only.
var testLimits = commit.Limits{MutationsPerTxn: 5, MutationsPerSecond: 1e9, MaxValueBytes: 2048}

// newTermHistory returns the history of a new term, loaded from the records in the store.
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

// TestHistory: the recorded moves are known in every later term, and deleted once their job is closed.
func TestHistory(t *testing.T) {
	s := kvstoretest.NewSteppedStore(kvstoretest.NewMemoryStore())
	h, c := newTermHistory(t, s)
	move := &Move{Move: proposal(), Attempt: 3}
	for n := range 2 {
		durable := false
		h.RecordMove(move, func() { durable = true })
		if durable {
			t.Error("got durable true before the record was written, want false")
		}
		s.FlushAndRun(c)
		if !durable || h.MoveCount("j-1") != n+1 || h.MoveCount("j-2") != 0 {
			t.Errorf("got durable %v, %d moves of the job, %d of another job; want true, %d, 0",
				durable, h.MoveCount("j-1"), h.MoveCount("j-2"), n+1)
		}
		if h, c = newTermHistory(t, s); h.MoveCount("j-1") != n+1 {
			t.Errorf("got %d moves in the next term, want %d", h.MoveCount("j-1"), n+1)
		}
	}
	if n := len(s.Entries[Key("j-1")].Value); n > 1024 {
		t.Errorf("the record of two moves has %d bytes, want at most 1024", n)
	}
	attempt := ident.Attempt(3)
	find := func(ident.TaskID) (ident.Attempt, bool) { return attempt, true }
	if got := h.Interrupted(find); len(got) != 1 || got[0] != move.Task {
		t.Errorf("got interrupted tasks %v, want %v only", got, move.Task)
	}
	if attempt = 4; len(h.Interrupted(find)) != 0 {
		t.Errorf("task in a later attempt: got interrupted tasks %v, want none", h.Interrupted(find))
	}
	h.Prune(func(ident.JobID) bool { return true })
	c.Flush()
	if s.Run(); h.MoveCount("j-1") != 2 {
		t.Errorf("got %d moves of a live job after Prune, want 2", h.MoveCount("j-1"))
	}
	h.Prune(func(ident.JobID) bool { return false })
	c.Flush()
	if s.Run(); len(s.Entries) != 0 || h.MoveCount("j-1") != 0 {
		t.Errorf("got %d moves and stored entries %v of a closed job after Prune, want none", h.MoveCount("j-1"), s.Entries)
	}
}

// TestUnreadableRecord: a record that can't be decoded excludes its job, and no other, from moves. It stays
// unchanged until the job is closed.
func TestUnreadableRecord(t *testing.T) {
	for _, value := range []string{`7`, `{"moves":"many"}`, `{}`, `{"moves":[]}`, `{"moves":[{"task":-1}]}`} {
		s := kvstoretest.NewSteppedStore(kvstoretest.NewMemoryStore())
		s.Entries[Key("j-1")] = kvstore.KeyValue{Key: Key("j-1"), Value: json.RawMessage(value), Revision: 5}
		h, c := newTermHistory(t, s)
		if !h.IsExcluded("j-1") || h.IsExcluded("j-2") {
			t.Errorf("%s: got excluded %v, another job %v; want true, false", value, h.IsExcluded("j-1"), h.IsExcluded("j-2"))
		}
		c.Flush()
		if s.Run(); string(s.Entries[Key("j-1")].Value) != value {
			t.Errorf("got stored value %s, want the unreadable value %s unchanged", s.Entries[Key("j-1")].Value, value)
		}
		h.Forget("j-1")
		c.Flush()
		if s.Run(); len(s.Entries) != 0 {
			t.Errorf("%s: got stored entries %v after the job was closed, want none", value, s.Entries)
		}
	}
}
