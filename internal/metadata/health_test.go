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

// slowStore answers each probe after a time, or not at all while it is silent: a probe that was sent in the silence is never answered.
type slowStore struct {
	metadata.Store
	silent atomic.Bool
	takes  time.Duration
	probes atomic.Int64
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
	case <-time.After(store.takes):
		return nil
	}
}

// A node that is told that the store answers again does not wait for a probe of before to run out.
func TestToldWhileAProbeHangs(t *testing.T) {
	for after := time.Duration(0); after < time.Second; after += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := &slowStore{Store: memstore.New(), takes: 5 * time.Millisecond}
			health := metadata.NewHealth(store, log.New(io.Discard))
			health.Nodes = func() int { return 60 }
			ctx, cancel := context.WithCancel(t.Context())
			go health.Run(ctx)
			store.silent.Store(true)
			time.Sleep(5*time.Second + after)
			must.False(t, health.Good())
			store.silent.Store(false)
			health.Told()
			time.Sleep(10 * time.Millisecond)
			must.True(t, health.Good(), must.Sprintf("told %s later", after))
			cancel()
			synctest.Wait()
		})
	}
}

// However often a node is told, a slow store's answer is waited for.
func TestToldOftenOfASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memstore.New(), takes: 400 * time.Millisecond}
		health := metadata.NewHealth(store, log.New(io.Discard))
		ctx, cancel := context.WithCancel(t.Context())
		go health.Run(ctx)
		store.silent.Store(true)
		time.Sleep(5 * time.Second)
		store.silent.Store(false)
		before := store.probes.Load()
		for range 20 {
			health.Told()
			time.Sleep(30 * time.Millisecond)
		}
		must.True(t, health.Good())
		must.LessEq(t, before+3, store.probes.Load())
		cancel()
		synctest.Wait()
	})
}
