package transport

import (
	"bufio"
	"math/rand/v2"
	"net"
	"time"
)

// minRedialDelay is the least time between two attempts to connect to a peer; a random time up to
// as long is added.
const minRedialDelay = 300 * time.Millisecond

// maintainConn keeps a connection to a peer and sends the frames of its outbox, until the
// transport is closed.
func (t *Transport) maintainConn(addr string, o *outbox) {
	for {
		if conn, err := t.Dial("tcp", addr, dialTimeout); err == nil && t.track(conn) {
			t.sendLoop(conn, o)
			t.closeConn(conn)
		}
		select {
		case <-t.done:
			return
		case <-time.After(minRedialDelay + rand.N(minRedialDelay)):
		}
		// Frames queued without a connection are outdated by the time there is one.
		o.drain()
	}
}

// sendLoop sends a hello and then the frames of an outbox, until the connection fails or the
// transport is closed.
func (t *Transport) sendLoop(conn net.Conn, o *outbox) {
	peerClosed := make(chan struct{})
	go func() {
		defer close(peerClosed)
		discardEchoes(conn)
	}()
	hello := Frame{Type: MsgHello, Node: t.self}
	buf := hello.Append(nil)
	for {
		if conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := conn.Write(buf); err != nil {
			return
		}
		select {
		case f := <-o.frames:
			buf = o.dequeued(f).Append(buf[:0])
			buf = o.appendQueued(buf)
		case <-peerClosed:
			return
		case <-t.done:
			return
		}
	}
}

// discardEchoes reads the echoes of heartbeats that a peer sends back, until the connection fails
// or is idle.
func discardEchoes(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		if conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		if _, err := Read(r); err != nil {
			return
		}
	}
}
