// Package network abstracts the network of a node: TCP in production, an in-memory network in simulations and tests.
package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the TCP network of the operating system.
type TCP struct{ Dialer net.Dialer }

// NewTCP returns a TCP network that bounds each connection attempt by timeout.
func NewTCP(timeout time.Duration) *TCP {
	return &TCP{Dialer: net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}}
}

// Listen implements Network.
func (tcp *TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext implements Network.
func (tcp *TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return DiscardOnClose(tcp.Dialer.DialContext)(ctx, network, address)
}

// Connections bounds the idle connections of a client; a zero Total means no bound.
type Connections struct {
	PerHost int
	Total   int
	// TLS is used for https; nil selects the default configuration.
	TLS *tls.Config
}

// NewClient returns an HTTP client over the network. It closes connections that were unused for the idle time, and follows no redirects.
func NewClient(through Network, idle time.Duration, connections Connections) *http.Client {
	transport := &http.Transport{
		DialContext:         through.DialContext,
		MaxIdleConnsPerHost: connections.PerHost,
		MaxIdleConns:        connections.Total,
		TLSClientConfig:     connections.TLS,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		WriteBufferSize:     connectionBuffer,
		ReadBufferSize:      connectionBuffer,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

const connectionBuffer = 4 << 10

// Traffic holds the counts of a Counted network.
type Traffic struct {
	Sent        atomic.Int64
	Received    atomic.Int64
	Connections atomic.Int64
}

// Counted wraps a network and counts the bytes of all connections, and the connections that were dialed.
type Counted struct {
	Network
	Traffic *Traffic
}

// Listen implements Network.
func (counted Counted) Listen(address string) (net.Listener, error) {
	listener, err := counted.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return countedListener{listener, counted.Traffic}, nil
}

// DialContext implements Network.
func (counted Counted) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := counted.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counted.Traffic.Connections.Add(1)
	return &countedConnection{connection, counted.Traffic}, nil
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (listener countedListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConnection{connection, listener.traffic}, nil
}

type countedConnection struct {
	net.Conn
	traffic *Traffic
}

func (connection *countedConnection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	connection.traffic.Received.Add(int64(count))
	return count, err
}

func (connection *countedConnection) Write(buffer []byte) (int, error) {
	count, err := connection.Conn.Write(buffer)
	connection.traffic.Sent.Add(int64(count))
	return count, err
}
