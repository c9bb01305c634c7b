package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// state is a stand-in for the state service. Each node has a port of its own, so that faults can affect one node.
type state struct {
	mu      sync.Mutex
	rec     *record
	ledger  uint64
	keys    map[string]*entry
	grants  map[uint64]*grant
	last    uint64
	news    []change
	changed chan struct{}
	links   []*link
	writes  func(node int) writeFault // may be nil
}

// writeFault says what happens to a transaction.
type writeFault struct {
	lose  bool          // the answer is lost
	delay time.Duration // the transaction is applied that much later
	slow  time.Duration // the answer is that late
}

type entry struct {
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

func newState(rec *record, nodes int) *state {
	s := &state{rec: rec, keys: map[string]*entry{}, grants: map[uint64]*grant{}, changed: make(chan struct{})}
	for range nodes {
		s.links = append(s.links, &link{})
	}
	return s
}

// restart gives every grant its full time again, as after an outage.
func (s *state) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.grants {
		g.end = time.Now().Add(g.ttl)
	}
}

func (s *state) expire() {
	now := time.Now()
	for id, g := range s.grants {
		if now.After(g.end) {
			s.drop(id)
		}
	}
}

func (s *state) drop(id uint64) {
	delete(s.grants, id)
	var gone []change
	for k, e := range s.keys {
		if e.Grant == id {
			gone = append(gone, change{Delete: k})
		}
	}
	if len(gone) > 0 {
		s.apply(gone, nil)
	}
}

func (s *state) apply(list []change, grants []uint64) {
	s.ledger++
	for i, c := range list {
		c.Stamp = s.ledger
		if c.Put != "" {
			var g uint64
			if grants != nil {
				g = grants[i]
			}
			s.keys[c.Put] = &entry{c.Put, c.Value, s.ledger, g}
		} else {
			delete(s.keys, c.Delete)
		}
		s.news = append(s.news, c)
	}
	if len(s.news) > 10000 {
		s.news = slices.Clone(s.news[len(s.news)-10000:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type condition struct {
	Path  string `json:"path"`
	Stamp uint64 `json:"stamp"`
}

type operation struct {
	Put    string          `json:"put"`
	Value  json.RawMessage `json:"value"`
	Grant  uint64          `json:"grant"`
	Delete string          `json:"delete"`
}

// transact applies a transaction and returns the status and the body of the answer.
func (s *state) transact(body []byte) (int, any) {
	var t struct {
		If   []condition `json:"if"`
		Then []operation `json:"then"`
	}
	if json.Unmarshal(body, &t) != nil {
		return 400, map[string]any{"error": "malformed"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, o := range t.Then {
		if o.Put != "" && o.Grant != 0 && s.grants[o.Grant] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		var stamp uint64
		if e := s.keys[c.Path]; e != nil {
			stamp = e.Stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Then) > 0 {
		var list []change
		var grants []uint64
		for _, o := range t.Then {
			list = append(list, change{Put: o.Put, Value: o.Value, Delete: o.Delete})
			grants = append(grants, o.Grant)
		}
		s.apply(list, grants)
	}
	return 200, map[string]any{"ledger": s.ledger}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *state) handler(node int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys/{path...}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		e, ledger := s.keys[r.PathValue("path")], s.ledger
		s.mu.Unlock()
		if e == nil {
			answer(w, 404, map[string]any{"ledger": ledger})
			return
		}
		answer(w, 200, e)
	})
	mux.HandleFunc("GET /keys", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		if most <= 0 || most > 1000 {
			most = 1000
		}
		s.mu.Lock()
		s.expire()
		list := []*entry{}
		for k, e := range s.keys {
			if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("since") {
				list = append(list, e)
			}
		}
		ledger := s.ledger
		s.mu.Unlock()
		sort.Slice(list, func(i, k int) bool { return list[i].Path < list[k].Path })
		size, n := 0, 0
		for n < len(list) && n < most && size < 500<<10 {
			size += len(list[n].Value) + len(list[n].Path) + 60
			n++
		}
		answer(w, 200, map[string]any{"pairs": list[:n], "truncated": n < len(list), "ledger": ledger})
	})
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var f writeFault
		s.mu.Lock()
		if s.writes != nil {
			f = s.writes(node)
		}
		s.mu.Unlock()
		if f.delay > 0 {
			time.AfterFunc(f.delay, func() {
				status, _ := s.transact(body)
				s.rec.logf("late transaction of node %d applied after %v: %d", node, f.delay, status)
			})
			hangUp(r)
			return
		}
		status, v := s.transact(body)
		if f.lose {
			hangUp(r)
			return
		}
		time.Sleep(f.slow)
		answer(w, status, v)
	})
	mux.HandleFunc("POST /leases", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTL < 100 || b.TTL > 600000 {
			answer(w, 400, map[string]any{"error": "ttl_ms"})
			return
		}
		s.mu.Lock()
		s.last++
		id := s.last
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.grants[id] = &grant{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, 200, map[string]any{"grant": id})
	})
	mux.HandleFunc("POST /leases/{id}/extend", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.expire()
		g := s.grants[id]
		if g != nil {
			g.end = time.Now().Add(g.ttl)
		}
		s.mu.Unlock()
		if g == nil {
			answer(w, 404, map[string]any{})
			return
		}
		answer(w, 200, map[string]any{})
	})
	mux.HandleFunc("DELETE /leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.expire()
		if s.grants[id] != nil {
			s.drop(id)
		}
		s.mu.Unlock()
		answer(w, 200, map[string]any{})
	})
	mux.HandleFunc("GET /follow", s.follow)
	return s.links[node].wrap(mux)
}

func (s *state) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("block_ms"), 10, 64)
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if len(s.news) == 10000 && s.news[0].Stamp > since+1 {
			s.mu.Unlock()
			answer(w, 410, map[string]any{})
			return
		}
		list := []change{}
		for _, c := range s.news {
			if c.Stamp > since && strings.HasPrefix(c.Put+c.Delete, q.Get("starts")) {
				list = append(list, c)
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			answer(w, 200, map[string]any{"ledger": ledger, "news": list})
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, 200, map[string]any{"ledger": ledger, "news": list})
			return
		}
	}
}

// hangUp waits until the client gives up, and sends no answer.
func hangUp(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
