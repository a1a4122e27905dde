package metadata_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// silentStore simulates a store that drops open watches in an outage. A watch returns at once if there is a newer revision;
// otherwise it hangs until its context ends, even if the revision grows later. Probes hang while the store is silent.
type silentStore struct {
	metadata.Store
	mu       sync.Mutex
	silent   bool
	revision metadata.Revision
	waiting  int
}

func (store *silentStore) isSilent() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.silent
}

func (store *silentStore) set(silent bool, revision metadata.Revision) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.silent, store.revision = silent, revision
}

func (store *silentStore) Probe(ctx context.Context) error {
	if store.isSilent() {
		<-ctx.Done()
		return metadata.ErrUnavailable
	}
	return nil
}

func (store *silentStore) List(context.Context, string) (metadata.Listing, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	return metadata.Listing{Revision: store.revision}, nil
}

func (store *silentStore) Watch(ctx context.Context, _ string, after metadata.Revision, _ time.Duration) (metadata.Changes, error) {
	store.mu.Lock()
	store.waiting++
	revision := store.revision
	store.mu.Unlock()
	if revision > after {
		event := metadata.Event{Item: metadata.Item{Key: "configuration", Revision: revision}}
		return metadata.Changes{Events: []metadata.Event{event}, Revision: revision}, nil
	}
	<-ctx.Done()
	return metadata.Changes{}, metadata.ErrUnavailable
}

// recorder is a handler that records the events it receives.
type recorder struct {
	mu     sync.Mutex
	events []metadata.Event
}

func (recorder *recorder) Reset([]metadata.Item, metadata.Revision) {}

func (recorder *recorder) Apply(events []metadata.Event, _ metadata.Revision) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.events = append(recorder.events, events...)
}

func (recorder *recorder) count() int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return len(recorder.events)
}

// Watches that the store dropped in an outage must be restarted when it recovers, or changes made meanwhile arrive late.
func TestWatchBeginsAnewAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := log.New(io.Discard)
		store := &silentStore{revision: 7}
		handler := &recorder{}
		health := metadata.NewHealth(store, logger)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go health.Run(ctx)
		follower := metadata.Follower{Store: store, Prefix: "configuration", Handler: handler, Logger: logger, Health: health}
		go follower.Run(ctx)
		time.Sleep(3 * time.Second)
		store.set(true, 7)
		time.Sleep(2 * time.Second)
		store.set(false, 8)
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, handler.count())
		cancel()
		synctest.Wait()
	})
}

// refusingStore refuses every call while it is lost. It counts probes and other calls.
type refusingStore struct {
	metadata.Store
	mu     sync.Mutex
	lost   bool
	probes int
	calls  int
}

func (store *refusingStore) enter(count *int) error {
	store.mu.Lock()
	defer store.mu.Unlock()
	*count++
	if store.lost {
		return metadata.ErrUnavailable
	}
	return nil
}

func (store *refusingStore) setLost(lost bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.lost, store.probes, store.calls = lost, 0, 0
}

func (store *refusingStore) counts() (probes, calls int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.probes, store.calls
}

func (store *refusingStore) Probe(context.Context) error { return store.enter(&store.probes) }

func (store *refusingStore) List(context.Context, string) (metadata.Listing, error) {
	return metadata.Listing{Revision: 1}, store.enter(&store.calls)
}

func (store *refusingStore) Watch(ctx context.Context, _ string, after metadata.Revision, wait time.Duration) (metadata.Changes, error) {
	if err := store.enter(&store.calls); err != nil {
		return metadata.Changes{}, err
	}
	select {
	case <-ctx.Done():
		return metadata.Changes{}, ctx.Err()
	case <-time.After(wait):
		return metadata.Changes{Revision: after}, nil
	}
}

type discardHandler struct{}

func (discardHandler) Reset([]metadata.Item, metadata.Revision)  {}
func (discardHandler) Apply([]metadata.Event, metadata.Revision) {}

// While the store is lost, followers must make no calls of their own, and nodes must share the probes.
func TestRefusalsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{}
		health := metadata.NewHealth(store, log.New(io.Discard))
		health.Nodes = func() int { return 300 }
		recoveries := 0
		health.OnRecovered = func() { recoveries++ }
		go health.Run(ctx)
		follower := metadata.Follower{Store: store, Prefix: "p/", Handler: discardHandler{}, Logger: log.New(io.Discard), Health: health,
			Wait: func() time.Duration { return 500 * time.Millisecond }}
		go follower.Run(ctx)
		time.Sleep(1100 * time.Millisecond)
		store.setLost(true)
		time.Sleep(10 * time.Second)
		probes, calls := store.counts()
		must.Between(t, 7, probes, 21)
		must.LessEq(t, 12, calls) // made before the first probe fails
		must.False(t, health.Good())
		store.setLost(false)
		time.Sleep(2 * time.Second)
		must.True(t, health.Good())
		must.Eq(t, 1, recoveries)
		_, calls = store.counts()
		must.Positive(t, calls)
		cancel()
		synctest.Wait()
	})
}

// A node that is notified that the store has recovered must probe it at once, and must not forward the notification.
func TestToldNodeProbesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{lost: true}
		health := metadata.NewHealth(store, log.New(io.Discard))
		health.Nodes = func() int { return 300 }
		health.OnRecovered = func() { t.Error("a recovery reported by another node was reported again") }
		go health.Run(ctx)
		synctest.Wait()
		must.False(t, health.Good())
		health.NotifyRecovered()
		synctest.Wait()
		must.False(t, health.Good(), must.Sprint("the store still refuses calls of this node"))
		store.setLost(false)
		health.NotifyRecovered()
		synctest.Wait()
		must.True(t, health.Good())
		cancel()
		synctest.Wait()
	})
}

// A follower whose call fails must trigger a probe at once: other nodes rely on this node, so it must not keep serving stale data as current.
func TestRefusedCallIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{}
		health := metadata.NewHealth(store, log.New(io.Discard))
		go health.Run(ctx)
		follower := metadata.Follower{Store: store, Prefix: "p/", Handler: discardHandler{}, Logger: log.New(io.Discard), Health: health,
			Wait: func() time.Duration { return 10 * time.Millisecond }}
		go follower.Run(ctx)
		time.Sleep(1005 * time.Millisecond) // a probe has just been answered
		must.True(t, health.Good())
		store.setLost(true)
		time.Sleep(100 * time.Millisecond)
		must.False(t, health.Good())
		cancel()
		synctest.Wait()
	})
}

// A node that does not know the number of nodes yet must probe a lost store at a limited rate, and still detect its recovery soon.
func TestRefusalsAreFewBeforeNodesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{lost: true}
		health := metadata.NewHealth(store, log.New(io.Discard))
		health.Nodes = func() int { return 0 }
		go health.Run(ctx)
		time.Sleep(10 * time.Second)
		probes, _ := store.counts()
		must.Between(t, 13, probes, 40)
		store.setLost(false)
		time.Sleep(800 * time.Millisecond)
		must.True(t, health.Good())
		cancel()
		synctest.Wait()
	})
}
