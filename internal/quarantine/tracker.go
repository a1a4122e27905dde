package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/backend"
)

const (
	// holdThreshold is the number of crashes from which a request is held and then tried by one node at a time. A single
	// crash may have another cause. With three replicas of a service, one remains to serve other requests.
	holdThreshold = 2
	// holdDuration is how long a request is held after a crash: longer than a replica takes to restart, which was 3.0 to
	// 3.9 s where it was observed.
	holdDuration = 4 * time.Second
	// deputyTrialDelay and anyNodeTrialDelay are the times after the last crash from which the deputy, which is the node
	// that ranks first for the request, and then any node may try a request. The reporter of the last crash may try it
	// sooner, but that node may be gone, and a datagram that cleared the request may be lost.
	deputyTrialDelay  = 2 * holdDuration
	anyNodeTrialDelay = 3 * holdDuration
	// trialTurn is how long a quarantined request waits at most for each other one that is tried before it. It covers a trial
	// by the reporter and one by the deputy.
	trialTurn = 2 * holdDuration
	// quarantineThreshold is the number of crashes from which a request is quarantined.
	quarantineThreshold = 3
	// trialLimit is the number of crashes from which a request gets no further trial, unless they coincide with crashes of
	// other replicas (see mayBeTried). A quarantined request gets one, since each crash may have had another
	// cause. It is tried by the deputy after quarantineTrialDelay.
	trialLimit           = quarantineThreshold + 1
	quarantineTrialDelay = 30 * time.Second
	// simultaneousWindow is the time within which crashes under one request count as one. Machines that fail together
	// interrupt the requests that all of them run, which are the most frequent ones; a request that crashes replicas does
	// so some time after each of its runs began.
	simultaneousWindow = 10 * time.Millisecond
	// quarantineDuration is how long a quarantined request is not sent. The fault lies in the software of the replicas and
	// is fixed by a release hours later; until then each quarantine that expires costs about three replicas.
	quarantineDuration = time.Hour
	// suspicionDuration is how long a crash counts against a request that is not quarantined.
	suspicionDuration = 10 * time.Minute
	// maxEntries bounds the number of suspected requests.
	maxEntries = 4096
	// maxEvents bounds the crashes that are kept for a request. They are kept so that a crash reported by several nodes
	// counts once.
	maxEvents = 8
)

// Decision is the result of admitting a request.
type Decision struct {
	Allowed bool
	// Crashes is the number of crashes that count against the request.
	Crashes int
	// Trial is true if the request is allowed as a trial run.
	Trial bool
	// RetryAfter is how long to wait before sending a request that is not allowed now.
	RetryAfter time.Duration
	// Attributed is true if the newest crash is attributed to another request, Culprit.
	Attributed bool
	Culprit    Fingerprint
	// Coincidental is true if so many of the crashes coincide with those of replicas that did not run the request that fewer than
	// quarantine takes are left.
	Coincidental bool
	// Reason is why a request is not allowed now.
	Reason HoldReason
	// SinceCrash and SinceTrial are the times since the last crash that counts and since this node's last trial; zero for never.
	SinceCrash, SinceTrial time.Duration
	// Blocking is the number of other requests whose trials must end first, as far as this node knows.
	Blocking int
	// Reservation must be broadcast unless its Duration is zero.
	Reservation Reservation
}

// HoldReason is what a held request waits for.
type HoldReason int

// Hold reasons.
const (
	// NotHeld is the reason of a request that is allowed.
	NotHeld HoldReason = iota
	// HeldAfterCrash is a request whose last crash is so recent that its replica may not have restarted.
	HeldAfterCrash
	// HeldAfterTrial is a request that this node has tried so recently that a crash in the trial may not have been detected.
	HeldAfterTrial
	// HeldForOtherNode is a request that another node may try now, and this node later or never.
	HeldForOtherNode
	// HeldForOtherRequest is a request whose turn follows those of others that the same crash interrupted.
	HeldForOtherRequest
	// HeldForGood is a request that gets no further trial before its quarantine ends.
	HeldForGood
)

var holdReasonNames = [...]string{"not held", "crash", "own trial", "other node", "other request", "quarantine"}

// String returns the name used in logs.
func (reason HoldReason) String() string { return holdReasonNames[reason] }

// CrashEvent is the crash of a replica while it ran a request.
type CrashEvent struct {
	Replica string
	// InterruptedAt is when the request was interrupted; zero if the crash is known from the stored record only.
	InterruptedAt time.Time
}

