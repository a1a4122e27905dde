package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/backend"
)

const (
	// holdAt is how many replicas must have ended under a request for it to rest, and then to be tried by one node at a time: one may have
	// ended for another reason. Of three replicas of a service one is left then, which goes on serving others.
	holdAt = 2
	// holdFor is how long it rests: longer than a replica takes to be back, which was 3.0 to 3.9 s where it was seen, and shorter than the 5 s
	// for which an item of a job may be at no replica.
	holdFor = 4 * time.Second
	// deputyTriesAfter is when the node that ranks first for a request may try it, and anyoneAfter when any may: the node that saw the last end,
	// which may sooner, may be gone, and a datagram that cleared the request may be lost.
	deputyTriesAfter = 2 * holdFor
	anyoneAfter      = 3 * holdFor
	// quarantineAt is how many replicas must have ended under a request for it to be sent no more.
	quarantineAt = 3
	// trialsUntil is how many replicas must have ended for a request to get no further trial. One is left to a request in quarantine: it may
	// have run beside three other causes. Of a job's request that is likelier, which runs for seconds, and the job can't be whole without it, so
	// its trial comes after holdFor; that of others, which the node that ranks first makes, after deputyTrialAfter, and only by a process that
	// has run for suspicionFor before: one that has not may not know of earlier ends, if all nodes were killed before one was kept.
	trialsUntil      = quarantineAt + 1
	deputyTrialAfter = 30 * time.Second
	// together is the time within which ends of replicas count as one: machines that fail at the same moment do not fail under the requests
	// that all of them run, which are those that come most often. Under one request, replicas end some time after each has begun.
	together = 10 * time.Millisecond
	// quarantineFor is how long a request is sent no more. It is a fault of a replica's software that a newer release mends, which takes hours;
	// each hour costs some three replicas until then.
	quarantineFor = time.Hour
	// suspicionFor is how long the end of a replica counts against a request that is not in quarantine.
	suspicionFor = 10 * time.Minute
	// entriesMost bounds the requests that are remembered, at 740 bytes each with eight ends (3 MB in all, measured on a full book). Ends of
	// replicas are few: some 16 requests are at each.
	entriesMost = 4096
	// endsMost bounds the ends that are remembered of a request, so that one which several nodes tell of counts once.
	endsMost = 8
)

// Decision says whether a request may be sent to a replica now.
type Decision struct {
	Allowed bool
	// Crashes is how many replicas have ended under the request.
	Crashes int
	// Trial says that the request may be tried this once.
	Trial bool
	// After is when a request that is not allowed may come again.
	After time.Duration
	// Explained says that the newest end is put down to another request, which is Culprit.
	Explained bool
	Culprit   Fingerprint
}

// End is the end of a replica under a request.
type End struct {
	Replica string
	// Broke is when the request broke off.
	Broke time.Time
}

// Book is what a node knows of requests under which replicas ended. It is safe for concurrent use; times are passed in. They may come from a
// clock that stands still while the machine is suspended: a request rests longer then, which breaks no promise.
type Book struct {
	node  string
	begun time.Time
	size  atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	heads   map[head]int // of the entries, with how many have each
	changes uint64       // how often an entry was added, changed or removed
}

// entry is what is known of one request.
type entry struct {
	first    time.Time // when this node learned of the first end
	ends     []End     // as far as they are remembered
	crashes  int       // as they count
	reporter string    // who saw the last end
	last     time.Time // when this node learned of it
	tried    time.Time // when the request was tried last after a rest
	until    time.Time // the end of the quarantine; zero outside

	// What the newest end is put down to, as found after judgedAt changes of the book.
	culprit   Fingerprint
	explained bool
	judgedAt  uint64
}

// NewBook returns an empty book of a node whose process begins now.
func NewBook(node string, now time.Time) *Book {
	return &Book{node: node, begun: now, entries: make(map[Fingerprint]*entry), heads: make(map[head]int)}
}

// MayKnow reports whether a request may be suspected, without reading its body; with nothing suspected, without a lock.
func (book *Book) MayKnow(service string, request *backend.Request) bool {
	if book.size.Load() == 0 {
		return false
	}
	wanted := headOf(service, request)
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.heads[wanted] > 0
}

// Note takes that a replica ended under a request, as a node reports, and returns how many ends count; fresh is false for an end that is
// known. Broke is when the request broke off, which may be seconds before the end was known for one.
func (book *Book) Note(fingerprint Fingerprint, replica, reporter string, broke, now time.Time) (crashes int, fresh bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entry(fingerprint, now)
	if known.remembers(replica) {
		return known.crashes, false
	}
	counted := slices.ContainsFunc(known.ends, func(other End) bool { return broke.Sub(other.Broke).Abs() < together })
	known.remember(End{replica, broke})
	if counted {
		return known.crashes, true
	}
	known.raise(known.crashes+1, reporter, now, now.Add(quarantineFor))
	return known.crashes, true
}

// Suspicion is what a node knows of a request under which replicas ended.
type Suspicion struct {
	// Crashes is how many ends count; Ends are those that are remembered.
	Crashes int
	Ends    []End
	// Reporter is the node that saw the last end.
	Reporter string
	// Until is the end of the quarantine, zero for a request that is in none.
	Until time.Time
}

// Restore takes what another node knew of a request in quarantine.
func (book *Book) Restore(fingerprint Fingerprint, kept Suspicion, now time.Time) {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entry(fingerprint, now)
	for _, end := range kept.Ends {
		if !known.remembers(end.Replica) {
			known.remember(end)
		}
	}
	if kept.Crashes > known.crashes {
		known.raise(kept.Crashes, kept.Reporter, now, kept.Until)
	}
	known.until = kept.Until
}

