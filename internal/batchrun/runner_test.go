package batchrun_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

var jobRoute = &catalog.Route{Kind: catalog.Batch, JobObjective: 8 * time.Second}

// inWorld runs a test with three nodes under a simulated clock.
func inWorld(t *testing.T, seed uint64, run func(t *testing.T, world *world)) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(seed)
		for _, name := range []string{"a", "b", "c"} {
			world.start(name)
		}
		run(t, world)
		world.close()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// await reads a job at a node until all of its results are listed.
func await(t *testing.T, runner *batchrun.Runner, id string, total int, limit time.Duration) []*batchv1.Result {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		results, err := readAll(t.Context(), runner, id)
		if err == nil && len(results) == total {
			return results
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d listed after %s: %v", len(results), total, limit, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against lost or wrong results when streams break and replicas refuse work.
func TestRunsWholeUnderFaults(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, world *world) {
		world.engines.breakShare, world.engines.refuseShare = 0.1, 0.2
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		results := await(t, world.node("b"), "job", 20, 8*time.Second)
		checkResults(t, results, 1)
	})
}

// Guards against running a job at another node than the preferred one, and against rejecting jobs when that node has failed.
func TestPreferredNodeRunsJobs(t *testing.T) {
	inWorld(t, 9, func(t *testing.T, world *world) {
		world.preferred = "b"
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 4, 1), jobRoute))
		must.Eq(t, 0, world.node("a").OpenJobs())
		must.Eq(t, 1, world.node("b").OpenJobs())
		await(t, world.node("a"), "job", 4, 3*time.Second)
		world.kill("b")
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("other", 4, 1), jobRoute))
		must.Eq(t, 1, world.node("a").OpenJobs())
	})
}

// Guards against losing access to results that a node has read before, when neither the owner nor the store is reachable.
func TestCopiesAreReadWithoutTheOwner(t *testing.T) {
	inWorld(t, 12, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		listed := await(t, world.node("b"), "job", 20, 8*time.Second)
		world.store.SetFaults(memstore.Faults{Down: true})
		world.kill("a")
		page, err := world.node("b").Read(t.Context(), noTenant, "job", 3, 0)
		must.NoError(t, err)
		must.Eq(t, 20, page.Total)
		must.Eq(t, listed[3].GetItemId(), page.Results[0].GetItemId())
		must.Len(t, 17, page.Results)
		_, err = world.node("c").Read(t.Context(), noTenant, "job", 3, 0)
		must.True(t, errors.Is(err, batchrun.ErrUncertain), must.Sprint(err))
		world.store.SetFaults(memstore.Faults{})
	})
}

// Guards against changed positions of listed results, and lost ones, after the owner was killed and its job taken over.
func TestTakeOverOfKilledNode(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		time.Sleep(500 * time.Millisecond)
		before, err := readAll(t.Context(), world.node("a"), "job")
		must.NoError(t, err)
		must.SliceNotEmpty(t, before)
		must.NoError(t, world.node("b").TakeOverNode(t.Context(), "a", world.kill("a"), unregistered("a")))
		results := await(t, world.node("c"), "job", 30, 6*time.Second)
		checkPrefix(t, before, results)
		checkResults(t, results, 1)
	})
}

// Guards against regenerating long items from the start after the owner was killed, although their texts were backed up.
func TestGrowingTextsOutliveTheirNode(t *testing.T) {
	inWorld(t, 11, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition(longJob, 4, 1), jobRoute))
		time.Sleep(1300 * time.Millisecond)
		incarnation := world.kill("a")
		must.NoError(t, world.node("b").TakeOverNode(t.Context(), "a", incarnation, unregistered("a")))
		checkResults(t, await(t, world.node("c"), longJob, 4, 3*time.Second), 1)
		for item, event := range world.engines.resumed {
			must.GreaterEq(t, longEvents/4, event, must.Sprint(item))
		}
	})
}

// Guards against regenerating long items from the start after all processes were killed, although their texts were saved.
func TestGrowingTextsOutliveAllNodes(t *testing.T) {
	inWorld(t, 12, func(t *testing.T, world *world) {
		definition := newDefinition(longJob, 4, 1)
		definition.Items = append(definition.Items, newDefinition(mediumItem, 2, 1).GetItems()...)
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		time.Sleep(1300 * time.Millisecond)
		for _, name := range []string{"b", "c", "a"} {
			world.kill(name)
		}
		world.start("a")
		checkResults(t, await(t, world.node("a"), longJob, 6, 4*time.Second), 1)
		resumed := 0
		for _, event := range world.engines.resumed {
			if event >= partialEvents {
				resumed++
			}
		}
		must.GreaterEq(t, 4, resumed)
	})
}

// partialEvents is the minimum length of a text when it is first backed up.
const partialEvents = 16