// Tracker holds the requests that this node suspects of crashing replicas. It is safe for concurrent use. Callers pass in
// the current time; a clock that stops while the machine is suspended only lengthens a hold.
type Tracker struct {
	node string
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	heads   map[head]int // heads of the entries, with the number of entries that share each
	changes uint64       // counts additions, changes and removals of entries
	// answered holds when requests were last known to be answered, so that a report that arrives late does not count again
	// what an answer has disproved.
	answered answers
	crashes  knownCrashes
}

// entry is the state of one suspected request.
type entry struct {
	events    []CrashEvent // the most recent crashes, at most maxEvents
	crashes   int          // the number that counts; simultaneous crashes count once
	reporter  string       // the node that reported the last crash
	lastSeen  time.Time    // when this node learned of the last crash that counts
	lastTrial time.Time    // when this node last tried the request
	until     time.Time    // the end of the quarantine; zero outside
	// restoredAt is when the stored record was last merged; zero for never.
	restoredAt time.Time
	// storedCrashes is the number in the stored record, zero for none. It may be lower than crashes.
	storedCrashes int

	reserved reservations
	// unreserved is true if the reporter of the last crash runs an earlier build, which does not reserve its trials.
	unreserved bool

	// Cached result of compareWithOthers, valid while the tracker's changes equals computedAt.
	culprit      Fingerprint
	attributed   bool
	coincidental bool
	peers        trialPeers
	computedAt   uint64
}

// NewTracker returns an empty tracker for a node.
func NewTracker(node string) *Tracker {
	return &Tracker{node: node, entries: make(map[Fingerprint]*entry), heads: make(map[head]int)}
}

// MayBeSuspected reports whether a request may be suspected, without reading its body. It takes no lock if no request is
// suspected.
func (tracker *Tracker) MayBeSuspected(service string, request *backend.Request) bool {
	if tracker.size.Load() == 0 {
		return false
	}
	wanted := headOf(service, request)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.heads[wanted] > 0
}

// RecordCrash records the crash of a replica under a request, as seen by the reporter, and returns how many crashes count;
// added is false if the crash was already recorded, or the request has been answered since. interruptedAt is when the
// request was interrupted, which may be seconds before the crash was detected.
func (tracker *Tracker) RecordCrash(fingerprint Fingerprint, replica, reporter string, interruptedAt, now time.Time) (crashes int, added bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.crashes.add(replica, interruptedAt) {
		tracker.changes++
	}
	if tracker.answered.disprove(fingerprint, interruptedAt) {
		return tracker.countOf(fingerprint), false
	}
	known := tracker.getOrCreate(fingerprint, now)
	if known.hasCrash(replica) {
		return known.crashes, false
	}
	simultaneous := known.hasSimultaneous(interruptedAt)
	known.addEvent(CrashEvent{replica, interruptedAt})
	if simultaneous {
		return known.crashes, true
	}
	known.setCrashes(known.crashes+1, reporter, now, now.Add(quarantineDuration))
	return known.crashes, true
}

// countOf returns the number of crashes that count against a request. It must be called with mu held.
func (tracker *Tracker) countOf(fingerprint Fingerprint) int {
	if known := tracker.entries[fingerprint]; known != nil {
		return known.crashes
	}
	return 0
}

// Suspicion is a copy of what a node has recorded about a suspected request.
type Suspicion struct {
	// Crashes is the number of crashes that count; Events are the most recent crashes.
	Crashes int
	Events  []CrashEvent
	// StoredCrashes is the number in the stored record, zero for none. The tracker sets it, Restore ignores it.
	StoredCrashes int
	// Reporter is the node that reported the last crash.
	Reporter string
	// Until is the end of the quarantine; zero if the request is not quarantined.
	Until time.Time
}

// Restore merges the stored record of a quarantined request.
func (tracker *Tracker) Restore(fingerprint Fingerprint, stored Suspicion, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known := tracker.getOrCreate(fingerprint, now)
	for _, event := range stored.Events {
		if !known.hasCrash(event.Replica) {
			known.addEvent(event)
		}
	}
	if stored.Crashes > known.crashes {
		known.setCrashes(stored.Crashes, stored.Reporter, now, stored.Until)
	}
	known.until, known.restoredAt = stored.Until, now
	known.storedCrashes = max(known.storedCrashes, stored.Crashes)
}

