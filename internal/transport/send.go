package transport

import (
	"bufio"
	"math/rand/v2"
	"net"
	"time"
)

// minRedialDelay is the minimum delay between two attempts to connect to a peer. Jitter of up to the
// same duration is added.
const minRedialDelay = 300 * time.Millisecond

// connectLoop maintains a connection to a peer and sends the frames in the outbox on it, until the
// transport is closed.
func (t *Transport) connectLoop(addr string, o *outbox) {
	for {
		if conn, err := t.Dial("tcp", addr, dialTimeout); err == nil && t.trackConn(conn) {
			t.sendLoop(conn, o)
			t.closeConn(conn)
		}
		select {
		case <-t.done:
			return
		case <-time.After(minRedialDelay + rand.N(minRedialDelay)):
		}
		// Frames that were enqueued while there was no connection are stale.
		o.discardAll()
	}
}

// sendLoop sends a hello and then the frames in the outbox, until the connection fails or the transport is
// closed.
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

// discardEchoes reads and discards the heartbeats that the peer echoes, until the connection fails or no
// echo arrives for idleTimeout.
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
