package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	_ "opaldale/internal/kvstoretest"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
)

const jobSpecJSON = `{"id":"j-000001","lane":"l","desk":"red","shape":"batch","rank":"high","pieces":1,` +
	`"vcpus":1,"cards":0,"memory_gb":1,
 "bundle":"img","image_gb":1,"one_zone":false,"apart":false,"standby":true,"runtime_s":1,"snapshot_every_s":0,"snapshot_s":0}`

// testSettings returns the settings of a node without peers.
func testSettings() *settings.Settings {
	return &settings.Settings{
		Node:   "agent-0",
		Tuning: settings.DefaultTuning(),
		Cluster: settings.Cluster{
			Teams:   []settings.Team{{Name: "red", CPUsMax: 10}},
			Workers: settings.WorkerTimes{HeartbeatS: 3, LeaseS: 20, CancelS: 50},
			Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 16},
			Cloud:   settings.CloudLimits{RPS: 5},
		},
	}
}

// newTestServer returns a running node that has no leader and no key-value store.
func newTestServer(t *testing.T, sockets int) *Server {
	t.Helper()
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(unavailable.Close)
	addr := strings.TrimPrefix(unavailable.URL, "http://")
	s := &Server{
		loop:         newEventLoop(),
		connLimiter:  newConnLimiter(sockets),
		store:        kvstore.NewClient(addr, http.DefaultTransport),
		cloud:        cloud.NewClient(addr, http.DefaultTransport),
		workerClient: http.DefaultClient,
		transport:    transport.New("agent-0", func(ident.NodeID, *transport.Frame) {}),
	}
	s.admission.lag = s.loop.Lag
	s.controller = controller.New(controllerEnv{s}, testSettings(), rand.New(rand.NewPCG(1, 2)))
	s.loop.afterBatch = s.controller.AfterEvent
	s.loop.post(s.controller.Start)
	go s.loop.run()
	return s
}

// TestCloseBeforeServe guards against a closed node that goes on accepting connections, because it was closed before its HTTP
// server had begun to serve.
func TestCloseBeforeServe(t *testing.T) {
	s, err := New(&settings.Settings{Bind: "127.0.0.1:0", TransportAddr: "127.0.0.1:0", Tuning: settings.DefaultTuning()},
		(&net.Dialer{}).DialContext)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	for _, listener := range []net.Listener{s.listener, s.peerListener} {
		if conn, err := net.Dial("tcp4", listener.Addr().String()); err == nil {
			conn.Close()
			t.Errorf("connecting to the closed node at %s: got no error, want one", listener.Addr())
		}
	}
}

// TestHTTPAPIWithoutLeader: a node that has neither a leader nor a key-value store responds to each kind of
// request, and to malformed ones, with the right status and text.
func TestHTTPAPIWithoutLeader(t *testing.T) {
	s := newTestServer(t, 1000)
	web := httptest.NewServer(s.handler())
	defer web.Close()

	for _, testCase := range []struct {
		method, path, body string
		status             int
		wantText           string
	}{
		{"POST", "/v2/runs", jobSpecJSON, 503, "no leader"},
		{"POST", "/v2/runs", "nonsense", 400, "body"},
		{"POST", "/v2/runs", strings.Replace(jobSpecJSON, `"pieces":1`, `"pieces":-1`, 1), 400, "pieces"},
		{"POST", "/v2/runs", jobSpecJSON + strings.Repeat(" ", 64<<10), 400, "64 KiB"},
		{"GET", "/v2/runs", "", 405, ""},
		{"DELETE", "/v2/runs/j-000001", "", 405, ""},
		{"GET", "/v2/runs/j-000001", "", 503, "state service"},
		{"GET", "/v2/runs/sixpence", "", 404, "no such job"},
		{"POST", "/v2/runs/sixpence/cancel", "", 404, "no such job"},
		{"POST", "/v2/runs/j-000001/cancel", "", 503, "no leader"},
		{"POST", "/checkin", `{"host":""}`, 400, "host"},
		{"POST", "/checkin", `{"host":"h","addr":"1.2.3.4:5","model":"m","site":"a","tenure":1,"serial":1}`, 503, ""},
		{"GET", "/up", "", 200, ""},
		{"GET", "/nothing", "", 404, ""},
		{"GET", "/metrics", "", 200, "opaldale_leading 0"},
		{"GET", "/metrics", "", 200, `opaldale_authority{state="none"} 1`},
		{"GET", "/links", "", 200, `"enabled":false`},
		{"GET", "/moves", "", 200, `"error":"state service unavailable"`},
	} {
		began := time.Now()
		req, _ := http.NewRequest(testCase.method, web.URL+testCase.path, strings.NewReader(testCase.body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != testCase.status || !strings.Contains(string(b), testCase.wantText) {
			t.Errorf("%s %s: got %d %s, want %d and %q", testCase.method, testCase.path, resp.StatusCode, b,
				testCase.status, testCase.wantText)
		}
		if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s %s: got 503 without Retry-After after %v, want the header",
				testCase.method, testCase.path, time.Since(began))
		}
	}
}