// hasCrash reports whether the crash of a replica is recorded.
func (entry *entry) hasCrash(replica string) bool {
	return slices.ContainsFunc(entry.events, func(event CrashEvent) bool { return event.Replica == replica })
}

// hasSimultaneous reports whether a recorded crash interrupted the request at about the given time.
func (entry *entry) hasSimultaneous(interruptedAt time.Time) bool {
	return slices.ContainsFunc(entry.events, func(other CrashEvent) bool {
		return !other.InterruptedAt.IsZero() && interruptedAt.Sub(other.InterruptedAt).Abs() < simultaneousWindow
	})
}

// addEvent records a crash in the order of the interruptions, since reports may arrive in another order, and drops the oldest
// if there are too many.
func (entry *entry) addEvent(event CrashEvent) {
	if len(entry.events) == maxEvents {
		entry.events = slices.Delete(entry.events, 0, 1)
	}
	place := len(entry.events)
	for place > 0 && entry.events[place-1].InterruptedAt.After(event.InterruptedAt) && !event.InterruptedAt.IsZero() {
		place--
	}
	entry.events = slices.Insert(entry.events, place, event)
}

// setCrashes sets the number of crashes, and quarantines the request once it reaches quarantineThreshold.
func (entry *entry) setCrashes(crashes int, reporter string, now, until time.Time) {
	entry.crashes, entry.reporter, entry.lastSeen = crashes, reporter, now
	entry.reserved, entry.unreserved = reservations{}, false
	if crashes >= quarantineThreshold {
		entry.until = until
	}
}

// getOrCreate returns the entry of a request for modification, in place of one that has expired. It must be called with mu
// held.
func (tracker *Tracker) getOrCreate(fingerprint Fingerprint, now time.Time) *entry {
	tracker.changes++
	known := tracker.entries[fingerprint]
	if known != nil && known.expired(now) {
		tracker.remove(fingerprint)
		known = nil
	}
	if known == nil {
		tracker.evict(now)
		known = &entry{}
		tracker.entries[fingerprint] = known
		tracker.heads[fingerprint.head()]++
		tracker.size.Store(int64(len(tracker.entries)))
	}
	return known
}

// remove must be called with mu held.
func (tracker *Tracker) remove(fingerprint Fingerprint) {
	if tracker.entries[fingerprint] == nil {
		return
	}
	tracker.changes++
	delete(tracker.entries, fingerprint)
	if tracker.heads[fingerprint.head()]--; tracker.heads[fingerprint.head()] == 0 {
		delete(tracker.heads, fingerprint.head())
	}
	tracker.size.Store(int64(len(tracker.entries)))
}

// evict removes expired entries and, if the tracker is still full, the entry whose last crash is the oldest. It must be
// called with mu held.
func (tracker *Tracker) evict(now time.Time) {
	var oldest Fingerprint
	var oldestAt time.Time
	for fingerprint, known := range tracker.entries {
		if known.expired(now) {
			tracker.remove(fingerprint)
			continue
		}
		if oldestAt.IsZero() || known.lastSeen.Before(oldestAt) {
			oldest, oldestAt = fingerprint, known.lastSeen
		}
	}
	if len(tracker.entries) >= maxEntries {
		tracker.remove(oldest)
	}
}

// expired reports whether the entry no longer counts.
func (entry *entry) expired(now time.Time) bool {
	if entry.until.IsZero() {
		return now.Sub(entry.lastSeen) > suspicionDuration
	}
	return now.After(entry.until)
}

func (entry *entry) quarantined(now time.Time) bool {
	return entry.crashes >= quarantineThreshold && !entry.expired(now)
}

// Clear removes a request that a replica has answered or whose quarantine was lifted, and reports whether the request was
// suspected.
func (tracker *Tracker) Clear(fingerprint Fingerprint) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	_, known := tracker.entries[fingerprint]
	tracker.remove(fingerprint)
	return known
}

// Suspected returns the suspicion of a request; the zero value if it is not suspected.
func (tracker *Tracker) Suspected(fingerprint Fingerprint) Suspicion {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known := tracker.entries[fingerprint]
	if known == nil {
		return Suspicion{}
	}
	return Suspicion{
		Crashes: known.crashes, Events: slices.Clone(known.events), StoredCrashes: known.storedCrashes, Reporter: known.reporter, Until: known.until,
	}
}

