package mesh

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
	dialTime  = time.Second
	writeTime = 2 * time.Second
	// quietTime closes a connection on which nothing comes: both sides send or
	// echo beats far more often.
	quietTime = 4 * time.Second
	redial    = 300 * time.Millisecond
	// maxQueued and maxQueuedBytes bound what waits for a sibling: the reports that a fleet
	// of some thousand machines sends within a few seconds of a connection's silence.
	maxQueued      = 8192
	maxQueuedBytes = 16 << 20
	// readBuffer takes in several reports with one call of the system.
	readBuffer = 32 << 10
	// maxInbound bounds the connections of siblings.
	maxInbound = 32
)

// Transport keeps a connection to every sibling for what is sent, and accepts
// theirs for what is received.
type Transport struct {
	self  ident.NodeID
	out   map[ident.NodeID]*outbox
	known map[ident.NodeID]bool
	take  func(from ident.NodeID, f *Frame)
	slots chan struct{}
	done  chan struct{} // closed with the transport

	// Dial opens connections to siblings; net.DialTimeout unless it is set before the first.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)

	// Malformed counts the frames that could not be read; each ends its connection.
	Malformed atomic.Uint64

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// NewTransport makes the transport of a node; take is called for every frame
// received, from several goroutines.
func NewTransport(self ident.NodeID, take func(ident.NodeID, *Frame)) *Transport {
	return &Transport{self: self, out: map[ident.NodeID]*outbox{}, known: map[ident.NodeID]bool{}, take: take,
		slots: make(chan struct{}, maxInbound), done: make(chan struct{}), Dial: net.DialTimeout, open: map[net.Conn]bool{}}
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
	for conn := range t.open {
		conn.Close()
	}
}

// hold counts a connection among those that end with the transport, and says whether that
// is still open.
func (t *Transport) hold(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		conn.Close()
		return false
	}
	t.open[conn] = true
	return true
}

// release closes a connection.
func (t *Transport) release(conn net.Conn) {
	t.mu.Lock()
	delete(t.open, conn)
	t.mu.Unlock()
	conn.Close()
}

// Connect keeps a connection to a sibling from now on.
func (t *Transport) Connect(n ident.NodeID, addr string) {
	o := newOutbox()
	t.out[n] = o
	t.known[n] = true
	go t.keep(addr, o)
}

// Send queues a frame; what doesn't fit is dropped, as if lost on the way.
func (t *Transport) Send(n ident.NodeID, f *Frame) {
	if o := t.out[n]; o != nil {
		o.put(f)
	}
}

func (t *Transport) keep(addr string, o *outbox) {
	for {
		if conn, err := t.Dial("tcp", addr, dialTime); err == nil && t.hold(conn) {
			t.write(conn, o)
			t.release(conn)
		}
		select {
		case <-t.done:
			return
		case <-time.After(redial + rand.N(redial)):
		}
		// What waited for the connection is too old by now.
		o.drain()
	}
}

func (t *Transport) write(conn net.Conn, o *outbox) {
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		rd := bufio.NewReader(conn)
		for {
			conn.SetReadDeadline(time.Now().Add(quietTime))
			if _, err := Read(rd); err != nil {
				return
			}
		}
	}()
	buf := (&Frame{Kind: Hello, Node: t.self}).Append(nil)
	for {
		conn.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := conn.Write(buf); err != nil {
			return
		}
		select {
		case f := <-o.frames:
			buf = o.taken(f).Append(buf[:0])
			for n := len(o.frames); n > 0 && len(buf) < MaxFrame; n-- {
				buf = o.taken(<-o.frames).Append(buf)
			}
		case <-broken:
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
		case t.slots <- struct{}{}:
			go func() {
				defer func() { <-t.slots }()
				if !t.hold(conn) {
					return
				}
				defer t.release(conn)
				t.receive(conn)
			}()
		default:
			conn.Close()
		}
	}
}

func (t *Transport) receive(conn net.Conn) {
	echo := (&Frame{Kind: Heartbeat}).Append(nil)
	var from ident.NodeID
	rd := bufio.NewReaderSize(conn, readBuffer)
	for {
		conn.SetReadDeadline(time.Now().Add(quietTime))
		f, err := Read(rd)
		if err != nil {
			if errors.Is(err, ErrFrame) {
				t.Malformed.Add(1)
				slog.Error("mesh connection closed", "from", string(from), "err", err)
			} else if !errors.Is(err, io.EOF) {
				slog.Debug("mesh connection closed", "from", string(from), "err", err)
			}
			return
		}
		switch {
		case f.Kind == Hello:
			from = f.Node
			if !t.known[from] {
				slog.Error("mesh connection of an unknown node", "node", string(from))
				return
			}
			continue
		case from == "":
			slog.Error("mesh connection without a hello", "remote", conn.RemoteAddr().String())
			return
		case f.Kind == Heartbeat:
			conn.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := conn.Write(echo); err != nil {
				return
			}
		}
		t.take(from, f)
	}
}
