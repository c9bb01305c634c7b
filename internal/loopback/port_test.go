package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"opaldale/internal/settings"
)

// TestAddressesOfKilledNodeStayReserved guards against another socket getting the port of a node that is not listening, so
// that the node cannot start: "bind: address already in use".
func TestAddressesOfKilledNodeStayReserved(t *testing.T) {
	c, err := Start(Options{Nodes: 1, Tune: func(*settings.Settings) {}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c.Kill(0)
	for _, addr := range []string{c.nodes[0].settings.Bind, c.nodes[0].settings.TransportAddr} {
		if _, err := net.Dial("tcp4", addr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("connecting to the killed node: got error %v, want %v", err, syscall.ECONNREFUSED)
		}
		local, err := net.ResolveTCPAddr("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		dialer := net.Dialer{LocalAddr: local}
		if conn, err := dialer.Dial("tcp4", other.Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
			if err == nil {
				conn.Close()
			}
			t.Errorf("outbound connection from the address of the killed node: got error %v, want %v", err, syscall.EADDRINUSE)
		}
	}
	if err := c.Restart(0); err != nil {
		t.Errorf("restarting the node: got error %v, want none", err)
	}
}
