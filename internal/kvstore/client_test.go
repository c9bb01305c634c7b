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

// fakeServer responds to every request with the same status and body, and records the newest request.
type fakeServer struct {
	mu           sync.Mutex
	status       int // 0: the connection is closed without a response
	responseBody string
	received     string // method, URL and body of the newest request
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestBody, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = r.Method + " " + r.URL.String() + " " + string(requestBody)
	if f.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(f.status)
	io.WriteString(w, f.responseBody)
}

func (f *fakeServer) respondWith(status int, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status, f.responseBody = status, body
}

func (f *fakeServer) newestRequest() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// TestClient pins the requests that the client sends and the outcome of each response. A response that the
// protocol does not define is treated as no response, because the request may have been applied.
func TestClient(t *testing.T) {
	server := &fakeServer{}
	srv := httptest.NewServer(server)
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), &http.Transport{DisableKeepAlives: true})
	txn := Request{
		Op:        Txn,
		Compares:  []Compare{{"a", 0}},
		Mutations: []Mutation{{Put: "a", Value: []byte("1"), LeaseID: 7}, {Delete: "b"}},
	}
	for _, tc := range []struct {
		name     string
		request  Request
		status   int
		body     string
		received string // not checked if empty
		want     Outcome
	}{
		{"get", Request{Op: Get, Key: "a/b"}, 200, `{"path":"a/b","value":{},"stamp":412}`, "GET /keys/a/b ", OK},
		{"get of no key", Request{Op: Get, Key: "a/b"}, 404, `{"ledger":4}`, "GET /keys/a/b ", NotFound},
		{"list", Request{Op: List, Prefix: "c/", StartAfter: "c/7"}, 200, `{}`,
			"GET /keys?most=1000&since=c%2F7&starts=c%2F ", OK},
		{"transaction in conflict", txn, 409, `{"failed":["a"]}`,
			`POST /txn {"if":[{"path":"a","stamp":0}],"then":[{"put":"a","value":1,"grant":7},{"delete":"b"}]}`, Conflict},
		{"invalid transaction", Request{Op: Txn}, 400, `{"error":"no such lease"}`, "", Invalid},
		{"rate limited", Request{Op: Txn}, 429, ``, "", RateLimited},
		{"unavailable", Request{Op: Txn}, 503, ``, "", Unavailable},
		{"status that is not defined", Request{Op: Txn}, 500, ``, "", NoResponse},
		{"truncated response", Request{Op: Txn}, 200, `{"ledg`, "", NoResponse},
		{"no response", Request{Op: Txn}, 0, ``, "", NoResponse},
		{"grant of a lease", Request{Op: GrantLease, TTL: 2 * time.Second}, 200, `{"grant":7}`,
			`POST /leases {"ttl_ms":2000}`, OK},
		{"renewal of no lease", Request{Op: RenewLease, LeaseID: 7}, 404, ``, "POST /leases/7/extend ", NotFound},
		{"revocation of a lease", Request{Op: RevokeLease, LeaseID: 7}, 200, `{}`, "DELETE /leases/7 ", OK},
		{"watch from a compacted revision", Request{Op: Watch, Prefix: "leader", Revision: 431, Block: 10 * time.Second}, 410, ``,
			"GET /follow?block_ms=10000&since=431&starts=leader ", Compacted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server.respondWith(tc.status, tc.body)
			tc.request.Timeout = 5 * time.Second
			got := c.Do(tc.request)
			if got.Outcome != tc.want {
				t.Errorf("outcome %v (error %q), want %v", got.Outcome, got.Error, tc.want)
			}
			if received := server.newestRequest(); tc.received != "" && received != tc.received {
				t.Errorf("received request %q, want %q", received, tc.received)
			}
		})
	}
}
