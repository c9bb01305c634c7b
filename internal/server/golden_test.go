package server

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/golden"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/kvstoretest"
	"opaldale/internal/linktracker"
	"opaldale/internal/load"
	"opaldale/internal/migration"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// serveRequest passes a request to a handler and returns the formatted response.
func serveRequest(h http.Handler, method, path, body string) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", w.Code)
	for _, name := range []string{"Content-Type", "Content-Length", "Retry-After", "Allow", "Connection"} {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", name, v)
		}
	}
	return b.String() + w.Body.String()
}

// TestGoldenInterface pins the status, headers and body of the responses of a node that has neither a leader
// nor a key-value store, and those of an overloaded node.
func TestGoldenInterface(t *testing.T) {
	s := newTestServer(t, 1000)
	h := s.handler()
	var d golden.Document
	const report = `{"host":"h","addr":"1.2.3.4:5","model":"m","site":"a","tenure":1,"serial":1}`
	requests := []struct{ method, path, body string }{
		{"POST", "/v2/runs", jobSpecJSON},
		{"GET", "/v2/runs/j-000001", ""},
		{"POST", "/v2/runs/j-000001/cancel", ""},
		{"POST", "/checkin", report},
		{"POST", "/v2/runs", "nonsense"},
		{"POST", "/v2/runs", strings.Repeat(" ", 64<<10+1)},
		{"GET", "/v2/runs", ""},
		{"DELETE", "/v2/runs/j-000001", ""},
		{"GET", "/v2/runs/sixpence", ""},
		{"POST", "/v2/runs/sixpence/cancel", ""},
		{"POST", "/checkin", `{"host":""}`},
		{"GET", "/up", ""},
		{"GET", "/nothing", ""},
		{"GET", "/links", ""},
		{"GET", "/moves", ""},
	}
	for _, r := range requests {
		d.Add(r.method+" "+r.path+" "+r.body[:min(len(r.body), 10)], serveRequest(h, r.method, r.path, r.body))
	}
	s.admission.userRequestsInFlight.Store(1 << 20)
	s.admission.heartbeatsInFlight.Store(1 << 20)
	for _, r := range requests[:4] {
		d.Add("overloaded: "+r.method+" "+r.path, serveRequest(h, r.method, r.path, r.body))
	}
	d.Compare(t, "interface")
}

// TestGoldenCommands pins the request to a worker, and the result decoded from its response.
func TestGoldenCommands(t *testing.T) {
	var d golden.Document
	report := golden.Filled[api.Heartbeat](0)
	transport := &golden.Transport{Status: http.StatusConflict, Body: string(api.JSON(report))}
	s := &Server{loop: newEventLoop(), workerClient: &http.Client{Transport: transport}, commandSlots: make(chan struct{}, 1)}
	result := s.sendCommand(workers.CommandCall{Addr: "10.1.0.1:9000", Zone: "east", Body: golden.Filled[api.CommandRequest](0)})
	d.Add("commands", transport.NewestRequest)
	if want := (workers.CommandResult{Status: http.StatusConflict, Heartbeat: &report}); !reflect.DeepEqual(result, want) {
		t.Errorf("result of the commands is %+v, want %+v", result, want)
	}
	d.Compare(t, "commands")
}

// goldenCollector collects the metrics of the load and of reservations of a leader, and the link metrics of a node whose link
// monitor is enabled.
type goldenCollector struct{}

func (goldenCollector) Describe(chan<- *prometheus.Desc) {}

func (goldenCollector) Collect(ch chan<- prometheus.Metric) {
	collectLinks(ch, linktracker.Report{
		Enabled:       true,
		Authority:     "deciding",
		HandoverCount: 11,
		Dropped:       map[string]uint64{"expired": 12, "undated": 13},
		Links: []linktracker.LinkEntry{
			{Peer: "sibling agent-1", Direction: "inbound", StateCode: 3, Damped: true, Breaks: 14},
			{Peer: "cloud", Direction: "outbound", StateCode: 1, Breaks: 15},
		},
	})
	reserved := controller.ReservedMachine{Machine: "host-000001", Job: "j-000002", AgeS: 31.5, RemainingS: 32.5}
	collectReservations(ch, []controller.ReservedMachine{reserved})
	collectLoad(ch, controller.Stats{
		Imbalance:           0.21,
		MovesProposed:       22,
		MoveGainSeconds:     23.5,
		MovesActive:         24,
		MoveRealizedSeconds: 25.5,
		SlowMachines:        26,
		Reservations:        27,
		MoveRoundsSkipped:   map[string]uint64{"settling": 28},
		MovesEnded:          []migration.Outcome{{Reason: migration.Arrived, Count: 29}},
		TeamLoads:           []load.TeamDemand{{Team: "red", State: load.Overloaded, Ratio: 2.5}},
	})
}

