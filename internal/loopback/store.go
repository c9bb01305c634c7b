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

	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
)

// store implements the protocol of the key-value store in memory.
type store struct {
	mu        sync.Mutex
	revision  ident.Revision
	entries   map[string]storeEntry
	leases    map[uint64]*storeLease
	lastLease uint64
	history   []kvstore.WatchEvent
	changed   chan struct{} // closed at the next revision
	onChange  func(kvstore.Mutation)
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

// pageSize is the maximum number of entries that a list returns.
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

// answer writes a JSON response.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("response not written", "err", err)
	}
}

// expireLeases ends the leases that have expired. It is called before each request is served.
func (s *store) expireLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []kvstore.Mutation
	for path, e := range s.entries {
		if e.LeaseID == id {
			gone = append(gone, kvstore.Mutation{Delete: path})
		}
	}
	if len(gone) > 0 {
		s.apply(gone)
	}
}

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
		answer(w, http.StatusOK, e)
		return
	}
	answer(w, http.StatusNotFound, kvstore.Response{StoreRevision: s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	prefix, since := r.URL.Query().Get("starts"), r.URL.Query().Get("since")
	page := []storeEntry{}
	for path, e := range s.entries {
		if strings.HasPrefix(path, prefix) && path > since {
			page = append(page, e)
		}
	}
	slices.SortFunc(page, func(a, b storeEntry) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(page) > pageSize
	answer(w, http.StatusOK, map[string]any{"pairs": page[:min(len(page), pageSize)], "truncated": truncated,
		"ledger": s.revision})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		If   []kvstore.Compare  `json:"if"`
		Then []kvstore.Mutation `json:"then"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, kvstore.Response{Error: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, c := range t.Then {
		if c.Put != "" && c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			answer(w, http.StatusBadRequest, kvstore.Response{Error: "no such lease"})
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
		answer(w, http.StatusConflict, kvstore.Response{FailedKeys: failed, StoreRevision: s.revision})
		return
	}
	s.apply(t.Then)
	answer(w, http.StatusOK, kvstore.Response{StoreRevision: s.revision})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
		answer(w, http.StatusBadRequest, kvstore.Response{Error: "ttl_ms"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, kvstore.Response{LeaseID: s.lastLease})
}

// requestedLease returns the lease that a request names, nil if it is not there. Called with the lock.
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
		answer(w, http.StatusOK, kvstore.Response{})
		return
	}
	answer(w, http.StatusNotFound, kvstore.Response{})
}

func (s *store) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, lease := s.requestedLease(r); lease != nil {
		s.endLease(id)
	}
	answer(w, http.StatusOK, kvstore.Response{})
}

// watchPollInterval is how often a watch checks for leases that have expired.
const watchPollInterval = 20 * time.Millisecond

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	block, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	over := time.After(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases()
		news := s.changesSince(query.Get("starts"), ident.Revision(since))
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(news) > 0 {
			answer(w, http.StatusOK, kvstore.Response{StoreRevision: revision, Events: news})
			return
		}
		select {
		case <-changed:
		case <-time.After(watchPollInterval):
		case <-r.Context().Done():
			return
		case <-over:
			answer(w, http.StatusOK, kvstore.Response{StoreRevision: revision})
			return
		}
	}
}

// changesSince returns the changes of keys with a prefix after a revision.
func (s *store) changesSince(prefix string, revision ident.Revision) []kvstore.WatchEvent {
	var news []kvstore.WatchEvent
	for _, n := range s.history {
		if n.Revision > revision && strings.HasPrefix(n.Put+n.Delete, prefix) {
			news = append(news, n)
		}
	}
	return news
}
