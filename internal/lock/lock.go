// Package lock has a mutual exclusion lock that may be held over calls to other nodes: its waiters can give up, which
// those of a sync.Mutex cannot.
package lock

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Lock excludes others. Make one by New.
type Lock struct{ semaphore *semaphore.Weighted }

// New returns an open lock.
func New() Lock { return Lock{semaphore: semaphore.NewWeighted(1)} }

// Acquire waits for the lock, or returns the context's error.
func (lock Lock) Acquire(ctx context.Context) error { return lock.semaphore.Acquire(ctx, 1) }

// Release opens the lock.
func (lock Lock) Release() { lock.semaphore.Release(1) }
