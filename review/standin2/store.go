package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the state service: a key-value store in memory with leases, transactions and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	pairs    map[string]pair
	leases   map[uint64]*grant
	lastID   uint64
	changes  []change
	wake     chan struct{}

	limits limits
	// holdAnswer returns how long the answer to a transaction is held after the transaction was carried out.
	holdAnswer func(puts []string) time.Duration
	// onTxn is called after a transaction was carried out.
	onTxn func(puts, deletes []string)
}

type limits struct {
	valueBytes, txnOps, txnBytes int
}

type pair struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Grant uint64          `json:"grant,omitempty"`
}

type grant struct {
	ttl time.Duration
	end time.Time
}

type change struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

func newStore(l limits) *store {
	s := &store{pairs: map[string]pair{}, leases: map[uint64]*grant{}, wake: make(chan struct{}), limits: l}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", s.list)
	mux.HandleFunc("GET /keys/{path...}", s.get)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.lease)
	mux.HandleFunc("POST /leases/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /leases/{id}", s.revoke)
	mux.HandleFunc("GET /follow", s.follow)
	return mux
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(b, '\n'))
}

func (s *store) expire() {
	now := time.Now()
	for id, g := range s.leases {
		if now.After(g.end) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	var gone []change
	for key, p := range s.pairs {
		if p.Grant == id {
			gone = append(gone, change{Delete: key})
		}
	}
	if len(gone) > 0 {
		s.apply(gone, nil)
	}
}

func (s *store) apply(list []change, grants map[string]uint64) {
	s.revision++
	for _, c := range list {
		c.Stamp = s.revision
		if c.Put != "" {
			s.pairs[c.Put] = pair{Path: c.Put, Value: c.Value, Stamp: s.revision, Grant: grants[c.Put]}
		} else {
			delete(s.pairs, c.Delete)
		}
		s.changes = append(s.changes, c)
	}
	if n := len(s.changes); n > 10_000 {
		s.changes = s.changes[n-10_000:]
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if p, ok := s.pairs[r.PathValue("path")]; ok {
		answer(w, 200, p)
		return
	}
	answer(w, 404, map[string]any{"ledger": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.pairs {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	pairs, size, truncated := []pair{}, 0, false
	for _, k := range keys {
		p := s.pairs[k]
		if len(pairs) >= most || size+len(p.Value) > 500<<10 {
			truncated = true
			break
		}
		size += len(p.Value) + len(k) + 60
		pairs = append(pairs, p)
	}
	answer(w, 200, map[string]any{"pairs": pairs, "truncated": truncated, "ledger": s.revision})
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t struct {
		If []struct {
			Path  string `json:"path"`
			Stamp uint64 `json:"stamp"`
		} `json:"if"`
		Then []struct {
			Put    string          `json:"put"`
			Value  json.RawMessage `json:"value"`
			Grant  uint64          `json:"grant"`
			Delete string          `json:"delete"`
		} `json:"then"`
	}
	if err != nil || len(body) > s.limits.txnBytes || json.Unmarshal(body, &t) != nil ||
		len(t.Then) > s.limits.txnOps || len(t.If) > 4*s.limits.txnOps {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	s.expire()
	var list []change
	grants := map[string]uint64{}
	var puts, deletes []string
	for _, m := range t.Then {
		if m.Put != "" && m.Grant != 0 && s.leases[m.Grant] == nil || len(m.Value) > s.limits.valueBytes {
			s.mu.Unlock()
			answer(w, 400, map[string]any{"error": "no such lease"})
			return
		}
		if m.Put != "" {
			list = append(list, change{Put: m.Put, Value: m.Value})
			grants[m.Put] = m.Grant
			puts = append(puts, m.Put)
		} else {
			list = append(list, change{Delete: m.Delete})
			deletes = append(deletes, m.Delete)
		}
	}
	failed := []string{}
	for _, c := range t.If {
		if s.pairs[c.Path].Stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	status, reply := 200, map[string]any{}
	if len(failed) > 0 {
		status, reply = 409, map[string]any{"failed": failed}
	} else if len(list) > 0 {
		s.apply(list, grants)
	}
	reply["ledger"] = s.revision
	hold, onTxn := s.holdAnswer, s.onTxn
	s.mu.Unlock()
	if status == 200 && onTxn != nil {
		onTxn(puts, deletes)
	}
	if hold != nil {
		if d := hold(puts); d > 0 {
			time.Sleep(d)
		}
	}
	answer(w, status, reply)
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 100 || body.TTL > 600_000 {
		answer(w, 400, map[string]any{"error": "ttl_ms"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastID] = &grant{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"grant": s.lastID})
}

func (s *store) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	g := s.leases[id]
	if g == nil {
		answer(w, 404, map[string]any{"ledger": s.revision})
		return
	}
	g.end = time.Now().Add(g.ttl)
	answer(w, 200, map[string]any{"grant": id})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.drop(id)
	}
	answer(w, 200, map[string]any{})
}

func (s *store) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	timeout := time.After(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		if len(s.changes) == 10_000 && s.changes[0].Stamp > since+1 {
			s.mu.Unlock()
			answer(w, 410, map[string]any{})
			return
		}
		news := []change{}
		for _, c := range s.changes {
			if c.Stamp > since && strings.HasPrefix(c.Put+c.Delete, q.Get("starts")) {
				news = append(news, c)
			}
		}
		revision, wake := s.revision, s.wake
		s.mu.Unlock()
		if len(news) > 0 {
			answer(w, 200, map[string]any{"ledger": revision, "news": news})
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, 200, map[string]any{"ledger": revision, "news": news})
			return
		}
	}
}