// Quarantined returns the number of quarantined requests.
func (tracker *Tracker) Quarantined() int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	count := 0
	for _, known := range tracker.entries {
		if !known.until.IsZero() {
			count++
		}
	}
	return count
}

// Claim describes the right of this node to try a suspected request.
type Claim struct {
	// Deputy is true if this node ranks first for the request.
	Deputy bool
}

// Admit decides whether a request may be sent to a replica now. The caller must send a request that is allowed: a trial is
// granted once.
func (tracker *Tracker) Admit(fingerprint Fingerprint, claim Claim, now time.Time) Decision {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known := tracker.entries[fingerprint]
	if known == nil || known.expired(now) {
		return Decision{Allowed: true}
	}
	decision := Decision{Crashes: known.crashes}
	tracker.attribute(fingerprint, known, now)
	decision.Culprit, decision.Attributed, decision.Coincidental = known.culprit, known.attributed, known.coincidental
	switch {
	case known.crashes < holdThreshold:
		decision.Allowed = true
	case tracker.trialAllowed(fingerprint, known, claim, &decision, now):
		known.lastTrial = now
		decision.Allowed, decision.Trial = true, true
	case known.crashes < quarantineThreshold, known.triedSoon():
		decision.RetryAfter = max(holdDuration-now.Sub(known.lastSeen), minRetryDelay)
	default:
		decision.RetryAfter = known.until.Sub(now)
	}
	if !decision.Allowed {
		decision.explain(known, tracker.dueAfter(known, claim), now)
	}
	return decision
}

// explain records why the request is held. due is the time after the last crash from which this node may try it; negative if
// it may not.
func (decision *Decision) explain(entry *entry, due time.Duration, now time.Time) {
	decision.SinceCrash = now.Sub(entry.lastSeen)
	if !entry.lastTrial.IsZero() {
		decision.SinceTrial = now.Sub(entry.lastTrial)
	}
	switch {
	case entry.crashes >= quarantineThreshold && !entry.mayBeTried():
		decision.Reason = HeldForGood
	case decision.SinceCrash < holdDuration:
		decision.Reason = HeldAfterCrash
	case due < 0 || decision.SinceCrash < due:
		decision.Reason = HeldForOtherNode
	case now.Before(entry.lastTrial.Add(holdDuration)):
		decision.Reason = HeldAfterTrial
	default:
		decision.Reason = HeldForOtherRequest
	}
}

// dueAfter returns the time after the last crash from which this node may try a held request; negative if it may not. It must
// be called with mu held.
func (tracker *Tracker) dueAfter(entry *entry, claim Claim) time.Duration {
	if entry.crashes >= quarantineThreshold {
		due, eligible := tracker.trialDue(entry, claim)
		if !eligible {
			return -1
		}
		return due
	}
	switch {
	case entry.reporter == tracker.node:
		return holdDuration
	case claim.Deputy:
		return deputyTrialDelay
	}
	return anyNodeTrialDelay
}

// minRetryDelay bounds RetryAfter from below for a request whose hold is over but which another node has to try.
const minRetryDelay = time.Second

// trialAllowed reports whether this node may try a held request now. Trials by one node are at least holdDuration apart,
// so that a crash in one is detected before the next. It must be called with mu held.
func (tracker *Tracker) trialAllowed(fingerprint Fingerprint, entry *entry, claim Claim, decision *Decision, now time.Time) bool {
	afterTrial := entry.lastTrial.Add(holdDuration)
	if entry.crashes >= quarantineThreshold {
		due, eligible := tracker.trialDue(entry, claim)
		return eligible && entry.takeTurn(fingerprint, max(due, afterTrial.Sub(entry.lastSeen)), decision, now)
	}
	return !now.Before(afterTrial) && now.Sub(entry.lastSeen) >= tracker.dueAfter(entry, claim)
}

// trialDue returns the time after the last crash from which this node may try a quarantined request; eligible is false if it
// may not. It must be called with mu held.
func (tracker *Tracker) trialDue(entry *entry, claim Claim) (due time.Duration, eligible bool) {
	switch {
	case !entry.mayBeTried():
		return 0, false
	case entry.triedSoon() && entry.reporter == tracker.node: // trials by all nodes at once would exceed the one that is allowed
		return holdDuration, true
	case entry.triedSoon():
		return deputyTrialDelay, claim.Deputy
	default:
		return quarantineTrialDelay, claim.Deputy
	}
}
