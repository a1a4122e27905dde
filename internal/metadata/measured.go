package metadata

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// InstrumentedStore is a Store that records the count, result and duration of its calls as metrics.
type InstrumentedStore struct {
	Store
	Metrics *telemetry.Metrics
}

// resultOf returns the result label of a call in metrics.
func resultOf(err error) string {
	var conflict *ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrLimited):
		return "limited"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrLeaseExpired):
		return "lease_gone"
	case errors.Is(err, ErrUncertain):
		return "uncertain"
	}
	return "unavailable"
}

func (measured *InstrumentedStore) count(call string, started time.Time, err error) {
	measured.Metrics.StoreCall(call, resultOf(err), time.Since(started))
}

// Get implements Store.
func (measured *InstrumentedStore) Get(ctx context.Context, key string) (Item, bool, error) {
	started := time.Now()
	item, found, err := measured.Store.Get(ctx, key)
	measured.count("get", started, err)
	return item, found, err
}

// List implements Store.
func (measured *InstrumentedStore) List(ctx context.Context, prefix string) (Listing, error) {
	started := time.Now()
	listing, err := measured.Store.List(ctx, prefix)
	measured.count("list", started, err)
	return listing, err
}

// Watch implements Store.
func (measured *InstrumentedStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	started := time.Now()
	changes, err := measured.Store.Watch(ctx, prefix, after, wait)
	measured.count("watch", started, err)
	return changes, err
}

// Commit implements Store.
func (measured *InstrumentedStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	started := time.Now()
	revision, err := measured.Store.Commit(ctx, txn)
	measured.count("commit", started, err)
	return revision, err
}

// Probe implements Store.
func (measured *InstrumentedStore) Probe(ctx context.Context) error {
	started := time.Now()
	err := measured.Store.Probe(ctx)
	measured.count("probe", started, err)
	return err
}

// ListStale implements Store.
func (measured *InstrumentedStore) ListStale(ctx context.Context, prefix string) (Listing, error) {
	started := time.Now()
	listing, err := measured.Store.ListStale(ctx, prefix)
	measured.count("list_stale", started, err)
	return listing, err
}

// GrantLease implements Store.
func (measured *InstrumentedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	started := time.Now()
	lease, err := measured.Store.GrantLease(ctx, ttl)
	measured.count("grant_lease", started, err)
	return lease, err
}

// RenewLease implements Store.
func (measured *InstrumentedStore) RenewLease(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := measured.Store.RenewLease(ctx, lease)
	measured.count("renew_lease", started, err)
	return err
}

// RevokeLease implements Store.
func (measured *InstrumentedStore) RevokeLease(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := measured.Store.RevokeLease(ctx, lease)
	measured.count("revoke_lease", started, err)
	return err
}
