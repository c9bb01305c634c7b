package transport

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"opaldale/internal/ident"
)

const (
	// readBufferSize has room for several forwarded worker heartbeats.
	readBufferSize = 32 << 10
	// maxInboundConns is the maximum number of connections opened by peers.
	maxInboundConns = 32
	// acceptRetryDelay is the delay after a failure to accept a connection.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve accepts the connections of peers until the listener is closed. It always returns an error that
// wraps net.ErrClosed.
func (t *Transport) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			slog.Info("accepting peer connection failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case t.inboundSlots <- struct{}{}:
			go t.serveConn(conn)
		default:
			conn.Close()
		}
	}
}

// serveConn receives on a connection that holds one of the inbound slots.
func (t *Transport) serveConn(conn net.Conn) {
	defer func() { <-t.inboundSlots }()
	if !t.trackConn(conn) {
		return
	}
	defer t.closeConn(conn)
	c := inboundConn{transport: t, conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize)}
	c.receiveLoop()
}

// inboundConn is a connection opened by a peer.
type inboundConn struct {
	transport *Transport
	conn      net.Conn
	reader    *bufio.Reader
	peer      ident.NodeID // "" until the handshake
}

// receiveLoop receives frames until the connection fails, is idle or breaks the protocol.
func (c *inboundConn) receiveLoop() {
	if !c.handshake() {
		return
	}
	for {
		f, ok := c.readFrame()
		if !ok || !c.receive(f) {
			return
		}
	}
}

// handshake reads the hello that begins a connection, and reports whether a peer sent it.
func (c *inboundConn) handshake() bool {
	f, ok := c.readFrame()
	if !ok {
		return false
	}
	if f.Type != MsgHello {
		slog.Error("peer connection without hello", "remote", c.conn.RemoteAddr().String())
		return false
	}
	return c.acceptHello(f)
}

// acceptHello sets the peer of the connection, and reports whether it is known.
func (c *inboundConn) acceptHello(hello *Frame) bool {
	c.peer = hello.Node
	if c.transport.outboxes[c.peer] == nil {
		slog.Error("rejected connection of unknown peer", "peer", string(c.peer))
		return false
	}
	return true
}

// receive echoes a heartbeat, and passes every frame except a hello to onFrame. It reports whether the
// connection is to be kept open.
func (c *inboundConn) receive(f *Frame) bool {
	if f.Type == MsgHello {
		return c.acceptHello(f)
	}
	if f.Type == MsgHeartbeat && !c.sendEcho() {
		return false
	}
	c.transport.onFrame(c.peer, f)
	return true
}

// echoFrame is sent in return for a heartbeat on the same connection, so that the sender does not close
// the connection as idle.
var echoFrame = (&Frame{Type: MsgHeartbeat}).Append(nil)

func (c *inboundConn) sendEcho() bool {
	if c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(echoFrame)
	return err == nil
}

// readFrame reads the next frame. It returns false, and logs the reason, if there is none.
func (c *inboundConn) readFrame() (*Frame, bool) {
	// This fails only on a closed connection, on which Read fails once the buffer is empty.
	_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	f, err := Read(c.reader)
	switch {
	case err == nil:
		return f, true
	case errors.Is(err, ErrMalformedFrame):
		c.transport.Malformed.Add(1)
		slog.Error("peer connection closed", "peer", string(c.peer), "err", err)
	case !errors.Is(err, io.EOF):
		slog.Debug("peer connection closed", "peer", string(c.peer), "err", err)
	}
	return nil, false
}
