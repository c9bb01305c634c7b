package server

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/linktracker"
	"opaldale/internal/settings"
	"opaldale/internal/transport"
)

// Process-wide limits.
const (
	// maxThreads is GOMAXPROCS. A node has a fraction of one core: more threads would only add
	// overhead.
	maxThreads = 1
	// memoryShare is the runtime's soft memory limit as a share of the node's memory.
	memoryShare = 0.65
	// gcPercent is GOGC: the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 300

	bytesPerMB = 1 << 20
)

// Limits of outbound connections.
const (
	dialTimeout        = time.Second
	idleConnTimeout    = 90 * time.Second
	idleStoreConns     = 8 // maximum number of idle connections to the key-value store
	idleCloudConns     = 4 // maximum number of idle connections to the provider
	idleConnsPerWorker = 1
	unlimitedConns     = 0 // means no limit in http.Transport.MaxIdleConns
	minCommands        = 8 // lower bound on the limit of concurrent commands to workers
)

// moveReportTimeout is the maximum time for creating the report on moves.
const moveReportTimeout = 2 * time.Second

// Limits of inbound HTTP connections.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 15 * time.Second
	keepAliveTimeout  = 2 * time.Minute
	maxHeaderBytes    = 8 << 10
)

// Server is a node: a controller with its event loop and its sockets.
type Server struct {
	settings     *settings.Settings
	loop         *eventLoop
	controller   *controller.Controller
	store        *kvstore.Client
	cloud        *cloud.Client
	workerClient *http.Client
	commandSlots chan struct{} // semaphore: one element for each command in flight
	connLimiter  *connLimiter
	transport    *transport.Transport
	admission    admission // limits HTTP requests, and submissions and polls that peers forward

	listener, peerListener net.Listener
	httpServer             *http.Server
	httpTransports         []*http.Transport
	closeOnce              sync.Once
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Run runs a node until the process is killed. It returns an error if a socket cannot be opened or
// fails. Run also sets process-wide limits, such as the memory limit.
func Run(cfg *settings.Settings) error {
	runtime.GOMAXPROCS(maxThreads)
	debug.SetMemoryLimit(int64(memoryShare * cfg.Cluster.Resources.MemoryMB * bytesPerMB))
	debug.SetGCPercent(gcPercent)
	s, err := New(cfg, (&net.Dialer{Timeout: dialTimeout}).DialContext)
	if err != nil {
		return err
	}
	return s.Serve()
}

// New returns a node that listens on its addresses, but does not accept connections until Serve is
// called. dial opens all outbound connections.
func New(cfg *settings.Settings, dial Dialer) (*Server, error) {
	s := &Server{settings: cfg, loop: newEventLoop(), connLimiter: newConnLimiter(cfg.Cluster.Resources.Sockets)}
	s.admission.lag = s.loop.Lag
	// Each heartbeat in flight occupies an inbound connection.
	s.admission.heartbeatLimit = int64(s.connLimiter.limit)
	s.createClients(dial)
	s.createTransport(dial)
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.controller = controller.New(controllerEnv{s}, cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.loop.afterBatch = s.controller.AfterEvent
	return s, nil
}

// createClients creates the clients of the key-value store, the provider and the workers.
func (s *Server) createClients(dial Dialer) {
	s.store = kvstore.NewClient(s.settings.Endpoints.Store, s.newHTTPTransport(dial, idleStoreConns, unlimitedConns))
	s.cloud = cloud.NewClient(s.settings.Endpoints.Cloud, s.newHTTPTransport(dial, idleCloudConns, unlimitedConns))
	// The number of connections is limited because an open connection to each machine, in addition
	// to the one on which the machine sends heartbeats, would exceed the node's socket limit.
	maxCommands := max(minCommands, int(commandShare*float64(s.settings.Cluster.Resources.Sockets)))
	s.workerClient = &http.Client{Transport: s.newHTTPTransport(dial, idleConnsPerWorker, maxCommands)}
	s.commandSlots = make(chan struct{}, maxCommands)
}

// newHTTPTransport returns a transport. idlePerHost is the maximum number of idle connections that it keeps
// to each host, and idle the maximum in total, or unlimitedConns.
func (s *Server) newHTTPTransport(dial Dialer, idlePerHost, idle int) *http.Transport {
	t := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConns:        idle,
		DisableCompression:  true,
	}
	s.httpTransports = append(s.httpTransports, t)
	return t
}

// createTransport creates the transport between controllers.
func (s *Server) createTransport(dial Dialer) {
	s.transport = transport.New(s.settings.Node, s.dispatchPeerFrame)
	s.transport.Dial = func(network, addr string, timeout time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// listen opens the listeners for peers and for HTTP.
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
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connLimiter.onConnState,
	}
	return nil
}

// Serve runs the node until it is closed or a listener fails, and returns the listener's error.
func (s *Server) Serve() error {
	for _, p := range s.settings.Peers {
		s.transport.Connect(p.Node, p.Address)
	}
	errs := make(chan error, 2) // one for each listener
	go func() { errs <- s.transport.Serve(s.peerListener) }()
	go func() { errs <- s.httpServer.Serve(s.connLimiter.limitListener(s.listener)) }()
	s.loop.post(s.controller.Start)
	go s.loop.run()
	return <-errs
}

// Close stops the node immediately, without handing over leadership, as if its process were killed.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.loop.done)
		s.peerListener.Close()
		_ = s.httpServer.Close() // the node stops even if this fails
		s.listener.Close()       // httpServer closes only a listener that it serves already
		s.transport.Close()
		for _, t := range s.httpTransports {
			t.CloseIdleConnections()
		}
	})
}

// dispatchPeerFrame passes a frame from a peer to the controller. Forwarded submissions and polls are user
// events, and are rejected at the same limits as those that users send to this node, but do not count as
// in flight. All other frames, including forwarded cancellations and worker heartbeats, are urgent events
// without admission control.
func (s *Server) dispatchPeerFrame(from ident.NodeID, frame *transport.Frame) {
	handle := func() { s.controller.HandleFrame(from, frame) }
	isRequest := frame.Type == transport.MsgRequest || frame.Type == transport.MsgRelayRequest
	if !isRequest || isUrgent(frame.Method) {
		s.loop.postUrgent(handle)
		return
	}
	if !s.admission.admissible(frame.Method) {
		s.transport.Send(from, &transport.Frame{
			Type:        transport.MsgResponse,
			ID:          frame.ID,
			Status:      uint16(overloadedResponse.Status),
			RetryAfterS: uint16(overloadedResponse.RetryAfterS),
			Body:        overloadedResponse.Body,
		})
		return
	}
	s.loop.post(handle)
}

// stats returns the controller's statistics.
func (s *Server) stats() controller.Stats {
	return query(s.loop, s.loop.post, s.controller.Stats)
}

// linkReport returns the report on the node's links.
func (s *Server) linkReport() linktracker.Report {
	return query(s.loop, s.loop.post, s.controller.LinkReport)
}

// moveReport returns the report on moves of running tasks, or false if the report is not available
// within moveReportTimeout. A node that is not the leader has to read the moves from the key-value store.
func (s *Server) moveReport(ctx context.Context) (controller.MoveReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, moveReportTimeout)
	defer cancel()
	return await(ctx, startOperation(s.loop.post, s.controller.MoveReport))
}

// writeJSON writes a response whose body is v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("writing HTTP response failed", "err", err)
	}
}
