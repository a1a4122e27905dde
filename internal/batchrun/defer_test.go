package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// callAgain submits a job as a caller does in an outage: at one node after the other, each for a second, until one has accepted it.
func callAgain(world *world, id string, items int, names ...string) <-chan error {
	accepted := make(chan error, 1)
	go func() {
		for turn := 0; ; turn++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := batchrun.ErrUnsure
			if runner := world.node(names[turn%len(names)]); runner != nil {
				err = runner.Submit(ctx, newDefinition(id, items, 1), jobRoute)
			}
			cancel()
			if err == nil {
				accepted <- nil
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return accepted
}

// In an outage a caller meets one node after the other. The items run at one of them, the one that runs the model's jobs; each used to run
// them all.
func TestOneNodeRunsAJobInAnOutage(t *testing.T) {
	inWorld(t, 41, func(t *testing.T, world *world) {
		world.preferred = "b"
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := callAgain(world, "job", 8, "a", "c", "b", "a")
		time.Sleep(5 * time.Second)
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("c"), "job", 8, time.Second), 1)
		must.Eq(t, 8, total(world.engines), must.Sprint("items ran twice"))
	})
}

// The node that was asked runs the job itself when the preferred one is gone, or goes while it has the job.
func TestJobInAnOutageOutlivesThePreferredNode(t *testing.T) {
	for _, before := range []bool{true, false} {
		inWorld(t, 42, func(t *testing.T, world *world) {
			world.preferred = "b"
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			if before {
				world.kill("b")
			}
			accepted := callAgain(world, "job", 8, "a", "c")
			time.Sleep(1200 * time.Millisecond)
			world.kill("b")
			time.Sleep(4 * time.Second)
			world.store.SetFaults(memstore.Faults{})
			must.NoError(t, <-accepted)
			checkResults(t, await(t, world.node("c"), "job", 8, 2*time.Second), 1)
		})
	}
}

// All nodes leave a job to the same one also when the preferred one goes while it has the job.
func TestAlternateRunsAJobInAnOutage(t *testing.T) {
	inWorld(t, 44, func(t *testing.T, world *world) {
		world.preferred, world.alternate = "b", "c"
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := callAgain(world, "job", 8, "a", "c")
		time.Sleep(300 * time.Millisecond)
		world.kill("b")
		time.Sleep(time.Second)
		started := total(world.engines)
		time.Sleep(4 * time.Second)
		must.LessEq(t, started+8, total(world.engines), must.Sprint("items ran at both nodes that are left"))
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("a"), "job", 8, time.Second), 1)
	})
}

// A node that the store refuses leaves a job to the preferred one, which the store answers and which accepts it at once.
func TestRefusedNodeLeavesJobsToThePreferredOne(t *testing.T) {
	inWorld(t, 43, func(t *testing.T, world *world) {
		world.preferred = "b"
		world.refuse("a", true)
		time.Sleep(2 * time.Second)
		started := time.Now()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 8, 1), jobRoute))
		must.Less(t, 600*time.Millisecond, time.Since(started))
		must.Eq(t, 1, world.node("b").OpenJobs())
		checkResults(t, await(t, world.node("c"), "job", 8, 4*time.Second), 1)
		must.Eq(t, 8, total(world.engines))
	})
}

// A node that stops in an outage passes on what it has made of a job that is not accepted: it is not made again.
func TestJobIsPassedOnInAnOutage(t *testing.T) {
	inWorld(t, 47, func(t *testing.T, world *world) {
		world.preferred, world.alternate = "b", "c"
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := callAgain(world, "job", 8, "a")
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, 8, total(world.engines))
		world.node("b").HandOver(t.Context())
		must.Eq(t, 0, world.node("b").OpenJobs())
		world.kill("b")
		time.Sleep(3 * time.Second)
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("a"), "job", 8, time.Second), 1)
		must.Eq(t, 8, total(world.engines), must.Sprint("items ran again"))
	})
}

// A node that another has left a job to runs it, and does not leave it to a third: the first would give that up and run it, too.
func TestJobIsLeftToOneNodeOnly(t *testing.T) {
	inWorld(t, 46, func(t *testing.T, world *world) {
		world.preferredAt = map[string]string{"a": "b", "b": "c"}
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := callAgain(world, "job", 8, "a")
		time.Sleep(5 * time.Second)
		must.Eq(t, 8, total(world.engines))
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("c"), "job", 8, time.Second), 1)
	})
}

// Nodes whose views of the fleet differ don't leave a job to each other: one of them runs it.
func TestNodesThatPreferEachOther(t *testing.T) {
	for _, names := range [][]string{{"a", "b"}, {"b", "a"}, {"a", "c"}} {
		inWorld(t, 45, func(t *testing.T, world *world) {
			world.preferredAt = map[string]string{"a": "b", "b": "c", "c": "a"}
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			var accepted []<-chan error
			for _, name := range names {
				accepted = append(accepted, callAgain(world, "job", 8, name))
			}
			time.Sleep(3 * time.Second)
			must.GreaterEq(t, 8, total(world.engines), must.Sprint("no node runs the job"))
			world.store.SetFaults(memstore.Faults{})
			for _, outcome := range accepted {
				must.NoError(t, <-outcome)
			}
			checkResults(t, await(t, world.node("c"), "job", 8, time.Second), 1)
		})
	}
}

// At the end of an outage the store answers another node first: that one accepts the job, with what was made of it here, also if it had left
// the job to this node.
func TestWhatWasMadeGoesAlong(t *testing.T) {
	for _, asked := range []string{"a", "b", "c"} {
		inWorld(t, 48, func(t *testing.T, world *world) {
			world.preferred, world.alternate = "b", "c"
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			accepted := callAgain(world, "job", 8, asked)
			time.Sleep(2500 * time.Millisecond)
			must.Eq(t, 8, total(world.engines))
			world.refuse("b", true)
			world.store.SetFaults(memstore.Faults{})
			back := time.Now()
			must.NoError(t, <-accepted)
			must.Less(t, 1500*time.Millisecond, time.Since(back), must.Sprint("asked ", asked))
			checkResults(t, await(t, world.node("a"), "job", 8, time.Second), 1)
			must.Eq(t, 8, total(world.engines), must.Sprint("items ran again, asked ", asked))
			time.Sleep(50 * time.Millisecond) // the answer that says so is on its way to b
			must.Eq(t, 0, world.node("b").OpenJobs())
		})
	}
}

// Nodes that wait for a job's acceptance answer their callers as soon as another has accepted it: these may be about to give up. A node
// that has just been started knows of no others, and announces it to nobody.
func TestAcceptanceIsHeardOfAtOnce(t *testing.T) {
	for after := time.Duration(0); after < 400*time.Millisecond; after += 20 * time.Millisecond {
		inWorld(t, 49, func(t *testing.T, world *world) {
			world.noAnnouncements = after%(40*time.Millisecond) == 0
			world.preferred = "b"
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			asked := make(chan time.Time, 2)
			for _, name := range []string{"a", "c"} {
				go func() {
					err := world.node(name).Submit(t.Context(), newDefinition("job", 8, 1), jobRoute)
					must.NoError(t, err)
					asked <- time.Now()
				}()
			}
			time.Sleep(3*time.Second + after)
			world.store.SetFaults(memstore.Faults{})
			for world.lineOf("here=true") == "" {
				time.Sleep(time.Millisecond)
			}
			accepted := time.Now()
			for range 2 {
				must.LessEq(t, 50*time.Millisecond, (<-asked).Sub(accepted), must.Sprintf("the outage ends %s later", after))
			}
		})
	}
}
