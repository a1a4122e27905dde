package network

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// ServedListener accepts connections that are not closed while a call is served on them. http.Server closes the connections that it takes for
// idle, at a planned stop, and does not notice a request that it is just reading.
type ServedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (listener ServedListener) Accept() (net.Conn, error) {
	conn, err := listener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &servedConn{TCPConn: conn}, nil
}

// servedConn is a connection of a ServedListener.
type servedConn struct {
	*net.TCPConn

	mu     sync.Mutex
	busy   bool // a call is being served
	closed bool
}

// Close implements net.Conn. It does nothing while a call is served: the server closes the connection again after the answer, as it keeps no
// connections alive from then on.
func (conn *servedConn) Close() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.busy {
		return nil
	}
	conn.closed = true
	return conn.TCPConn.Close()
}

// beginCall keeps the connection open until endCall. It returns false if the connection is closed already.
func (conn *servedConn) beginCall() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = !conn.closed
	return conn.busy
}

func (conn *servedConn) endCall() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = false
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ServeCalls makes a server keep connections open while it serves calls on them. Its listener must be a ServedListener. A call that was read
// from a connection which has been closed meanwhile is not begun: nobody could read its answer.
func ServeCalls(server *http.Server, onClosed func(*http.Request)) {
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, served := request.Context().Value(connKey{}).(*servedConn)
		if !served {
			handler.ServeHTTP(writer, request)
			return
		}
		if !conn.beginCall() {
			onClosed(request)
			panic(http.ErrAbortHandler)
		}
		defer conn.endCall()
		handler.ServeHTTP(writer, request)
	})
}
