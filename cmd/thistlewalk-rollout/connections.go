package main

import (
	"context"
	"net"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/network"
)

// TCP keep-alive detects peers that lost power and therefore never close their connections.
const (
	dialTimeout       = 700 * time.Millisecond
	keepAliveIdle     = 1000 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// holderDataTimeout is how long the kernel tries to deliver the bytes of a holder's call. It acts while the process itself can't close
// the connection, because it is frozen, and has to end well before a successor's first call.
const holderDataTimeout = 400 * time.Millisecond

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// dialer returns the dial function for requests, and for calls of the store and of other nodes.
func dialer() network.DialFunc {
	return network.DiscardOnClose((&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive()}).DialContext)
}

// holderDialer returns the dial function for calls that only the holder of a lease may make: their bytes must not outlive the lease.
// Requests have no such limit, which would cut a long body that its receiver reads slowly.
func holderDialer() network.DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: network.LimitUnacknowledged(holderDataTimeout)}
	return network.DiscardOnClose(dialer.DialContext)
}

func listen(address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{KeepAliveConfig: keepAlive()}).Listen(context.Background(), "tcp", address)
	if tcp, ok := listener.(*net.TCPListener); ok {
		return network.ServedListener{TCPListener: tcp}, nil
	}
	return listener, err
}
