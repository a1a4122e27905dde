package main

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/thistlewalk/thistlewalk/internal/network"
)

// Guards against connections of the program whose bytes outlive their call: any that is opened without a reset at its end, and a
// holder's that the kernel goes on serving while the process is frozen.
func TestConnectionsDiscardTheirBytes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	cases := []struct {
		name             string
		dial             network.DialFunc
		unacknowledgedMS int
	}{
		{"requests", dialer(), 0},
		{"calls of a holder", holderDialer(), int(holderDataTimeout.Milliseconds())},
	}
	for _, c := range cases {
		connection, err := c.dial(t.Context(), "tcp4", listener.Addr().String())
		must.NoError(t, err, must.Sprint(c.name))
		raw, err := connection.(*net.TCPConn).SyscallConn()
		must.NoError(t, err)
		must.NoError(t, raw.Control(func(descriptor uintptr) {
			linger, err := unix.GetsockoptLinger(int(descriptor), unix.SOL_SOCKET, unix.SO_LINGER)
			must.NoError(t, err)
			must.Eq(t, unix.Linger{Onoff: 1, Linger: 0}, *linger, must.Sprint(c.name))
			limit, err := unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			must.NoError(t, err)
			must.Eq(t, c.unacknowledgedMS, limit, must.Sprint(c.name))
		}))
		must.NoError(t, connection.Close())
	}
}
