package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// batchDelay is how long a notice waits to be batched with others: a crash interrupts all requests of a replica at
	// once. A replica has some 16 of them.
	batchDelay = 5 * time.Millisecond
	// MaxNoticeEntries bounds the crashes, and the cleared requests, in one notice, which must fit into a datagram of
	// 2,048 bytes: 100 bytes are left for each crash with the identifier of its replica, and 34 for each cleared
	// request.
	MaxNoticeEntries = 12
	// MaxNoticeReservations bounds the reservations in one notice, of 36 bytes each.
	MaxNoticeReservations = 8
)

// crashResendDelays and answerResendDelay are when a notice is sent again, since datagrams may be lost. Crashes are repeated
// until the request may be tried again, so that a node that is cut off for a moment learns of them before it sends the
// request.
var crashResendDelays = []time.Duration{250 * time.Millisecond, time.Second, 3 * time.Second}

const answerResendDelay = 250 * time.Millisecond

// reservationResendDelay is when a reservation is sent again, well before it is settled.
const reservationResendDelay = 150 * time.Millisecond

// CrashReport is the crash of a replica under a request.
type CrashReport struct {
	Fingerprint Fingerprint
	CrashEvent
}

// Notice is what a node broadcasts: the crashes that it has detected, the requests that were answered after a suspicion, and
// those that it waits to try or tries.
type Notice struct {
	Reporter string
	Crashes  []CrashReport
	Cleared  []Fingerprint
	// ClearedAt are the times of the answers to the cleared requests, in the same order. It is empty in notices of earlier
	// builds, which do not tell.
	ClearedAt []time.Time
	// Reserves is true if the reporter announces its trials by Reservations. Earlier builds do not.
	Reserves     bool
	Reservations []Reservation
}

func (notice *Notice) empty() bool {
	return len(notice.Crashes)+len(notice.Cleared)+len(notice.Reservations) == 0
}

// outbox queues crashes and cleared requests to be broadcast. The zero value is empty; it is safe for concurrent use.
type outbox struct {
	mu      sync.Mutex
	pending Notice
	wake    chan struct{}
}

// addCrashes queues all recorded crashes under a request, since other nodes may have missed the earlier ones. Those known
// from the stored record only reach the other nodes by it.
func (outbox *outbox) addCrashes(fingerprint Fingerprint, events []CrashEvent) {
	outbox.mu.Lock()
	for _, event := range events {
		if !event.InterruptedAt.IsZero() {
			outbox.pending.Crashes = append(outbox.pending.Crashes, CrashReport{fingerprint, event})
		}
	}
	outbox.mu.Unlock()
	outbox.notify()
}

func (outbox *outbox) addCleared(fingerprint Fingerprint, answeredAt time.Time) {
	outbox.mu.Lock()
	outbox.pending.Cleared = append(outbox.pending.Cleared, fingerprint)
	outbox.pending.ClearedAt = append(outbox.pending.ClearedAt, answeredAt)
	outbox.mu.Unlock()
	outbox.notify()
}

func (outbox *outbox) addReservation(reservation Reservation) {
	outbox.mu.Lock()
	outbox.pending.Reservations = append(outbox.pending.Reservations, reservation)
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
	pending := &outbox.pending
	crashes := min(MaxNoticeEntries, len(pending.Crashes))
	cleared := min(MaxNoticeEntries, len(pending.Cleared))
	reservations := min(MaxNoticeReservations, len(pending.Reservations))
	notice = Notice{
		Crashes: pending.Crashes[:crashes:crashes], Cleared: pending.Cleared[:cleared:cleared], ClearedAt: pending.ClearedAt[:cleared:cleared],
		Reserves: true, Reservations: pending.Reservations[:reservations:reservations],
	}
	pending.Crashes, pending.Cleared, pending.ClearedAt = pending.Crashes[crashes:], pending.Cleared[cleared:], pending.ClearedAt[cleared:]
	pending.Reservations = pending.Reservations[reservations:]
	return notice, !pending.empty()
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
			guard.broadcast(notice)
		}
	}
}

func (guard *Guard) broadcast(notice Notice) {
	if guard.Broadcaster == nil || notice.empty() {
		return
	}
	notice.Reporter = guard.Node
	guard.reconciler.recordMentions(notice)
	guard.Broadcaster.Broadcast(notice)
}

// announceCrashes broadcasts all recorded crashes under a request, now and again after each of crashResendDelays unless the
// request is cleared meanwhile.
func (guard *Guard) announceCrashes(fingerprint Fingerprint) {
	send := func() { guard.outbox.addCrashes(fingerprint, guard.Tracker.Suspected(fingerprint).Events) }
	send()
	for _, delay := range crashResendDelays {
		time.AfterFunc(delay, send)
	}
}

// announceAnswer broadcasts that a suspected request was answered, twice.
func (guard *Guard) announceAnswer(fingerprint Fingerprint, answeredAt time.Time) {
	guard.outbox.addCleared(fingerprint, answeredAt)
	time.AfterFunc(answerResendDelay, func() { guard.outbox.addCleared(fingerprint, answeredAt) })
}

// announceReservation broadcasts a reservation, twice.
func (guard *Guard) announceReservation(reservation Reservation) {
	guard.outbox.addReservation(reservation)
	time.AfterFunc(reservationResendDelay, func() { guard.outbox.addReservation(reservation) })
}
