// Package leadership holds what callers under the orderer's lease have in common: the term, and the rules by which no call of a former holder
// can arrive after the first call of its successor.
package leadership

import (
	"context"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// Term is a period during which this node holds the orderer's lease.
type Term interface {
	// Valid reports whether the lease remains valid for at least the margin.
	Valid(margin time.Duration) bool
	// Remaining returns the time until the lease expires unless it is renewed.
	Remaining() time.Duration
	// Condition returns a condition that holds in the metadata store until another term starts.
	Condition() metadata.Condition
}

// Margin is the remaining lease time that is required to start a call. It covers a pause of this process between the check of the lease and
// the call.
const Margin = 450 * time.Millisecond

// CallContext returns the context of a call under a term. A call may take longer than the remaining lease at its start, so the context does not
// end while the lease is renewed. It ends after the timeout, or when the grace has passed since the expiry of the lease. Before its first call,
// a successor waits for the grace and for the pause that the platform requires between two holders.
func CallContext(parent context.Context, term Term, timeout, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	go func() {
		for ctx.Err() == nil {
			remaining := term.Remaining() + grace
			if remaining <= 0 {
				cancel()
				return
			}
			wait.Pause(ctx, remaining)
		}
	}()
	return ctx, cancel
}
