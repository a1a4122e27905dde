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

// silentStore answers watches at once with what is new, unless it is silent: then calls hang, and a watch that was begun
// before never returns, even when the store answers others again.
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

type seen struct {
	mu     sync.Mutex
	events []metadata.Event
}

func (seen *seen) Reset([]metadata.Item, metadata.Revision) {}

func (seen *seen) Apply(events []metadata.Event, _ metadata.Revision) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.events = append(seen.events, events...)
}

func (seen *seen) count() int {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	return len(seen.events)
}

// A watch that the store forgot in an outage has to be begun anew when the store answers again: the configuration written
// meanwhile came 12 s late.
func TestWatchBeginsAnewAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := log.New(io.Discard)
		store := &silentStore{revision: 7}
		handler := &seen{}
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

// refusingStore refuses every call while it is lost, and counts them.
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

func (store *refusingStore) lose(lost bool) {
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

type ignoringHandler struct{}

func (ignoringHandler) Reset([]metadata.Item, metadata.Revision)  {}
func (ignoringHandler) Apply([]metadata.Event, metadata.Revision) {}

// While the store refuses, followers leave it to the probes to find out when it is back, and many nodes share these.
func TestRefusalsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{}
		health := metadata.NewHealth(store, log.New(io.Discard))
		health.Nodes = func() int { return 300 }
		regained := 0
		health.OnRegained = func() { regained++ }
		go health.Run(ctx)
		follower := metadata.Follower{Store: store, Prefix: "p/", Handler: ignoringHandler{}, Logger: log.New(io.Discard), Health: health,
			Wait: func() time.Duration { return 500 * time.Millisecond }}
		go follower.Run(ctx)
		time.Sleep(1100 * time.Millisecond)
		store.lose(true)
		time.Sleep(10 * time.Second)
		probes, calls := store.counts()
		must.Between(t, 7, probes, 21)
		must.LessEq(t, 12, calls) // until the first probe fails
		must.False(t, health.Good())
		store.lose(false)
		time.Sleep(2 * time.Second)
		must.True(t, health.Good())
		must.Eq(t, 1, regained)
		_, calls = store.counts()
		must.Positive(t, calls)
		cancel()
		synctest.Wait()
	})
}

// A node that is told that the store answers others again asks it at once, and does not tell that again.
func TestToldNodeProbesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{lost: true}
		health := metadata.NewHealth(store, log.New(io.Discard))
		health.Nodes = func() int { return 300 }
		health.OnRegained = func() { t.Error("what another node told is told again") }
		go health.Run(ctx)
		synctest.Wait()
		must.False(t, health.Good())
		health.Told()
		synctest.Wait()
		must.False(t, health.Good(), must.Sprint("the store refuses this node still"))
		store.lose(false)
		health.Told()
		synctest.Wait()
		must.True(t, health.Good())
		cancel()
		synctest.Wait()
	})
}

// A follower that is refused has the store probed at once: a node that others rely on must not go on as if it knew what is new.
func TestRefusedCallIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &refusingStore{}
		health := metadata.NewHealth(store, log.New(io.Discard))
		go health.Run(ctx)
		follower := metadata.Follower{Store: store, Prefix: "p/", Handler: ignoringHandler{}, Logger: log.New(io.Discard), Health: health,
			Wait: func() time.Duration { return 10 * time.Millisecond }}
		go follower.Run(ctx)
		time.Sleep(1005 * time.Millisecond) // a probe has just been answered
		must.True(t, health.Good())
		store.lose(true)
		time.Sleep(100 * time.Millisecond)
		must.False(t, health.Good())
		cancel()
		synctest.Wait()
	})
}

// A node that does not know yet how many others there are probes a lost store now and then, and finds out soon that it answers.
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
		store.lose(false)
		time.Sleep(800 * time.Millisecond)
		must.True(t, health.Good())
		cancel()
		synctest.Wait()
	})
}
