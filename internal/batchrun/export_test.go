package batchrun

import (
	"fmt"
	"time"
)

// LostItems returns the unfinished items of accepted jobs that are neither queued, running nor scored, and the replicas with more requests in flight
// than attempts. All goroutines must be blocked.
func (runner *Runner) LostItems() []string {
	var lost []string
	for _, owned := range runner.openJobs() {
		if owned.isAccepted() {
			lost = append(lost, runner.lostItemsOf(owned)...)
		}
	}
	return append(lost, runner.leakedRequests()...)
}

func (runner *Runner) lostItemsOf(owned *job) []string {
	scheduler := runner.scheduler
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	places := make(map[string]int)
	for _, waiting := range scheduler.waiting {
		if waiting.job == owned {
			places[waiting.item.GetId()]++
		}
	}
	for started := range scheduler.running {
		if started.task.job == owned {
			places[started.task.item.GetId()]++
		}
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if !owned.itemsQueued || owned.ending || owned.leaving || owned.ctx.Err() != nil {
		return nil
	}
	var lost []string
	for _, unfinished := range owned.unfinishedItems() {
		id := unfinished.item.GetId()
		if unfinished.entry.stage == stageScoring {
			places[id]++
		}
		if places[id] != 1 {
			lost = append(lost, fmt.Sprintf("%s of %s at %s is in %d places, stage %s since %s", id, owned.id(), runner.Node, places[id], unfinished.entry.stage, time.Since(unfinished.entry.since)))
		}
	}
	return lost
}

// leakedRequests returns the model replicas at which more requests are in flight than attempts run or are reserved.
func (runner *Runner) leakedRequests() []string {
	scheduler := runner.scheduler
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	expected := make(map[string]int)
	for started := range scheduler.running {
		expected[started.replica.ID]++
		if started.target != nil {
			expected[started.target.ID]++
		}
	}
	var leaked []string
	for id, count := range runner.enginesInFlight() {
		if count != expected[id] {
			leaked = append(leaked, fmt.Sprintf("%s counts %d requests at %s and has %d", runner.Node, count, id, expected[id]))
		}
	}
	for id, last := range scheduler.refusals {
		if last.probing && expected[id] == 0 {
			leaked = append(leaked, fmt.Sprintf("%s counts a probe of %s and has none", runner.Node, id))
		}
	}
	return leaked
}
