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
	listenPart  = 0.75 // users, workers and probes, who come by themselves
	commandPart = 0.2  // commands to workers
	// crowdedPart of the first is how many may stay open while workers' connections are
	// kept between reports. What is above is for those who come meanwhile: a fleet may
	// have more machines than a node has sockets.
	crowdedPart = 0.75
)

// sockets bounds the connections that others open. When there are too many, the one
// that has been idle for longest makes room for the new one, whoever's it is.
type sockets struct {
	limit   int
	mu      sync.Mutex
	open    int
	idle    *list.List    // of *socket, the longest idle first
	room    chan struct{} // told when one closes or becomes idle
	evicted atomic.Uint64
	refused atomic.Uint64
}

func newSockets(all int) *sockets {
	return &sockets{limit: max(4, int(listenPart*float64(all))), idle: list.New(), room: make(chan struct{}, 1)}
}

// roomWait is how long a new connection waits for room: requests take milliseconds.
const roomWait = 300 * time.Millisecond

// freed tells the one that waits.
func (s *sockets) freed() {
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// count returns how many connections are open.
func (s *sockets) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// crowded says whether workers' connections are closed after each report.
func (s *sockets) crowded() bool { return float64(s.count()) > crowdedPart*float64(s.limit) }

// take counts a new connection, if there is room or an idle one makes some.
func (s *sockets) take() bool {
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
	e.Value.(*socket).Close()
	return s.take()
}

// add is take with some patience: those who come wait in the system's queue.
func (s *sockets) add() bool {
	if s.take() {
		return true
	}
	t := time.NewTimer(roomWait)
	defer t.Stop()
	for {
		select {
		case <-s.room:
			if s.take() {
				return true
			}
		case <-t.C:
			return false
		}
	}
}

// state follows the HTTP server's view of a connection.
func (s *sockets) state(c net.Conn, st http.ConnState) {
	k, ok := c.(*socket)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k.leave()
	if st == http.StateIdle && !k.closed {
		k.idle = s.idle.PushBack(k)
		s.freed()
	}
}

// listen bounds a listener's connections.
func (s *sockets) listen(l net.Listener) net.Listener { return &bounded{l, s} }

type bounded struct {
	net.Listener
	sockets *sockets
}

func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.sockets.add() {
			return &socket{Conn: c, owner: b.sockets}, nil
		}
		b.sockets.refused.Add(1)
		c.Close()
	}
}

// socket is a connection that counts. Its fields belong to the owner's lock.
type socket struct {
	net.Conn
	owner  *sockets
	closed bool
	idle   *list.Element // nil while it isn't
}

// leave takes it out of the idle ones.
func (k *socket) leave() {
	if k.idle != nil {
		k.owner.idle.Remove(k.idle)
		k.idle = nil
	}
}

func (k *socket) Close() error {
	k.owner.mu.Lock()
	if !k.closed {
		k.closed = true
		k.owner.open--
		k.leave()
		k.owner.freed()
	}
	k.owner.mu.Unlock()
	return k.Conn.Close()
}
