package statesvc

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
	var body, saw string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		saw = r.Method + " " + r.URL.String() + " " + string(b)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), &http.Transport{DisableKeepAlives: true})
	for _, x := range []struct {
		r      Request
		status int
		body   string
		saw    string
		want   Outcome
	}{
		{Request{Op: Get, Path: "a/b"}, 200, `{"path":"a/b","value":{},"stamp":412}`, "GET /keys/a/b ", OK},
		{Request{Op: Get, Path: "a/b"}, 404, `{"ledger":4}`, "GET /keys/a/b ", NotFound},
		{Request{Op: List, Starts: "c/", Since: "c/7"}, 200, `{}`, "GET /keys?most=1000&since=c%2F7&starts=c%2F ", OK},
		{Request{Op: Txn, If: []Cond{{"a", 0}}, Then: []Change{{Put: "a", Value: []byte("1"), Grant: 7}, {Delete: "b"}}}, 409, `{"failed":["a"]}`,
			`POST /txn {"if":[{"path":"a","stamp":0}],"then":[{"put":"a","value":1,"grant":7},{"delete":"b"}]}`, Conflict},
		{Request{Op: Txn}, 400, `{"error":"no such lease"}`, "", Bad},
		{Request{Op: Txn}, 429, ``, "", Limited},
		{Request{Op: Txn}, 503, ``, "", Refused},
		{Request{Op: Txn}, 500, ``, "", Lost},
		{Request{Op: Txn}, 200, `{"ledg`, "", Lost},
		{Request{Op: Txn}, 0, ``, "", Lost},
		{Request{Op: Grant, TTL: 2 * time.Second}, 200, `{"grant":7}`, `POST /leases {"ttl_ms":2000}`, OK},
		{Request{Op: Extend, Grant: 7}, 404, ``, "POST /leases/7/extend ", NotFound},
		{Request{Op: Revoke, Grant: 7}, 200, `{}`, "DELETE /leases/7 ", OK},
		{Request{Op: Follow, Starts: "leader", Ledger: 431, Block: 10 * time.Second}, 410, ``,
			"GET /follow?block_ms=10000&since=431&starts=leader ", TooOld},
	} {
		x.r.Timeout = 5 * time.Second
		mu.Lock()
		status, body = x.status, x.body
		mu.Unlock()
		got := c.Do(x.r)
		mu.Lock()
		if got.Outcome != x.want || x.saw != "" && saw != x.saw {
			t.Errorf("%d %s: %v (%s), saw %q", x.status, x.body, got.Outcome, got.Error, saw)
		}
		mu.Unlock()
	}
}
