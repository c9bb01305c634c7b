package loopback

import (
	"fmt"
	"net/netip"
	"syscall"
)

// reservedPort is a TCP port of the loopback interface that no other socket gets from the kernel. Its owner can listen on it,
// stop, and listen again. While the owner does not listen, connections to it are refused.
type reservedPort struct {
	descriptor int
	addr       netip.AddrPort
}

// reservePort reserves a port that is currently free. It binds a socket that never listens: the kernel gives the port to no
// other listener that asks for any port and to no outbound connection, while a listener that names it, with SO_REUSEADDR as
// package net sets it, may share it.
func reservePort() (reservedPort, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservedPort{}, fmt.Errorf("reserving a port: %w", err)
	}
	addr, err := bindToAnyPort(descriptor)
	if err != nil {
		_ = syscall.Close(descriptor) // the first error is reported
		return reservedPort{}, fmt.Errorf("reserving a port: %w", err)
	}
	return reservedPort{descriptor: descriptor, addr: addr}, nil
}

// bindToAnyPort binds a socket to a port of the kernel's choice and returns its address.
func bindToAnyPort(descriptor int) (netip.AddrPort, error) {
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, err
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := syscall.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, err
	}
	inet4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, fmt.Errorf("address of a bound socket: got %T, want an IPv4 address", bound)
	}
	return netip.AddrPortFrom(loopback, uint16(inet4.Port)), nil
}

// release frees the port. It must not be called twice.
func (p reservedPort) release() {
	_ = syscall.Close(p.descriptor) // the descriptor is valid, and nothing was written to it
}
