// Package soak runs the real programs as separate processes on the loopback address, with stand-ins for the users' platform and the replicas. It
// injects faults from outside the processes and checks the product's promises by what callers and replicas observe. A seed determines the plan of
// faults; the timing within the processes still differs from run to run.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkState holds the faults of a link. The zero value forwards all data.
type LinkState struct {
	// Delay delays every chunk of data.
	Delay time.Duration
	// HoldRequests and HoldAnswers hold the data of one direction until the link heals. Both together act as a network partition.
	HoldRequests, HoldAnswers bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy forwards connections from a loopback address to a target, and simulates the faults of a link.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   LinkState
	changed chan struct{} // closed when the state changes
	conns   map[net.Conn]bool
	closed  bool
	// accepted counts the connections. Those numbered up to silenced transmit nothing any more.
	accepted, silenced int
}

const copyBuffer = 16 << 10

// NewProxy starts a proxy to a target on a free port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go proxy.accept()
	return proxy, nil
}

// Address returns the address on which the proxy listens.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// Set changes the state of the link.
func (proxy *Proxy) Set(state LinkState) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.state = state
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Reset resets all connections.
func (proxy *Proxy) Reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		resetConn(conn)
	}
}

// Silence makes the open connections drop all data from now on, without closing or resetting them. New connections work.
func (proxy *Proxy) Silence() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.silenced = proxy.accepted
}

// isSilenced reports whether the connection with the given number is silenced.
func (proxy *Proxy) isSilenced(number int) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return number <= proxy.silenced
}

// number returns the number of a new connection.
func (proxy *Proxy) number() int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.accepted++
	return proxy.accepted
}

// Close stops the proxy and resets its connections.
func (proxy *Proxy) Close() {
	proxy.mu.Lock()
	proxy.closed = true
	proxy.mu.Unlock()
	_ = proxy.listener.Close() // on failure, track still rejects new connections
	proxy.Reset()
	proxy.Set(LinkState{})
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset; on failure, the connection is closed normally
	}
	_ = conn.Close() // it may be closed already
}

func (proxy *Proxy) accept() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(conn)
	}
}

func (proxy *Proxy) currentState() (LinkState, <-chan struct{}) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.state, proxy.changed
}

// track adds a connection to those that Reset resets. It returns false if the proxy is closed.
func (proxy *Proxy) track(conn net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if !proxy.closed {
		proxy.conns[conn] = true
	}
	return !proxy.closed
}

func (proxy *Proxy) untrack(conn net.Conn) {
	proxy.mu.Lock()
	delete(proxy.conns, conn)
	proxy.mu.Unlock()
	_ = conn.Close() // it may be closed already
}

func (proxy *Proxy) serve(caller net.Conn) {
	state, _ := proxy.currentState()
	if state.Refuse || !proxy.track(caller) {
		resetConn(caller)
		return
	}
	defer proxy.untrack(caller)
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		resetConn(caller)
		return
	}
	if !proxy.track(target) {
		resetConn(target)
		return
	}
	defer proxy.untrack(target)
	number := proxy.number()
	var directions sync.WaitGroup
	directions.Go(func() { proxy.copy(number, target, caller, func(state LinkState) bool { return state.HoldRequests }) })
	directions.Go(func() { proxy.copy(number, caller, target, func(state LinkState) bool { return state.HoldAnswers }) })
	directions.Wait()
}

// copy forwards one direction of a connection. When the source ends, copy closes the target the same way, unless the connection is silenced.
func (proxy *Proxy) copy(number int, target, source net.Conn, held func(LinkState) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			proxy.awaitDelivery(held)
			if proxy.isSilenced(number) {
				_, _ = io.Copy(io.Discard, source) // until the sender closes the connection
				return
			}
			if _, writeErr := target.Write(buffer[:count]); writeErr != nil {
				resetConn(source)
				return
			}
		}
		if err != nil {
			proxy.awaitDelivery(held)
			if !proxy.isSilenced(number) {
				closeLike(target, err)
			}
			return
		}
	}
}

// closeLike closes a connection normally or with a reset, as its peer did.
func closeLike(target net.Conn, err error) {
	tcp, ok := target.(*net.TCPConn)
	if !ok || err != io.EOF {
		resetConn(target)
		return
	}
	_ = tcp.CloseWrite() // it may be closed already
}

// awaitDelivery waits for the link's delay and until the direction is no longer held.
func (proxy *Proxy) awaitDelivery(held func(LinkState) bool) {
	state, changed := proxy.currentState()
	if state.Delay > 0 {
		time.Sleep(state.Delay)
	}
	for held(state) {
		<-changed
		state, changed = proxy.currentState()
	}
}