// fillWithIdleConnections opens connections, sends one request on each, and keeps them open and idle.
func fillWithIdleConnections(t *testing.T, addr string, count int) {
	t.Helper()
	for range count {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := io.WriteString(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
	}
}

// sendHeartbeat sends a worker's heartbeat, with up to 50 attempts, and reports whether there was a response.
func sendHeartbeat(client *http.Client, url string, worker, sequence int) bool {
	body := fmt.Sprintf(`{"host":"host-%06d","addr":"1.2.3.4:5","model":"m","site":"a","tenure":1,"serial":%d}`, worker, sequence)
	for range 50 {
		resp, err := client.Post(url+"/checkin", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			return true
		}
	}
	return false
}

// TestMoreWorkersThanConnections sends heartbeats from three times as many workers as the node accepts
// connections. All heartbeats get a response, users on new connections are served at the same time, idle
// connections are evicted, and the number of threads stays low. If the node rejected new connections at
// the limit, workers would lose their leases and health checks would fail.
func TestMoreWorkersThanConnections(t *testing.T) {
	s := newTestServer(t, 160)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	web := &http.Server{Handler: s.handler(), ConnState: s.connLimiter.onConnState}
	go func() {
		if err := web.Serve(s.connLimiter.limitListener(l)); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	defer func() {
		if err := web.Close(); err != nil {
			t.Error(err)
		}
	}()
	url := "http://" + l.Addr().String()

	// Idle connections use three quarters of the limit.
	fillWithIdleConnections(t, l.Addr().String(), 3*s.connLimiter.limit/4)
	var wg sync.WaitGroup
	var unanswered, maxOpenConns atomic.Int64
	for i := range 3 * s.connLimiter.limit {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := range 4 {
				if !sendHeartbeat(client, url, i, n+1) {
					unanswered.Add(1)
				}
				if n := int64(s.connLimiter.count()); n > maxOpenConns.Load() {
					maxOpenConns.Store(n)
				}
			}
		})
	}
	user := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	failed := 0
	for range 50 {
		resp, err := user.Get(url + "/up")
		if err != nil {
			failed++
			continue
		}
		resp.Body.Close()
	}
	wg.Wait()
	if unanswered.Load() > 0 || failed > 5 {
		t.Errorf("%d heartbeats and %d user requests without a response, want 0 and at most 5; %d connections refused",
			unanswered.Load(), failed, s.connLimiter.refused.Load())
	}
	if n := int(maxOpenConns.Load()); n > s.connLimiter.limit {
		t.Errorf("%d connections were open, want at most %d", n, s.connLimiter.limit)
	}
	if s.connLimiter.evicted.Load() == 0 {
		t.Error("no idle connection was evicted, want at least one: the test did not reach the limit")
	}
	if n := pprof.Lookup("threadcreate").Count(); n > 100 {
		t.Errorf("%d threads were created, want at most 100", n)
	}
}
