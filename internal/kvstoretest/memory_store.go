// Package kvstoretest provides in-memory key-value stores for the tests of other packages. Only tests may
// import it, because importing it discards all log output of the process.
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

// MemoryStore is an in-memory key-value store with revisions. It is not safe for concurrent use.
type MemoryStore struct {
	Entries  map[string]kvstore.KeyValue
	Revision ident.Revision // revision of the newest write
}

// NewMemoryStore returns a store with the given keys. The revision of the store is the highest of their
// revisions.
func NewMemoryStore(pairs ...kvstore.KeyValue) *MemoryStore {
	s := &MemoryStore{Entries: map[string]kvstore.KeyValue{}}
	for _, pair := range pairs {
		s.Entries[pair.Key] = pair
		s.Revision = max(s.Revision, pair.Revision)
	}
	return s
}

// Get returns the response to a Get request for a key.
func (s *MemoryStore) Get(key string) kvstore.Response {
	pair, ok := s.Entries[key]
	if !ok {
		return kvstore.Response{Outcome: kvstore.NotFound}
	}
	return kvstore.Response{Outcome: kvstore.OK, Revision: pair.Revision, Value: pair.Value}
}

// List returns the response to a List request for a prefix: all keys with that prefix, sorted, on one page.
func (s *MemoryStore) List(prefix string) kvstore.Response {
	response := kvstore.Response{Outcome: kvstore.OK}
	for _, key := range slices.Sorted(maps.Keys(s.Entries)) {
		if strings.HasPrefix(key, prefix) {
			response.KeyValues = append(response.KeyValues, s.Entries[key])
		}
	}
	return response
}

// FailedKeys returns the keys of the compares that fail.
func (s *MemoryStore) FailedKeys(compares []kvstore.Compare) (failed []string) {
	for _, compare := range compares {
		if s.Entries[compare.Key].Revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// Apply applies the mutations of a transaction at the next revision, without checking compares, and
// returns the response.
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
