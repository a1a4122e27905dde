package metadata

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	// LongWait is how long a watch waits where something else tells of a change that it misses.
	LongWait = 28 * time.Second
	// ShortWait is how long it waits otherwise: in a compaction, a watch may hear nothing of a change, ever.
	ShortWait = 1500 * time.Millisecond

	followRetryMin = 60 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
)

// Handler takes what a Follower reads. Both methods are called from one goroutine.
type Handler interface {
	// Reset replaces all that is known of the prefix.
	Reset(items []Item, revision Revision)
	// Apply takes changes in their order. Without events, it tells that there was none up to the revision.
	Apply(events []Event, revision Revision)
}

// Handlers passes what a Follower reads to several handlers.
type Handlers []Handler

// Reset implements Handler.
func (handlers Handlers) Reset(items []Item, revision Revision) {
	for _, handler := range handlers {
		handler.Reset(items, revision)
	}
}

// Apply implements Handler.
func (handlers Handlers) Apply(events []Event, revision Revision) {
	for _, handler := range handlers {
		handler.Apply(events, revision)
	}
}

// Follower keeps a Handler up to date with the keys under a prefix: it reads them once and watches from there, and reads
// them again when the history is gone.
type Follower struct {
	Store   Store
	Prefix  string
	Handler Handler
	Logger  *log.Logger
	// Health cuts watches that may be dead; nil for none.
	Health *Health
	// Wait returns how long the next watch waits; nil for LongWait.
	Wait func() time.Duration
	// Pace is the least time between two watches, so that changes in quick succession share a call.
	Pace time.Duration
	// From returns the revision from which on the handler lacks changes: it is watched from there, and read only if that is zero or the
	// history since is gone. Nil for zero.
	From func() Revision
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = followRetryMin, followRetryMax
	revision := follower.from()
	known, lost := revision > 0, false
	for ctx.Err() == nil {
		next, err := follower.step(ctx, revision, known)
		switch {
		case err == nil:
			if lost || !known {
				follower.Logger.Info("metadata regained", "prefix", follower.Prefix, "revision", int64(next))
			}
			revision, known, lost = next, true, false
			retry.Reset()
			continue
		case errors.Is(err, ErrCompacted):
			follower.Logger.Warn("metadata history gone", "prefix", follower.Prefix, "revision", int64(revision))
			known = false
			continue
		case ctx.Err() != nil:
			return
		}
		if !lost {
			follower.Logger.Warn("metadata lost", "prefix", follower.Prefix, "revision", int64(revision), "error", err)
		}
		lost = true
		follower.Health.Doubt()
		sleep(ctx, retry.NextBackOff())
		follower.Health.AwaitGood(ctx) // calls that a lost store refuses are paid for all the same
	}
}

// step reads or watches once and returns the revision to go on from.
func (follower *Follower) step(ctx context.Context, revision Revision, known bool) (Revision, error) {
	if !known {
		listing, err := follower.Store.List(ctx, follower.Prefix)
		if err != nil {
			return 0, err
		}
		follower.Handler.Reset(listing.Items, listing.Revision)
		return listing.Revision, nil
	}
	watchCtx, stop := follower.Health.context(ctx)
	changes, err := follower.Store.Watch(watchCtx, follower.Prefix, revision, follower.wait())
	interrupted := watchCtx.Err() != nil && ctx.Err() == nil
	stop()
	if interrupted {
		return revision, nil
	}
	if err != nil {
		return 0, err
	}
	if len(changes.Events) > 0 || changes.Revision > revision {
		follower.Handler.Apply(changes.Events, changes.Revision)
	}
	if len(changes.Events) > 0 {
		sleep(ctx, follower.Pace)
	}
	return max(changes.Revision, revision), nil
}

func (follower *Follower) from() Revision {
	if follower.From == nil {
		return 0
	}
	return follower.From()
}

func (follower *Follower) wait() time.Duration {
	if follower.Wait == nil {
		return LongWait
	}
	return follower.Wait()
}

func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
