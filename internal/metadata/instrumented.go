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

func (instrumented *InstrumentedStore) count(call string, started time.Time, err error) {
	instrumented.Metrics.StoreCall(call, resultOf(err), time.Since(started))
}

// Get implements Store.
func (instrumented *InstrumentedStore) Get(ctx context.Context, key string) (Item, bool, error) {
	started := time.Now()
	item, found, err := instrumented.Store.Get(ctx, key)
	instrumented.count("get", started, err)
	return item, found, err
}

// List implements Store.
func (instrumented *InstrumentedStore) List(ctx context.Context, prefix string) (Listing, error) {
	started := time.Now()
	listing, err := instrumented.Store.List(ctx, prefix)
	instrumented.count("list", started, err)
	return listing, err
}

// Watch implements Store.
func (instrumented *InstrumentedStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	started := time.Now()
	changes, err := instrumented.Store.Watch(ctx, prefix, after, wait)
	instrumented.count("watch", started, err)
	return changes, err
}

// Commit implements Store.
func (instrumented *InstrumentedStore) Commit(ctx context.Context, txn Txn) (Revision, error) {
	started := time.Now()
	revision, err := instrumented.Store.Commit(ctx, txn)
	instrumented.count("commit", started, err)
	return revision, err
}

// Probe implements Store.
func (instrumented *InstrumentedStore) Probe(ctx context.Context) error {
	started := time.Now()
	err := instrumented.Store.Probe(ctx)
	instrumented.count("probe", started, err)
	return err
}

// ListStale implements Store.
func (instrumented *InstrumentedStore) ListStale(ctx context.Context, prefix string) (Listing, error) {
	started := time.Now()
	listing, err := instrumented.Store.ListStale(ctx, prefix)
	instrumented.count("list_stale", started, err)
	return listing, err
}

// GrantLease implements Store.
func (instrumented *InstrumentedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	started := time.Now()
	lease, err := instrumented.Store.GrantLease(ctx, ttl)
	instrumented.count("grant_lease", started, err)
	return lease, err
}

// RenewLease implements Store.
func (instrumented *InstrumentedStore) RenewLease(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := instrumented.Store.RenewLease(ctx, lease)
	instrumented.count("renew_lease", started, err)
	return err
}

// RevokeLease implements Store.
func (instrumented *InstrumentedStore) RevokeLease(ctx context.Context, lease LeaseID) error {
	started := time.Now()
	err := instrumented.Store.RevokeLease(ctx, lease)
	instrumented.count("revoke_lease", started, err)
	return err
}
