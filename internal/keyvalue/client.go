// Package keyvalue is the system's side of the platform's key-value service: compare-and-swap, leases and watches.
// Client is the interface; HTTP is the adapter for the service's published protocol (docs/PLATFORM.md).
package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Client. ErrConflict, ErrLimited and ErrUnreachable say that nothing was changed; ErrUncertain says that
// the change may or may not have taken effect, and only reading back settles it.
var (
	ErrConflict    = errors.New("the key's revision is not the expected one")
	ErrLimited     = errors.New("the key-value service limits this client's rate")
	ErrUnreachable = errors.New("the key-value service cannot be reached")
	ErrUncertain   = errors.New("the answer of the key-value service was lost")
	ErrLeaseGone   = errors.New("the lease does not exist any more")
)

// Item is a stored key.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the service's revision that last changed the key.
	Revision uint64 `json:"revision"`
}

// Listing is all keys under a prefix at one revision of the service.
type Listing struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// LeaseID names a lease of the service.
type LeaseID string

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expected is the revision that the key must have; zero means that it must not exist.
	Expected uint64 `json:"expected"`
	// Lease deletes the key when it ends; empty for none.
	Lease LeaseID `json:"lease,omitempty"`
}

// Client reaches the key-value service.
type Client interface {
	// List returns the keys under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns the keys under a prefix once one of them changed after the revision given, or after wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
	// CompareAndSwap stores a value and returns the key's new revision.
	CompareAndSwap(ctx context.Context, swap Swap) (uint64, error)
	GrantLease(ctx context.Context, life time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}
