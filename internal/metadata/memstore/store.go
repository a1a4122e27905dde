// Package memstore implements an in-memory metadata store for tests and the lab. It simulates the faults of a real store:
// outages, lost responses, delayed writes, compacted history and expired leases.
package memstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Faults holds the faults to simulate. The zero value means no faults.
type Faults struct {
	// Down makes calls fail at once; Hang makes them hang until their context ends.
	Down, Hang bool
	// LoseResponses is the number of next commits whose response is lost: each is applied, and the call hangs until its context
	// ends.
	LoseResponses int
	// CommitDelay delays the application of commits whose response is lost.
	CommitDelay time.Duration
}

// Store is an in-memory metadata.Store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  metadata.Revision
	compacted metadata.Revision
	items     map[string]stored
	history   []metadata.Event
	leases    map[metadata.LeaseID]*lease
	lastLease metadata.LeaseID
	changed   chan struct{}
	faults    Faults
	calls     int
}

type stored struct {
	metadata.Item
	lease metadata.LeaseID
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]stored), leases: make(map[metadata.LeaseID]*lease), changed: make(chan struct{})}
}

// SetFaults replaces the faults to simulate.
func (store *Store) SetFaults(faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
}

// Compact drops the history up to the current revision.
func (store *Store) Compact() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.compacted, store.history = store.revision, nil
}

// Calls returns the number of calls made so far, including those that failed.
func (store *Store) Calls() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.calls
}

// enter counts a call and applies the Down and Hang faults. It returns the faults in effect.
func (store *Store) enter(ctx context.Context) (Faults, error) {
	store.mu.Lock()
	store.calls++
	faults := store.faults
	store.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return faults, metadata.ErrUnavailable
	case faults.Hang:
		<-ctx.Done()
		return faults, metadata.ErrUnavailable
	case faults.Down:
		return faults, metadata.ErrUnavailable
	}
	return faults, nil
}

// Get implements metadata.Store.
func (store *Store) Get(ctx context.Context, key string) (metadata.Item, bool, error) {
	if _, err := store.enter(ctx); err != nil {
		return metadata.Item{}, false, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	item, found := store.items[key]
	return item.Item, found, nil
}

// Probe implements metadata.Store.
func (store *Store) Probe(ctx context.Context) error {
	_, err := store.enter(ctx)
	return err
}

// List implements metadata.Store.
func (store *Store) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if _, err := store.enter(ctx); err != nil {
		return metadata.Listing{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	listing := metadata.Listing{Revision: store.revision}
	for _, key := range slices.Sorted(maps.Keys(store.items)) {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, store.items[key].Item)
		}
	}
	return listing, nil
}

// ListStale implements metadata.Store.
func (store *Store) ListStale(ctx context.Context, prefix string) (metadata.Listing, error) {
	return store.List(ctx, prefix)
}

// Watch implements metadata.Store.
func (store *Store) Watch(ctx context.Context, prefix string, after metadata.Revision, wait time.Duration) (metadata.Changes, error) {
	if _, err := store.enter(ctx); err != nil {
		return metadata.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := store.changesAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return metadata.Changes{}, metadata.ErrUnavailable
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

func (store *Store) changesAfter(prefix string, after metadata.Revision) (metadata.Changes, <-chan struct{}, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if after < store.compacted {
		return metadata.Changes{}, nil, metadata.ErrCompacted
	}
	changes := metadata.Changes{Revision: store.revision}
	for _, event := range store.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, store.changed, nil
}

// Commit implements metadata.Store.
func (store *Store) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	faults, err := store.enter(ctx)
	if err != nil {
		return 0, err
	}
	if store.consumeLostAnswer() {
		if faults.CommitDelay > 0 {
			time.AfterFunc(faults.CommitDelay, func() { _, _ = store.apply(txn) }) // the response is lost
		} else {
			_, _ = store.apply(txn)
		}
		<-ctx.Done()
		return 0, metadata.ErrUncertain
	}
	return store.apply(txn)
}

// CommitIgnoringFaults applies a transaction regardless of the faults.
func (store *Store) CommitIgnoringFaults(txn metadata.Txn) (metadata.Revision, error) {
	return store.apply(txn)
}

// consumeLostAnswer reports whether the response of this commit is lost, and counts it.
func (store *Store) consumeLostAnswer() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.LoseResponses <= 0 {
		return false
	}
	store.faults.LoseResponses--
	return true
}

func (store *Store) apply(txn metadata.Txn) (metadata.Revision, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	conflict := &metadata.ConflictError{}
	failed := false
	for _, condition := range txn.Conditions {
		item, found := store.items[condition.Key]
		if found {
			conflict.Items = append(conflict.Items, item.Item)
		}
		failed = failed || item.Revision != condition.Revision
	}
	if failed {
		return 0, conflict
	}
	for _, written := range txn.Puts {
		if written.Lease != 0 && store.leases[written.Lease] == nil {
			return 0, metadata.ErrLeaseExpired
		}
	}
	store.revision++
	for _, written := range txn.Puts {
		item := metadata.Item{Key: written.Key, Value: slices.Clone(written.Value), Revision: store.revision}
		store.items[written.Key] = stored{Item: item, lease: written.Lease}
		store.history = append(store.history, metadata.Event{Item: item})
	}
	for _, key := range txn.Deletes {
		store.remove(key)
	}
	store.notifyChanged()
	return store.revision, nil
}

// remove must be called with mu held.
func (store *Store) remove(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	delete(store.items, key)
	store.history = append(store.history, metadata.Event{Item: metadata.Item{Key: key, Revision: store.revision}, Deleted: true})
}

// notifyChanged must be called with mu held.
func (store *Store) notifyChanged() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// GrantLease implements metadata.Store.
func (store *Store) GrantLease(ctx context.Context, ttl time.Duration) (metadata.LeaseID, error) {
	if _, err := store.enter(ctx); err != nil {
		return 0, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.lastLease++
	id := store.lastLease
	store.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { store.expire(id) })}
	return id, nil
}

func (store *Store) expire(id metadata.LeaseID) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.leases[id] == nil {
		return
	}
	delete(store.leases, id)
	store.revision++
	for key, item := range store.items {
		if item.lease == id {
			store.remove(key)
		}
	}
	store.notifyChanged()
}

// RenewLease implements metadata.Store.
func (store *Store) RenewLease(ctx context.Context, id metadata.LeaseID) error {
	if _, err := store.enter(ctx); err != nil {
		return err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	held := store.leases[id]
	if held == nil {
		return metadata.ErrLeaseExpired
	}
	held.timer.Reset(held.ttl)
	return nil
}

// RevokeLease implements metadata.Store.
func (store *Store) RevokeLease(ctx context.Context, id metadata.LeaseID) error {
	if _, err := store.enter(ctx); err != nil {
		return err
	}
	store.expire(id)
	return nil
}
