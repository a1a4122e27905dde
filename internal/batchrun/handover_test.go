package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/batchrun"
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
	_ = world.node("c").TakeOverNode(context.Background(), name, incarnation)
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
		world.leave("a", true)
		world.leave("b", <-second)
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
		go func() { taken <- world.node("b").TakeOverNode(context.Background(), "a", incarnation) }()
		time.Sleep(150 * time.Millisecond)
		stopped := handOver(world.node("b"))
		if <-taken == nil {
			world.clearLeftoverWorkKey("a")
		}
		world.leave("b", <-stopped)
		checkResults(t, await(t, world.node("c"), "job", 30, 6*time.Second), 1)
	})
}
