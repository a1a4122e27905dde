package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// submitRepeatedly submits a job as a caller does during an outage: to one node after the other, with a deadline of one second
// each, until one of them has accepted it.
func submitRepeatedly(world *world, id string, items int, names ...string) <-chan error {
	accepted := make(chan error, 1)
	go func() {
		for turn := 0; ; turn++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := batchrun.ErrUncertain
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

// Guards against several nodes running the items of a job that a caller submits to one node after the other during an outage.
func TestOneNodeRunsAJobInAnOutage(t *testing.T) {
	inWorld(t, 41, func(t *testing.T, world *world) {
		world.preferred = "b"
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := submitRepeatedly(world, "job", 8, "a", "c", "b", "a")
		time.Sleep(5 * time.Second)
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("c"), "job", 8, time.Second), 1)
		must.Eq(t, 8, total(world.engines), must.Sprint("items ran twice"))
	})
}

// The node that received the job runs it when the preferred node is down, or fails after the job was delegated to it.
func TestJobInAnOutageOutlivesThePreferredNode(t *testing.T) {
	for _, before := range []bool{true, false} {
		inWorld(t, 42, func(t *testing.T, world *world) {
			world.preferred = "b"
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			if before {
				world.kill("b")
			}
			accepted := submitRepeatedly(world, "job", 8, "a", "c")
			time.Sleep(1200 * time.Millisecond)
			world.kill("b")
			time.Sleep(4 * time.Second)
			world.store.SetFaults(memstore.Faults{})
			must.NoError(t, <-accepted)
			checkResults(t, await(t, world.node("c"), "job", 8, 2*time.Second), 1)
		})
	}
}

// All nodes delegate a job to the same alternate when the preferred node fails after the job was delegated to it.
func TestAlternateRunsAJobInAnOutage(t *testing.T) {
	inWorld(t, 44, func(t *testing.T, world *world) {
		world.preferred, world.alternate = "b", "c"
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := submitRepeatedly(world, "job", 8, "a", "c")
		time.Sleep(300 * time.Millisecond)
		world.kill("b")
		time.Sleep(time.Second)
		started := total(world.engines)
		time.Sleep(4 * time.Second)
		must.LessEq(t, started+8, total(world.engines), must.Sprint("items ran at both remaining nodes"))
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("a"), "job", 8, time.Second), 1)
	})
}

// A node that cannot reach the store delegates a job to the preferred node, which reaches the store and accepts the job at once.
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

// A node that stops during an outage hands the texts of an unaccepted job to another node, so that no item runs again.
func TestJobIsPassedOnInAnOutage(t *testing.T) {
	inWorld(t, 47, func(t *testing.T, world *world) {
		world.preferred, world.alternate = "b", "c"
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := submitRepeatedly(world, "job", 8, "a")
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

// Guards against a chain of delegations: a node that received a job by delegation runs it and does not delegate it to a third.
func TestJobIsLeftToOneNodeOnly(t *testing.T) {
	inWorld(t, 46, func(t *testing.T, world *world) {
		world.preferredAt = map[string]string{"a": "b", "b": "c"}
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		accepted := submitRepeatedly(world, "job", 8, "a")
		time.Sleep(5 * time.Second)
		must.Eq(t, 8, total(world.engines))
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-accepted)
		checkResults(t, await(t, world.node("c"), "job", 8, time.Second), 1)
	})
}

// Guards against nodes with different views of the membership delegating a job to each other, so that none of them runs it.
func TestNodesThatPreferEachOther(t *testing.T) {
	for _, names := range [][]string{{"a", "b"}, {"b", "a"}, {"a", "c"}} {
		inWorld(t, 45, func(t *testing.T, world *world) {
			world.preferredAt = map[string]string{"a": "b", "b": "c", "c": "a"}
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			var accepted []<-chan error
			for _, name := range names {
				accepted = append(accepted, submitRepeatedly(world, "job", 8, name))
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

// When the store answers another node first after an outage, that node accepts the job together with the texts made so far, even
// if it had delegated the job to this node.
func TestWhatWasMadeGoesAlong(t *testing.T) {
	for _, asked := range []string{"a", "b", "c"} {
		inWorld(t, 48, func(t *testing.T, world *world) {
			world.preferred, world.alternate = "b", "c"
			world.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(1500 * time.Millisecond)
			accepted := submitRepeatedly(world, "job", 8, asked)
			time.Sleep(2500 * time.Millisecond)
			must.Eq(t, 8, total(world.engines))
			world.refuse("b", true)
			world.store.SetFaults(memstore.Faults{})
			recovered := time.Now()
			must.NoError(t, <-accepted)
			must.Less(t, 1500*time.Millisecond, time.Since(recovered), must.Sprint("asked ", asked))
			checkResults(t, await(t, world.node("a"), "job", 8, time.Second), 1)
			must.Eq(t, 8, total(world.engines), must.Sprint("items ran again, asked ", asked))
			time.Sleep(50 * time.Millisecond) // until b receives the answer of the node that accepted the job
			must.Eq(t, 0, world.node("b").OpenJobs())
		})
	}
}

// Nodes that wait for the acceptance of a job answer their callers as soon as another node has accepted it, also when that node
// announces it to nobody because it has just started and has no known peers.
func TestAcceptanceIsHeardOfAtOnce(t *testing.T) {
	for after := time.Duration(0); after < 400*time.Millisecond; after += 20 * time.Millisecond {
		inWorld(t, 49, func(t *testing.T, world *world) {
			if after%(40*time.Millisecond) == 0 {
				world.silence(time.Hour)
			}
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
