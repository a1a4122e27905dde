package network

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose peer has sent its last byte.
const tcpCloseWait = 8

// ResetConn is a TCP connection on which a reset is not read as the end of the stream. The kernel reports a reset once: if a concurrent write
// gets the error, reads return io.EOF, as if the peer had sent everything.
type ResetConn struct {
	net.Conn
	writing     atomic.Int32 // writes in progress
	writeFailed atomic.Bool
}

// Write implements net.Conn.
func (conn *ResetConn) Write(content []byte) (int, error) {
	conn.writing.Add(1)
	defer conn.writing.Add(-1)
	written, err := conn.Conn.Write(content)
	if err != nil {
		conn.writeFailed.Store(true)
	}
	return written, err
}

// Read implements net.Conn.
func (conn *ResetConn) Read(content []byte) (int, error) {
	count, err := conn.Conn.Read(content)
	if errors.Is(err, io.EOF) && conn.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return count, err
}

// wasReset reports whether a write may have got the error of a reset. The state of the connection then tells a reset from the end of the
// stream; where it is unknown, and where a reset followed the end, the stream counts as reset.
func (conn *ResetConn) wasReset() bool {
	if conn.writing.Load() == 0 && !conn.writeFailed.Load() {
		return false
	}
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var state uint8
	controlErr := raw.Control(func(descriptor uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return controlErr != nil || err != nil || state != tcpCloseWait
}
