package metadata

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	// LongWatchTimeout bounds a watch on keys whose changes also arrive by another path, should the watch miss one.
	LongWatchTimeout = 28 * time.Second
	// ShortWatchTimeout bounds a watch on keys whose changes arrive by no other path. A watch that is open during a compaction may
	// miss a change, and only the next watch finds it.
	ShortWatchTimeout = 1500 * time.Millisecond

	followRetryMin = 60 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
)

// Handler receives the keys that a Follower reads, and their changes. A Follower calls both methods from one goroutine.
type Handler interface {
	// Reset replaces all keys under the prefix.
	Reset(items []Item, revision Revision)
	// Apply receives changes in order. No events means that nothing has changed up to the revision.
	Apply(events []Event, revision Revision)
}

// Handlers is a Handler that passes each call to several handlers in turn.
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

// Follower keeps a Handler up to date with the keys under a prefix. It lists the keys once and watches for changes from that
// revision on. It lists them again when the history after its revision has been compacted.
type Follower struct {
	Store   Store
	Prefix  string
	Handler Handler
	Logger  *log.Logger
	// Health restarts watches after an outage of the store. It may be nil.
	Health *Health
	// Wait returns how long the next watch waits. Nil means LongWatchTimeout.
	Wait func() time.Duration
	// MinInterval is the pause after a watch that returned events, so that changes in quick succession share a call.
	MinInterval time.Duration
	// StartRevision returns the revision up to which the handler already has all changes. The first watch starts from it. The keys
	// are listed first only if it is zero. Nil means zero.
	StartRevision func() Revision
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = followRetryMin, followRetryMax
	revision := follower.startRevision()
	known, lost := revision > 0, false
	for ctx.Err() == nil {
		next, err := follower.step(ctx, revision, known)
		switch {
		case err == nil:
			if lost || !known {
				follower.Logger.Info("metadata keys available", "prefix", follower.Prefix, "revision", int64(next))
			}
			revision, known, lost = next, true, false
			retry.Reset()
			continue
		case errors.Is(err, ErrCompacted):
			follower.Logger.Warn("metadata history compacted; listing all keys", "prefix", follower.Prefix, "revision", int64(revision))
			known = false
			continue
		case ctx.Err() != nil:
			return
		}
		if !lost {
			follower.Logger.Warn("metadata keys unavailable; retrying", "prefix", follower.Prefix, "revision", int64(revision), "error", err)
		}
		lost = true
		follower.Health.RequestProbe()
		sleep(ctx, retry.NextBackOff())
		follower.Health.AwaitGood(ctx) // the store may charge for refused calls too
	}
}

// step lists or watches once and returns the revision from which the next step continues.
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
		sleep(ctx, follower.MinInterval)
	}
	return max(changes.Revision, revision), nil
}

func (follower *Follower) startRevision() Revision {
	if follower.StartRevision == nil {
		return 0
	}
	return follower.StartRevision()
}

func (follower *Follower) wait() time.Duration {
	if follower.Wait == nil {
		return LongWatchTimeout
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
