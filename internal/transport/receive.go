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
	// readBufferSize is the size of the read buffer in bytes. Several forwarded worker heartbeats fit in.
	readBufferSize = 32 << 10
	// maxInboundConns is the maximum number of connections that peers may open. Others are closed.
	maxInboundConns = 32
	// acceptRetryDelay is the delay between a failure to accept a connection and the next attempt.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve accepts connections of peers until the listener is closed, and returns an error that wraps
// net.ErrClosed.
func (t *Transport) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			slog.Info("accepting peer connection failed, retrying", "err", err)
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

// serveConn receives frames on an inbound connection, and releases the connection's slot when it ends.
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
	peer      ident.NodeID // "" before the handshake
}

// receiveLoop receives frames until the connection fails or is idle, or the peer violates the protocol.
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

// handshake reads the hello with which a connection must begin, and reports whether it names a known peer.
func (c *inboundConn) handshake() bool {
	f, ok := c.readFrame()
	if !ok {
		return false
	}
	if f.Type != MsgHello {
		slog.Error("rejected peer connection: first frame is not a hello", "remote", c.conn.RemoteAddr().String())
		return false
	}
	return c.acceptHello(f)
}

// acceptHello sets the peer of the connection, and reports whether the peer is known.
func (c *inboundConn) acceptHello(hello *Frame) bool {
	c.peer = hello.Node
	if c.transport.outboxes[c.peer] == nil {
		slog.Error("rejected peer connection: unknown peer", "peer", string(c.peer))
		return false
	}
	return true
}

// receive echoes a heartbeat, and passes every frame except a hello to onFrame. It returns false if the
// connection must be closed.
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

// echoFrame is the encoded frame that is sent in response to a heartbeat, so that the sender does not close
// the connection as idle.
var echoFrame = (&Frame{Type: MsgHeartbeat}).Append(nil)

func (c *inboundConn) sendEcho() bool {
	if c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(echoFrame)
	return err == nil
}

// readFrame reads the next frame. If that fails, it logs the reason, except for the end of the stream, and
// returns false.
func (c *inboundConn) readFrame() (*Frame, bool) {
	// Setting the deadline fails only on a closed connection, where Read fails once the buffer is empty.
	_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	f, err := Read(c.reader)
	switch {
	case err == nil:
		return f, true
	case errors.Is(err, ErrMalformedFrame):
		c.transport.Malformed.Add(1)
		slog.Error("peer connection closed: malformed frame", "peer", string(c.peer), "err", err)
	case !errors.Is(err, io.EOF):
		slog.Debug("peer connection closed: read failed", "peer", string(c.peer), "err", err)
	}
	return nil, false
}
