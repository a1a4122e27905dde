package weights

import (
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Term is a time during which this node holds the lease.
type Term struct {
	// Fence grows from term to term and is never shared.
	Fence int64
	lease metadata.LeaseID
	life  time.Duration

	clock clock.Clock

	mu    sync.Mutex
	until time.Duration // by the clock, counted from before the renewal was sent
	// begun says that this node is written down as the one that gives orders; none is given before.
	begun bool
}

// Valid reports whether the lease is in force, and will be for the margin.
func (term *Term) Valid(margin time.Duration) bool { return term.Remaining() > margin }

// Remaining is how long the lease is in force from now on if it is not renewed; zero or less when it is not, or this node gives no orders yet.
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

// Condition holds in the metadata store as long as this term is the last that has begun.
func (term *Term) Condition() metadata.Condition {
	return metadata.Condition{Key: holderKey, Revision: metadata.Revision(term.Fence)}
}

func (term *Term) extend(sent time.Duration) {
	term.mu.Lock()
	defer term.mu.Unlock()
	term.until = sent + term.life
}
