package batchrun

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// departureMargin is how much earlier than the announced end of its replica an item must be expected to finish to stay there.
const departureMargin = 300 * time.Millisecond

// updateDepartures records when the replicas that announced their end will have gone. It must be called with mu held.
func (scheduler *scheduler) updateDepartures(now time.Time) {
	replicas := scheduler.runner.Catalog.Replicas()
	for started := range scheduler.running {
		registered := replicas.Find(started.replica.ID)
		if registered == nil || !registered.Draining || registered.LeavesAfter <= 0 {
			continue
		}
		if _, known := scheduler.departures[registered.ID]; !known {
			scheduler.departures[registered.ID] = now.Add(registered.LeavesAfter)
		}
	}
	for id := range scheduler.departures {
		if registered := replicas.Find(id); registered == nil || !registered.Draining {
			delete(scheduler.departures, id)
		}
	}
}

// planDepartures moves the running items whose replica will be gone before they are complete, as soon as another has a free slot. An item that is
// cut off instead waits until the loss is noticed, at worst for stallLimit. It must be called with mu held.
func (scheduler *scheduler) planDepartures(capacity *capacity) {
	if len(scheduler.departures) == 0 {
		return
	}
	for started := range scheduler.running {
		end, leaving := scheduler.departures[started.replica.ID]
		if !leaving || started.cancel == nil || started.target != nil || started.singleVersion {
			continue
		}
		here := scheduler.remaining(started.task, started.events.Load()) * scheduler.latencies.expected(started.replica.ID, capacity.now)
		if here > 0 && capacity.now.Add(time.Duration(here*float64(time.Second))+departureMargin).Before(end) {
			continue
		}
		if target := capacity.leastLoaded(started.task); target != nil {
			scheduler.moveTo(started, target, capacity)
		}
	}
}

// leastLoaded returns the replica with the lowest cost that can take an item, or nil if none has a free slot.
func (capacity *capacity) leastLoaded(running *task) *catalog.Replica {
	var best *catalog.Replica
	bestCost := 0.0
	for _, replica := range capacity.candidates(running) {
		if !capacity.eligible(running, replica) {
			continue
		}
		if cost := capacity.cost(replica, "", 1); best == nil || cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	return best
}
