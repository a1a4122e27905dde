// Package lock provides a mutual exclusion lock that may be held during calls to other nodes. Unlike with sync.Mutex, a
// context can end the wait for the lock.
package lock

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Lock is a mutual exclusion lock. New creates one; the zero value is not usable.
type Lock struct{ semaphore *semaphore.Weighted }

// New returns an unlocked Lock.
func New() Lock { return Lock{semaphore: semaphore.NewWeighted(1)} }

// Acquire waits for the lock, or returns the context's error.
func (lock Lock) Acquire(ctx context.Context) error { return lock.semaphore.Acquire(ctx, 1) }

// Release releases the lock.
func (lock Lock) Release() { lock.semaphore.Release(1) }
