package batchrun

import (
	"bytes"
	"time"
)

// spending is how long a job took at this node, beside the least that its items allow.
type spending struct {
	// here is the time from when the items were put in line, enough the time until the trainer's groups were whole; zero if they
	// never were.
	here, enough time.Duration
	// bound is the longest item's time at the replica that is usually the fastest, or that of all events on all slots of the service
	// if that is more.
	bound time.Duration
	// longest and events count the events of the longest listed item and of all.
	longest, events int
}

// spent sums up a job whose items are cut.
func (runner *Runner) spent(owned *job) spending {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	spent := spending{}
	if !owned.itemsQueuedAt.IsZero() {
		spent.here = time.Since(owned.itemsQueuedAt)
	}
	if !owned.wantedCompleteAt.IsZero() {
		spent.enough = owned.wantedCompleteAt.Sub(owned.itemsQueuedAt)
	}
	for _, result := range owned.listed {
		if len(result.GetText()) == 0 {
			continue
		}
		events := bytes.Count(result.GetText(), []byte("\n")) + 1
		spent.events += events
		spent.longest = max(spent.longest, events)
	}
	perEvent := runner.scheduler.pace.fastest(time.Now())
	bound := float64(spent.longest) * perEvent
	if slots := runner.slotsOf(owned); slots > 0 {
		bound = max(bound, float64(spent.events)*perEvent/float64(slots))
	}
	spent.bound = time.Duration(bound * float64(time.Second))
	return spent
}

// slotsOf returns the slots of the replicas that hold the job's model.
func (runner *Runner) slotsOf(owned *job) int {
	slots := 0
	replicas := runner.Catalog.Replicas()
	for replica := range replicas.All().Each() {
		if replica.Version(owned.definition.GetModel()) > 0 {
			slots += replica.Slots
		}
	}
	return slots
}
