// Package loopback is a cluster for tests on real sockets of the loopback interface: real
// controllers, and stand-ins for the state service, the cloud and the workers, with a switch
// on every directed link. What workers ran and users were told is recorded apart from the
// controllers, and checked when all is over.
package loopback

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// Network holds the links that are broken, by their two ends in the direction of what is
// sent.
type Network struct {
	mu     sync.Mutex
	broken map[[2]string]chan struct{} // of a broken link, closed when it heals
	held   int
	// dialers tells which party opened a connection.
	dialers map[connection]string
}

// connection names a connection by both addresses: a local port may be in use for several, to
// different addresses.
type connection struct {
	from, to string
}

// NewNetwork makes links that all work.
func NewNetwork() *Network {
	return &Network{broken: map[[2]string]chan struct{}{}, dialers: map[connection]string{}}
}

// Break holds up all that is sent from one party to another until the link heals.
func (s *Network) Break(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := [2]string{from, to}; s.broken[k] == nil {
		s.broken[k] = make(chan struct{})
	}
}

// Heal delivers what was held up.
func (s *Network) Heal(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gate := s.broken[[2]string{from, to}]; gate != nil {
		close(gate)
		delete(s.broken, [2]string{from, to})
	}
}

// HealAll heals all links.
func (s *Network) HealAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, gate := range s.broken {
		close(gate)
		delete(s.broken, k)
	}
}

// HeldCount counts how often something was held up.
func (s *Network) HeldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// dialedFrom tells which party opened a connection from an address to another, empty if none of
// these did.
func (s *Network) dialedFrom(from, to string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialers[connection{from, to}]
}

func (s *Network) gate(from, to string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := s.broken[[2]string{from, to}]
	if gate != nil {
		s.held++
	}
	return gate
}

// Dialer opens connections of one party; names tells who is at an address.
func (s *Network) Dialer(party string, nameOf func(addr string) string) func(ctx context.Context, network, addr string) (net.Conn,
	error) {
	dialer := net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.dialers[connection{conn.LocalAddr().String(), conn.RemoteAddr().String()}] = party
		s.mu.Unlock()
		return &gatedConn{Conn: conn, network: s, self: party, peer: nameOf(addr), done: make(chan struct{})}, nil
	}
}

// gatedConn is a connection whose bytes wait while their direction is broken.
type gatedConn struct {
	net.Conn
	network    *Network
	self, peer string
	closeOnce  sync.Once
	done       chan struct{}

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

func (c *gatedConn) deadline(which *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *which
}

// waitUntilHealed returns when the direction works.
func (c *gatedConn) waitUntilHealed(from, to string, which *time.Time) error {
	for {
		gate := c.network.gate(from, to)
		if gate == nil {
			return nil
		}
		var over <-chan time.Time
		if at := c.deadline(which); !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			over = timer.C
		}
		select {
		case <-gate:
		case <-c.done:
			return net.ErrClosed
		case <-over:
			return os.ErrDeadlineExceeded
		}
	}
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.waitUntilHealed(c.self, c.peer, &c.writeDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gateErr := c.waitUntilHealed(c.peer, c.self, &c.readDeadline); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

func (c *gatedConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

func (c *gatedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *gatedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	return c.Conn.Close()
}
