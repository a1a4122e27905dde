package batchrun_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A replica that answers 500 at once always has free slots. It must get few items, and no item may use up its attempts there.
func TestReplicaThatFailsAtOnce(t *testing.T) {
	inWorld(t, 51, func(t *testing.T, world *world) {
		world.engines.failing = map[string]func(string) bool{"e1": failAll}
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 40, 1), jobRoute))
		results := await(t, world.node("a"), "job", 40, 10*time.Second)
		checkResults(t, results, 1)
		for _, result := range results {
			must.False(t, result.GetTerminated(), must.Sprint(result.GetItemId(), " was terminated"))
		}
		must.Less(t, 12, world.engines.failed)
	})
}

// A replica that has recovered gets its full share of the items again.
func TestReplicaThatFailsNoMore(t *testing.T) {
	inWorld(t, 52, func(t *testing.T, world *world) {
		world.engines.failing = map[string]func(string) bool{"e1": failAll}
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		await(t, world.node("a"), "job", 20, 10*time.Second)
		world.engines.mu.Lock()
		world.engines.failing = nil
		world.engines.mu.Unlock()
		time.Sleep(3 * time.Second)
		began := time.Now()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("next", 40, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "next", 40, 10*time.Second), 1)
		must.Less(t, 2500*time.Millisecond, time.Since(began))
	})
}

// A replica that fails only some items must not use up all attempts of any of them.
func TestItemThatOneReplicaFails(t *testing.T) {
	for seed := uint64(53); seed < 63; seed++ {
		inWorld(t, seed, func(t *testing.T, world *world) {
			world.engines.failing = map[string]func(string) bool{"e1": func(item string) bool { return strings.HasSuffix(item, "1") }}
			must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 40, 1), jobRoute))
			results := await(t, world.node("a"), "job", 40, 10*time.Second)
			checkResults(t, results, 1)
			for _, result := range results {
				must.False(t, result.GetTerminated(), must.Sprint(result.GetItemId(), " was terminated"))
			}
		})
	}
}
