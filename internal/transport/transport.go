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
	// idleTimeout is the time after which a connection on which no frame was received is closed.
	// Heartbeats, and their echoes in the other direction, are far more frequent.
	idleTimeout = 4 * time.Second
)

// Transport sends and receives the messages of one node. Any goroutine may call Send and Close.
type Transport struct {
	self         ident.NodeID
	outboxes     map[ident.NodeID]*outbox // one for each peer
	onFrame      func(from ident.NodeID, f *Frame)
	inboundSlots chan struct{} // semaphore: one element for each inbound connection
	done         chan struct{} // closed by Close

	// Dial opens connections to peers. It is net.DialTimeout unless replaced before Connect.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)

	// Malformed counts the malformed frames received. The connection on which one arrives is closed.
	Malformed atomic.Uint64

	mu     sync.Mutex
	conns  map[net.Conn]bool // all open connections
	closed bool
}

// New returns the transport of a node without peers. It calls onFrame for each received frame except
// MsgHello, concurrently from one goroutine for each connection.
func New(self ident.NodeID, onFrame func(from ident.NodeID, f *Frame)) *Transport {
	return &Transport{
		self:         self,
		outboxes:     map[ident.NodeID]*outbox{},
		onFrame:      onFrame,
		inboundSlots: make(chan struct{}, maxInboundConns),
		done:         make(chan struct{}),
		Dial:         net.DialTimeout,
		conns:        map[net.Conn]bool{},
	}
}

// Connect adds a peer and maintains a connection to it until Close is called. All peers must be added
// before Serve and Send are called.
func (t *Transport) Connect(peer ident.NodeID, addr string) {
	o := newOutbox()
	t.outboxes[peer] = o
	go t.connectLoop(addr, o)
}

// Send enqueues a frame for a peer without blocking. The frame is dropped if the peer is unknown or its
// queue is full.
func (t *Transport) Send(peer ident.NodeID, f *Frame) {
	if o := t.outboxes[peer]; o != nil {
		o.enqueue(f)
	}
}

// Close closes all connections. No frames are sent or received afterwards. It may be called repeatedly.
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

// trackConn registers a connection, which Close will close. If the transport is already closed, trackConn
// closes the connection and returns false.
func (t *Transport) trackConn(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		conn.Close()
		return false
	}
	t.conns[conn] = true
	return true
}

// closeConn closes a connection registered by trackConn.
func (t *Transport) closeConn(conn net.Conn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	conn.Close()
}
