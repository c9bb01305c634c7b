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
	"opaldale/internal/kvstore"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

const (
	dialTimeout       = time.Second
	commandTimeout    = 1200 * time.Millisecond // a worker answers within milliseconds, or after a lost packet
	maxHeartbeatBytes = 1 << 20
	memoryShare       = 0.65
)

// Server is one node with its sockets.
type Server struct {
	settings     *settings.Settings
	loop         *eventLoop
	controller   *controller.Controller
	store        *kvstore.Client
	cloud        *cloud.Client
	workerClient *http.Client
	// commandSlots has room for the commands to workers that are under way.
	commandSlots chan struct{}
	connLimiter  *connLimiter
	transport    *transport.Transport
	// admission bounds the requests that are taken, from users and workers or passed on
	// by siblings.
	admission admission

	listener, peerListener net.Listener
	httpServer             *http.Server
	httpTransports         []*http.Transport
	closeOnce              sync.Once
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Run serves until the process is killed, or a socket can't be had.
func Run(cfg *settings.Settings) error {
	// A node has a small share of one core; more threads only cost.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryShare * cfg.Cluster.Resources.MemoryMB * (1 << 20)))
	debug.SetGCPercent(300)
	s, err := New(cfg, (&net.Dialer{Timeout: dialTimeout}).DialContext)
	if err != nil {
		return err
	}
	return s.Serve()
}

// New makes a node and takes its addresses. Every connection that it opens is by dial.
func New(cfg *settings.Settings, dial Dialer) (*Server, error) {
	s := &Server{settings: cfg, loop: newEventLoop(), connLimiter: newConnLimiter(cfg.Cluster.Resources.Sockets)}
	s.admission.lag = s.loop.Lag
	// A report under way has a connection, so more can't come.
	s.admission.heartbeatLimit = int64(s.connLimiter.limit)
	newHTTPTransport := func(perHost, idle int) *http.Transport {
		t := &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: perHost,
			IdleConnTimeout:     90 * time.Second,
			MaxIdleConns:        idle,
			DisableCompression:  true,
		}
		s.httpTransports = append(s.httpTransports, t)
		return t
	}
	s.store = kvstore.NewClient(cfg.Endpoints.Store, newHTTPTransport(8, 0))
	s.cloud = cloud.NewClient(cfg.Endpoints.Cloud, newHTTPTransport(4, 0))
	// A connection kept to each machine, beside those they report on, would take
	// more sockets than there are.
	maxCommands := max(8, int(commandShare*float64(cfg.Cluster.Resources.Sockets)))
	s.workerClient = &http.Client{Transport: newHTTPTransport(1, maxCommands)}
	s.commandSlots = make(chan struct{}, maxCommands)
	s.transport = transport.New(cfg.Node, func(from ident.NodeID, f *transport.Frame) {
		s.handlePeerFrame(from, f)
	})
	s.transport.Dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.controller = controller.New(controllerEnv{s}, cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.loop.afterBatch = s.controller.AfterEvent
	return s, nil
}

// listen takes the node's addresses.
func (s *Server) listen() error {
	var err error
	if s.peerListener, err = net.Listen("tcp4", s.settings.TransportAddr); err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp4", s.settings.Bind); err != nil {
		s.peerListener.Close()
		return err
	}
	s.httpServer = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    8 << 10,
		ConnState:         s.connLimiter.onConnState,
	}
	return nil
}

// Serve runs the node until it is closed, or a socket fails.
func (s *Server) Serve() error {
	for _, p := range s.settings.Peers {
		s.transport.Connect(p.Node, p.Address)
	}
	errs := make(chan error, 2)
	go func() { errs <- s.transport.Serve(s.peerListener) }()
	go func() { errs <- s.httpServer.Serve(s.connLimiter.limitListener(s.listener)) }()
	s.loop.post(s.controller.Start)
	go s.loop.run()
	return <-errs
}

// Close ends the node at once, as if its process were killed: nothing is handed over.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.loop.done)
		s.peerListener.Close()
		s.httpServer.Close()
		s.transport.Close()
		for _, t := range s.httpTransports {
			t.CloseIdleConnections()
		}
	})
}

