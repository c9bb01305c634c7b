package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/httpcall"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
	"opaldale/internal/settings"
	"opaldale/internal/statesvc"
	"opaldale/internal/workers"
)

const (
	dialTime    = time.Second
	commandTime = 1200 * time.Millisecond // a worker answers within milliseconds, or after a lost packet
	maxReport   = 1 << 20
	memoryShare = 0.65
)

// Server is one node with its sockets.
type Server struct {
	set    *settings.Settings
	loop   *loop
	ctl    *controller.Controller
	state  *statesvc.Client
	cloud  *cloud.Client
	worker *http.Client
	// commands has room for the commands to workers that are under way.
	commands chan struct{}
	sockets  *sockets
	mesh     *mesh.Transport
	// admission bounds the requests that are taken, from users and workers or passed on
	// by siblings.
	admission admission

	listener, meshListener net.Listener
	web                    *http.Server
	transports             []*http.Transport
	closing                sync.Once
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Run serves until the process is killed, or a socket can't be had.
func Run(set *settings.Settings) error {
	// A node has a small share of one core; more threads only cost.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryShare * set.Cluster.Resources.MemoryMB * (1 << 20)))
	debug.SetGCPercent(300)
	s, err := New(set, (&net.Dialer{Timeout: dialTime}).DialContext)
	if err != nil {
		return err
	}
	return s.Serve()
}

// New makes a node and takes its addresses. Every connection that it opens is by dial.
func New(set *settings.Settings, dial Dialer) (*Server, error) {
	s := &Server{set: set, loop: newLoop(), sockets: newSockets(set.Cluster.Resources.Sockets)}
	s.admission.lag = s.loop.Lag
	// A report under way has a connection, so more can't come.
	s.admission.reportLimit = int64(s.sockets.limit)
	transport := func(perHost, idle int) *http.Transport {
		t := &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: perHost,
			IdleConnTimeout:     90 * time.Second,
			MaxIdleConns:        idle,
			DisableCompression:  true,
		}
		s.transports = append(s.transports, t)
		return t
	}
	s.state = statesvc.NewClient(set.Endpoints.Store, transport(8, 0))
	s.cloud = cloud.NewClient(set.Endpoints.Cloud, transport(4, 0))
	// A connection kept to each machine, beside those they report on, would take
	// more sockets than there are.
	commands := max(8, int(commandPart*float64(set.Cluster.Resources.Sockets)))
	s.worker = &http.Client{Transport: transport(1, commands)}
	s.commands = make(chan struct{}, commands)
	s.mesh = mesh.NewTransport(set.Node, func(from ident.NodeID, f *mesh.Frame) {
		s.frame(from, f)
	})
	s.mesh.Dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.ctl = controller.New(env{s}, set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.loop.settle = s.ctl.Settle
	return s, nil
}

// listen takes the node's addresses.
func (s *Server) listen() error {
	var err error
	if s.meshListener, err = net.Listen("tcp4", s.set.TransportAddr); err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp4", s.set.Bind); err != nil {
		s.meshListener.Close()
		return err
	}
	s.web = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    8 << 10,
		ConnState:         s.sockets.state,
	}
	return nil
}

// Serve runs the node until it is closed, or a socket fails.
func (s *Server) Serve() error {
	for _, p := range s.set.Peers {
		s.mesh.Connect(p.Node, p.Address)
	}
	errs := make(chan error, 2)
	go func() { errs <- s.mesh.Serve(s.meshListener) }()
	go func() { errs <- s.web.Serve(s.sockets.listen(s.listener)) }()
	s.loop.post(s.ctl.Start)
	go s.loop.run()
	return <-errs
}

// Close ends the node at once, as if its process were killed: nothing is handed over.
func (s *Server) Close() {
	s.closing.Do(func() {
		close(s.loop.done)
		s.meshListener.Close()
		s.web.Close()
		s.mesh.Close()
		for _, t := range s.transports {
			t.CloseIdleConnections()
		}
	})
}

// frame takes a sibling's message. What it passes on for users waits like users' own
// requests here, and is refused like them.
func (s *Server) frame(from ident.NodeID, f *mesh.Frame) {
	take := func() { s.ctl.Frame(from, f) }
	if f.Kind != mesh.Ask && f.Kind != mesh.Relay || f.Verb == mesh.Checkin || f.Verb == mesh.Cancel {
		s.loop.postUrgent(take)
		return
	}
	if !s.admission.admits(f.Verb) {
		s.mesh.Send(from, &mesh.Frame{Kind: mesh.Tell, ID: f.ID, Status: uint16(overloaded.Status), Retry: uint16(overloaded.Retry), Body: overloaded.Body})
		return
	}
	s.loop.post(take)
}

// env is the world as a controller sees it. All but the calls' own goroutines is
// run by the loop.
type env struct{ s *Server }

func (e env) Now() ident.MonotonicTime            { return e.s.loop.now() }
func (e env) WallMS() int64                       { return time.Now().UnixMilli() }
func (e env) After(d time.Duration, f func())     { e.s.loop.after(d, f) }
func (e env) Mesh(to ident.NodeID, f *mesh.Frame) { e.s.mesh.Send(to, f) }

func (e env) Store(r statesvc.Request, f func(statesvc.Response)) {
	go func() {
		a := e.s.state.Do(r)
		e.s.loop.postUrgent(func() { f(a) })
	}()
}

func (e env) Cloud(r cloud.Request, f func(cloud.Response)) {
	go func() {
		a := cloud.Response{Outcome: cloud.NotSent}
		if !e.s.loop.past(r.NotAfter) {
			a = e.s.cloud.Do(r)
		}
		e.s.loop.postUrgent(func() { f(a) })
	}()
}

func (e env) Worker(c workers.CommandCall, f func(workers.CommandResult)) {
	go func() {
		a := e.s.command(c)
		e.s.loop.postUrgent(func() { f(a) })
	}()
}

// command sends orders to a worker.
func (s *Server) command(c workers.CommandCall) workers.CommandResult {
	s.commands <- struct{}{}
	defer func() { <-s.commands }()
	if s.loop.past(c.NotAfter) {
		return workers.CommandResult{NotSent: true}
	}
	status, b, err := httpcall.Do(s.worker, commandTime, http.MethodPost, "http://"+c.Addr+"/commands", c.Body, maxReport)
	if err != nil {
		return workers.CommandResult{ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	r, err := api.ParseHeartbeat(b)
	if err != nil {
		return workers.CommandResult{}
	}
	return workers.CommandResult{Status: status, Heartbeat: r}
}

// snapshot asks the loop for the counters.
func (s *Server) snapshot() controller.Snapshot {
	return ask(s.loop, s.loop.post, s.ctl.Snapshot)
}

// linkReport asks the loop what is known of the links.
func (s *Server) linkReport() controller.LinkReport {
	return ask(s.loop, s.loop.post, s.ctl.LinkReport)
}

// moveReport asks the loop what is known of moves, for a while: a node that doesn't lead asks
// the state service.
func (s *Server) moveReport(ctx context.Context) (controller.MoveReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, moveReportTime)
	defer cancel()
	answer := make(chan controller.MoveReport, 1)
	s.loop.post(func() { s.ctl.MoveReport(func(r controller.MoveReport) { answer <- r }) })
	select {
	case r := <-answer:
		return r, true
	case <-ctx.Done():
		return controller.MoveReport{}, false
	}
}

// moveReportTime bounds the wait for it.
const moveReportTime = 2 * time.Second

// writeJSON answers with a message of the API.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
