package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// received is a request that the server received.
type received struct{ method, contentType, body string }

// newServer starts a server that passes each request to the returned channel and responds with the given
// status and body.
func newServer(t *testing.T, status int, body string) (*httptest.Server, <-chan received) {
	t.Helper()
	requests := make(chan received, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestBody, _ := io.ReadAll(r.Body)
		requests <- received{r.Method, r.Header.Get("Content-Type"), string(requestBody)}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return server, requests
}

// TestDo: the server receives the method and the JSON body, and the response is returned up to the size limit.
func TestDo(t *testing.T) {
	const responseBody = `{"error":"no such lease"}`
	for _, tc := range []struct {
		name             string
		body             any
		maxResponseBytes int64
		wantReceived     received
		wantBody         string
	}{
		{"without a body", nil, 100, received{http.MethodPost, "", ""}, responseBody},
		{"with a body", map[string]int{"ttl_ms": 2000}, 100,
			received{http.MethodPost, "application/json", `{"ttl_ms":2000}`}, responseBody},
		{"response over the limit", nil, 8, received{http.MethodPost, "", ""}, responseBody[:8]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, requests := newServer(t, http.StatusBadRequest, responseBody)
			call := Call{
				Method:           http.MethodPost,
				URL:              server.URL + "/leases",
				Body:             tc.body,
				Timeout:          time.Minute,
				MaxResponseBytes: tc.maxResponseBytes,
			}
			status, body, err := call.Do(server.Client())
			if err != nil || status != http.StatusBadRequest || string(body) != tc.wantBody {
				t.Errorf("got response %d %q, %v, want %d %q", status, body, err, http.StatusBadRequest, tc.wantBody)
			}
			if got := <-requests; got != tc.wantReceived {
				t.Errorf("the server received %+v, want %+v", got, tc.wantReceived)
			}
		})
	}
}

// TestTimeout: a call without a response in time fails with context.DeadlineExceeded.
func TestTimeout(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	call := Call{Method: http.MethodGet, URL: server.URL, Timeout: 50 * time.Millisecond, MaxResponseBytes: 100}
	_, _, err := call.Do(server.Client())
	if !errors.Is(err, context.DeadlineExceeded) || ConnectionRefused(err) {
		t.Errorf("got error %v, want %v", err, context.DeadlineExceeded)
	}
}

// TestConnectionRefused: ConnectionRefused returns true for a call to a closed port.
func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + listener.Addr().String()
	listener.Close()
	call := Call{Method: http.MethodGet, URL: url, Timeout: time.Minute, MaxResponseBytes: 100}
	if _, _, err := call.Do(http.DefaultClient); !ConnectionRefused(err) {
		t.Errorf("got error %v, want a refused connection", err)
	}
}

// TestBodyThatCannotBeEncoded: a body that cannot be encoded as JSON is an error other than a refused connection.
func TestBodyThatCannotBeEncoded(t *testing.T) {
	call := Call{Method: http.MethodPost, URL: "http://127.0.0.1:1", Body: func() {}, Timeout: time.Minute}
	if _, _, err := call.Do(http.DefaultClient); err == nil || ConnectionRefused(err) {
		t.Errorf("got error %v, want an error of the JSON encoding", err)
	}
}
