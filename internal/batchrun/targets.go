package batchrun

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
)

const (
	// refusalPatience is how long a replica may refuse work, as it does while it loads weights, before it counts as one that runs nothing.
	refusalPatience = 2 * time.Second
	// fullPatience is how long an item waits for a place at its service before any other target of its route with a free slot may run it. An item
	// has to be at a replica again within 5 s.
	fullPatience = 3500 * time.Millisecond
)

// runningReplicas are the suitable replicas of a service that are believed to run items.
type runningReplicas struct {
	count int
	// last is one of them.
	last string
}

// setService sets the service of an item. It must be called with mu held.
func (scheduler *scheduler) setService(waiting *task, route *catalog.Route, capacity *capacity) {
	former := waiting.service
	waiting.service = chooseService(route, former, func(service string) bool { return capacity.serves(waiting, service) })
	if former == "" || former == waiting.service {
		return
	}
	if suppressed, allowed := scheduler.serviceLines.Allow(time.Now()); allowed {
		scheduler.runner.Logger.Info("item given to another service", "request", waiting.item.GetId(), "job", waiting.job.id(), "service", waiting.service, "former", former,
			"configuration", waiting.configurationVersion, "lines_left_out", suppressed)
	}
}

// chooseService returns the service drawn earlier while the route has it and it serves, and otherwise one that is drawn by weight, if
// possible from the targets that serve.
func chooseService(route *catalog.Route, drawn string, serves func(service string) bool) string {
	targets := forwarding.ServingTargets(route.Targets, serves)
	for _, target := range targets {
		if target.Service == drawn {
			return drawn
		}
	}
	return forwarding.PickTarget(targets)
}

// serves reports whether a service of the item's route can be expected to run the item: it has a suitable replica that the item does not avoid, and
// that is neither ejected nor has refused all work for long. Full replicas are waited for, up to fullPatience.
func (capacity *capacity) serves(waiting *task, service string) bool {
	placing := placementOf(waiting)
	placing.service = service
	running := capacity.runningReplicas(placing)
	switch {
	case running.count == 0:
		return false
	case running.count == 1 && running.last == waiting.avoid && capacity.now.Before(waiting.avoidUntil):
		return false
	case capacity.now.Sub(waiting.idleSince) < fullPatience:
		return true
	}
	return capacity.anyFree(placing)
}

// runningReplicas returns the replicas of a placement that run items, which are determined once in a round.
func (capacity *capacity) runningReplicas(placing placement) runningReplicas {
	if known, found := capacity.running[placing]; found {
		return known
	}
	var running runningReplicas
	for _, replica := range capacity.scheduler.suitableReplicas(placing) {
		if capacity.ejected(replica) || capacity.scheduler.refusesAll(replica.ID, capacity.now) {
			continue
		}
		running.count++
		running.last = replica.ID
	}
	capacity.running[placing] = running
	return running
}

func (capacity *capacity) anyFree(placing placement) bool {
	for _, replica := range capacity.scheduler.suitableReplicas(placing) {
		if !capacity.ejected(replica) && capacity.hasFreeSlot(replica) {
			return true
		}
	}
	return false
}

// refusesAll reports whether a replica has refused all work for refusalPatience. A refusal that is older than that says nothing any more: without
// an item, the replica could not show that it accepts work again. It must be called with mu held.
func (scheduler *scheduler) refusesAll(replica string, now time.Time) bool {
	last := scheduler.refusals[replica]
	return last != nil && now.Sub(last.since) >= refusalPatience && now.Sub(last.until) < refusalPatience
}
