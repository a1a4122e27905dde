// Package soak runs the real programs of the users' platform as separate processes on the loopback address, over stand-ins of the
// platform, injects faults from outside of them, and checks the promises by what callers and back ends see. A plan of faults
// is drawn from a seed; what the processes do with it is real and differs from run to run.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkState says what a proxy does with its connections. The zero value passes everything on.
type LinkState struct {
	// Delay holds up every piece of data.
	Delay time.Duration
	// HoldRequests and HoldAnswers keep the data of one direction until the link heals. Both together are silence.
	HoldRequests, HoldAnswers bool
	// Refuse resets new connections.
	Refuse bool
}

// Proxy passes the connections of a loopback address on to a target, with the faults of a link.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   LinkState
	changed chan struct{} // closed when the state changes
	conns   map[net.Conn]bool
	closed  bool
	// accepted counts the connections, and those up to silenced say nothing any more.
	accepted, silenced int
}

const copyBuffer = 16 << 10

// NewProxy returns a proxy to a target on an address of its own.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go proxy.accept()
	return proxy, nil
}

// Address is where the proxy listens.
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

// Silence has the present connections say nothing any more, for good and without a reset; new ones work.
func (proxy *Proxy) Silence() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.silenced = proxy.accepted
}

// isSilenced reports whether a connection, by its number, says nothing any more.
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

// Close ends the proxy and its connections.
func (proxy *Proxy) Close() {
	proxy.mu.Lock()
	proxy.closed = true
	proxy.mu.Unlock()
	_ = proxy.listener.Close() // nobody waits for its outcome
	proxy.Reset()
	proxy.Set(LinkState{})
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close resets only then; a failure closes it in order
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

func (proxy *Proxy) current() (LinkState, <-chan struct{}) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.state, proxy.changed
}

// track adds a connection to those that Reset reaches; false when the proxy is closed.
func (proxy *Proxy) track(conn net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if !proxy.closed {
		proxy.conns[conn] = true
	}
	return !proxy.closed
}

func (proxy *Proxy) forget(conn net.Conn) {
	proxy.mu.Lock()
	delete(proxy.conns, conn)
	proxy.mu.Unlock()
	_ = conn.Close() // it may be closed already
}

func (proxy *Proxy) serve(caller net.Conn) {
	state, _ := proxy.current()
	if state.Refuse || !proxy.track(caller) {
		resetConn(caller)
		return
	}
	defer proxy.forget(caller)
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		resetConn(caller)
		return
	}
	if !proxy.track(target) {
		resetConn(target)
		return
	}
	defer proxy.forget(target)
	number := proxy.number()
	var directions sync.WaitGroup
	directions.Go(func() { proxy.copy(number, target, caller, func(state LinkState) bool { return state.HoldRequests }) })
	directions.Go(func() { proxy.copy(number, caller, target, func(state LinkState) bool { return state.HoldAnswers }) })
	directions.Wait()
}

// copy passes one direction of a connection on. When its source ends, the target is closed the same way, unless the connection is silenced.
func (proxy *Proxy) copy(number int, target, source net.Conn, held func(LinkState) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			proxy.await(held)
			if proxy.isSilenced(number) {
				_, _ = io.Copy(io.Discard, source) // until the sender gives it up
				return
			}
			if _, writeErr := target.Write(buffer[:count]); writeErr != nil {
				resetConn(source)
				return
			}
		}
		if err != nil {
			proxy.await(held)
			if !proxy.isSilenced(number) {
				endLike(target, err)
			}
			return
		}
	}
}

// endLike ends a connection in order or with a reset, as its peer did.
func endLike(target net.Conn, err error) {
	tcp, ok := target.(*net.TCPConn)
	if !ok || err != io.EOF {
		resetConn(target)
		return
	}
	_ = tcp.CloseWrite() // it may be closed already
}

// await waits out the delay of the link and the time for which the direction is held.
func (proxy *Proxy) await(held func(LinkState) bool) {
	state, changed := proxy.current()
	if state.Delay > 0 {
		time.Sleep(state.Delay)
	}
	for held(state) {
		<-changed
		state, changed = proxy.current()
	}
}
