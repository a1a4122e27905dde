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
