package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against silenced connections that transmit data or a close, and against silencing connections that are opened later.
func TestProxySilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }() // echoes until the peer closes
		}
	}()
	proxy, err := NewProxy(listener.Addr().String())
	must.NoError(t, err)
	defer proxy.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", proxy.Address())
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
		return conn, bufio.NewReader(conn)
	}
	echo := func(conn net.Conn, reader *bufio.Reader) (string, error) {
		_, err := fmt.Fprintln(conn, "hello")
		must.NoError(t, err)
		return reader.ReadString('\n')
	}
	old, oldReader := dial()
	defer old.Close()
	answer, err := echo(old, oldReader)
	must.NoError(t, err)
	must.Eq(t, "hello\n", answer)
	proxy.Silence()
	_, err = echo(old, oldReader)
	must.True(t, isTimeout(err), must.Sprint(err))
	next, nextReader := dial()
	defer next.Close()
	answer, err = echo(next, nextReader)
	must.NoError(t, err)
	must.Eq(t, "hello\n", answer)
}
