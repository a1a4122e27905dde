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

// duty is when which node could have given an order.
type duty struct {
	node  string
	fence int64
	at    time.Time
}

// duties records who may give orders, each 50 ms.
type duties struct {
	mu   sync.Mutex
	list []duty
}

func (duties *duties) lead(node string) func(context.Context, *weights.Term) {
	return func(ctx context.Context, term *weights.Term) {
		for ctx.Err() == nil {
			if term.Valid(300 * time.Millisecond) {
				duties.mu.Lock()
				duties.list = append(duties.list, duty{node, term.Fence, time.Now()})
				duties.mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (duties *duties) last() duty {
	duties.mu.Lock()
	defer duties.mu.Unlock()
	return duties.list[len(duties.list)-1]
}

// check reports holders that share a fence, fences that fall, and turns without the pause between them.
func (duties *duties) check(t *testing.T) {
	t.Helper()
	duties.mu.Lock()
	defer duties.mu.Unlock()
	for index := 1; index < len(duties.list); index++ {
		before, after := duties.list[index-1], duties.list[index]
		must.LessEq(t, after.fence, before.fence, must.Sprint("a fence falls"))
		if before.node != after.node {
			must.NotEq(t, before.fence, after.fence)
			must.GreaterEq(t, 3*time.Second, after.at.Sub(before.at), must.Sprint("two holders take turns too fast"))
		}
	}
}

func candidates(ctx context.Context, store metadata.Store, duties *duties, names ...string) map[string]context.CancelFunc {
	return candidatesWith(ctx, store, duties, electionSettings, names...)
}

func candidatesWith(ctx context.Context, store metadata.Store, duties *duties, settings weights.ElectionSettings, names ...string) map[string]context.CancelFunc {
	stops := make(map[string]context.CancelFunc)
	for _, name := range names {
		nodeCtx, cancel := context.WithCancel(ctx)
		stops[name] = cancel
		election := weights.NewElection(store, name, settings, log.New(io.Discard))
		go election.Run(nodeCtx, duties.lead(name))
	}
	return stops
}

// One node at a time gives orders, whoever stops; a successor waits.
func TestElectionHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		recorded := &duties{}
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

// A lease whose acquisition was done without an answer is the node's all the same: it used to lie idle until it ran out.
func TestElectionReadsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, recorded := memstore.New(), &duties{}
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
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

// nodeStore is the store as one node reaches it: it may be cut off, and its watches may tell nothing.
type nodeStore struct {
	metadata.Store
	cut, deaf atomic.Bool
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
	if store.cut.Load() || store.deaf.Load() {
		return metadata.Listing{}, metadata.ErrUnavailable
	}
	return store.Store.List(ctx, prefix)
}

func (store *nodeStore) Watch(ctx context.Context, prefix string, after metadata.Revision, wait time.Duration) (metadata.Changes, error) {
	for store.cut.Load() || store.deaf.Load() {
		if ctx.Err() != nil {
			return metadata.Changes{}, metadata.ErrUnavailable
		}
		time.Sleep(50 * time.Millisecond)
	}
	return store.Store.Watch(ctx, prefix, after, wait)
}

// A node that held the lease, was cut off and has not heard yet that another held it meanwhile waits before its first order, as
// every other successor does: it used to take itself for the last holder.
func TestElectionKnowsTheLastHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner, recorded := memstore.New(), &duties{}
		first, second := &nodeStore{Store: inner}, &nodeStore{Store: inner}
		candidates(ctx, first, recorded, "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "a", recorded.last().node)
		candidates(ctx, second, recorded, "b")
		first.cut.Store(true)
		first.deaf.Store(true)
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

// In an outage nobody gives orders. The holder goes on soon after it, without a pause: its lease waited, or it held the last.
func TestElectionAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, recorded := memstore.New(), &duties{}
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

// A node whose acquisition was done without an answer, and lapsed before it knew, gave no order by it: it waits before its first as every
// other successor does. It used to take itself for the last holder.
func TestElectionAfterVoidAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner, recorded := memstore.New(), &duties{}
		first := &nodeStore{Store: inner}
		settings := electionSettings
		settings.Lease = 1300 * time.Millisecond
		candidatesWith(ctx, first, recorded, settings, "a")
		time.Sleep(3 * time.Second)
		candidatesWith(ctx, inner, recorded, settings, "b")
		time.Sleep(time.Second)
		first.cut.Store(true)
		inner.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.Sleep(12 * time.Second)
		must.Eq(t, "b", recorded.last().node)
		recorded.check(t)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
}

// A node that is started again before it has given its first order waits as well.
func TestElectionAfterRestartBeforeTheFirstOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner, recorded := memstore.New(), &duties{}
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
