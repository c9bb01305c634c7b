package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"opaldale/internal/ident"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection on which nothing arrives. Heartbeats are sent one way, and
	// echoed the other way, far more often.
	idleTimeout = 4 * time.Second
)

// Transport sends and receives the messages of one node.
type Transport struct {
	self         ident.NodeID
	outboxes     map[ident.NodeID]*outbox // one for each peer
	onFrame      func(from ident.NodeID, f *Frame)
	inboundSlots chan struct{} // one for each connection opened by a peer
	done         chan struct{} // closed by Close

	// Dial opens the connections to peers: net.DialTimeout, unless it is set before Connect.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)

	// Malformed counts the malformed frames received. Each closes its connection.
	Malformed atomic.Uint64

	mu     sync.Mutex
	conns  map[net.Conn]bool // all open connections
	closed bool
}

// New returns the transport of a node without peers. handle is called for each frame received but
// MsgHello, by several goroutines at once.
func New(self ident.NodeID, handle func(from ident.NodeID, f *Frame)) *Transport {
	return &Transport{
		self:         self,
		outboxes:     map[ident.NodeID]*outbox{},
		onFrame:      handle,
		inboundSlots: make(chan struct{}, maxInboundConns),
		done:         make(chan struct{}),
		Dial:         net.DialTimeout,
		conns:        map[net.Conn]bool{},
	}
}

// Connect adds a peer, and keeps a connection to it from now on. All peers must be added before
// Serve and Send are called.
func (t *Transport) Connect(peer ident.NodeID, addr string) {
	o := newOutbox()
	t.outboxes[peer] = o
	go t.maintainConn(addr, o)
}

// Send queues a frame for a peer. It is dropped if the peer is unknown or its queue is full.
func (t *Transport) Send(peer ident.NodeID, f *Frame) {
	if o := t.outboxes[peer]; o != nil {
		o.put(f)
	}
}

// Close closes all connections. Nothing is sent or received from then on.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	close(t.done)
	for conn := range t.conns {
		conn.Close()
	}
}

// track has Close close a connection as well, and reports whether the transport is still open. If
// not, the connection is closed.
func (t *Transport) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		conn.Close()
		return false
	}
	t.conns[conn] = true
	return true
}

// closeConn closes a connection that is tracked.
func (t *Transport) closeConn(conn net.Conn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	conn.Close()
}
