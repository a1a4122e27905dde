package room_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// capacity is the number of requests a second that 64 slots serve.
	capacity = 160.0
	// maxRefusals is the stated aim for the share of sends that replicas refuse while nodes know of each other.
	maxRefusals = 0.05
	// minUse is the part of the slots that must be in use while requests wait.
	minUse = 0.9
)

// uneven returns the rates of 20 nodes, five kinds of them, which sum up to a multiple of the capacity.
func uneven(load float64) []float64 {
	var rates []float64
	for index := range 20 {
		rates = append(rates, []float64{60, 20, 5, 2, 1}[index%5]/352*capacity*load)
	}
	return rates
}

func equal(count int, load float64) []float64 {
	rates := make([]float64, count)
	for index := range rates {
		rates[index] = load * capacity / float64(count)
	}
	return rates
}

// Nodes with uneven demand share a service that has too little room: hardly a request is sent for which there is none, the slots are used,
// and a node with little demand has more than half of it served.
func TestOverloadedServiceIsShared(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2, 4, 10} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			world := newWorld(64, 4, uneven(load)...)
			world.run(3 * time.Second)
			counts := world.measure(20 * time.Second)
			t.Logf("%+v: refused %.3f, use %.3f", counts, counts.refusals(), world.use(counts.served, 20*time.Second))
			must.Less(t, maxRefusals, counts.refusals())
			must.Greater(t, minUse, world.use(counts.served, 20*time.Second))
			for _, node := range world.nodes {
				must.GreaterEq(t, 1, node.lowest)
				if node.rate < capacity/40 { // half of an equal share
					must.Greater(t, 0.5*float64(node.asked), float64(node.served), must.Sprint(node.name))
				}
			}
		})
	}
}

// Nodes with equal demand get equal parts.
func TestEqualNodesGetEqualParts(t *testing.T) {
	for _, count := range []int{2, 4, 8, 16, 32} {
		world := newWorld(64, 4, equal(count, 3)...)
		world.run(3 * time.Second)
		counts := world.measure(20 * time.Second)
		must.Less(t, maxRefusals, counts.refusals())
		must.Greater(t, minUse, world.use(counts.served, 20*time.Second))
		for _, node := range world.nodes {
			must.Between(t, 0.6, float64(node.served)*float64(count)/float64(counts.served), 1.4)
		}
	}
}

// A node that alone uses a service gets all of it.
func TestLoneNodeGetsAllRoom(t *testing.T) {
	rates := make([]float64, 20)
	rates[7] = 2 * capacity
	world := newWorld(64, 4, rates...)
	counts := world.measure(20 * time.Second)
	must.Eq(t, 64, world.nodes[7].lowest)
	must.Less(t, maxRefusals, counts.refusals())
	must.Greater(t, minUse, world.use(counts.served, 20*time.Second))
}

// While a service has ample room, nothing is held back and nothing refused, whether demand is even or not.
func TestAmpleRoomDoesNotBind(t *testing.T) {
	for _, rates := range [][]float64{uneven(0.4), equal(20, 0.4), {0.4 * capacity, 0.1}} {
		world := newWorld(64, 4, rates...)
		counts := world.measure(20 * time.Second)
		must.Eq(t, 0, counts.refused)
		for _, node := range world.nodes {
			must.Eq(t, 0, node.held, must.Sprint(node.name))
		}
	}
}

// Without any exchange, the windows of the nodes find what there is room for, and leave some of it to each. The aim is that nine of ten sends succeed.
func TestWindowsConverge(t *testing.T) {
	for _, count := range []int{2, 4, 8, 16} {
		world := newWorld(64, 4, equal(count, 2)...)
		for _, node := range world.nodes {
			node.silent = true
		}
		world.run(10 * time.Second)
		counts := world.measure(20 * time.Second)
		t.Logf("%d nodes: %+v: refused %.3f", count, counts, counts.refusals())
		must.Less(t, 0.1, counts.refusals())
		must.Greater(t, minUse, world.use(counts.served, 20*time.Second))
		for _, node := range world.nodes {
			must.Greater(t, 0.1, float64(node.served)*float64(count)/float64(counts.served), must.Sprint("part of an equal share of ", node.name))
		}
	}
}

// Replicas that go lower the limits at once, and replicas that come back are used within two seconds.
func TestReplicasGoAndComeBack(t *testing.T) {
	world := newWorld(128, 4, equal(16, 4)...)
	world.run(5 * time.Second)
	limits := func() (sum int) {
		for _, node := range world.nodes {
			sum += node.room.Limit("s")
		}
		return sum
	}
	world.resize(64)
	must.LessEq(t, 64+len(world.nodes), limits(), must.Sprint("each share is rounded"))
	world.run(5 * time.Second)
	must.Less(t, maxRefusals, world.measure(10*time.Second).refusals())
	world.resize(128)
	world.run(2 * time.Second)
	counts := world.measure(5 * time.Second)
	must.Less(t, maxRefusals, counts.refusals())
	must.Greater(t, minUse, world.use(counts.served, 5*time.Second))
}

// What a node sends does not grow with the number of nodes, and what a summing node sends grows with those of its zone, up to a bound. The publisher
// learns of all waiting requests.
func TestCostOfTheExchange(t *testing.T) {
	const duration, rounds = 10 * time.Second, 40
	for _, count := range []int{8, 80, 400} {
		rates := equal(count, 2)
		world := newWorld(64, 4, rates...)
		world.run(3 * time.Second)
		world.measure(duration)
		must.LessEq(t, 1400, world.largest)
		most := 0
		for _, node := range world.nodes[4:] {
			must.LessEq(t, rounds+1, node.datagrams)
		}
		for _, node := range world.nodes[:4] {
			most = max(most, node.datagrams)
		}
		must.LessEq(t, rounds*(min(count/4, 64)+5)+1, most)
		waiting := int64(0)
		for _, zone := range world.backlog {
			waiting += zone
		}
		must.Greater(t, 64, waiting)
	}
}