// Guards against losing the texts of unfinished items in a handover at a planned stop.
func TestHandOverKeepsTexts(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 6, 1), jobRoute))
		time.Sleep(70 * time.Millisecond)
		world.node("a").HandOver(t.Context())
		results := await(t, world.node("c"), "job", 6, 4*time.Second)
		checkResults(t, results, 1)
	})
}

// Guards against delaying the items of a job while a store outage delays its acceptance.
func TestOutageDoesNotStopItems(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, world *world) {
		world.store.SetFaults(memstore.Faults{Down: true})
		accepted := make(chan error, 1)
		go func() { accepted <- world.node("a").Submit(context.Background(), newDefinition("job", 8, 1), jobRoute) }()
		time.Sleep(4 * time.Second)
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		await(t, world.node("a"), "job", 8, 500*time.Millisecond)
	})
}

// Guards against regenerating finished items when their node is killed during a store outage: other nodes have backups.
func TestTextsOutliveTheirNodeInAnOutage(t *testing.T) {
	inWorld(t, 8, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 8, 1), jobRoute))
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(2 * time.Second)
		world.kill("a")
		started := total(world.engines)
		world.start("a")
		time.Sleep(time.Second)
		world.store.SetFaults(memstore.Faults{})
		checkResults(t, await(t, world.node("a"), "job", 8, 3*time.Second), 1)
		must.Eq(t, started, total(world.engines), must.Sprint("items ran again"))
	})
}

// Guards against the same when the store is reachable but the responses to writes are lost.
func TestTextsOutliveTheirNodeWhenWritesAreLost(t *testing.T) {
	inWorld(t, 10, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 8, 1), jobRoute))
		world.store.SetFaults(memstore.Faults{LoseResponses: 1000, CommitDelay: time.Hour})
		time.Sleep(3 * time.Second)
		started := total(world.engines)
		world.kill("a")
		world.store.SetFaults(memstore.Faults{})
		world.start("a")
		checkResults(t, await(t, world.node("a"), "job", 8, 3*time.Second), 1)
		must.Eq(t, started, total(world.engines), must.Sprint("items ran again"))
		world.close()
		time.Sleep(2 * time.Hour) // the delayed writes arrive and must have no effect
		checkResults(t, await(t, world.start("b"), "job", 8, 3*time.Second), 1)
	})
}

// Guards against running items at replicas with weights older than the minimum version, and against listing such texts.
func TestMinimumVersion(t *testing.T) {
	inWorld(t, 5, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 4, 2), jobRoute))
		time.Sleep(time.Second)
		results, err := readAll(t.Context(), world.node("a"), "job")
		must.NoError(t, err)
		must.SliceEmpty(t, results)
		world.engines.mu.Lock()
		world.engines.versions["e1"] = 2
		world.engines.mu.Unlock()
		held := []catalog.ModelVersion{{Model: "m", Version: 2}}
		world.catalog.SetReplicas([]catalog.Replica{
			{ID: "e1", Service: "engine", Slots: 4, Models: held}, {ID: "e2", Service: "engine", Slots: 4, Models: held}, {ID: "s1", Service: "scorer", Slots: 9},
		}, 2)
		checkResults(t, await(t, world.node("a"), "job", 4, 4*time.Second), 2)
	})
}

// Guards against terminating an item before it has failed as often as its route allows, and against retrying it after that.
func TestGivesUpAfterAttempts(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, world *world) {
		world.engines.failShare = 1
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 2, 1), jobRoute))
		for _, result := range await(t, world.node("a"), "job", 2, 4*time.Second) {
			must.True(t, result.GetTerminated())
			must.Eq(t, 3, world.engines.starts[result.GetItemId()])
		}
	})
}

// Guards against starting items of an ended job and against changing its listed results.
func TestEndStopsItems(t *testing.T) {
	inWorld(t, 7, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 40, 1), jobRoute))
		time.Sleep(400 * time.Millisecond)
		must.NoError(t, world.node("b").End(t.Context(), noTenant, "job"))
		before, err := readAll(t.Context(), world.node("c"), "job")
		must.NoError(t, err)
		started := total(world.engines)
		time.Sleep(5 * time.Second)
		must.Eq(t, started, total(world.engines))
		after, err := readAll(t.Context(), world.node("a"), "job")
		must.NoError(t, err)
		checkPrefix(t, before, after)
		must.NoError(t, world.node("c").End(t.Context(), noTenant, "job"))
		_, err = world.node("a").Body(t.Context(), noTenant, "job", newDefinition("job", 1, 1).GetItems()[0].GetId())
		must.ErrorIs(t, err, batchrun.ErrNotFound)
	})
}

func total(engines *engines) int {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	count := 0
	for _, starts := range engines.starts {
		count += starts
	}
	return count
}

