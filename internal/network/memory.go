package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Memory is a network inside one process, for simulations and tests. Hosts can be partitioned from each other: bytes that are sent are then
// lost without an error, new connections hang, and a connection that lost bytes is reset at the first write after the partition.
type Memory struct {
	mu          sync.Mutex
	listeners   map[string]*memoryListener
	partitioned func(from, to netip.Addr) bool
	latency     func(from, to netip.Addr) time.Duration
}

// NewMemory returns a network without partitions.
func NewMemory() *Memory { return &Memory{listeners: make(map[string]*memoryListener)} }

// SetPartition replaces the partitions. partitioned reports whether bytes from one host to another are lost; nil ends all partitions.
func (memory *Memory) SetPartition(partitioned func(from, to netip.Addr) bool) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.partitioned = partitioned
}

// SetLatency replaces the latency of writes from one host to another; nil means none.
func (memory *Memory) SetLatency(latency func(from, to netip.Addr) time.Duration) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.latency = latency
}

func (memory *Memory) latencyOf(from, to netip.Addr) time.Duration {
	memory.mu.Lock()
	latency := memory.latency
	memory.mu.Unlock()
	if latency == nil {
		return 0
	}
	return latency(from, to)
}

func (memory *Memory) isPartitioned(from, to netip.Addr) bool {
	memory.mu.Lock()
	partitioned := memory.partitioned
	memory.mu.Unlock()
	return partitioned != nil && partitioned(from, to)
}

// At returns the network of one host.
func (memory *Memory) At(host netip.Addr) Network { return memoryHost{memory, host} }

type memoryHost struct {
	memory *Memory
	host   netip.Addr
}

type memoryListener struct {
	memory  *Memory
	address string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// acceptBacklog is how many connections can wait to be accepted by a listener.
const acceptBacklog = 64

// Listen implements Network. The address is host:port; the host may differ from that of the network.
func (host memoryHost) Listen(address string) (net.Listener, error) {
	memory := host.memory
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if _, taken := memory.listeners[address]; taken {
		return nil, errors.Wrapf(syscall.EADDRINUSE, "listen %s", address)
	}
	listener := &memoryListener{memory: memory, address: address, accepts: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	memory.listeners[address] = listener
	return listener, nil
}

// Accept implements net.Listener.
func (listener *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.accepts:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (listener *memoryListener) Close() error {
	listener.once.Do(func() {
		listener.memory.mu.Lock()
		delete(listener.memory.listeners, listener.address)
		listener.memory.mu.Unlock()
		close(listener.closed)
		listener.reset()
	})
	return nil
}

// reset closes the connections that wait to be accepted.
func (listener *memoryListener) reset() {
	for {
		select {
		case connection := <-listener.accepts:
			_ = connection.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (listener *memoryListener) Addr() net.Addr { return memoryAddress(listener.address) }

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (address memoryAddress) String() string { return string(address) }

// memoryDialTimeout bounds a dial to a partitioned host or a listener with a full backlog.
const memoryDialTimeout = 2 * time.Second

// DialContext implements Network.
func (host memoryHost) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	// An HTTP transport dials without the deadline of its request.
	ctx, cancel := context.WithTimeout(ctx, memoryDialTimeout)
	defer cancel()
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	if host.memory.isPartitioned(host.host, target.Addr()) || host.memory.isPartitioned(target.Addr(), host.host) {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
	}
	host.memory.mu.Lock()
	listener := host.memory.listeners[address]
	host.memory.mu.Unlock()
	if listener == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
	}
	near, far := net.Pipe()
	link := &memoryLink{}
	select {
	case listener.accepts <- &memoryConnection{Conn: far, memory: host.memory, link: link, from: target.Addr(), to: host.host}:
		select {
		case <-listener.closed:
			listener.reset()
		default:
		}
		return &memoryConnection{Conn: near, memory: host.memory, link: link, from: host.host, to: target.Addr()}, nil
	case <-listener.closed:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
	}
}

// memoryLink is the state that both ends of a connection share.
type memoryLink struct {
	mu   sync.Mutex
	lost bool // bytes were lost in a partition
}

type memoryConnection struct {
	net.Conn
	memory   *Memory
	link     *memoryLink
	from, to netip.Addr
}

// RemoteAddr implements net.Conn.
func (connection *memoryConnection) RemoteAddr() net.Addr {
	return memoryAddress(netip.AddrPortFrom(connection.to, 0).String())
}

// Write implements net.Conn.
func (connection *memoryConnection) Write(buffer []byte) (int, error) {
	partitioned := connection.memory.isPartitioned(connection.from, connection.to)
	connection.link.mu.Lock()
	lost := connection.link.lost
	connection.link.lost = lost || partitioned
	connection.link.mu.Unlock()
	switch {
	case partitioned:
		return len(buffer), nil
	case lost:
		_ = connection.Conn.Close()
		return 0, errors.Wrap(syscall.ECONNRESET, "write")
	default:
		if delay := connection.memory.latencyOf(connection.from, connection.to); delay > 0 {
			time.Sleep(delay)
		}
		return connection.Conn.Write(buffer)
	}
}
