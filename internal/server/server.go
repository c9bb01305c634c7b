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

// Limits of the process.
const (
	// maxThreads is the number of threads that run Go code: a node has a small share of one core,
	// and more threads only cost.
	maxThreads = 1
	// memoryShare is the part of the node's memory that the heap may have before it is collected
	// more often.
	memoryShare = 0.65
	// gcPercent is by how much the heap grows before it is collected.
	gcPercent = 300

	bytesPerMB = 1 << 20
)

// Limits of the connections that a node opens.
const (
	dialTimeout        = time.Second
	idleConnTimeout    = 90 * time.Second
	idleStoreConns     = 8 // kept to the key-value store
	idleCloudConns     = 4 // kept to the provider
	idleConnsPerWorker = 1
	unlimitedConns     = 0 // as http.Transport.MaxIdleConns has it
	minCommands        = 8 // least number of concurrent commands to workers
	moveReportTimeout  = 2 * time.Second
)

// Limits of the connections that others open.
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
	commandSlots chan struct{} // holds an element for each command in flight
	connLimiter  *connLimiter
	transport    *transport.Transport
	admission    admission // bounds the requests of users and workers, also those forwarded by peers

	listener, peerListener net.Listener
	httpServer             *http.Server
	httpTransports         []*http.Transport
	closeOnce              sync.Once
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Run serves until the process is killed. It returns only if a socket can't be opened or fails. It
// sets limits of the whole process.
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

// New returns a node that listens on its addresses. It opens all of its connections by dial.
func New(cfg *settings.Settings, dial Dialer) (*Server, error) {
	s := &Server{settings: cfg, loop: newEventLoop(), connLimiter: newConnLimiter(cfg.Cluster.Resources.Sockets)}
	s.admission.lag = s.loop.Lag
	// Each heartbeat in flight has a connection, so there can't be more.
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
	// Connections kept to all machines, beside those that their heartbeats come by, would be more
	// than there are sockets.
	maxCommands := max(minCommands, int(commandShare*float64(s.settings.Cluster.Resources.Sockets)))
	s.workerClient = &http.Client{Transport: s.newHTTPTransport(dial, idleConnsPerWorker, maxCommands)}
	s.commandSlots = make(chan struct{}, maxCommands)
}

// newHTTPTransport returns a transport that keeps up to a number of idle connections to each host, and
// to all of them.
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

// listen opens the listeners of the node's addresses.
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

// Serve runs the node until it is closed, or a socket fails.
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

// Close ends the node at once, as if its process were killed: leadership is not handed over.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.loop.done)
		s.peerListener.Close()
		_ = s.httpServer.Close() // the node ends in any case
		s.transport.Close()
		for _, t := range s.httpTransports {
			t.CloseIdleConnections()
		}
	})
}

// dispatchPeerFrame handles a message of a peer. Requests that it forwards for users wait, and are
// refused, as those that users send to this node.
func (s *Server) dispatchPeerFrame(from ident.NodeID, frame *transport.Frame) {
	handle := func() { s.controller.HandleFrame(from, frame) }
	isRequest := frame.Type == transport.MsgRequest || frame.Type == transport.MsgRelayRequest
	if !isRequest || isUrgent(frame.Method) {
		s.loop.postUrgent(handle)
		return
	}
	if !s.admission.admit(frame.Method) {
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

// stats reads the controller's counters.
func (s *Server) stats() controller.Stats {
	return query(s.loop, s.loop.post, s.controller.Stats)
}

// linkReport reads the state of the node's links.
func (s *Server) linkReport() linktracker.Report {
	return query(s.loop, s.loop.post, s.controller.LinkReport)
}

// moveReport reads the moves of running tasks, and says whether that was possible in time: a node
// without leadership reads them from the key-value store.
func (s *Server) moveReport(ctx context.Context) (controller.MoveReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, moveReportTimeout)
	defer cancel()
	return await(ctx, begin(s.loop.post, s.controller.MoveReport))
}

// writeJSON writes a response with a message of the API.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("response not written", "err", err)
	}
}
