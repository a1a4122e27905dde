package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DiscardOnClose wraps a dial function so that closing a TCP connection resets it and discards what its peer has not received, also
// when the process ends. Without it the kernel goes on sending these bytes while a partition holds them up: a request then arrives
// after its caller has given it up.
func DiscardOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := connection.(*net.TCPConn)
		if !ok {
			return connection, nil
		}
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "set linger"), connection.Close())
		}
		return connection, nil
	}
}

// LimitUnacknowledged returns a control function of a net.Dialer. The kernel gives a connection up and discards its bytes if the peer
// does not acknowledge them in time, even while the process is stopped. A peer that does not read counts as one that does not
// acknowledge, and so do a few lost packets in a row.
func LimitUnacknowledged(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.CombineErrors(err, failure)
	}
}
