package batchrun

import (
	"sync"
	"time"
)

const (
	// lengthWindow is the approximate number of finished items over which the ratio of events to tokens is averaged.
	lengthWindow = 400
	// minGrowthShare is the minimum remaining length as a share of the current length. An item that exceeds its caller's estimate is
	// likely to be one of the long ones.
	minGrowthShare = 0.25
	// resubmittedLead is how much earlier the items of a resubmitted group are due, because the trainer waits for them in any case.
	resubmittedLead = time.Second
)

// lengthTable tracks the ratio of events to the tokens that callers estimate. It is safe for concurrent use.
type lengthTable struct {
	mu             sync.Mutex
	tokens, events float64
}

// observe records a finished item.
func (table *lengthTable) observe(tokens, events int64) {
	if tokens <= 0 || events <= 0 {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	table.tokens += (float64(tokens) - table.tokens/lengthWindow)
	table.events += (float64(events) - table.events/lengthWindow)
}

// expected returns the number of events for an estimate of tokens, or zero if the ratio is unknown.
func (table *lengthTable) expected(tokens int64) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.tokens <= 0 {
		return 0
	}
	return float64(tokens) * table.events / table.tokens
}

// remaining returns the expected number of further events of an item after the given number of events, or zero if it is unknown.
func (scheduler *scheduler) remaining(running *task, events int64) float64 {
	expected := scheduler.lengths.expected(running.estimate())
	if expected <= 0 {
		return 0
	}
	return max(expected-float64(events), minGrowthShare*float64(events))
}

// rank sets the latest start that completes the item by the job's due time at the fastest replica. Items start in this order, so
// that long items of a later job precede short items of an earlier job.
func (scheduler *scheduler) rank(waiting *task, now time.Time) {
	seconds := scheduler.remaining(waiting, waiting.lastEvent) * scheduler.latencies.fastest(now)
	waiting.latestStart = waiting.job.due.Add(-time.Duration(seconds * float64(time.Second)))
	if waiting.resubmitted {
		waiting.latestStart = waiting.latestStart.Add(-resubmittedLead)
	}
}
