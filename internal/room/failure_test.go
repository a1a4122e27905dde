package room_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/room"
)

// disturbedRefusals is the stated aim for the share of refused sends while nodes know only a part of each other's load or nothing of it.
const disturbedRefusals = 0.15

// overloaded returns a world of 20 nodes in four zones, with twice the demand that it has room for, in which the first summing node of zone-0
// has no requests of its own.
func overloaded() *world {
	rates := uneven(2)
	rates[0] = 0
	world := newWorld(64, 4, rates...)
	world.run(5 * time.Second)
	return world
}

// checkShared requires that the room is shared again.
func checkShared(t *testing.T, world *world) {
	t.Helper()
	counts := world.measure(10 * time.Second)
	t.Logf("afterwards: refused %.3f, use %.3f", counts.refusals(), world.use(counts.served, 10*time.Second))
	must.Less(t, maxRefusals, counts.refusals())
	must.Greater(t, minUse, world.use(counts.served, 10*time.Second))
}

// checkDisturbed requires that a failure of the exchange costs little for the given time.
func checkDisturbed(t *testing.T, world *world, duration time.Duration) {
	t.Helper()
	counts := world.measure(duration)
	t.Logf("meanwhile: refused %.3f, use %.3f", counts.refusals(), world.use(counts.served, duration))
	must.Less(t, disturbedRefusals, counts.refusals())
	must.Greater(t, 0.8, world.use(counts.served, duration))
	for _, node := range world.nodes {
		must.GreaterEq(t, 1, node.lowest)
	}
}

// A summing node dies and stays registered for some seconds: its zone reports to the next one, and meanwhile the windows bind.
func TestSummingNodeDies(t *testing.T) {
	world := overloaded()
	must.Eq(t, "front-0", world.nodes[16].exchange.Target())
	world.kill(world.nodes[0])
	checkDisturbed(t, world, 3*time.Second)
	must.Eq(t, "front-4", world.nodes[16].exchange.Target())
	world.nodes[0].unregistered = true
	checkShared(t, world)
}

// A summing node is silent and stays registered.
func TestSummingNodeIsSilent(t *testing.T) {
	world := overloaded()
	world.nodes[0].silent = true
	checkDisturbed(t, world, 3*time.Second)
	checkShared(t, world)
}

// A summing node restarts and knows nothing: it tells no sums before all nodes have reported to it.
func TestSummingNodeRestarts(t *testing.T) {
	world := overloaded()
	world.start(world.nodes[0])
	checkDisturbed(t, world, 2*time.Second)
	must.Eq(t, "front-0", world.nodes[16].exchange.Target())
	checkShared(t, world)
}

// One node can't be reached by the others. It goes on with a window, which no longer counts for them.
func TestNodeIsCutOff(t *testing.T) {
	world := overloaded()
	lone := world.nodes[6]
	world.cut = func(from, to *node) bool { return (from == lone) != (to == lone) }
	checkDisturbed(t, world, 5*time.Second)
	must.Greater(t, 0, lone.served)
	world.cut = nil
	world.run(12 * time.Second) // until it tries the first summing node again
	must.Eq(t, "front-2", lone.exchange.Target())
	checkShared(t, world)
}

// A zone is cut off from the others: each side knows its own load only, and finds the rest by refusals.
func TestZoneIsCutOff(t *testing.T) {
	world := overloaded()
	world.cut = func(from, to *node) bool { return (from.zone == "zone-0") != (to.zone == "zone-0") }
	checkDisturbed(t, world, 10*time.Second)
	world.cut = nil
	world.run(2 * time.Second)
	checkShared(t, world)
}

// Half of the nodes run a build that reports nothing and sends what it has. The others find their load by refusals, and are not starved.
func TestHalfOfTheNodesRunTheFormerBuild(t *testing.T) {
	world := newWorld(64, 4, equal(16, 1.1)...)
	for index, node := range world.nodes {
		node.former = index >= 8
	}
	world.run(5 * time.Second)
	world.reset()
	world.run(20 * time.Second)
	var own counts
	for _, node := range world.nodes[:8] {
		own.sent, own.refused, own.served = own.sent+node.sent, own.refused+node.refused, own.served+node.served
		must.GreaterEq(t, 1, node.lowest)
	}
	t.Logf("%+v: refused %.3f", own, own.refusals())
	must.Less(t, disturbedRefusals, own.refusals())
	must.Greater(t, 0.25*capacity*20, float64(own.served))
}

// All nodes restart at once, without requests: first they know nothing, and soon all.
func TestAllNodesRestart(t *testing.T) {
	world := overloaded()
	for _, node := range world.nodes {
		world.kill(node)
		world.start(node)
	}
	must.Less(t, disturbedRefusals, world.measure(3*time.Second).refusals())
	checkShared(t, world)
}

// A node dies with requests in flight. Its load counts for as long as its last report, and then no more.
func TestNodeDies(t *testing.T) {
	world := newWorld(64, 1, 0, capacity/2, 3*capacity)
	world.run(5 * time.Second)
	world.kill(world.nodes[1])
	others := func() (status room.Status) {
		load := world.nodes[2].load()
		return world.nodes[2].room.Refresh(map[string]room.Load{"s": load}, nil)[0]
	}
	must.Greater(t, 4, others().Others.InFlight)
	world.run(1500 * time.Millisecond)
	must.True(t, others().Known)
	must.Eq(t, 0, others().Others.InFlight)
	world.run(2 * time.Second)
	must.Greater(t, minUse, world.use(world.measure(5*time.Second).served, 5*time.Second))
}

// The second summing node of a zone is in no other zone's registry as a receiver of sums. Its first replies after a failover must contain the other
// zones, or its zone would take their slots.
func TestFirstRepliesAfterAFailoverContainAllZones(t *testing.T) {
	world := overloaded()
	world.kill(world.nodes[0])
	observed := world.nodes[16]
	status := func() room.Status {
		return observed.room.Refresh(map[string]room.Load{"s": observed.load()}, nil)[0]
	}
	for attempt := 0; status().Known && attempt < 1000; attempt++ {
		world.run(step)
	}
	must.False(t, status().Known)
	for attempt := 0; !status().Known && attempt < 1000; attempt++ {
		world.run(step)
	}
	must.Eq(t, "front-4", observed.exchange.Target())
	others := 0
	for _, node := range world.nodes {
		if node.zone != "zone-0" {
			others += len(node.running)
		}
	}
	must.Greater(t, others*3/4, status().Others.InFlight)
}
