// Package metadata is the interface to a linearizable key-value store with transactions, watches and leases, which holds
// what must survive every process: configuration, the registry of nodes, batch jobs. Adapters implement Store.
package metadata

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. ErrUnavailable and ErrLimited say that nothing was changed. ErrUncertain says that a change may have
// been made, or may still be made later if its conditions hold then: repeat only with conditions.
var (
	ErrUnavailable = errors.New("the metadata store did nothing")
	ErrLimited     = errors.New("the metadata store limits the rate of calls")
	ErrUncertain   = errors.New("the answer of the metadata store was lost")
	ErrCompacted   = errors.New("the history of the metadata store is gone")
	ErrLeaseGone   = errors.New("the lease is over")
)

// Revision counts the changes of the store. Zero, as the expected revision of a key, means that the key is absent.
type Revision int64

// LeaseID names a lease; zero is none.
type LeaseID int64

// Item is a stored key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// Listing is the keys under a prefix, read at Revision or later.
type Listing struct {
	Items    []Item
	Revision Revision
}

// Changes are the events after the revision of a watch; Revision is where the next watch goes on.
type Changes struct {
	Events   []Event
	Revision Revision
}

// Condition is the revision that a key must have.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn applies all its puts and deletions, or nothing when a condition fails.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// ConflictError says that a condition of a transaction failed; Items are the keys of the conditions that exist.
type ConflictError struct{ Items []Item }

// Error implements error.
func (*ConflictError) Error() string { return "a condition of the transaction failed" }

// Find returns the current item of a condition's key.
func (conflict *ConflictError) Find(key string) (Item, bool) {
	for _, item := range conflict.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// Store reaches the metadata store. Reads are linearizable.
type Store interface {
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	List(ctx context.Context, prefix string) (Listing, error)
	// Probe is the cheapest call there is; it tells whether the store answers.
	Probe(ctx context.Context) error
	// ListStale is a cheaper List that may be some seconds old.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// Watch returns as soon as keys under the prefix have changed after the revision, or after wait without events.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit returns the revision of the transaction, or a *ConflictError.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	GrantLease(ctx context.Context, life time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}
