// Package loopback runs a cluster for tests on sockets of the loopback interface: real controllers, and implementations of
// the protocols of the key-value store, the cloud and the workers. Every directed link can be broken. What workers run is
// recorded independently of the controllers, and checked at the end.
package loopback

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// link is a link from one party to another.
type link struct{ from, to string }

// Network breaks and heals directed links between parties. Its methods may be called concurrently.
type Network struct {
	mu     sync.Mutex
	broken map[link]chan struct{} // closed when the link heals
	held   int                    // reads and writes that were held up
	// dialers has the party that opened each connection.
	dialers map[connection]string
}

// connection identifies a connection by both addresses, as a local port may be in use for several.
type connection struct {
	from, to string
}

// NewNetwork returns a network without a broken link.
func NewNetwork() *Network {
	return &Network{broken: map[link]chan struct{}{}, dialers: map[connection]string{}}
}

// Break holds up all data from one party to another until the link heals.
func (n *Network) Break(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := (link{from, to}); n.broken[l] == nil {
		n.broken[l] = make(chan struct{})
	}
}

// Heal heals a link, which delivers what was held up.
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

// HeldCount returns how many reads and writes were held up.
func (n *Network) HeldCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

// dialedFrom returns the party that opened the connection from one address to another, "" if it is not known.
func (n *Network) dialedFrom(from, to string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialers[connection{from, to}]
}

// gate returns a channel that is closed when a link heals, nil if the link works.
func (n *Network) gate(from, to string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate := n.broken[link{from, to}]
	if gate != nil {
		n.held++
	}
	return gate
}

// Dialer returns a function that opens connections of a party. nameOf returns the party at an address.
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

// gatedConn is a connection whose data waits while the link in its direction is broken.
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

// waitUntilHealed waits until a link works. It returns an error if the connection is closed or its deadline passes before.
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
