package transport

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"opaldale/internal/ident"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection on which nothing comes: both sides send or
	// echo beats far more often.
	idleTimeout = 4 * time.Second
	redialDelay = 300 * time.Millisecond
	// maxQueuedFrames and maxQueuedBytes bound what waits for a sibling: the reports that a fleet
	// of some thousand machines sends within a few seconds of a connection's silence.
	maxQueuedFrames = 8192
	maxQueuedBytes  = 16 << 20
	// readBufferSize takes in several reports with one call of the system.
	readBufferSize = 32 << 10
	// maxInboundConns bounds the connections of siblings.
	maxInboundConns = 32
)

// Transport keeps a connection to every sibling for what is sent, and accepts
// theirs for what is received.
type Transport struct {
	self         ident.NodeID
	outboxes     map[ident.NodeID]*outbox
	peers        map[ident.NodeID]bool
	handle       func(from ident.NodeID, f *Frame)
	inboundSlots chan struct{}
	done         chan struct{} // closed with the transport

	// Dial opens connections to siblings; net.DialTimeout unless it is set before the first.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)

	// Malformed counts the frames that could not be read; each ends its connection.
	Malformed atomic.Uint64

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// New makes the transport of a node; take is called for every frame
// received, from several goroutines.
func New(self ident.NodeID, handle func(ident.NodeID, *Frame)) *Transport {
	return &Transport{self: self, outboxes: map[ident.NodeID]*outbox{}, peers: map[ident.NodeID]bool{}, handle: handle,
		inboundSlots: make(chan struct{}, maxInboundConns), done: make(chan struct{}), Dial: net.DialTimeout, conns: map[net.Conn]bool{}}
}

// Close ends all connections; nothing is sent or received any more.
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

// track counts a connection among those that end with the transport, and says whether that
// is still open.
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

// closeConn closes a connection.
func (t *Transport) closeConn(conn net.Conn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	conn.Close()
}

// Connect keeps a connection to a sibling from now on.
func (t *Transport) Connect(n ident.NodeID, addr string) {
	o := newOutbox()
	t.outboxes[n] = o
	t.peers[n] = true
	go t.maintainConn(addr, o)
}

// Send queues a frame; what doesn't fit is dropped, as if lost on the way.
func (t *Transport) Send(n ident.NodeID, f *Frame) {
	if o := t.outboxes[n]; o != nil {
		o.put(f)
	}
}

func (t *Transport) maintainConn(addr string, o *outbox) {
	for {
		if conn, err := t.Dial("tcp", addr, dialTimeout); err == nil && t.track(conn) {
			t.sendLoop(conn, o)
			t.closeConn(conn)
		}
		select {
		case <-t.done:
			return
		case <-time.After(redialDelay + rand.N(redialDelay)):
		}
		// What waited for the connection is too old by now.
		o.drain()
	}
}

func (t *Transport) sendLoop(conn net.Conn, o *outbox) {
	peerClosed := make(chan struct{})
	go func() {
		defer close(peerClosed)
		rd := bufio.NewReader(conn)
		for {
			conn.SetReadDeadline(time.Now().Add(idleTimeout))
			if _, err := Read(rd); err != nil {
				return
			}
		}
	}()
	buf := (&Frame{Type: MsgHello, Node: t.self}).Append(nil)
	for {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(buf); err != nil {
			return
		}
		select {
		case f := <-o.frames:
			buf = o.dequeued(f).Append(buf[:0])
			for n := len(o.frames); n > 0 && len(buf) < MaxFrame; n-- {
				buf = o.dequeued(<-o.frames).Append(buf)
			}
		case <-peerClosed:
			return
		case <-t.done:
			return
		}
	}
}

// Serve accepts siblings' connections.
func (t *Transport) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			slog.Info("mesh accept", "err", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case t.inboundSlots <- struct{}{}:
			go func() {
				defer func() { <-t.inboundSlots }()
				if !t.track(conn) {
					return
				}
				defer t.closeConn(conn)
				t.receiveLoop(conn)
			}()
		default:
			conn.Close()
		}
	}
}

func (t *Transport) receiveLoop(conn net.Conn) {
	echo := (&Frame{Type: MsgHeartbeat}).Append(nil)
	var from ident.NodeID
	rd := bufio.NewReaderSize(conn, readBufferSize)
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		f, err := Read(rd)
		if err != nil {
			if errors.Is(err, ErrMalformedFrame) {
				t.Malformed.Add(1)
				slog.Error("mesh connection closed", "from", string(from), "err", err)
			} else if !errors.Is(err, io.EOF) {
				slog.Debug("mesh connection closed", "from", string(from), "err", err)
			}
			return
		}
		switch {
		case f.Type == MsgHello:
			from = f.Node
			if !t.peers[from] {
				slog.Error("mesh connection of an unknown node", "node", string(from))
				return
			}
			continue
		case from == "":
			slog.Error("mesh connection without a hello", "remote", conn.RemoteAddr().String())
			return
		case f.Type == MsgHeartbeat:
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(echo); err != nil {
				return
			}
		}
		t.handle(from, f)
	}
}
