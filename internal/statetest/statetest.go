// Package statetest is what several packages' tests share: a state service in memory,
// and silence. Nothing but tests may import it, as importing it discards the log.
package statetest

import (
	"log/slog"

	"opaldale/internal/ident"
	"opaldale/internal/statesvc"
)

func init() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

// Store holds keys as the state service does.
type Store struct {
	Keys   map[string]statesvc.Pair
	Ledger uint64
}

// New makes a store with those keys, the newest of them changed last.
func New(pairs ...statesvc.Pair) *Store {
	s := &Store{Keys: map[string]statesvc.Pair{}}
	for _, p := range pairs {
		s.Keys[p.Path] = p
		s.Ledger = max(s.Ledger, uint64(p.Stamp))
	}
	return s
}

// Get reads a key.
func (s *Store) Get(path string) statesvc.Reply {
	p, ok := s.Keys[path]
	if !ok {
		return statesvc.Reply{Outcome: statesvc.NotFound}
	}
	return statesvc.Reply{Outcome: statesvc.OK, Stamp: p.Stamp, Value: p.Value}
}

// Failed names the conditions that don't hold.
func (s *Store) Failed(list []statesvc.Cond) (failed []string) {
	for _, c := range list {
		if s.Keys[c.Path].Stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	return failed
}

// Apply carries changes out, whatever the conditions.
func (s *Store) Apply(changes []statesvc.Change) statesvc.Reply {
	s.Ledger++
	for _, c := range changes {
		if c.Put != "" {
			s.Keys[c.Put] = statesvc.Pair{Path: c.Put, Value: c.Value, Stamp: ident.Stamp(s.Ledger)}
		} else {
			delete(s.Keys, c.Delete)
		}
	}
	return statesvc.Reply{Outcome: statesvc.OK, Ledger: s.Ledger}
}
