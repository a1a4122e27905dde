package weights

import (
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Term is a period during which this node holds the lease.
type Term struct {
	// Fence increases from term to term and is unique.
	Fence      int64
	lease      metadata.LeaseID
	timeToLive time.Duration
	// handoverWait has to lie between the last order of another node and the first one of this term.
	handoverWait time.Duration

	clock clock.Clock

	mu    sync.Mutex
	until time.Duration // by the clock, counted from before the last successful renewal was sent
	// begun is true once this node is recorded as the orderer. It gives no order before.
	begun bool
}

// Valid reports whether this node may give orders for at least the margin.
func (term *Term) Valid(margin time.Duration) bool { return term.Remaining() > margin }

// Remaining returns how long this node may give orders if the lease is not renewed. It is zero or less if the lease has run out or
// if this node may not give orders yet.
func (term *Term) Remaining() time.Duration {
	term.mu.Lock()
	defer term.mu.Unlock()
	if !term.begun {
		return 0
	}
	return term.until - term.clock.Elapsed()
}

func (term *Term) begin() {
	term.mu.Lock()
	defer term.mu.Unlock()
	term.begun = true
}

// Condition returns a condition that holds in the metadata store while the holder's key is as this term wrote it.
func (term *Term) Condition() metadata.Condition {
	return metadata.Condition{Key: holderKey, Revision: metadata.Revision(term.Fence)}
}

func (term *Term) extend(sent time.Duration) {
	term.mu.Lock()
	defer term.mu.Unlock()
	term.until = sent + term.timeToLive
}
