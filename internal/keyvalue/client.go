// Package keyvalue is the client of the platform's key-value service, which offers compare-and-swap, leases and watches. Client is the
// interface; HTTP implements it for the service's published protocol (docs/PLATFORM.md).
package keyvalue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Client. After ErrConflict, ErrLimited and ErrUnreachable nothing was changed. After ErrUncertain the change may have taken
// effect; the caller has to read the key to find out.
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
	// Revision is the service's revision at which the key last changed.
	Revision uint64 `json:"revision"`
}

// Listing holds all keys under a prefix at one revision of the service.
type Listing struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// LeaseID identifies a lease of the service.
type LeaseID string

// Swap is a compare-and-swap of one key.
type Swap struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expected is the revision that the key must have; zero if the key must not exist.
	Expected uint64 `json:"expected"`
	// Lease is the lease that the key is attached to; empty for none. The service deletes the key when the lease ends.
	Lease LeaseID `json:"lease,omitempty"`
}

// Client makes calls to the key-value service.
type Client interface {
	// List returns all keys under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns all keys under a prefix as soon as one of them has changed after the given revision, or after wait at the latest.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
	// CompareAndSwap stores a value and returns the new revision of its key.
	CompareAndSwap(ctx context.Context, swap Swap) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}
