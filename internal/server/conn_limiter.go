package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The sockets of a node are divided by these shares. The rest is for the key-value store, the
// provider, the peers and other files of the process.
const (
	inboundShare = 0.75 // connections of users, workers and probes
	commandShare = 0.2  // commands to workers
	// keepAliveShare is the part of the inbound connections up to which those of workers are kept
	// open between heartbeats. The others are for new connections: a fleet may have more machines
	// than a node has sockets.
	keepAliveShare = 0.75

	minInbound = 4 // least limit of inbound connections
	// acquireTimeout is how long a new connection waits for room: requests take milliseconds.
	acquireTimeout = 300 * time.Millisecond
)

// connLimiter bounds the connections that others open. At the limit, the connection that has been idle
// for longest is closed for a new one.
type connLimiter struct {
	limit   int
	mu      sync.Mutex
	open    int
	idle    *list.List    // of *trackedConn, the longest idle first
	room    chan struct{} // signalled when a connection closes or becomes idle
	evicted atomic.Uint64 // idle connections closed for new ones
	refused atomic.Uint64 // new connections closed at the limit
}

func newConnLimiter(totalSockets int) *connLimiter {
	return &connLimiter{
		limit: max(minInbound, int(inboundShare*float64(totalSockets))),
		idle:  list.New(),
		room:  make(chan struct{}, 1),
	}
}

// signalRoom wakes up a new connection that waits for room.
func (s *connLimiter) signalRoom() {
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// count returns how many connections are open.
func (s *connLimiter) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// nearLimit says whether connections of workers are to be closed after each heartbeat.
func (s *connLimiter) nearLimit() bool { return float64(s.count()) > keepAliveShare*float64(s.limit) }

// tryAcquire counts a new connection if there is room for it, for which it closes idle ones.
func (s *connLimiter) tryAcquire() bool {
	for {
		acquired, idle := s.acquireOrFindIdle()
		if acquired {
			return true
		}
		if idle == nil {
			return false
		}
		s.evicted.Add(1)
		_ = idle.Close() // it is given up in any case
	}
}

// acquireOrFindIdle counts a new connection if there is room. Otherwise it returns the connection that
// has been idle for longest, nil without any.
func (s *connLimiter) acquireOrFindIdle() (acquired bool, idle *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open < s.limit {
		s.open++
		return true, nil
	}
	if e := s.idle.Front(); e != nil {
		return false, e.Value.(*trackedConn)
	}
	return false, nil
}

// acquire counts a new connection, and waits for room if there is none. Further connections wait in
// the queue of the operating system meanwhile.
func (s *connLimiter) acquire() bool {
	if s.tryAcquire() {
		return true
	}
	t := time.NewTimer(acquireTimeout)
	defer t.Stop()
	for {
		select {
		case <-s.room:
			if s.tryAcquire() {
				return true
			}
		case <-t.C:
			return false
		}
	}
}

// onConnState tracks which connections are idle; it is the HTTP server's ConnState hook.
func (s *connLimiter) onConnState(c net.Conn, connState http.ConnState) {
	conn, ok := c.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.removeFromIdle()
	if connState == http.StateIdle && !conn.closed {
		conn.idleElement = s.idle.PushBack(conn)
		s.signalRoom()
	}
}

// limitListener bounds the connections of a listener.
func (s *connLimiter) limitListener(l net.Listener) net.Listener { return &limitedListener{l, s} }

// limitedListener is a listener whose connections are counted.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept implements net.Listener. Connections without room are closed.
func (b *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.limiter.acquire() {
			return &trackedConn{Conn: c, limiter: b.limiter}, nil
		}
		b.limiter.refused.Add(1)
		c.Close()
	}
}

// trackedConn is a connection that counts against the limit. The limiter's mutex guards its fields.
type trackedConn struct {
	net.Conn
	limiter     *connLimiter
	closed      bool
	idleElement *list.Element // in the limiter's list; nil while the connection is in use
}

// removeFromIdle removes the connection from the idle ones. The limiter's mutex must be held.
func (k *trackedConn) removeFromIdle() {
	if k.idleElement != nil {
		k.limiter.idle.Remove(k.idleElement)
		k.idleElement = nil
	}
}

// Close implements net.Conn.
func (k *trackedConn) Close() error {
	k.limiter.mu.Lock()
	if !k.closed {
		k.closed = true
		k.limiter.open--
		k.removeFromIdle()
		k.limiter.signalRoom()
	}
	k.limiter.mu.Unlock()
	return k.Conn.Close()
}
