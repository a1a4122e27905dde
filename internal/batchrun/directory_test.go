package batchrun_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// After a restart of all nodes an ended job is read from the store once, whichever nodes are asked for it.
func TestEndedJobIsReadOnce(t *testing.T) {
	inWorld(t, 21, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job-1", 6, 1), jobRoute))
		await(t, world.node("a"), "job-1", 6, 4*time.Second)
		must.NoError(t, world.node("a").End(t.Context(), noTenant, "job-1"))
		for _, name := range []string{"a", "b", "c"} {
			world.kill(name)
			world.start(name)
		}
		time.Sleep(time.Second)
		results, err := readAll(t.Context(), world.node("a"), "job-1")
		must.NoError(t, err)
		must.Len(t, 6, results)
		before := world.store.Calls()
		for range 3 {
			for _, name := range []string{"a", "b", "c"} {
				results, err := readAll(t.Context(), world.node(name), "job-1")
				must.NoError(t, err)
				must.Len(t, 6, results)
			}
		}
		must.Eq(t, before, world.store.Calls())
	})
}

// A job that the log assigns to a node but that does not run there is resumed once a caller asks for it: the write that accepted
// it can take effect after the node has looked for its own jobs.
func TestStrandedJobIsTakenUp(t *testing.T) {
	inWorld(t, 22, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job-1", 6, 1), jobRoute))
		world.kill("a")
		world.clearLeftoverWorkKey("a") // as if the previous process had never owned a job
		world.start("a")
		time.Sleep(6 * time.Second)
		must.Eq(t, 0, world.node("a").OpenJobs())
		_, err := world.node("b").Read(t.Context(), noTenant, "job-1", 0, 0)
		must.NoError(t, err)
		checkResults(t, await(t, world.node("b"), "job-1", 6, 8*time.Second), 1)
	})
}

// A node that is still accepting a job itself does not report a takeover of the job as done while the owner is unknown.
func TestTakeOverOfJobThatIsBeingAccepted(t *testing.T) {
	inWorld(t, 23, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job-1", 6, 1), jobRoute))
		incarnation := world.kill("a")
		_, err := world.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "owners/a/job-2"}, {Key: batchlog.LeftoverWorkKey("a")}}})
		must.NoError(t, err)
		world.refuse("b", true)
		world.refuse("c", true)                                                                         // so that no node accepts it for b
		go func() { _ = world.node("b").Submit(t.Context(), newDefinition("job-1", 6, 1), jobRoute) }() // not accepted while b is refused
		time.Sleep(300 * time.Millisecond)
		world.refuse("b", false)
		world.refuse("c", false)
		must.Error(t, world.node("b").TakeOverNode(t.Context(), "a", incarnation, unregistered("a")))
		world.start("a")
		checkResults(t, await(t, world.node("c"), "job-1", 6, 8*time.Second), 1)
	})
}
