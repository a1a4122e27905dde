package batchrun

import (
	"cmp"
	"slices"
	"time"
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
		end := now.Add(registered.LeavesAfter)
		if known, isKnown := scheduler.departures[registered.ID]; !isKnown || end.Before(known) {
			scheduler.departures[registered.ID] = end
		}
	}
	for id := range scheduler.departures {
		if registered := replicas.Find(id); registered == nil || !registered.Draining {
			delete(scheduler.departures, id)
		}
	}
}

// departure is a running item whose replica will be gone before the item is complete.
type departure struct {
	started *attempt
	end     time.Time
	rest    float64 // in seconds
}

// planDepartures moves the running items whose replica will be gone before they are complete, as soon as another has a free slot. An item that is
// cut off instead waits until the loss is noticed, at worst for stallLimit. The earliest ends come first, and of these the items that would lose the
// most. It must be called with mu held.
func (scheduler *scheduler) planDepartures(capacity *capacity) {
	if len(scheduler.departures) == 0 {
		return
	}
	var leaving []departure
	for started := range scheduler.running {
		end, known := scheduler.departures[started.replica.ID]
		if !known || started.cancel == nil || started.target != nil || started.singleVersion {
			continue
		}
		rest := scheduler.remaining(started.task, started.events.Load()) * scheduler.latencies.expected(started.replica.ID, capacity.now)
		if rest > 0 && capacity.now.Add(time.Duration(rest*float64(time.Second))+departureMargin).Before(end) {
			continue
		}
		leaving = append(leaving, departure{started, end, rest})
	}
	slices.SortFunc(leaving, func(a, b departure) int { return cmp.Or(a.end.Compare(b.end), cmp.Compare(b.rest, a.rest)) })
	full := make(map[placement]bool)
	for _, item := range leaving {
		key := placementOf(item.started.task)
		if full[key] {
			continue
		}
		if target := capacity.pick(item.started.task); target != nil {
			scheduler.moveTo(item.started, target, capacity)
		} else {
			full[key] = true
		}
	}
}
