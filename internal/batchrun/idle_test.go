package batchrun_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against items that are at no replica for long without a line that says why.
func TestIdleItemIsLoggedWithItsReason(t *testing.T) {
	const limit = 5 * time.Second
	for _, check := range []struct {
		reason  string
		minimum int64
		prepare func(world *world)
	}{
		{`obstacle="no replica" suitable=0 attempts=0 last_outcome=""`, 2, func(*world) {}},
		{"last_outcome=refused", 1, func(world *world) { world.engines.refuseShare = 1 }},
		{"last_outcome=broken", 1, func(world *world) { world.engines.gaps["e1"], world.engines.gaps["e2"] = time.Hour, time.Hour }},
	} {
		inWorld(t, 1, func(t *testing.T, world *world) {
			check.prepare(world)
			must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("j", 1, check.minimum), jobRoute))
			time.Sleep(limit)
			line := world.lineOf("item idle")
			must.StrContains(t, line, check.reason)
			must.StrContains(t, line, "request=j-")
			must.Between(t, int(limit/time.Millisecond)/2, numberIn(t, line, "idle_ms"), int(limit/time.Millisecond))
		})
	}
}

// Guards against an attempt that a replica refused counting as time at a replica.
func TestIdleTimeGoesOnWhileReplicasRefuse(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, world *world) {
		setRefusals := func(share float64) {
			world.engines.mu.Lock()
			defer world.engines.mu.Unlock()
			world.engines.refuseShare = share
		}
		setRefusals(1)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("j", 1, 1), jobRoute))
		time.Sleep(time.Second)
		setRefusals(0)
		await(t, world.node("a"), "j", 1, 3*time.Second)
		must.GreaterEq(t, 1000, numberIn(t, world.lineOf("outcome=whole"), "idle_ms"))
	})
}
