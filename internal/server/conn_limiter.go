package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// A node's sockets, as parts of what the settings give it. The rest is for the state
// service, the cloud, the siblings and whatever else the process has open.
const (
	inboundShare = 0.75 // users, workers and probes, who come by themselves
	commandShare = 0.2  // commands to workers
	// keepAliveShare of the first is how many may stay open while workers' connections are
	// kept between reports. What is above is for those who come meanwhile: a fleet may
	// have more machines than a node has sockets.
	keepAliveShare = 0.75
)

// connLimiter bounds the connections that others open. When there are too many, the one
// that has been idle for longest makes room for the new one, whoever's it is.
type connLimiter struct {
	limit   int
	mu      sync.Mutex
	open    int
	idle    *list.List    // of *socket, the longest idle first
	room    chan struct{} // told when one closes or becomes idle
	evicted atomic.Uint64
	refused atomic.Uint64
}

func newConnLimiter(totalSockets int) *connLimiter {
	return &connLimiter{limit: max(4, int(inboundShare*float64(totalSockets))), idle: list.New(), room: make(chan struct{}, 1)}
}

// acquireTimeout is how long a new connection waits for room: requests take milliseconds.
const acquireTimeout = 300 * time.Millisecond

// signalRoom tells the one that waits.
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

// nearLimit says whether workers' connections are closed after each report.
func (s *connLimiter) nearLimit() bool { return float64(s.count()) > keepAliveShare*float64(s.limit) }

// tryAcquire counts a new connection, if there is room or an idle one makes some.
func (s *connLimiter) tryAcquire() bool {
	s.mu.Lock()
	if s.open < s.limit {
		s.open++
		s.mu.Unlock()
		return true
	}
	e := s.idle.Front()
	s.mu.Unlock()
	if e == nil {
		return false
	}
	s.evicted.Add(1)
	e.Value.(*trackedConn).Close()
	return s.tryAcquire()
}

// acquire is take with some patience: those who come wait in the system's queue.
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

// onConnState follows the HTTP server's view of a connection.
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

// limitListener bounds a listener's connections.
func (s *connLimiter) limitListener(l net.Listener) net.Listener { return &limitedListener{l, s} }

type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

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

// trackedConn is a connection that counts. Its fields belong to the owner's lock.
type trackedConn struct {
	net.Conn
	limiter     *connLimiter
	closed      bool
	idleElement *list.Element // nil while it isn't
}

// removeFromIdle takes it out of the idle ones.
func (k *trackedConn) removeFromIdle() {
	if k.idleElement != nil {
		k.limiter.idle.Remove(k.idleElement)
		k.idleElement = nil
	}
}

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
