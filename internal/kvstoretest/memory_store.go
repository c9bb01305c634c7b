// Package kvstoretest provides key-value stores in memory for the tests of other packages. Only
// tests may import it: importing it discards the log of the process.
package kvstoretest

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

func init() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

// MemoryStore holds keys and revisions as the key-value store does. It is not safe for concurrent
// use.
type MemoryStore struct {
	Entries  map[string]kvstore.KeyValue
	Revision ident.Revision // of the newest write
}

// NewMemoryStore makes a store with the given keys. Its revision is the highest of theirs.
func NewMemoryStore(pairs ...kvstore.KeyValue) *MemoryStore {
	s := &MemoryStore{Entries: map[string]kvstore.KeyValue{}}
	for _, pair := range pairs {
		s.Entries[pair.Key] = pair
		s.Revision = max(s.Revision, pair.Revision)
	}
	return s
}

// Get returns the response to a read of a key.
func (s *MemoryStore) Get(key string) kvstore.Response {
	pair, ok := s.Entries[key]
	if !ok {
		return kvstore.Response{Outcome: kvstore.NotFound}
	}
	return kvstore.Response{Outcome: kvstore.OK, Revision: pair.Revision, Value: pair.Value}
}

// List returns the response to a list of the keys with a prefix, in their order on one page.
func (s *MemoryStore) List(prefix string) kvstore.Response {
	response := kvstore.Response{Outcome: kvstore.OK}
	for _, key := range slices.Sorted(maps.Keys(s.Entries)) {
		if strings.HasPrefix(key, prefix) {
			response.KeyValues = append(response.KeyValues, s.Entries[key])
		}
	}
	return response
}

// FailedKeys returns the keys of the compares that do not hold.
func (s *MemoryStore) FailedKeys(compares []kvstore.Compare) (failed []string) {
	for _, compare := range compares {
		if s.Entries[compare.Key].Revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// Apply applies mutations at the next revision, without any compares, and returns the response to
// the transaction.
func (s *MemoryStore) Apply(mutations []kvstore.Mutation) kvstore.Response {
	s.Revision++
	for _, mutation := range mutations {
		if mutation.Put == "" {
			delete(s.Entries, mutation.Delete)
			continue
		}
		s.Entries[mutation.Put] = kvstore.KeyValue{Key: mutation.Put, Value: mutation.Value, Revision: s.Revision}
	}
	return kvstore.Response{Outcome: kvstore.OK, StoreRevision: s.Revision}
}