// goldenEnv is the environment of a controller. Its clock always returns the same time, and its key-value
// store responds immediately.
type goldenEnv struct{ *kvstoretest.MemoryStore }

func (goldenEnv) Now() ident.MonotonicTime                                { return ident.MonotonicTime(time.Hour) }
func (goldenEnv) WallMS() int64                                           { return 0 }
func (goldenEnv) After(time.Duration, func())                             {}
func (goldenEnv) Worker(workers.CommandCall, func(workers.CommandResult)) {}
func (goldenEnv) SendPeer(ident.NodeID, *transport.Frame)                 {}
func (goldenEnv) Cloud(_ cloud.Request, f func(cloud.Response)) {
	f(cloud.Response{Outcome: cloud.OK, MachineTypes: []cloud.MachineType{{SKU: "m8", VCPUs: 8, Zones: []string{"a"}}}})
}

func (w goldenEnv) Store(r kvstore.Request, f func(kvstore.Response)) {
	switch r.Op {
	case kvstore.Get:
		f(w.Get(r.Key))
	case kvstore.List:
		f(w.List(r.Prefix))
	case kvstore.GrantLease:
		f(kvstore.Response{Outcome: kvstore.OK, LeaseID: 1})
	default:
		f(w.Apply(r.Mutations))
	}
}

// goldenLeader returns a node that is the leader, with jobs, tasks and machines in the key-value store.
func goldenLeader(t *testing.T) *Server {
	t.Helper()
	const tasks = `"tasks":[{"t":1,"h":"host-1","n":1},{"t":1,"h":"host-1","n":1},{"t":1,"h":"host-2","n":1},{},{},{},{}]`
	const machines = "host-1,10.1.0.1:9000,0 host-2,10.1.0.2:9000,0 host-3,10.1.0.3:9000,0 host-4,,0 host-5,,0"
	var pairs []kvstore.KeyValue
	for path, value := range map[string]string{
		"term":      `{"term":41,"level":1}`,
		"fleet/1-1": `{"model":"m8","site":"a","text":"` + machines + `"}`,
		"live/j-1": `{"spec":{"id":"j-1","desk":"red","shape":"batch","pieces":7,"vcpus":1},` +
			`"seq":1,"phase":"open",` + tasks + `}`,
		"live/j-2": `{"spec":{"id":"j-2","desk":"red","shape":"batch","pieces":1,"vcpus":1},` +
			`"seq":2,"phase":"open","tasks":[{}]}`,
	} {
		pairs = append(pairs, kvstore.KeyValue{Key: path, Value: json.RawMessage(value), Revision: 5})
	}
	s := &Server{
		loop:        newEventLoop(),
		connLimiter: newConnLimiter(100),
		transport:   transport.New("agent-0", func(ident.NodeID, *transport.Frame) {}),
	}
	s.controller = controller.New(goldenEnv{kvstoretest.NewMemoryStore(pairs...)}, testSettings(), rand.New(rand.NewPCG(1, 2)))
	s.loop.afterBatch = func() {}
	s.loop.post(s.controller.Start)
	go s.loop.run()
	t.Cleanup(func() { close(s.loop.done) })
	return s
}

// TestGoldenMetrics pins the names, types, labels and help texts of the metrics, and the statistic or
// counter of the node that each metric exports.
func TestGoldenMetrics(t *testing.T) {
	s := newTestServer(t, 1000)
	m := newMetrics(s)
	for i, v := range []transport.Method{transport.SubmitJob, transport.GetJob, transport.CancelJob, transport.WorkerHeartbeat} {
		m.observe(v, 200+i, time.Duration(i+1)*30*time.Millisecond)
		m.shed.WithLabelValues(methodNames[v]).Add(float64(31 + i))
	}
	s.connLimiter.evicted.Store(41)
	s.connLimiter.refused.Store(42)
	s.transport.Malformed.Store(43)
	query(s.loop, s.loop.post, func() bool {
		c := s.controller
		c.Forwarded, c.Relayed, c.Refused, c.Elections, c.LeasesRenewedWithoutLeader = 51, 52, 53, 54, 55
		return true
	})
	var d golden.Document
	d.Add("every node", serveRequest(m.handler(), "GET", "/metrics", ""))
	d.Add("a leader", serveRequest(newMetrics(goldenLeader(t)).handler(), "GET", "/metrics", ""))
	reg := prometheus.NewRegistry()
	reg.MustRegister(goldenCollector{})
	d.Add("links and load", serveRequest(promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), "GET", "/metrics", ""))
	d.Compare(t, "metrics")
}
