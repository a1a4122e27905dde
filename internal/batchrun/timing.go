package batchrun

import (
	"bytes"
	"time"
)

// jobTiming compares how long a job took at this node with a lower bound.
type jobTiming struct {
	// elapsed is the time since the items were queued. enough is the time until as many groups were complete as the trainer waits
	// for, or zero if that did not happen.
	elapsed, enough time.Duration
	// lowerBound is the larger of two times: that of the longest item at the fastest replica, and that of all events spread over all
	// slots of the service.
	lowerBound time.Duration
	// longest is the number of events of the longest listed item, events that of all listed items.
	longest, events int
	scored          scoringSummary
}

// scoringSummary tells how long the scores of a job took, from the end of a text until its score was there or given up.
type scoringSummary struct {
	count int
	// last is the time of the last score, longest the longest. Scores that came after the trainer had enough are left out.
	last, longest time.Duration
}

func (owned *job) recordScored(took time.Duration) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.scored.count++
	if !owned.wantedCompleteAt.IsZero() {
		return
	}
	owned.scored.last = took
	owned.scored.longest = max(owned.scored.longest, took)
}

// timingOf returns the timing of a job whose items have been cancelled.
func (runner *Runner) timingOf(owned *job) jobTiming {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	timing := jobTiming{scored: owned.scored}
	if !owned.itemsQueuedAt.IsZero() {
		timing.elapsed = time.Since(owned.itemsQueuedAt)
	}
	if !owned.wantedCompleteAt.IsZero() {
		timing.enough = owned.wantedCompleteAt.Sub(owned.itemsQueuedAt)
	}
	for _, result := range owned.listed {
		if len(result.GetText()) == 0 {
			continue
		}
		events := bytes.Count(result.GetText(), []byte("\n")) + 1
		timing.events += events
		timing.longest = max(timing.longest, events)
	}
	perEvent := runner.scheduler.latencies.fastest(time.Now())
	bound := float64(timing.longest) * perEvent
	if slots := runner.slotsOf(owned); slots > 0 {
		bound = max(bound, float64(timing.events)*perEvent/float64(slots))
	}
	timing.lowerBound = time.Duration(bound * float64(time.Second))
	return timing
}

// slotsOf returns the number of slots of the replicas that serve the job's model.
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
