package batchrun

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// firstIdleReport is the time at no replica from which on an item is logged. Each further line about it follows after twice the
// time. It is half of the time after which an item must be at a replica again.
const firstIdleReport = 2500 * time.Millisecond

// obstacle is why an item is at no replica.
type obstacle int

const (
	obstaclePause     obstacle = iota // the pause after its last attempt
	obstacleNoRoute                   // no route leads from its path to a service
	obstacleNoReplica                 // no replica has weights that suit it
	obstacleEjected                   // all suitable replicas have failed recently
	obstacleRefusal                   // all others have refused work and are backed off
	obstacleFull                      // all others have no free slot
	obstacleAvoided                   // only the replica of its last attempt has a free slot
)

var obstacleNames = [...]string{"pause", "no route", "no replica", "ejected", "refusal", "full", "avoided"}

// String returns the name used in logs.
func (obstacle obstacle) String() string { return obstacleNames[obstacle] }

// lastOutcomeName returns how the last attempt ended, as it appears in logs; empty if there was none.
func (waiting *task) lastOutcomeName() string {
	if waiting.attempts == 0 {
		return ""
	}
	return waiting.lastOutcome.String()
}

// setIdle records that the item is at no replica from now on.
func (waiting *task) setIdle(now time.Time) {
	waiting.idleSince, waiting.idleReportAfter = now, firstIdleReport
}

// reportIdle logs an item that has been at no replica for long, and why. It must be called with mu held.
func (scheduler *scheduler) reportIdle(waiting *task, configuration *catalog.Configuration, capacity *capacity) {
	idle := capacity.now.Sub(waiting.idleSince)
	if idle < waiting.idleReportAfter {
		return
	}
	waiting.idleReportAfter = 2 * idle
	suppressed, allowed := scheduler.idleLines.Allow(capacity.now)
	if !allowed {
		return
	}
	suitable := scheduler.suitableReplicas(placementOf(waiting))
	scheduler.runner.Logger.Info("item idle", "request", waiting.item.GetId(), "job", waiting.job.id(), "service", waiting.service, "idle_ms", idle.Milliseconds(),
		"obstacle", capacity.obstacle(waiting, configuration, suitable), "suitable", len(suitable), "attempts", waiting.attempts,
		"last_outcome", waiting.lastOutcomeName(), "events", waiting.lastEvent, "minimum", waiting.job.definition.GetMinimumVersion(), "lines_left_out", suppressed)
}

// obstacle returns why none of the suitable replicas gets an item in this round. If they differ, it is the reason of the one that
// came closest to it.
func (capacity *capacity) obstacle(waiting *task, configuration *catalog.Configuration, suitable []*catalog.Replica) obstacle {
	switch {
	case capacity.now.Before(waiting.notBefore):
		return obstaclePause
	case configuration.FindRoute(waiting.job.definition.GetHost(), waiting.item.GetPath()) == nil:
		return obstacleNoRoute
	}
	closest := obstacleNoReplica
	for _, replica := range suitable {
		closest = max(closest, capacity.obstacleAt(replica))
	}
	return closest
}

func (capacity *capacity) obstacleAt(replica *catalog.Replica) obstacle {
	switch {
	case capacity.ejected(replica):
		return obstacleEjected
	case !capacity.scheduler.mayTry(replica.ID, capacity.now):
		return obstacleRefusal
	case capacity.inFlightAt(replica.ID) >= max(replica.Slots, 1):
		return obstacleFull
	}
	return obstacleAvoided
}
