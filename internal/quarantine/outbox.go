package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// batchDelay is how long a notice waits to be batched with others: a crash interrupts all requests of a replica at
	// once.
	batchDelay = 5 * time.Millisecond
	// resendDelay is when a notice is sent a second time, since a datagram may be lost.
	resendDelay = 250 * time.Millisecond
	// MaxNoticeEntries bounds the crashes, and the cleared requests, in one notice, which must fit into a datagram of
	// 2,048 bytes: 100 bytes are left for each crash with the identifier of its replica, and 28 for each cleared
	// request.
	MaxNoticeEntries = 12
)

// CrashReport is the crash of a replica under a request.
type CrashReport struct {
	Fingerprint Fingerprint
	CrashEvent
}

// Notice is what a node broadcasts: the crashes that it has detected, and the requests that were answered after a
// suspicion.
type Notice struct {
	Reporter string
	Crashes  []CrashReport
	Cleared  []Fingerprint
}

// outbox queues crashes and cleared requests to be broadcast. The zero value is empty; it is safe for concurrent use.
type outbox struct {
	mu      sync.Mutex
	pending Notice
	wake    chan struct{}
}

// addCrashes queues all recorded crashes under a request, since other nodes may have missed the earlier ones.
func (outbox *outbox) addCrashes(fingerprint Fingerprint, events []CrashEvent) {
	outbox.mu.Lock()
	for _, event := range events {
		outbox.pending.Crashes = append(outbox.pending.Crashes, CrashReport{fingerprint, event})
	}
	outbox.mu.Unlock()
	outbox.notify()
}

func (outbox *outbox) addCleared(fingerprint Fingerprint) {
	outbox.mu.Lock()
	outbox.pending.Cleared = append(outbox.pending.Cleared, fingerprint)
	outbox.mu.Unlock()
	outbox.notify()
}

// ready returns a channel that holds a value while something is queued.
func (outbox *outbox) ready() chan struct{} {
	outbox.mu.Lock()
	defer outbox.mu.Unlock()
	if outbox.wake == nil {
		outbox.wake = make(chan struct{}, 1)
	}
	return outbox.wake
}

func (outbox *outbox) notify() {
	select {
	case outbox.ready() <- struct{}{}:
	default:
	}
}

// next removes and returns as much as one datagram holds.
func (outbox *outbox) next() (notice Notice, more bool) {
	outbox.mu.Lock()
	defer outbox.mu.Unlock()
	crashes := min(MaxNoticeEntries, len(outbox.pending.Crashes))
	cleared := min(MaxNoticeEntries, len(outbox.pending.Cleared))
	notice = Notice{Crashes: outbox.pending.Crashes[:crashes:crashes], Cleared: outbox.pending.Cleared[:cleared:cleared]}
	outbox.pending.Crashes, outbox.pending.Cleared = outbox.pending.Crashes[crashes:], outbox.pending.Cleared[cleared:]
	return notice, len(outbox.pending.Crashes)+len(outbox.pending.Cleared) > 0
}

// runBroadcast broadcasts queued notices until the context ends.
func (guard *Guard) runBroadcast(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-guard.outbox.ready():
		}
		wait.Pause(ctx, batchDelay)
		for more := true; more; {
			var notice Notice
			notice, more = guard.outbox.next()
			guard.broadcastTwice(notice)
		}
	}
}

// broadcastTwice broadcasts a notice now and, without crashes under requests cleared meanwhile, again after resendDelay.
func (guard *Guard) broadcastTwice(notice Notice) {
	if guard.Broadcaster == nil {
		return
	}
	notice.Reporter = guard.Node
	guard.Broadcaster.Broadcast(notice)
	time.AfterFunc(resendDelay, func() {
		notice.Crashes = slices.DeleteFunc(slices.Clone(notice.Crashes), func(crash CrashReport) bool {
			return guard.Tracker.Suspected(crash.Fingerprint).Crashes == 0
		})
		guard.Broadcaster.Broadcast(notice)
	})
}
