// Package metadata defines the interface to the metadata store: a linearizable key-value store with transactions, watches
// and leases. The store holds the state that must survive every process: configuration, the registry of nodes and batch
// jobs. Adapters implement Store.
package metadata

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. After ErrUnavailable and ErrLimited, nothing has changed. After ErrUncertain, the transaction may have
// been applied, or may still be applied later if its conditions hold then, so it may be retried only with conditions.
var (
	ErrUnavailable  = errors.New("metadata store unavailable")
	ErrLimited      = errors.New("metadata store rate limit exceeded")
	ErrUncertain    = errors.New("metadata store response lost: outcome unknown")
	ErrCompacted    = errors.New("metadata store history compacted")
	ErrLeaseExpired = errors.New("metadata store lease expired or revoked")
)

// Revision counts the changes of the store. Zero, as the expected revision of a key, means that the key is absent.
type Revision int64

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Item is a stored key with its value and the revision of its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is one change of a key. A deletion carries the revision at which the key was deleted.
type Event struct {
	Item
	Deleted bool
}

// Listing holds the keys under a prefix. Each was read at Revision or later.
type Listing struct {
	Items    []Item
	Revision Revision
}

// Changes holds the events after the start revision of a watch. The next watch starts from Revision.
type Changes struct {
	Events   []Event
	Revision Revision
}

// Condition requires that a key has a given revision.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key. A key with a lease is deleted when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction. It applies all its puts and deletes, or none of them if a condition fails.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// ConflictError reports that a condition of a transaction failed. Items holds the current items of those condition keys that
// exist.
type ConflictError struct{ Items []Item }

// Error implements error.
func (*ConflictError) Error() string { return "metadata store transaction condition failed" }

// Find returns the current item of a condition key.
func (conflict *ConflictError) Find(key string) (Item, bool) {
	for _, item := range conflict.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// Store is a client of the metadata store. Reads are linearizable, except those of ListStale.
type Store interface {
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	List(ctx context.Context, prefix string) (Listing, error)
	// Probe checks with the cheapest possible call whether the store responds.
	Probe(ctx context.Context) error
	// ListStale is a cheaper List whose result may be a few seconds old.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// Watch returns as soon as a key under the prefix has changed since the revision, or without events after the wait.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit applies a transaction and returns its revision, or a *ConflictError if a condition failed.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}
