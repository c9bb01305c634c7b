package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Shares of the sockets of a node. The remainder is for connections to the key-value store, the provider
// and the peers, and for other open files of the process.
const (
	inboundShare = 0.75 // inbound connections of users, workers and health checks
	commandShare = 0.2  // outbound connections that send commands to workers
	// keepAliveShare is the share of the limit on inbound connections above which connections of
	// workers are closed after each heartbeat. The remainder is reserved for new connections, because
	// a fleet may have more machines than a node has sockets.
	keepAliveShare = 0.75

	minInbound = 4 // lower bound on the limit of inbound connections
	// acquireTimeout is the maximum time that a new connection waits for another one to close or to
	// become idle. Requests take milliseconds.
	acquireTimeout = 300 * time.Millisecond
)

// connLimiter limits the number of inbound connections. At the limit, it closes the connection that has
// been idle longest before it accepts a new one. Its methods may be called from any goroutine.
type connLimiter struct {
	limit     int
	mu        sync.Mutex
	open      int
	idle      *list.List    // of *trackedConn, longest idle first
	slotFreed chan struct{} // signalled when a connection closes or becomes idle
	evicted   atomic.Uint64 // idle connections closed for new ones
	refused   atomic.Uint64 // new connections closed because the limit was reached
}

func newConnLimiter(totalSockets int) *connLimiter {
	return &connLimiter{
		limit:     max(minInbound, int(inboundShare*float64(totalSockets))),
		idle:      list.New(),
		slotFreed: make(chan struct{}, 1),
	}
}

// signalSlotFreed wakes up a waiting call of acquire, if there is one.
func (l *connLimiter) signalSlotFreed() {
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// count returns the number of open connections.
func (l *connLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// nearLimit reports whether so many connections are open that those of workers should be closed after
// each heartbeat.
func (l *connLimiter) nearLimit() bool { return float64(l.count()) > keepAliveShare*float64(l.limit) }

// tryAcquire counts a new connection unless the limit is reached, and reports whether it did. At the
// limit, it closes idle connections first.
func (l *connLimiter) tryAcquire() bool {
	for {
		acquired, idle := l.acquireOrFindIdle()
		if acquired {
			return true
		}
		if idle == nil {
			return false
		}
		l.evicted.Add(1)
		_ = idle.Close() // the connection is dropped even if this fails
	}
}

// acquireOrFindIdle counts a new connection unless the limit is reached. At the limit, it returns the
// connection that has been idle longest, or nil if no connection is idle.
func (l *connLimiter) acquireOrFindIdle() (acquired bool, idle *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		l.open++
		return true, nil
	}
	if e := l.idle.Front(); e != nil {
		return false, e.Value.(*trackedConn)
	}
	return false, nil
}

// acquire counts a new connection. At the limit, it waits up to acquireTimeout for another connection to
// close or to become idle, and returns false if none does. Meanwhile further connections wait in the
// listener's backlog.
func (l *connLimiter) acquire() bool {
	if l.tryAcquire() {
		return true
	}
	timeout := time.NewTimer(acquireTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-l.slotFreed:
			if l.tryAcquire() {
				return true
			}
		case <-timeout.C:
			return false
		}
	}
}

// onConnState tracks which connections are idle. It is the ConnState hook of the HTTP server.
func (l *connLimiter) onConnState(netConn net.Conn, connState http.ConnState) {
	conn, ok := netConn.(*trackedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.removeFromIdle()
	if connState == http.StateIdle && !conn.closed {
		conn.idleElement = l.idle.PushBack(conn)
		l.signalSlotFreed()
	}
}

// limitListener returns a listener whose connections count against the limit.
func (l *connLimiter) limitListener(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

// limitedListener is a listener whose connections count against a limit.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept implements net.Listener. It closes connections that exceed the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.acquire() {
			return &trackedConn{Conn: conn, limiter: l.limiter}, nil
		}
		l.limiter.refused.Add(1)
		conn.Close()
	}
}

// trackedConn is a connection that counts against the limit. The limiter's mutex guards its fields.
type trackedConn struct {
	net.Conn
	limiter     *connLimiter
	closed      bool
	idleElement *list.Element // in the limiter's list; nil while the connection is in use
}

// removeFromIdle removes the connection from the list of idle ones. The caller holds the limiter's mutex.
func (c *trackedConn) removeFromIdle() {
	if c.idleElement != nil {
		c.limiter.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// Close implements net.Conn. The first call also releases the connection's slot in the limiter.
func (c *trackedConn) Close() error {
	c.limiter.mu.Lock()
	if !c.closed {
		c.closed = true
		c.limiter.open--
		c.removeFromIdle()
		c.limiter.signalSlotFreed()
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
