package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// stopLimit is the time that a planned stop has for its handover.
const stopLimit = 6 * time.Second

// handOver hands a node's jobs over in the background.
func handOver(runner *batchrun.Runner) <-chan bool {
	done := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		done <- runner.HandOver(ctx)
	}()
	return done
}

// leave ends the process of a node that has stopped. After a complete handover nobody looks for its jobs any more.
func (world *world) leave(name string, handedOver bool) {
	incarnation := world.kill(name)
	if handedOver {
		world.clearLeftoverWorkKey(name)
		return
	}
	time.Sleep(1300 * time.Millisecond)
	_ = world.node("c").TakeOverNode(context.Background(), name, incarnation, unregistered(name))
}

// Guards against a job with no node to run it: its owner stops and hands it over to a node that is told to stop while it takes over.
func TestStopDuringATakeover(t *testing.T) {
	inWorld(t, 61, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		time.Sleep(300 * time.Millisecond)
		world.keptDelay = 300 * time.Millisecond
		first := handOver(world.node("a"))
		time.Sleep(150 * time.Millisecond)
		second := handOver(world.node("b"))
		must.True(t, <-first)
		must.True(t, <-second, must.Sprint("the job that was taken over is not handed over"))
		world.leave("a", true)
		world.leave("b", true)
		checkResults(t, await(t, world.node("c"), "job", 30, 6*time.Second), 1)
	})
}

// Guards against the same when the takeover follows a crash.
func TestStopDuringATakeoverOfACrashedNode(t *testing.T) {
	inWorld(t, 62, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		time.Sleep(300 * time.Millisecond)
		world.keptDelay = 300 * time.Millisecond
		incarnation := world.kill("a")
		taken := make(chan error, 1)
		go func() {
			taken <- world.node("b").TakeOverNode(context.Background(), "a", incarnation, unregistered("a"))
		}()
		time.Sleep(150 * time.Millisecond)
		stopped := handOver(world.node("b"))
		if <-taken == nil {
			world.clearLeftoverWorkKey("a")
		}
		must.True(t, <-stopped, must.Sprint("the job that was taken over is not handed over"))
		world.leave("b", true)
		checkResults(t, await(t, world.node("c"), "job", 30, 6*time.Second), 1)
	})
}

// Guards against a job with no node to run it: its owner is killed, restarts, and is killed again before it has looked for the jobs of its
// earlier process.
func TestTakeoverOfAnEarlierProcess(t *testing.T) {
	inWorld(t, 63, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		time.Sleep(300 * time.Millisecond)
		world.kill("a")
		world.restartWithoutSearch("a")
		incarnation := world.kill("a")
		must.NoError(t, world.node("b").TakeOverNode(t.Context(), "a", incarnation, unregistered("a")))
		checkResults(t, await(t, world.node("c"), "job", 30, 6*time.Second), 1)
	})
}

// Guards against a takeover that takes the jobs of a process which has registered since the node was declared dead.
func TestTakeoverLeavesTheJobsOfANewProcess(t *testing.T) {
	inWorld(t, 64, func(t *testing.T, world *world) {
		incarnation := world.kill("a")
		restarted := world.start("a")
		must.NoError(t, restarted.Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		dead := unregistered("a")
		_, err := world.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: dead.Key}}})
		must.NoError(t, err)
		must.ErrorIs(t, world.node("b").TakeOverNode(t.Context(), "a", incarnation, dead), batchlog.ErrProcessReplaced)
		must.Eq(t, 1, restarted.OpenJobs())
		checkResults(t, await(t, world.node("c"), "job", 30, 6*time.Second), 1)
		must.Eq(t, 0, world.node("b").OpenJobs())
	})
}

// Guards against a job with no node to run it: a node that has restarted is told to stop before it has looked for the jobs of its earlier
// process.
func TestStopBeforeTheSearch(t *testing.T) {
	inWorld(t, 65, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		time.Sleep(300 * time.Millisecond)
		world.kill("a")
		world.leave("a", <-handOver(world.restartWithoutSearch("a")))
		checkResults(t, await(t, world.node("c"), "job", 30, 6*time.Second), 1)
	})
}

// Guards against the same after an acceptance whose answer was lost: it takes effect after the node has left, and a caller that submits the
// job again is told that it is accepted.
func TestStopAfterAnUncertainAcceptance(t *testing.T) {
	inWorld(t, 66, func(t *testing.T, world *world) {
		world.store.SetFaults(memstore.Faults{LoseResponses: 1, CommitDelay: 1500 * time.Millisecond})
		must.Error(t, submitAtNode(t.Context(), world.node("b"), newDefinition("job", 30, 1)))
		world.store.SetFaults(memstore.Faults{})
		world.leave("b", <-handOver(world.node("b")))
		time.Sleep(time.Second)
		must.NoError(t, world.node("c").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 30, 6*time.Second), 1)
	})
}
