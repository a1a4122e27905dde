package weights_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

var electionSettings = weights.ElectionSettings{Lease: 1800 * time.Millisecond, Renew: 450 * time.Millisecond, HandoverWait: 3300 * time.Millisecond}

// observation is a time at which a node may give orders.
type observation struct {
	node  string
	fence int64
	at    time.Time
}

// observations records every 50 ms which node may give orders.
type observations struct {
	mu   sync.Mutex
	list []observation
}

func (recorded *observations) lead(node string) func(context.Context, *weights.Term) {
	return func(ctx context.Context, term *weights.Term) {
		for ctx.Err() == nil {
			if term.Valid(300 * time.Millisecond) {
				recorded.mu.Lock()
				recorded.list = append(recorded.list, observation{node, term.Fence, time.Now()})
				recorded.mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (recorded *observations) last() observation {
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	return recorded.list[len(recorded.list)-1]
}

// check fails if two holders share a fence, a fence decreases, or a successor does not wait.
func (recorded *observations) check(t *testing.T) {
	t.Helper()
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	for index := 1; index < len(recorded.list); index++ {
		before, after := recorded.list[index-1], recorded.list[index]
		must.LessEq(t, after.fence, before.fence, must.Sprint("a fence decreases"))
		if before.node != after.node {
			must.NotEq(t, before.fence, after.fence)
			must.GreaterEq(t, 3*time.Second, after.at.Sub(before.at), must.Sprint("a successor gives orders too early"))
		}
	}
}

func candidates(ctx context.Context, store metadata.Store, recorded *observations, names ...string) map[string]context.CancelFunc {
	return candidatesWith(ctx, store, recorded, electionSettings, names...)
}

func candidatesWith(ctx context.Context, store metadata.Store, recorded *observations, settings weights.ElectionSettings, names ...string) map[string]context.CancelFunc {
	stops := make(map[string]context.CancelFunc)
	for _, name := range names {
		nodeCtx, cancel := context.WithCancel(ctx)
		stops[name] = cancel
		election := weights.NewElection(store, name, settings, log.New(io.Discard))
		go election.Run(nodeCtx, recorded.lead(name))
	}
	return stops
}

// Only one node at a time gives orders, and a successor waits before its first.
func TestElectionHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		recorded := &observations{}
		stops := candidates(ctx, memstore.New(), recorded, "a", "b", "c")
		time.Sleep(3 * time.Second)
		first := recorded.last().node
		stops[first]()
		time.Sleep(9 * time.Second)
		must.NotEq(t, first, recorded.last().node)
		recorded.check(t)
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// An acquisition that succeeds without an answer is used at once. The lease must not stay unused until it expires.
func TestElectionReadsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, recorded := memstore.New(), &observations{}
		store.SetFaults(memstore.Faults{LoseResponses: 1})
		settings := electionSettings
		settings.Lease = 6 * time.Second
		candidatesWith(ctx, store, recorded, settings, "a")
		time.Sleep(4 * time.Second)
		must.Eq(t, "a", recorded.last().node)
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// nodeStore is the store as one node reaches it. It can be cut off entirely (cut) or only for lists and watches (watchBlocked).
type nodeStore struct {
	metadata.Store
	cut, watchBlocked atomic.Bool
}

func (store *nodeStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if store.cut.Load() {
		return 0, metadata.ErrUnavailable
	}
	return store.Store.Commit(ctx, txn)
}

func (store *nodeStore) RenewLease(ctx context.Context, id metadata.LeaseID) error {
	if store.cut.Load() {
		return metadata.ErrUnavailable
	}
	return store.Store.RenewLease(ctx, id)
}

func (store *nodeStore) RevokeLease(ctx context.Context, id metadata.LeaseID) error {
	if store.cut.Load() {
		return metadata.ErrUnavailable
	}
	return store.Store.RevokeLease(ctx, id)
}

func (store *nodeStore) Probe(ctx context.Context) error {
	if store.cut.Load() {
		return metadata.ErrUnavailable
	}
	return store.Store.Probe(ctx)
}

func (store *nodeStore) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if store.cut.Load() || store.watchBlocked.Load() {
		return metadata.Listing{}, metadata.ErrUnavailable
	}
	return store.Store.List(ctx, prefix)
}

func (store *nodeStore) Watch(ctx context.Context, prefix string, after metadata.Revision, wait time.Duration) (metadata.Changes, error) {
	for store.cut.Load() || store.watchBlocked.Load() {
		if ctx.Err() != nil {
			return metadata.Changes{}, metadata.ErrUnavailable
		}
		time.Sleep(50 * time.Millisecond)
	}
	return store.Store.Watch(ctx, prefix, after, wait)
}

// A former holder that was cut off, and has not yet seen that another node held the lease, waits before its first order like any
// other successor.
func TestElectionKnowsTheLastHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner, recorded := memstore.New(), &observations{}
		first, second := &nodeStore{Store: inner}, &nodeStore{Store: inner}
		candidates(ctx, first, recorded, "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "a", recorded.last().node)
		candidates(ctx, second, recorded, "b")
		first.cut.Store(true)
		first.watchBlocked.Store(true)
		time.Sleep(9 * time.Second)
		must.Eq(t, "b", recorded.last().node)
		second.cut.Store(true)
		time.Sleep(2 * time.Second)
		first.cut.Store(false)
		time.Sleep(8 * time.Second)
		must.Eq(t, "a", recorded.last().node)
		recorded.check(t)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
}

// No node gives orders during an outage of the store. The holder resumes afterwards without a handover wait.
func TestElectionAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, recorded := memstore.New(), &observations{}
		candidates(ctx, store, recorded, "a", "b", "c")
		time.Sleep(3 * time.Second)
		first := recorded.last()
		store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(6 * time.Second)
		must.Less(t, 2*time.Second, recorded.last().at.Sub(first.at))
		store.SetFaults(memstore.Faults{})
		time.Sleep(time.Second)
		must.Eq(t, first.node, recorded.last().node)
		must.Less(t, time.Second, time.Since(recorded.last().at))
		recorded.check(t)
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// A node whose acquisition succeeded without an answer and then expired has given no order. It waits before its first order like
// any other successor.
func TestElectionAfterVoidAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner, recorded := memstore.New(), &observations{}
		first := &nodeStore{Store: inner}
		settings := electionSettings
		settings.Lease = 1300 * time.Millisecond
		candidatesWith(ctx, first, recorded, settings, "a")
		time.Sleep(3 * time.Second)
		candidatesWith(ctx, inner, recorded, settings, "b")
		time.Sleep(time.Second)
		first.cut.Store(true)
		inner.SetFaults(memstore.Faults{LoseResponses: 1})
		time.Sleep(12 * time.Second)
		must.Eq(t, "b", recorded.last().node)
		recorded.check(t)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
}

// A node that restarts before its first order waits like any other successor.
func TestElectionAfterRestartBeforeTheFirstOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner, recorded := memstore.New(), &observations{}
		first := &nodeStore{Store: inner}
		candidates(ctx, first, recorded, "a")
		time.Sleep(3 * time.Second)
		stops := candidates(ctx, inner, recorded, "b")
		first.cut.Store(true)
		time.Sleep(2900 * time.Millisecond)
		must.Eq(t, "a", recorded.last().node)
		stops["b"]()
		candidates(ctx, inner, recorded, "b")
		time.Sleep(9 * time.Second)
		must.Eq(t, "b", recorded.last().node)
		recorded.check(t)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
}
