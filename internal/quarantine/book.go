package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/backend"
)

const (
	// holdAt is how many replicas must have ended under a request for it to rest for holdFor: one may have ended for another reason. Of three
	// replicas of a service one is left then, which goes on serving others.
	holdAt = 2
	// holdFor is longer than a replica takes to be back, which was 3.0 to 3.9 s where it was seen, and shorter than the 5 s for which an item
	// of a job may be at no replica.
	holdFor = 4 * time.Second
	// quarantineAt is how many replicas must have ended under a request for it to be sent no more.
	quarantineAt = 3
	// trialsUntil is how many replicas must have ended for the request to get no further trial: the one trial that is left shows a request
	// that merely ran beside the cause, and it comes from one node only, so that nodes do not try at a time.
	trialsUntil = quarantineAt + 1
	// quarantineFor is how long a request is sent no more. It is a fault of a replica's software that a newer release mends, which takes hours;
	// each hour costs some four replicas until then.
	quarantineFor = time.Hour
	// suspicionFor is how long the end of a replica counts against a request that is not in quarantine.
	suspicionFor = 10 * time.Minute
	// entriesMost bounds the requests that are remembered, at some 400 bytes each. Ends of replicas are few: some 16 requests are at each.
	entriesMost = 4096
	// replicasMost bounds the replicas that are remembered of a request, so that an end which several nodes tell of counts once.
	replicasMost = 8
)

// Decision says whether a request may be sent to a replica now.
type Decision struct {
	Allowed bool
	// Crashes is how many replicas have ended under the request.
	Crashes int
	// Trial says that the request is in quarantine and may be tried this once.
	Trial bool
	// After is when a request that is not allowed may come again.
	After time.Duration
}

// Book is what a node knows of requests under which replicas ended. It is safe for concurrent use; times are passed in. Of a suspended
// machine's clock nothing depends but that a request rests longer.
type Book struct {
	node string
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	heads   map[head]int // of the entries, with how many have each
}

// entry is what is known of one request.
type entry struct {
	replicas []string // that ended under it, as far as they are remembered
	crashes  int
	reporter string    // who saw the last end
	last     time.Time // when this node learned of it
	tried    time.Time // when this node tried the request last in quarantine
	until    time.Time // the end of the quarantine; zero outside
}

// NewBook returns an empty book of a node.
func NewBook(node string) *Book {
	return &Book{node: node, entries: make(map[Fingerprint]*entry), heads: make(map[head]int)}
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

// Note takes that a replica ended under a request, as a node reports, and returns how many did; fresh is false for an end that is known.
func (book *Book) Note(fingerprint Fingerprint, replica, reporter string, now time.Time) (crashes int, fresh bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entry(fingerprint, now)
	if slices.Contains(known.replicas, replica) {
		return known.crashes, false
	}
	if len(known.replicas) == replicasMost {
		known.replicas = slices.Delete(known.replicas, 0, 1)
	}
	known.replicas = append(known.replicas, replica)
	known.raise(known.crashes+1, reporter, now, now.Add(quarantineFor))
	return known.crashes, true
}

// Restore takes what is kept of a request in quarantine.
func (book *Book) Restore(fingerprint Fingerprint, crashes int, reporter string, until, now time.Time) {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entry(fingerprint, now)
	if crashes > known.crashes {
		known.raise(crashes, reporter, now, until)
	}
	known.until = until
}

// raise takes that more replicas have ended.
func (known *entry) raise(crashes int, reporter string, now, until time.Time) {
	known.crashes, known.reporter, known.last = crashes, reporter, now
	if crashes >= quarantineAt {
		known.until = until
	}
}

// entry must be called with mu held.
func (book *Book) entry(fingerprint Fingerprint, now time.Time) *entry {
	known := book.entries[fingerprint]
	if known == nil {
		book.makeRoom(now)
		known = &entry{}
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

// Clear forgets a request, which a replica has answered or whose quarantine was lifted, and reports whether it was suspected.
func (book *Book) Clear(fingerprint Fingerprint) bool {
	book.mu.Lock()
	defer book.mu.Unlock()
	_, known := book.entries[fingerprint]
	book.remove(fingerprint)
	return known
}

// Suspected returns how many replicas have ended under a request, and who saw the last end; zero for a request that is not suspected.
func (book *Book) Suspected(fingerprint Fingerprint) (crashes int, reporter string, until time.Time) {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entries[fingerprint]
	if known == nil {
		return 0, "", time.Time{}
	}
	return known.crashes, known.reporter, known.until
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

// Admit decides whether a request may be sent to a replica now; one that it allows is about to be sent.
func (book *Book) Admit(fingerprint Fingerprint, now time.Time) Decision {
	book.mu.Lock()
	defer book.mu.Unlock()
	known := book.entries[fingerprint]
	if known == nil || known.over(now) {
		return Decision{Allowed: true}
	}
	decision := Decision{Crashes: known.crashes}
	rest := holdFor - now.Sub(known.last)
	switch {
	case known.crashes < holdAt:
		decision.Allowed = true
	case known.crashes < quarantineAt:
		decision.Allowed, decision.After = rest <= 0, rest
	case known.mayBeTried(book.node, now):
		known.tried = now
		decision.Allowed, decision.Trial = true, true
	default:
		decision.After = known.until.Sub(now)
	}
	return decision
}

// mayBeTried reports whether a node may try a request in quarantine.
func (known *entry) mayBeTried(node string, now time.Time) bool {
	return known.reporter == node && known.crashes < trialsUntil && now.Sub(known.last) >= holdFor && now.Sub(known.tried) >= holdFor
}
