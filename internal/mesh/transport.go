package mesh

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
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
	queued    = 512
	// readBuffer takes in several reports with one call of the system.
	readBuffer = 32 << 10
	// maxInbound bounds the connections of siblings.
	maxInbound = 32
)

// Transport keeps a connection to every sibling for what is sent, and accepts
// theirs for what is received.
type Transport struct {
	self  ident.NodeID
	out   map[ident.NodeID]chan *Frame
	known map[ident.NodeID]bool
	take  func(from ident.NodeID, f *Frame)
	slots chan struct{}
}

// NewTransport makes the transport of a node; take is called for every frame
// received, from several goroutines.
func NewTransport(self ident.NodeID, take func(ident.NodeID, *Frame)) *Transport {
	return &Transport{self: self, out: map[ident.NodeID]chan *Frame{}, known: map[ident.NodeID]bool{}, take: take,
		slots: make(chan struct{}, maxInbound)}
}

// Connect keeps a connection to a sibling from now on.
func (t *Transport) Connect(n ident.NodeID, addr string) {
	ch := make(chan *Frame, queued)
	t.out[n] = ch
	t.known[n] = true
	go t.keep(addr, ch)
}

// Send queues a frame; what doesn't fit is dropped, as if lost on the way.
func (t *Transport) Send(n ident.NodeID, f *Frame) {
	select {
	case t.out[n] <- f:
	default:
	}
}

func (t *Transport) keep(addr string, ch chan *Frame) {
	for {
		if conn, err := net.DialTimeout("tcp", addr, dialTime); err == nil {
			t.write(conn, ch)
			conn.Close()
		}
		time.Sleep(redial + rand.N(redial))
		// What waited for the connection is too old by now.
		for len(ch) > 0 {
			<-ch
		}
	}
}

func (t *Transport) write(conn net.Conn, ch chan *Frame) {
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
		case f := <-ch:
			buf = f.Append(buf[:0])
			for n := len(ch); n > 0 && len(buf) < MaxFrame; n-- {
				buf = (<-ch).Append(buf)
			}
		case <-broken:
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
				defer conn.Close()
				t.receive(conn)
			}()
		default:
			conn.Close()
		}
	}
}

func (t *Transport) receive(conn net.Conn) {
	echo := (&Frame{Kind: Beat}).Append(nil)
	var from ident.NodeID
	rd := bufio.NewReaderSize(conn, readBuffer)
	for {
		conn.SetReadDeadline(time.Now().Add(quietTime))
		f, err := Read(rd)
		if err != nil {
			if errors.Is(err, ErrFrame) {
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
		case f.Kind == Beat:
			conn.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := conn.Write(echo); err != nil {
				return
			}
		}
		t.take(from, f)
	}
}
