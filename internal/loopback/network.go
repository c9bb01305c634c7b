// Package loopback runs a cluster for tests on sockets of the loopback interface. The controllers are real; the key-value
// store, the cloud and the workers are in-memory implementations of their protocols. Tests can break each directed link.
// A Recorder records the tasks that workers run, independently of the controllers, and checks invariants.
package loopback

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// link is a directed link from one party to another. A party is a node, the key-value store, the cloud, or all machines of
// a zone.
type link struct{ from, to string }

// Network breaks and heals directed links between parties. Its methods may be called concurrently.
type Network struct {
	mu      sync.Mutex
	broken  map[link]chan struct{} // closed when the link heals
	delayed int                    // number of waits of a read or write for a broken link
	// dialers maps each connection to the party that opened it.
	dialers map[connection]string
}

// connection identifies a connection by both of its addresses, as several connections may share a local port.
type connection struct {
	from, to string
}

// NewNetwork returns a network in which all links work.
func NewNetwork() *Network {
	return &Network{broken: map[link]chan struct{}{}, dialers: map[connection]string{}}
}

// Break delays all data from one party to another until the link is healed.
func (n *Network) Break(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := (link{from, to}); n.broken[l] == nil {
		n.broken[l] = make(chan struct{})
	}
}

// Heal heals a link, so that delayed data is delivered.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.broken[link{from, to}]; gate != nil {
		close(gate)
		delete(n.broken, link{from, to})
	}
}

// HealAll heals all broken links.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, gate := range n.broken {
		close(gate)
		delete(n.broken, k)
	}
}

// DelayedCount returns the number of times that a read or write waited for a broken link.
func (n *Network) DelayedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delayed
}

// dialedFrom returns the party that opened the connection from one address to another, or "" if it is unknown.
func (n *Network) dialedFrom(from, to string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialers[connection{from, to}]
}

// gate returns a channel that is closed when a broken link heals, or nil if the link works.
func (n *Network) gate(from, to string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate := n.broken[link{from, to}]
	if gate != nil {
		n.delayed++
	}
	return gate
}

// Dialer returns a dial function for a party. nameOf returns the party that serves an address.
func (n *Network) Dialer(party string, nameOf func(addr string) string) func(ctx context.Context, network, addr string) (net.Conn,
	error) {
	dialer := net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.dialers[connection{conn.LocalAddr().String(), conn.RemoteAddr().String()}] = party
		n.mu.Unlock()
		return &gatedConn{Conn: conn, network: n, self: party, peer: nameOf(addr), done: make(chan struct{})}, nil
	}
}

// gatedConn is a connection whose reads and writes wait while the link in their direction is broken.
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

// deadline returns the value of one of the deadline fields.
func (c *gatedConn) deadline(field *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *field
}

// waitUntilHealed waits until a link works. It returns an error if the connection is closed or its deadline passes first.
func (c *gatedConn) waitUntilHealed(from, to string, field *time.Time) error {
	for {
		gate := c.network.gate(from, to)
		if gate == nil {
			return nil
		}
		var timeout <-chan time.Time
		if at := c.deadline(field); !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-gate:
		case <-c.done:
			return net.ErrClosed
		case <-timeout:
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
