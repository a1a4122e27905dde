package room

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// sharesOf returns the shares of nodes that know of each other exactly.
func sharesOf(slots int, loads []Load) (sum, least float64, shares []float64) {
	var all Load
	for _, load := range loads {
		load.Waiting = min(load.Waiting, slots)
		all = all.Add(load)
	}
	least = float64(slots)
	for _, load := range loads {
		divided := min(load.Waiting, slots)
		others := Load{InFlight: all.InFlight - load.InFlight, Waiting: all.Waiting - divided, Nodes: all.Nodes - 1}
		share, _ := fairShare(slots, load, others)
		sum, least, shares = sum+share, min(least, share), append(shares, share)
	}
	return sum, least, shares
}

// The shares of all nodes of a full service sum up to its slots, but for the few requests that each node may send. A node gets at least as much as
// one with less demand, and none gets less than one request.
func TestSharesSumUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 500).Draw(t, "slots")
		var loads []Load
		for range rapid.IntRange(1, 30).Draw(t, "nodes") {
			loads = append(loads, Load{InFlight: rapid.IntRange(0, 30).Draw(t, "in flight"), Waiting: rapid.IntRange(1, 2000).Draw(t, "waiting"), Nodes: 1})
		}
		demand := 0.0
		for _, load := range loads {
			demand += float64(load.InFlight + min(load.Waiting, slots))
		}
		sum, least, shares := sharesOf(slots, loads)
		must.GreaterEq(t, 1, least)
		if demand >= float64(slots) {
			must.LessEq(t, max(float64(slots)*(1+1.0/floorDivisor), float64(len(loads)))+1e-6, sum)
			must.GreaterEq(t, float64(slots)-1e-6, sum)
		}
		for index, load := range loads {
			for other, less := range loads {
				if load.InFlight >= less.InFlight && load.Waiting >= less.Waiting {
					must.GreaterEq(t, shares[other]-1e-9, shares[index])
				}
			}
		}
	})
}

// While use is at most half, each node may use all free slots. Close to full use, all nodes together are given little more than there is.
func TestFreeSlots(t *testing.T) {
	loads := make([]Load, 10)
	spread := func(each int) (sum, least float64) {
		for index := range loads {
			loads[index] = Load{InFlight: each, Nodes: 1}
		}
		sum, least, _ = sharesOf(100, loads)
		return sum, least
	}
	_, least := spread(0)
	must.Eq(t, 100, least)
	_, least = spread(5)
	must.Eq(t, 55, least, must.Sprint("its own five and the 50 free ones"))
	sum, _ := spread(9)
	must.Between(t, 100, sum, 130)
	sum, _ = spread(10)
	must.Between(t, 100, sum, 100+1e-6)
}

// However full a service is, a node may send some requests if there are many slots for each node, and one otherwise.
func TestFloorOfAFullService(t *testing.T) {
	for _, test := range []struct {
		slots, nodes int
		floor        float64
	}{{256, 2, 4}, {64, 2, 2}, {64, 20, 1}} {
		share, scarce := fairShare(test.slots, Load{}, Load{InFlight: test.slots, Waiting: 1000 * test.slots, Nodes: test.nodes - 1})
		must.True(t, scarce)
		must.Eq(t, test.floor, share)
	}
}
