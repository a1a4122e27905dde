package batchrun_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Guards against items that stay at a slow replica although a faster one has free slots, and against moves that lose text.
func TestItemsMoveToFasterReplicas(t *testing.T) {
	inWorld(t, 14, func(t *testing.T, world *world) {
		definition := newDefinition("first", 8, 1)
		for _, item := range definition.GetItems() {
			item.LengthHint = 10 * eventCount(item.GetId())
		}
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		await(t, world.node("a"), "first", 8, 3*time.Second)
		const slowGap = 6 * defaultGap
		world.engines.mu.Lock()
		world.engines.gaps["e1"] = slowGap
		world.engines.mu.Unlock()
		definition = newDefinition("middle", 6, 1)
		for _, item := range definition.GetItems() {
			item.LengthHint = 10 * mediumEvents
		}
		began := time.Now()
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		results := await(t, world.node("a"), "middle", 6, 10*time.Second)
		must.Less(t, mediumEvents*slowGap*2/3, time.Since(began))
		checkResults(t, results, 1)
	})
}

// Guards against items that stay at a replica that announced its end, and then wait until its silence is noticed.
func TestItemsLeaveReplicasThatAreReclaimed(t *testing.T) {
	inWorld(t, 21, func(t *testing.T, world *world) {
		definition := newDefinition(longJob, 4, 1)
		began := time.Now()
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		time.Sleep(600 * time.Millisecond)
		var replicas []catalog.Replica
		for replica := range world.catalog.Replicas().All().Each() {
			changed := *replica
			if changed.ID == "e1" {
				changed.Draining, changed.LeavesAfter = true, 500*time.Millisecond
			}
			replicas = append(replicas, changed)
		}
		world.catalog.SetReplicas(replicas, world.catalog.Replicas().Revision+1)
		time.Sleep(500 * time.Millisecond)
		world.engines.mu.Lock()
		world.engines.gaps["e1"] = time.Hour
		world.engines.mu.Unlock()
		results := await(t, world.node("a"), longJob, 4, 10*time.Second)
		must.Less(t, longEvents*defaultGap+500*time.Millisecond, time.Since(began))
		checkResults(t, results, 1)
	})
}

// Guards against wrong timings in the log line of a job's end: the time until enough groups were complete, and its lower bound.
func TestEndTellsTheTimeBesideItsBound(t *testing.T) {
	inWorld(t, 18, func(t *testing.T, world *world) {
		definition := newDefinition(longJob, 4, 1)
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		await(t, world.node("a"), longJob, 4, 5*time.Second)
		must.NoError(t, world.node("a").End(t.Context(), noTenant, longJob))
		line := world.lineOf("job ended")
		bound, enough := numberIn(t, line, "bound_ms"), numberIn(t, line, "enough_ms")
		must.Between(t, longEvents*30-100, bound, longEvents*30+100)
		must.Between(t, bound, enough, bound+300)
		must.Eq(t, longEvents, numberIn(t, line, "longest"))
		must.Eq(t, 4*longEvents, numberIn(t, line, "events"))
	})
}
