package cluster_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

func newRegistry(store metadata.Store, name string) *cluster.Registry {
	return cluster.NewRegistry(&clusterv1.NodeRecord{Name: name, Address: "127.0.0.1:1", Role: "front"}, store, http.DefaultClient, log.New(io.Discard))
}

// A node whose record was removed registers again. Store contents from before its registration must not trigger this.
func TestExpelledNodeRegistersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, expelled := memstore.New(), 0
		registry := newRegistry(store, "a")
		registry.OnExpelled = func() { expelled++ }
		_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "x"}}})
		must.NoError(t, err)
		registry.Register(t.Context())
		registry.Reset(nil, 1)
		must.Eq(t, 0, expelled)
		listing, err := store.List(t.Context(), cluster.Prefix)
		must.NoError(t, err)
		registry.Reset(listing.Items, listing.Revision)
		must.Eq(t, 0, expelled)
		registry.Reset(nil, listing.Revision+1)
		must.Eq(t, 1, expelled)
		time.Sleep(time.Second)
		after, err := store.List(t.Context(), cluster.Prefix)
		must.NoError(t, err)
		must.Eq(t, 1, len(after.Items))
		must.Greater(t, listing.Revision, after.Revision)
	})
}

// Each node is watched by exactly its successors, and all nodes compute the same ranks.
func TestRingAgrees(t *testing.T) {
	var records []*clusterv1.NodeRecord
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		records = append(records, &clusterv1.NodeRecord{Name: name})
	}
	ring := cluster.NewRing(records)
	for _, watched := range records {
		successors := ring.Successors(watched.GetName(), 3)
		must.Eq(t, 3, len(successors))
		for rank, successor := range successors {
			must.NotEq(t, watched.GetName(), successor.GetName())
			must.Eq(t, rank, ring.Rank(successor.GetName(), watched.GetName()))
		}
	}
	must.Eq(t, -1, ring.Rank("a", "a"))
}

// Register reports whether an earlier incarnation may have left work behind, and does not flood an unavailable store
// with retries.
func TestRegistrationTellsOfAnEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		leftKey := func(node string) string { return "left/" + node }
		start := func() *cluster.Registry {
			registry := newRegistry(store, "a")
			registry.LeftoverWorkKey = leftKey
			return registry
		}
		must.False(t, start().Register(t.Context()))
		must.False(t, start().Register(t.Context()), must.Sprint("the earlier incarnation left no work behind"))
		_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: leftKey("a")}}})
		must.NoError(t, err)
		last := start()
		must.True(t, last.Register(t.Context()))
		last.Leave(t.Context())
		listing, err := store.List(t.Context(), "")
		must.NoError(t, err)
		must.SliceEmpty(t, listing.Items)

		store.SetFaults(memstore.Faults{Down: true})
		waiting := start()
		waiting.Health = metadata.NewHealth(store, log.New(io.Discard))
		waiting.Health.Nodes = func() int { return 0 }
		ctx, cancel := context.WithCancel(t.Context())
		go waiting.Health.Run(ctx)
		before, registered := store.Calls(), make(chan bool, 1)
		go func() { registered <- waiting.Register(ctx) }()
		time.Sleep(10 * time.Second)
		must.Between(t, 13, store.Calls()-before, 45)
		store.SetFaults(memstore.Faults{})
		must.False(t, <-registered)
		cancel()
		synctest.Wait()
	})
}
