package network_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/network"
)

const (
	// heldBytes exceeds what the stalled peer's kernel receives, and fits into the sender's send buffer.
	heldBytes     = 256 << 10
	receiveBuffer = 4 << 10
)

// stalledPeer accepts one connection and reads nothing until Drain.
type stalledPeer struct {
	listener net.Listener
	accepted chan net.Conn
}

func newStalledPeer(t *testing.T) *stalledPeer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(descriptor uintptr) {
		err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	}))
	must.NoError(t, err)
	peer := &stalledPeer{listener: listener, accepted: make(chan net.Conn, 1)}
	go func() {
		if connection, err := listener.Accept(); err == nil {
			peer.accepted <- connection
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return peer
}

// drain reads everything that still arrives.
func (peer *stalledPeer) drain(t *testing.T) (received int64, err error) {
	t.Helper()
	connection := <-peer.accepted
	defer connection.Close()
	must.NoError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
	return io.Copy(io.Discard, connection)
}

// send writes heldBytes, which the peer does not read yet.
func send(t *testing.T, dial network.DialFunc, peer *stalledPeer) net.Conn {
	t.Helper()
	connection, err := dial(t.Context(), "tcp4", peer.listener.Addr().String())
	must.NoError(t, err)
	must.NoError(t, connection.(*net.TCPConn).SetWriteBuffer(2*heldBytes))
	must.NoError(t, connection.SetWriteDeadline(time.Now().Add(2*time.Second)))
	_, err = connection.Write(make([]byte, heldBytes))
	must.NoError(t, err)
	return connection
}

// Guards against a request that reaches its receiver after its call was given up: the bytes that were held up are sent on.
func TestClosedConnectionDeliversNothingMore(t *testing.T) {
	peer := newStalledPeer(t)
	connection := send(t, network.NewTCP(time.Second).DialContext, peer)
	must.NoError(t, connection.Close())
	received, err := peer.drain(t)
	must.Less(t, heldBytes, received)
	must.True(t, errors.Is(err, syscall.ECONNRESET), must.Sprint(err))
}

// Guards against a call that reaches its receiver while the process that made it is stopped and can't close the connection.
func TestUnacknowledgedBytesAreGivenUp(t *testing.T) {
	peer := newStalledPeer(t)
	dialer := &net.Dialer{Control: network.LimitUnacknowledged(200 * time.Millisecond)}
	connection := send(t, dialer.DialContext, peer)
	defer connection.Close()
	time.Sleep(1500 * time.Millisecond)
	received, err := peer.drain(t)
	must.Less(t, heldBytes, received)
	must.True(t, errors.Is(err, syscall.ECONNRESET), must.Sprint(err))
}
