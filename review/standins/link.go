package main

import (
	"net"
	"sync"
	"time"
)

// firstRetransmission is the time after which TCP first sends a lost segment again; the time doubles with each further try.
const firstRetransmission = 200 * time.Millisecond

// link is the way to a replica, which can be cut. A cut holds up the bytes of open connections. They arrive after the link has healed, when
// their sender's TCP next sends them again, also if the sending process has closed the connection or has ended meanwhile. A connection
// that is opened during a cut comes up only if the caller still waits when the link heals.
type link struct {
	target  string
	address string

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed when the link is whole
	// onHeld is called with bytes that the cut holds up on an open connection.
	onHeld func(content []byte)
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	way := &link{target: target, address: listener.Addr().String(), healed: make(chan struct{}), onHeld: func([]byte) {}}
	close(way.healed)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go way.connect(near)
		}
	}()
	return way, nil
}

func (way *link) setCut(onHeld func([]byte)) {
	way.mu.Lock()
	defer way.mu.Unlock()
	way.cut, way.healed, way.onHeld = true, make(chan struct{}), onHeld
}

func (way *link) heal() {
	way.mu.Lock()
	defer way.mu.Unlock()
	way.cut = false
	close(way.healed)
}

func (way *link) state() (cut bool, healed chan struct{}, onHeld func([]byte)) {
	way.mu.Lock()
	defer way.mu.Unlock()
	return way.cut, way.healed, way.onHeld
}

// segment is what was read at one time.
type segment struct {
	content []byte
	sent    time.Time
}

func (way *link) connect(near net.Conn) {
	defer near.Close()
	received := make(chan segment, 64)
	go readSegments(near, received)
	segments := received
	if cut, healed, _ := way.state(); cut {
		if segments = comesUp(received, healed); segments == nil {
			return
		}
	}
	far, err := net.Dial("tcp4", way.target)
	if err != nil {
		return
	}
	defer far.Close()
	answers := make(chan segment, 64)
	go readSegments(far, answers)
	go func() {
		way.pass(answers, near, func([]byte) {})
		_ = near.Close()
	}()
	way.pass(segments, far, func(content []byte) {
		_, _, onHeld := way.state()
		onHeld(content)
	})
}

// readSegments reads a connection to its end.
func readSegments(from net.Conn, to chan<- segment) {
	defer close(to)
	for {
		buffer := make([]byte, 16<<10)
		count, err := from.Read(buffer)
		if count > 0 {
			to <- segment{buffer[:count], time.Now()}
		}
		if err != nil {
			return
		}
	}
}

// pass writes what was read in one direction. A cut holds it up.
func (way *link) pass(segments <-chan segment, to net.Conn, onHeld func([]byte)) {
	for next := range segments {
		if cut, healed, _ := way.state(); cut {
			onHeld(next.content)
			<-healed
			time.Sleep(time.Until(retransmission(next.sent, time.Now())))
		}
		if _, err := to.Write(next.content); err != nil {
			return
		}
	}
}

// comesUp waits until the link heals. It returns what the caller has sent and sends, or nil if the caller has left by then.
func comesUp(received <-chan segment, healed <-chan struct{}) chan segment {
	var early []segment
	for waiting := true; waiting; {
		select {
		case next, open := <-received:
			if !open {
				return nil
			}
			early = append(early, next)
		case <-healed:
			waiting = false
		}
	}
	passed := make(chan segment, 64)
	go func() {
		defer close(passed)
		for _, next := range early {
			passed <- next
		}
		for next := range received {
			passed <- next
		}
	}()
	return passed
}

// retransmission returns when TCP sends a segment again for the first time at or after a moment.
func retransmission(sent, from time.Time) time.Time {
	wait, at := firstRetransmission, sent
	for at.Before(from) {
		at = at.Add(wait)
		wait *= 2
	}
	return at
}
