// Package kvstoretest is what several packages' tests share: a state service in memory,
// and silence. Nothing but tests may import it, as importing it discards the log.
package kvstoretest

import (
	"log/slog"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

func init() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

// MemoryStore holds keys as the state service does.
type MemoryStore struct {
	Entries  map[string]kvstore.KeyValue
	Revision ident.Revision
}

// NewMemoryStore makes a store with those keys, the newest of them changed last.
func NewMemoryStore(pairs ...kvstore.KeyValue) *MemoryStore {
	s := &MemoryStore{Entries: map[string]kvstore.KeyValue{}}
	for _, p := range pairs {
		s.Entries[p.Key] = p
		s.Revision = max(s.Revision, p.Revision)
	}
	return s
}

// Get reads a key.
func (s *MemoryStore) Get(path string) kvstore.Response {
	p, ok := s.Entries[path]
	if !ok {
		return kvstore.Response{Outcome: kvstore.NotFound}
	}
	return kvstore.Response{Outcome: kvstore.OK, Revision: p.Revision, Value: p.Value}
}

// FailedKeys names the conditions that don't hold.
func (s *MemoryStore) FailedKeys(list []kvstore.Compare) (failed []string) {
	for _, c := range list {
		if s.Entries[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	return failed
}

// Apply carries changes out, whatever the conditions.
func (s *MemoryStore) Apply(changes []kvstore.Mutation) kvstore.Response {
	s.Revision++
	for _, c := range changes {
		if c.Put != "" {
			s.Entries[c.Put] = kvstore.KeyValue{Key: c.Put, Value: c.Value, Revision: s.Revision}
		} else {
			delete(s.Entries, c.Delete)
		}
	}
	return kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.Revision}
}