// Runs random histories of kills, restarts, handovers, outages, lost and late writes. Listed results keep their positions at
// every node that responds, and every accepted job completes.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		events := rapid.SliceOfN(rapid.IntRange(0, historyEvents-1), 4, 16).Draw(drawn, "events")
		picks := rapid.SliceOfN(rapid.IntRange(0, 2), len(events), len(events)).Draw(drawn, "nodes")
		seed := rapid.Uint64().Draw(drawn, "seed")
		preferred := preference(rapid.IntRange(0, int(preferences)-1).Draw(drawn, "preferred"))
		if failure := runHistory(t, seed, events, picks, preferred); failure != "" {
			drawn.Fatal(failure)
		}
	})
}

// Replays histories that failed in the past.
func TestFailedHistories(t *testing.T) {
	cases := []struct {
		cause         string
		seed          uint64
		events, picks []int
	}{
		{"a successor and the restarted node claimed a job from each other, and the former owner returned outdated results", 0x2,
			[]int{4, 2, 1, 1, 0, 3, 6, 1, 3, 0, 1, 3}, []int{0, 0, 1, 2, 2, 2, 1, 0, 0, 0, 2, 2}},
		{"a node's first sweep waited for an unresponsive store without a timeout", 0x2d83074,
			[]int{1, 3, 6, 4, 6, 3, 2}, []int{0, 0, 0, 1, 0, 2, 0}},
		{"a job ended while an item was about to probe a replica after a refusal, and the node never used the replica again", 0x47407f,
			[]int{0, 8, 1, 0, 6}, []int{0, 0, 2, 0, 0}},
		{"a node returned its own results during a handover although the new owner had listed more", 0xffffffffffffffff,
			[]int{3, 1, 0, 2, 6, 5, 3, 0, 5, 7, 10, 3, 2, 9, 3, 0}, []int{1, 1, 1, 0, 1, 1, 2, 1, 0, 1, 0, 2, 0, 2, 0, 1}},
		{"an owner without access to the store reported no results after another node had ended the job and read a late page", 0,
			[]int{2, 7, 8, 2, 5, 10, 8, 3, 4, 7, 0, 0, 3, 2, 9}, []int{1, 2, 0, 2, 1, 2, 1, 2, 2, 2, 1, 0, 0, 0, 1}},
		{"the same, before the owner had detected the store outage", 0x1f9, []int{2, 0, 5, 4, 10, 8, 2}, []int{0, 0, 0, 1, 0, 2, 1}},
		{"a node that was accepting a job confirmed its takeover, and dropped the job when it found another owner", 0x3b5aed5,
			[]int{5, 2, 3, 0, 10, 5, 1, 10, 5, 3, 6, 1, 0, 3, 0, 4}, []int{2, 1, 1, 1, 0, 0, 0, 1, 0, 0, 1, 2, 1, 2, 0, 1}},
		{"an owner reported no results while the outcome of its append was unknown and other nodes had read the results", 0x151d83,
			[]int{2, 2, 2, 2, 6, 5, 6, 5}, []int{1, 0, 1, 0, 1, 2, 2, 1}},
		{"the same", 0x26, []int{2, 8, 6, 2, 5, 6, 5, 0, 8, 1}, []int{2, 0, 2, 2, 2, 1, 2, 0, 0, 1}},
		{"test fault: an end with an unknown outcome took effect after the store recovered", 0x5,
			[]int{10, 0, 5, 10, 7, 4, 5, 1, 10, 8}, []int{0, 0, 1, 1, 1, 0, 1, 0, 2, 0}},
	}
	for _, c := range cases {
		for range 5 {
			if failure := runHistory(t, c.seed, c.events, c.picks, preferNone); failure != "" {
				t.Fatalf("%s: %s", c.cause, failure)
			}
		}
	}
}

// Guards against saving the texts of long items only once, or only together with results.
func TestGrowingTextsAreSavedEachSecond(t *testing.T) {
	inWorld(t, 20, func(t *testing.T, world *world) {
		world.engines.mu.Lock()
		world.engines.gaps["e1"], world.engines.gaps["e2"] = 2*defaultGap, 2*defaultGap
		world.engines.mu.Unlock()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition(longJob, 4, 1), jobRoute))
		time.Sleep(3 * time.Second)
		for _, name := range []string{"b", "c", "a"} {
			world.kill(name)
		}
		world.start("a")
		checkResults(t, await(t, world.node("a"), longJob, 4, 4*time.Second), 1)
		for item, event := range world.engines.resumed {
			must.GreaterEq(t, longEvents/2, event, must.Sprint(item))
		}
	})
}

// Guards against resuming the jobs of a restarted node one after the other: each waits for nodes that may have backups.
func TestJobsAreTakenUpSideBySide(t *testing.T) {
	inWorld(t, 21, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition(longJob, 4, 1), jobRoute))
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition(longJob+"-other", 4, 1), jobRoute))
		time.Sleep(300 * time.Millisecond)
		world.kill("a")
		world.keptDelay = 400 * time.Millisecond
		restarted := world.start("a")
		time.Sleep(600 * time.Millisecond)
		must.Eq(t, 2, restarted.OpenJobs())
	})
}
