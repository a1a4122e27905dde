package batchrun

import (
	"sync"
	"time"
)

const (
	// lengthMemory is how many finished items the relation of hints to events is learned from, about.
	lengthMemory = 400
	// growthShare is the least that a text is expected to grow still, as a share of what it has: an item that has outgrown its
	// caller's estimate is likely to be one of the long ones.
	growthShare = 0.25
	// returnedLead is how much earlier the items of a group that a trainer brought back are due: it waits for these, whatever else
	// is whole.
	returnedLead = time.Second
)

// lengthTable learns how many events the callers' estimates of tokens stand for. It is safe for concurrent use.
type lengthTable struct {
	mu             sync.Mutex
	tokens, events float64
}

// observe takes an item that is whole.
func (table *lengthTable) observe(tokens, events int64) {
	if tokens <= 0 || events <= 0 {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	table.tokens += (float64(tokens) - table.tokens/lengthMemory)
	table.events += (float64(events) - table.events/lengthMemory)
}

// expected returns how many events an estimate of tokens stands for; zero when that is not known yet.
func (table *lengthTable) expected(tokens int64) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.tokens <= 0 {
		return 0
	}
	return float64(tokens) * table.events / table.tokens
}

// remaining returns how many events an item is expected to make still, of which it has made some; zero when that is not known.
func (scheduler *scheduler) remaining(running *task, made int64) float64 {
	expected := scheduler.lengths.expected(running.estimate())
	if expected <= 0 {
		return 0
	}
	return max(expected-float64(made), growthShare*float64(made))
}

// rank sets the latest time at which an item can begin to be whole when its job is due, at the pace of the fastest replica. Items
// begin in the order of these times: the long ones of a later job go before the short ones of an earlier one.
func (scheduler *scheduler) rank(waiting *task, now time.Time) {
	seconds := scheduler.remaining(waiting, waiting.lastEvent) * scheduler.pace.fastest(now)
	waiting.latest = waiting.job.due.Add(-time.Duration(seconds * float64(time.Second)))
	if waiting.returned {
		waiting.latest = waiting.latest.Add(-returnedLead)
	}
}
