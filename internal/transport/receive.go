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
	// readBufferSize holds several forwarded heartbeats of workers.
	readBufferSize = 32 << 10
	// maxInboundConns bounds the connections opened by peers.
	maxInboundConns = 32
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve accepts the peers' connections until the listener is closed, and returns an error
// that wraps net.ErrClosed then.
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
	if !t.track(conn) {
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

// handshake reads the hello that begins a connection, and reports whether it is a peer's.
func (c *inboundConn) handshake() bool {
	f, ok := c.readFrame()
	if !ok {
		return false
	}
	if f.Type != MsgHello {
		slog.Error("peer connection without hello", "remote", c.conn.RemoteAddr().String())
		return false
	}
	return c.identify(f)
}

// identify takes note of who sends, and reports whether it is a peer.
func (c *inboundConn) identify(hello *Frame) bool {
	c.peer = hello.Node
	if c.transport.outboxes[c.peer] == nil {
		slog.Error("rejected connection of unknown peer", "peer", string(c.peer))
		return false
	}
	return true
}

// receive echoes a heartbeat, and passes any frame but a hello to the handler. It reports whether
// the connection goes on.
func (c *inboundConn) receive(f *Frame) bool {
	if f.Type == MsgHello {
		return c.identify(f)
	}
	if f.Type == MsgHeartbeat && !c.sendEcho() {
		return false
	}
	c.transport.onFrame(c.peer, f)
	return true
}

// echoFrame answers a heartbeat on its own connection. Its only purpose is to keep the sender from
// closing the connection as idle.
var echoFrame = (&Frame{Type: MsgHeartbeat}).Append(nil)

func (c *inboundConn) sendEcho() bool {
	if c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(echoFrame)
	return err == nil
}

// readFrame reads the next frame. It logs why there is none.
func (c *inboundConn) readFrame() (*Frame, bool) {
	// It fails only on a closed connection, where the read fails after the frames in the buffer.
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
