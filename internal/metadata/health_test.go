package metadata_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// slowStore responds to each probe after its latency. A probe that is sent while the store is silent never gets a response.
type slowStore struct {
	metadata.Store
	silent  atomic.Bool
	latency time.Duration
	probes  atomic.Int64
}

func (store *slowStore) Probe(ctx context.Context) error {
	store.probes.Add(1)
	if store.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(store.latency):
		return nil
	}
}

// A notification that the store responds again must abort a hanging probe that was sent before.
func TestToldWhileAProbeHangs(t *testing.T) {
	for after := time.Duration(0); after < time.Second; after += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := &slowStore{Store: memstore.New(), latency: 5 * time.Millisecond}
			health := metadata.NewHealth(store, log.New(io.Discard))
			health.Nodes = func() int { return 60 }
			ctx, cancel := context.WithCancel(t.Context())
			go health.Run(ctx)
			store.silent.Store(true)
			time.Sleep(5*time.Second + after)
			must.False(t, health.Good())
			store.silent.Store(false)
			health.NotifyRecovered()
			time.Sleep(10 * time.Millisecond)
			must.True(t, health.Good(), must.Sprintf("notified %s later", after))
			cancel()
			synctest.Wait()
		})
	}
}

// Frequent notifications must not abort every probe of a slow store.
func TestToldOftenOfASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memstore.New(), latency: 400 * time.Millisecond}
		health := metadata.NewHealth(store, log.New(io.Discard))
		ctx, cancel := context.WithCancel(t.Context())
		go health.Run(ctx)
		store.silent.Store(true)
		time.Sleep(5 * time.Second)
		store.silent.Store(false)
		before := store.probes.Load()
		for range 20 {
			health.NotifyRecovered()
			time.Sleep(30 * time.Millisecond)
		}
		must.True(t, health.Good())
		must.LessEq(t, before+3, store.probes.Load())
		cancel()
		synctest.Wait()
	})
}