// remembers reports whether the end of a replica is known.
func (known *entry) remembers(replica string) bool {
	return slices.ContainsFunc(known.ends, func(end End) bool { return end.Replica == replica })
}

// remember takes the end of a replica; the oldest is forgotten.
func (known *entry) remember(end End) {
	if len(known.ends) == endsMost {
		known.ends = slices.Delete(known.ends, 0, 1)
	}
	known.ends = append(known.ends, end)
}

// raise takes that more replicas have ended.
func (known *entry) raise(crashes int, reporter string, now, until time.Time) {
	known.crashes, known.reporter, known.last = crashes, reporter, now
	if crashes >= quarantineAt {
		known.until = until
	}
}

// entry returns what is known of a request, for a change. It must be called with mu held.
func (book *Book) entry(fingerprint Fingerprint, now time.Time) *entry {
	book.changes++
	known := book.entries[fingerprint]
	if known != nil && known.over(now) {
		book.remove(fingerprint)
		known = nil
	}
	if known == nil {
		book.makeRoom(now)
		known = &entry{first: now}
		book.entries[fingerprint] = known
		book.heads[fingerprint.head()]++
		book.size.Store(int64(len(book.entries)))
	}
	return known
}

// remove must be called with mu held.
func (book *Book) remove(fingerprint Fingerprint) {
	if book.entries[fingerprint] == nil {
		return
	}
	book.changes++
	delete(book.entries, fingerprint)
	if book.heads[fingerprint.head()]--; book.heads[fingerprint.head()] == 0 {
		delete(book.heads, fingerprint.head())
	}
	book.size.Store(int64(len(book.entries)))
}

// makeRoom forgets what is over, and the request that was suspected the longest ago if too many are left. It must be called with mu held.
func (book *Book) makeRoom(now time.Time) {
	var oldest Fingerprint
	var oldestAt time.Time
	for fingerprint, known := range book.entries {
		if known.over(now) {
			book.remove(fingerprint)
			continue
		}
		if oldestAt.IsZero() || known.last.Before(oldestAt) {
			oldest, oldestAt = fingerprint, known.last
		}
	}
	if len(book.entries) >= entriesMost {
		book.remove(oldest)
	}
}

// over reports whether nothing of the entry counts any more.
func (known *entry) over(now time.Time) bool {
	if known.until.IsZero() {
		return now.Sub(known.last) > suspicionFor
	}
	return now.After(known.until)
}

// quarantined reports whether a request is in quarantine.
func (known *entry) quarantined(now time.Time) bool {
	return known.crashes >= quarantineAt && !known.over(now)
}

// Clear forgets a request, which a replica has answered or whose quarantine was lifted, and reports whether it was suspected.
func (book *Book) Clear(fingerprint Fingerprint) bool {
	book.mu.Lock()
	defer book.mu.Unlock()
	_, known := book.entries[fingerprint]
	book.remove(fingerprint)
	return known
}

// Suspected returns what is known of a request; the zero value of one that is not suspected.
func (book *Book) Suspected(fingerprint Fingerprint) Suspicion {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entries[fingerprint]
	if known == nil {
		return Suspicion{}
	}
	return Suspicion{Crashes: known.crashes, Ends: slices.Clone(known.ends), Reporter: known.reporter, Until: known.until}
}

// Quarantined returns how many requests are in quarantine.
func (book *Book) Quarantined() int {
	book.mu.Lock()
	defer book.mu.Unlock()
	count := 0
	for _, known := range book.entries {
		if !known.until.IsZero() {
			count++
		}
	}
	return count
}

// Claim is what a node has to do with a request that it wants to send.
type Claim struct {
	// Exclusive says that no other node sends the request, so that a trial of it is the only one.
	Exclusive bool
	// Deputy says that the node ranks first for the request.
	Deputy bool
}

// Admit decides whether a request may be sent to a replica now; one that it allows is about to be sent.
func (book *Book) Admit(fingerprint Fingerprint, claim Claim, now time.Time) Decision {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entries[fingerprint]
	if known == nil || known.over(now) {
		return Decision{Allowed: true}
	}
	decision := Decision{Crashes: known.crashes}
	decision.Culprit, decision.Explained = book.explanation(fingerprint, known, now)
	switch {
	case known.crashes < holdAt:
		decision.Allowed = true
	case book.mayBeTried(known, claim, decision.Explained, now):
		known.tried = now
		decision.Allowed, decision.Trial = true, true
	case known.crashes < quarantineAt, decision.Explained:
		decision.After = max(holdFor-now.Sub(known.last), holdLeast)
	default:
		decision.After = known.until.Sub(now)
	}
	return decision
}

// holdLeast is when a request may come again that another node tries.
const holdLeast = time.Second

// mayBeTried reports whether this node may send a request that rests: by itself if no other node does, and not again before the end of the
// replica would be known.
func (book *Book) mayBeTried(known *entry, claim Claim, explained bool, now time.Time) bool {
	rested := now.Sub(known.last)
	if rested < holdFor || now.Sub(known.tried) < holdFor {
		return false
	}
	isOwn := claim.Exclusive || known.reporter == book.node
	deputyTries := claim.Deputy && rested >= deputyTriesAfter
	switch {
	case known.crashes < quarantineAt:
		return isOwn || deputyTries || rested >= anyoneAfter
	case explained: // all nodes at a time would be more runs than one trial
		return isOwn || deputyTries
	case known.crashes < trialsUntil:
		mayKnowAll := known.first.Sub(book.begun) >= suspicionFor
		return claim.Exclusive || (claim.Deputy && mayKnowAll && rested >= deputyTrialAfter)
	default:
		return false
	}
}
