package kvstore

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestClient pins the requests sent and what is made of each answer. What the
// protocol doesn't name counts as lost: it may have been carried out.
func TestClient(t *testing.T) {
	var mu sync.Mutex
	var status int
	var body, received string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		received = r.Method + " " + r.URL.String() + " " + string(b)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), &http.Transport{DisableKeepAlives: true})
	for _, tc := range []struct {
		r      Request
		status int
		body   string
		saw    string
		want   Outcome
	}{
		{Request{Op: Get, Key: "a/b"}, 200, `{"path":"a/b","value":{},"stamp":412}`, "GET /keys/a/b ", OK},
		{Request{Op: Get, Key: "a/b"}, 404, `{"ledger":4}`, "GET /keys/a/b ", NotFound},
		{Request{Op: List, Prefix: "c/", StartAfter: "c/7"}, 200, `{}`, "GET /keys?most=1000&since=c%2F7&starts=c%2F ", OK},
		{Request{Op: Txn, Compares: []Compare{{"a", 0}}, Mutations: []Mutation{{Put: "a", Value: []byte("1"), LeaseID: 7}, {Delete: "b"}}}, 409, `{"failed":["a"]}`,
			`POST /txn {"if":[{"path":"a","stamp":0}],"then":[{"put":"a","value":1,"grant":7},{"delete":"b"}]}`, Conflict},
		{Request{Op: Txn}, 400, `{"error":"no such lease"}`, "", Invalid},
		{Request{Op: Txn}, 429, ``, "", RateLimited},
		{Request{Op: Txn}, 503, ``, "", Unavailable},
		{Request{Op: Txn}, 500, ``, "", NoAnswer},
		{Request{Op: Txn}, 200, `{"ledg`, "", NoAnswer},
		{Request{Op: Txn}, 0, ``, "", NoAnswer},
		{Request{Op: GrantLease, TTL: 2 * time.Second}, 200, `{"grant":7}`, `POST /leases {"ttl_ms":2000}`, OK},
		{Request{Op: RenewLease, LeaseID: 7}, 404, ``, "POST /leases/7/extend ", NotFound},
		{Request{Op: RevokeLease, LeaseID: 7}, 200, `{}`, "DELETE /leases/7 ", OK},
		{Request{Op: Watch, Prefix: "leader", Revision: 431, Block: 10 * time.Second}, 410, ``,
			"GET /follow?block_ms=10000&since=431&starts=leader ", Compacted},
	} {
		tc.r.Timeout = 5 * time.Second
		mu.Lock()
		status, body = tc.status, tc.body
		mu.Unlock()
		got := c.Do(tc.r)
		mu.Lock()
		if got.Outcome != tc.want || tc.saw != "" && received != tc.saw {
			t.Errorf("%d %s: %v (%s), saw %q", tc.status, tc.body, got.Outcome, got.Error, received)
		}
		mu.Unlock()
	}
}
