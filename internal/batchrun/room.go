package batchrun

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// room is the free slots of the replicas during one round of dispatch.
type room struct {
	scheduler *scheduler
	inFlight  map[string]int
	ejected   map[string]bool
	slowdowns map[string]float64
	relative  map[string]float64
	now       time.Time
}

func newRoom(scheduler *scheduler, replicas *catalog.ReplicaSet, now time.Time) *room {
	found := &room{
		scheduler: scheduler, inFlight: make(map[string]int, len(replicas.All)), ejected: make(map[string]bool),
		slowdowns: scheduler.pace.slowdowns(now), relative: scheduler.pace.relative(now), now: now,
	}
	for index := range replicas.All {
		id := replicas.All[index].ID
		reading := scheduler.runner.Loads.Read(id, now)
		found.inFlight[id] = reading.InFlight
		found.ejected[id] = reading.Ejected
	}
	return found
}

// slowdown returns how many times the median a replica takes for an event; 1 unless it is clearly slow.
func (room *room) slowdown(id string) float64 { return max(1, room.slowdowns[id]) }

func (room *room) take(id string) { room.inFlight[id]++ }

const (
	// homeBonus keeps the items of a group where their prompt is kept, unless others are emptier by as much of their slots.
	homeBonus = 0.4
	// slowCost keeps items from replicas that are slow by this much of their slots for each time that they are slower.
	slowCost = 1.0
	ownZone  = 0.01
	// paceCost keeps items of usual length from replicas that usually take longer; those of longer items it grows with.
	paceCost = 0.5
	// mostLength bounds how many times the usual length an item counts.
	mostLength = 4.0
)

// paceOf returns how many times the fastest a replica usually takes for an event; 1 if that is not known.
func (room *room) paceOf(id string) float64 { return max(1, room.relative[id]) }

// pick returns the best replica with a free slot that may run the item; nil if it has to wait.
func (room *room) pick(waiting *task, replicas []*catalog.Replica) *catalog.Replica {
	var best *catalog.Replica
	bestCost := 0.0
	home := room.scheduler.groupHome[waiting.item.GetGroup()]
	length := min(mostLength, waiting.job.relativeLength(waiting.estimate()))
	for _, replica := range replicas {
		if !room.eligible(waiting, replica) {
			continue
		}
		cost := float64(room.inFlight[replica.ID]) / float64(max(replica.Slots, 1))
		cost += slowCost * (room.slowdown(replica.ID) - 1)
		cost += paceCost * length * (room.paceOf(replica.ID) - 1)
		if replica.ID == home {
			cost -= homeBonus
		}
		if replica.Zone == room.scheduler.runner.Zone {
			cost -= ownZone
		}
		if best == nil || cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	return best
}

// eligible reports whether a replica may take the item now.
func (room *room) eligible(waiting *task, replica *catalog.Replica) bool {
	switch {
	case replica.Draining || room.ejected[replica.ID]:
		return false
	case room.inFlight[replica.ID] >= max(replica.Slots, 1):
		return false
	case !room.scheduler.open(replica.ID, room.now):
		return false
	case replica.ID == waiting.avoid && room.now.Before(waiting.avoidUntil):
		return false
	}
	model := waiting.item.GetModel()
	return model == "" || room.scheduler.version(replica, model) >= waiting.job.definition.GetMinimumVersion()
}
