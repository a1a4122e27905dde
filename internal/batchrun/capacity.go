package batchrun

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// capacity tracks the free slots of the replicas during one dispatch round.
type capacity struct {
	scheduler         *scheduler
	loads             backend.Snapshot
	inFlight          map[string]int // requests in flight by replica, filled on first use
	candidateLists    map[placement][]*catalog.Replica
	running           map[placement]runningReplicas
	slowdowns         map[string]float64
	relativeLatencies map[string]float64
	now               time.Time
}

// placement is the key of items that can run at the same replicas.
type placement struct {
	service, model string
	minimum        int64
}

func placementOf(waiting *task) placement {
	return placement{service: waiting.service, model: waiting.item.GetModel(), minimum: waiting.job.definition.GetMinimumVersion()}
}

func newCapacity(scheduler *scheduler, now time.Time) *capacity {
	return &capacity{
		scheduler: scheduler, loads: scheduler.runner.Loads.Snapshot(now), inFlight: make(map[string]int), candidateLists: make(map[placement][]*catalog.Replica),
		running: make(map[placement]runningReplicas), slowdowns: scheduler.latencies.slowdowns(now), relativeLatencies: scheduler.latencies.relativeLatencies(now), now: now,
	}
}

// slowdown returns the recent event latency of a replica as a multiple of the median, or 1 if the replica is not slow.
func (capacity *capacity) slowdown(id string) float64 { return max(1, capacity.slowdowns[id]) }

func (capacity *capacity) reserve(id string) { capacity.inFlight[id]++ }

// candidates returns the replicas whose weights suit an item, except those found without a free slot in this round.
func (capacity *capacity) candidates(waiting *task) []*catalog.Replica {
	key := placementOf(waiting)
	list, known := capacity.candidateLists[key]
	if !known {
		list = slices.Clone(capacity.scheduler.suitableReplicas(key))
		capacity.candidateLists[key] = list
	}
	return list
}

// dropCandidate removes a replica without a free slot from the candidates.
func (capacity *capacity) dropCandidate(waiting *task, index int) {
	key := placementOf(waiting)
	list := capacity.candidateLists[key]
	list[index] = list[len(list)-1]
	capacity.candidateLists[key] = list[:len(list)-1]
}

const (
	// affinityBonus favors the replica whose prefix cache has the prompt of an item's group. Like all weights here it is a share of
	// the replica's slots.
	affinityBonus = 0.4
	// slowdownCost is the cost for each multiple of the median latency above one.
	slowdownCost  = 1.0
	sameZoneBonus = 0.01
	// latencyCost is the cost for each multiple of the lowest long-term latency above one. It grows with the relative length of the
	// item.
	latencyCost = 0.5
	// refusalCost applies to replicas that recently refused work, for example because they are loading.
	refusalCost = 1.0
	// maxRelativeLength bounds the relative length of an item in the cost.
	maxRelativeLength = 4.0
)

// relativeLatency returns the long-term latency of a replica as a multiple of the lowest one, or 1 if it is unknown.
func (capacity *capacity) relativeLatency(id string) float64 {
	return max(1, capacity.relativeLatencies[id])
}

// maxCompared bounds the candidates that are compared for one item. A random sample is compared if there are more.
const maxCompared = 48

// pick returns the replica with the lowest cost among the compared candidates with a free slot, or nil if the item has to wait.
func (capacity *capacity) pick(waiting *task) *catalog.Replica {
	preferred := capacity.scheduler.groupReplica[waiting.item.GetGroup()]
	length := min(maxRelativeLength, waiting.job.relativeLength(waiting.estimate()))
	var best *catalog.Replica
	bestCost := 0.0
	consider := func(replica *catalog.Replica) {
		cost := capacity.cost(replica, preferred, length)
		if best == nil || cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	capacity.compare(waiting, consider)
	if replica := capacity.scheduler.runner.Catalog.Replicas().Find(preferred); replica != nil && replica.Service == waiting.service && capacity.eligible(waiting, replica) {
		consider(replica)
	}
	return best
}

// compare calls consider for each candidate, or for a random sample of them, that has a free slot and that the item does not
// avoid.
func (capacity *capacity) compare(waiting *task, consider func(*catalog.Replica)) {
	list := capacity.candidates(waiting)
	sampled := len(list) > maxCompared
	for index, compared := 0, 0; index < len(list) && compared < maxCompared; {
		at := index
		if sampled {
			at = rand.IntN(len(list))
		}
		replica := list[at]
		if capacity.ejected(replica) || !capacity.hasFreeSlot(replica) {
			capacity.dropCandidate(waiting, at)
			list = capacity.candidates(waiting)
			continue
		}
		compared++
		if !capacity.avoids(waiting, replica) {
			consider(replica)
		}
		if !sampled {
			index++
		}
	}
}

// cost rates a replica for an item as a share of the replica's slots. Lower is better.
func (capacity *capacity) cost(replica *catalog.Replica, preferred string, length float64) float64 {
	cost := float64(capacity.inFlightAt(replica.ID)) / float64(max(replica.Slots, 1))
	cost += slowdownCost * (capacity.slowdown(replica.ID) - 1)
	cost += latencyCost * length * (capacity.relativeLatency(replica.ID) - 1)
	if capacity.scheduler.refusals[replica.ID] != nil {
		cost += refusalCost
	}
	if replica.ID == preferred {
		cost -= affinityBonus
	}
	if replica.Zone == capacity.scheduler.runner.Zone {
		cost -= sameZoneBonus
	}
	return cost
}

// inFlightAt returns the requests in flight at a replica, including those placed in this round.
func (capacity *capacity) inFlightAt(id string) int {
	count, known := capacity.inFlight[id]
	if !known {
		count = capacity.loads.Read(id).InFlight
		capacity.inFlight[id] = count
	}
	return count
}

// eligible reports whether a replica can take the item now.
func (capacity *capacity) eligible(waiting *task, replica *catalog.Replica) bool {
	return capacity.fits(waiting, replica) && capacity.hasFreeSlot(replica) && !capacity.avoids(waiting, replica)
}

// fits reports whether a replica can run the item at all.
func (capacity *capacity) fits(waiting *task, replica *catalog.Replica) bool {
	return !capacity.ejected(replica) && capacity.scheduler.suits(replica, placementOf(waiting))
}

// ejected reports whether a replica is ejected because of recent failures.
func (capacity *capacity) ejected(replica *catalog.Replica) bool {
	return capacity.loads.Read(replica.ID).Ejected
}

// hasFreeSlot reports whether a replica has a free slot and is not backing off after a refusal.
func (capacity *capacity) hasFreeSlot(replica *catalog.Replica) bool {
	return capacity.inFlightAt(replica.ID) < max(replica.Slots, 1) && capacity.scheduler.mayTry(replica.ID, capacity.now)
}

func (capacity *capacity) avoids(waiting *task, replica *catalog.Replica) bool {
	return replica.ID == waiting.avoid && capacity.now.Before(waiting.avoidUntil)
}
