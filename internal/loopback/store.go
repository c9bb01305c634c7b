package loopback

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"opaldale/internal/decode"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// store is an in-memory key-value store with the same HTTP API as the real one.
type store struct {
	mu          sync.Mutex
	revision    ident.Revision
	entries     map[string]storeEntry
	leases      map[uint64]*storeLease
	lastLeaseID uint64
	history     []kvstore.WatchEvent
	changed     chan struct{} // closed at the next revision
	onChange    func(kvstore.Mutation)
}

type storeEntry struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"stamp"`
	LeaseID  uint64          `json:"grant,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// pageSize is the maximum number of entries in a response to a list request.
const pageSize = 1000

func newStore() *store {
	return &store{entries: map[string]storeEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", s.list)
	mux.HandleFunc("GET /keys/{path...}", s.get)
	mux.HandleFunc("POST /txn", s.transact)
	mux.HandleFunc("POST /leases", s.grantLease)
	mux.HandleFunc("POST /leases/{id}/extend", s.renewLease)
	mux.HandleFunc("DELETE /leases/{id}", s.revokeLease)
	mux.HandleFunc("GET /follow", s.watch)
	return mux
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("writing HTTP response failed", "err", err)
	}
}

// expireLeases deletes the leases that have expired, with their keys. Each request except the grant of a lease calls it first.
// The caller must hold s.mu.
func (s *store) expireLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and all keys that are attached to it. The caller must hold s.mu.
func (s *store) deleteLease(id uint64) {
	delete(s.leases, id)
	var deletions []kvstore.Mutation
	for key, e := range s.entries {
		if e.LeaseID == id {
			deletions = append(deletions, kvstore.Mutation{Delete: key})
		}
	}
	if len(deletions) > 0 {
		s.apply(deletions)
	}
}

// apply applies mutations in one new revision and wakes the watches. The caller must hold s.mu.
func (s *store) apply(changes []kvstore.Mutation) {
	s.revision++
	for _, c := range changes {
		s.onChange(c)
		if c.Put != "" {
			s.entries[c.Put] = storeEntry{Key: c.Put, Value: c.Value, Revision: s.revision, LeaseID: c.LeaseID}
		} else {
			delete(s.entries, c.Delete)
		}
		s.history = append(s.history, kvstore.WatchEvent{
			Put:      c.Put,
			Value:    c.Value,
			Delete:   c.Delete,
			Revision: s.revision,
		})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if e, ok := s.entries[r.PathValue("path")]; ok {
		writeJSON(w, http.StatusOK, e)
		return
	}
	writeJSON(w, http.StatusNotFound, kvstore.Response{StoreRevision: s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	prefix, since := r.URL.Query().Get("starts"), r.URL.Query().Get("since")
	page := []storeEntry{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > since {
			page = append(page, e)
		}
	}
	slices.SortFunc(page, func(a, b storeEntry) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(page) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"pairs": page[:min(len(page), pageSize)], "truncated": truncated,
		"ledger": s.revision})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		If   []kvstore.Compare  `json:"if"`
		Then []kvstore.Mutation `json:"then"`
	}
	if err := decode.JSONFrom(r.Body, &t); err != nil {
		writeJSON(w, http.StatusBadRequest, kvstore.Response{Error: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, c := range t.Then {
		if c.Put != "" && c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			writeJSON(w, http.StatusBadRequest, kvstore.Response{Error: "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.entries[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		writeJSON(w, http.StatusConflict, kvstore.Response{FailedKeys: failed, StoreRevision: s.revision})
		return
	}
	s.apply(t.Then)
	writeJSON(w, http.StatusOK, kvstore.Response{StoreRevision: s.revision})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := decode.JSONFrom(r.Body, &body); err != nil || body.TTL <= 0 {
		writeJSON(w, http.StatusBadRequest, kvstore.Response{Error: "ttl_ms"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLeaseID] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, kvstore.Response{LeaseID: s.lastLeaseID})
}

// requestedLease returns the lease whose ID is in the path of a request, or nil if it does not exist. The caller must hold
// s.mu.
func (s *store) requestedLease(r *http.Request) (uint64, *storeLease) {
	s.expireLeases()
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.leases[id]
}

func (s *store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, lease := s.requestedLease(r); lease != nil {
		lease.end = time.Now().Add(lease.ttl)
		writeJSON(w, http.StatusOK, kvstore.Response{})
		return
	}
	writeJSON(w, http.StatusNotFound, kvstore.Response{})
}

func (s *store) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, lease := s.requestedLease(r); lease != nil {
		s.deleteLease(id)
	}
	writeJSON(w, http.StatusOK, kvstore.Response{})
}

// watchPollInterval is the interval at which a waiting watch checks for expired leases.
const watchPollInterval = 20 * time.Millisecond

// watch responds with the changes after a revision, and waits up to block_ms for the first one.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	blockMS, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	timeout := time.After(time.Duration(blockMS) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases()
		events := s.changesSince(query.Get("starts"), ident.Revision(since))
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, kvstore.Response{StoreRevision: revision, Events: events})
			return
		}
		select {
		case <-changed:
		case <-time.After(watchPollInterval):
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, kvstore.Response{StoreRevision: revision})
			return
		}
	}
}

// changesSince returns the changes after a revision to keys that start with a prefix. The caller must hold s.mu.
func (s *store) changesSince(prefix string, revision ident.Revision) []kvstore.WatchEvent {
	var events []kvstore.WatchEvent
	for _, n := range s.history {
		if n.Revision > revision && strings.HasPrefix(n.Put+n.Delete, prefix) {
			events = append(events, n)
		}
	}
	return events
}
