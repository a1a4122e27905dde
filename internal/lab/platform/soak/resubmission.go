package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// broughtBack are the items of groups that were incomplete at the end of a step, with their bodies. The next step has them again, under the same
// identifiers, and its trainer waits for their groups.
type broughtBack struct {
	items  []string
	bodies map[string]string
}

// incompleteGroups returns the items of the groups that have an item without a result.
func (job *trainerJob) incompleteGroups() broughtBack {
	job.mu.Lock()
	defer job.mu.Unlock()
	left := broughtBack{bodies: make(map[string]string)}
	for first := 0; first < len(job.items); first += groupSize {
		group := job.items[first : first+groupSize]
		if !slices.ContainsFunc(group, func(id string) bool { return !job.hasResult(id) }) {
			continue
		}
		left.items = append(left.items, group...)
		for _, id := range group {
			left.bodies[id] = job.bodies[id]
		}
	}
	return left
}

// hasResult must be called with mu held.
func (job *trainerJob) hasResult(id string) bool {
	return slices.ContainsFunc(job.results, func(entry result) bool { return entry.ID == id })
}

// bringBack replaces the first groups of a job that has not been submitted by the ones that are brought back.
func (job *trainerJob) bringBack(left broughtBack) {
	for index, id := range left.items {
		delete(job.bodies, job.items[index])
		job.items[index], job.bodies[id] = id, left.bodies[id]
	}
	job.required = left.items
}

// setResubmitted records the items that the next step has again, and when it was first sent.
func (job *trainerJob) setResubmitted(items []string, at time.Time) {
	job.mu.Lock()
	defer job.mu.Unlock()
	if job.resubmittedAt.IsZero() {
		job.resubmitted, job.resubmittedAt = items, at
	}
}

// hasRequiredItems reports whether all items that the trainer waits for in any case have a result. It must be called with mu held.
func (job *trainerJob) hasRequiredItems() bool {
	return !slices.ContainsFunc(job.required, func(id string) bool { return !job.hasResult(id) })
}

// acceptedWithin reports whether the job was accepted at most the given time ago.
func (job *trainerJob) acceptedWithin(limit time.Duration) bool {
	job.mu.Lock()
	defer job.mu.Unlock()
	return !job.acceptedAt.IsZero() && time.Since(job.acceptedAt) <= limit
}

// Bounds of the checks on steps that run out of time.
const (
	// idleBound is how long an unfinished item may be at no replica while nothing fails.
	idleBound = 5 * time.Second
	// minCountedRun is the duration from which on a run that its sender ended counts as time at a replica.
	minCountedRun = time.Second
)

// checkTimedOut checks a step that ran out of time: none of its items was at no replica for idleBound without a fault, and a step that began when the
// nodes had recovered does not run out of time.
func (trainers *trainers) checkTimedOut(job *trainerJob, sentAt, now time.Time) {
	changed, idle := trainers.faults.idleSince()
	recovered := changed.Add(recoveryTime)
	if !idle || now.Sub(recovered) < idleBound {
		return
	}
	if sentAt.After(recovered) {
		trainers.report(Violation{Promise: PromiseFinished, Subject: job.id, Detail: fmt.Sprintf("the step ran out of time with %d of %d results, %s after the last fault",
			job.readCount(), len(job.items), now.Sub(changed).Round(time.Millisecond))})
	}
	for _, id := range job.items {
		job.mu.Lock()
		listed := job.hasResult(id)
		job.mu.Unlock()
		if runs := trainers.deployment.Executions.Of(id); !listed && wasIdle(runs, id, now.Add(-idleBound), now) {
			trainers.report(Violation{Promise: PromiseAtReplica, Subject: job.id, Detail: fmt.Sprintf("%s was at no replica for %s, after %d runs", id, idleBound, len(runs))})
		}
	}
}

// wasIdle reports whether an item that no replica has finished was at no replica in an interval.
func wasIdle(runs []site.Execution, id string, from, until time.Time) bool {
	for _, run := range runs {
		if _, finished := run.Events[site.EventCount(id)]; finished {
			return false
		}
		ended := run.Ended
		if ended.IsZero() {
			ended = until
		}
		if ended.After(from) && run.Started.Before(until) && ended.Sub(run.Started) >= minCountedRun {
			return false
		}
	}
	return true
}