// handlePeerFrame takes a sibling's message. What it passes on for users waits like users' own
// requests here, and is refused like them.
func (s *Server) handlePeerFrame(from ident.NodeID, frame *transport.Frame) {
	handle := func() { s.controller.HandleFrame(from, frame) }
	if frame.Type != transport.MsgRequest && frame.Type != transport.MsgRelayRequest || frame.Method == transport.WorkerHeartbeat || frame.Method == transport.CancelJob {
		s.loop.postUrgent(handle)
		return
	}
	if !s.admission.admits(frame.Method) {
		s.transport.Send(from, &transport.Frame{Type: transport.MsgResponse, ID: frame.ID, Status: uint16(overloadedResponse.Status), RetryAfterS: uint16(overloadedResponse.RetryAfterS), Body: overloadedResponse.Body})
		return
	}
	s.loop.post(handle)
}

// controllerEnv is the world as a controller sees it. All but the calls' own goroutines is
// run by the loop.
type controllerEnv struct{ server *Server }

func (e controllerEnv) Now() ident.MonotonicTime                     { return e.server.loop.now() }
func (e controllerEnv) WallMS() int64                                { return time.Now().UnixMilli() }
func (e controllerEnv) After(d time.Duration, f func())              { e.server.loop.after(d, f) }
func (e controllerEnv) SendPeer(to ident.NodeID, f *transport.Frame) { e.server.transport.Send(to, f) }

func (e controllerEnv) Store(r kvstore.Request, done func(kvstore.Response)) {
	go func() {
		response := e.server.store.Do(r)
		e.server.loop.postUrgent(func() { done(response) })
	}()
}

func (e controllerEnv) Cloud(r cloud.Request, done func(cloud.Response)) {
	go func() {
		response := cloud.Response{Outcome: cloud.NotSent}
		if !e.server.loop.expired(r.NotAfter) {
			response = e.server.cloud.Do(r)
		}
		e.server.loop.postUrgent(func() { done(response) })
	}()
}

func (e controllerEnv) Worker(command workers.CommandCall, done func(workers.CommandResult)) {
	go func() {
		response := e.server.sendCommand(command)
		e.server.loop.postUrgent(func() { done(response) })
	}()
}

// sendCommand sends orders to a worker.
func (s *Server) sendCommand(command workers.CommandCall) workers.CommandResult {
	s.commandSlots <- struct{}{}
	defer func() { <-s.commandSlots }()
	if s.loop.expired(command.NotAfter) {
		return workers.CommandResult{NotSent: true}
	}
	call := httpcall.Call{
		Method:           http.MethodPost,
		URL:              "http://" + command.Addr + "/commands",
		Body:             command.Body,
		Timeout:          commandTimeout,
		MaxResponseBytes: maxHeartbeatBytes,
	}
	status, b, err := call.Do(s.workerClient)
	if err != nil {
		return workers.CommandResult{ConnectionRefused: httpcall.ConnectionRefused(err)}
	}
	heartbeat, err := api.ParseHeartbeat(b)
	if err != nil {
		return workers.CommandResult{}
	}
	return workers.CommandResult{Status: status, Heartbeat: heartbeat}
}

// stats asks the loop for the counters.
func (s *Server) stats() controller.Stats {
	return query(s.loop, s.loop.post, s.controller.Stats)
}

// linkReport asks the loop what is known of the links.
func (s *Server) linkReport() controller.LinkReport {
	return query(s.loop, s.loop.post, s.controller.LinkReport)
}

// moveReport asks the loop what is known of moves, for a while: a node that doesn't lead asks
// the state service.
func (s *Server) moveReport(ctx context.Context) (controller.MoveReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, moveReportTimeout)
	defer cancel()
	answer := make(chan controller.MoveReport, 1)
	s.loop.post(func() { s.controller.MoveReport(func(r controller.MoveReport) { answer <- r }) })
	select {
	case r := <-answer:
		return r, true
	case <-ctx.Done():
		return controller.MoveReport{}, false
	}
}

// moveReportTimeout bounds the wait for it.
const moveReportTimeout = 2 * time.Second

// writeJSON answers with a message of the API.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
