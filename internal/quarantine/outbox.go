package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// gatherFor is how long what is to be told waits for more: a replica that ends breaks off some 16 requests at one time.
	gatherFor = 5 * time.Millisecond
	// againAfter is when it is told once more, since a datagram may be lost.
	againAfter = 250 * time.Millisecond
	// NoticeMost bounds the crashes and the cleared requests in one notice, which has to fit into a datagram of 2,048 bytes: 100 bytes are
	// left for each crash with the name of its replica, 28 for each cleared request.
	NoticeMost = 12
)

// Crash says that a replica ended under a request.
type Crash struct {
	Fingerprint Fingerprint
	End
}

// Notice is what a node tells the others: the ends of replicas that it saw, and the requests that it has seen answered since.
type Notice struct {
	Reporter string
	Crashes  []Crash
	Cleared  []Fingerprint
}

// outbox gathers what is to be told. The zero value is empty; it is safe for concurrent use.
type outbox struct {
	mu      sync.Mutex
	waiting Notice
	wake    chan struct{}
}

// crashed has all ends under a request told that this node knows of: others may have missed the earlier ones.
func (outbox *outbox) crashed(fingerprint Fingerprint, ends []End) {
	outbox.mu.Lock()
	for _, end := range ends {
		outbox.waiting.Crashes = append(outbox.waiting.Crashes, Crash{fingerprint, end})
	}
	outbox.mu.Unlock()
	outbox.nudge()
}

func (outbox *outbox) cleared(fingerprint Fingerprint) {
	outbox.mu.Lock()
	outbox.waiting.Cleared = append(outbox.waiting.Cleared, fingerprint)
	outbox.mu.Unlock()
	outbox.nudge()
}

// woken returns the channel that holds a notice while something waits.
func (outbox *outbox) woken() chan struct{} {
	outbox.mu.Lock()
	defer outbox.mu.Unlock()
	if outbox.wake == nil {
		outbox.wake = make(chan struct{}, 1)
	}
	return outbox.wake
}

func (outbox *outbox) nudge() {
	select {
	case outbox.woken() <- struct{}{}:
	default:
	}
}

// next removes and returns what one datagram takes of what waits.
func (outbox *outbox) next() (told Notice, more bool) {
	outbox.mu.Lock()
	defer outbox.mu.Unlock()
	crashes := min(NoticeMost, len(outbox.waiting.Crashes))
	cleared := min(NoticeMost, len(outbox.waiting.Cleared))
	told = Notice{Crashes: outbox.waiting.Crashes[:crashes:crashes], Cleared: outbox.waiting.Cleared[:cleared:cleared]}
	outbox.waiting.Crashes, outbox.waiting.Cleared = outbox.waiting.Crashes[crashes:], outbox.waiting.Cleared[cleared:]
	return told, len(outbox.waiting.Crashes)+len(outbox.waiting.Cleared) > 0
}

// tell tells other nodes until the context ends.
func (guard *Guard) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-guard.outbox.woken():
		}
		wait.Pause(ctx, gatherFor)
		for more := true; more; {
			var told Notice
			told, more = guard.outbox.next()
			guard.tellTwice(told)
		}
	}
}

// tellTwice tells other nodes now and a little later, then without what was cleared in between.
func (guard *Guard) tellTwice(told Notice) {
	if guard.Teller == nil {
		return
	}
	told.Reporter = guard.Node
	guard.Teller.Tell(told)
	time.AfterFunc(againAfter, func() {
		told.Crashes = slices.DeleteFunc(slices.Clone(told.Crashes), func(crash Crash) bool {
			return guard.Book.Suspected(crash.Fingerprint).Crashes == 0
		})
		guard.Teller.Tell(told)
	})
}
