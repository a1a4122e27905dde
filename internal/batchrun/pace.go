package batchrun

import (
	"slices"
	"sync"
	"time"
)

const (
	paceWeight = 0.25
	// paceLife is how long a pace is believed without new events.
	paceLife       = 2500 * time.Millisecond
	paceLeastCount = 4
	// slowFactor is how many times the median a replica's time for an event must be to count as slow.
	slowFactor = 1.9
)

// paceTable follows how long each replica takes for an event of a stream. It is safe for concurrent use.
type paceTable struct {
	mu       sync.Mutex
	replicas map[string]*pace
}

type pace struct {
	perEvent float64 // seconds, exponentially weighted
	count    int
	at       time.Time
}

func newPaceTable() *paceTable { return &paceTable{replicas: make(map[string]*pace)} }

// observe takes the time between two events of a stream.
func (table *paceTable) observe(replica string, gap time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	if entry == nil || now.Sub(entry.at) > paceLife {
		entry = &pace{perEvent: gap.Seconds()}
		table.replicas[replica] = entry
	}
	entry.perEvent += paceWeight * (gap.Seconds() - entry.perEvent)
	entry.count++
	entry.at = now
}

// slowdown returns how many times the median of all replicas a replica takes for an event; 1 unless it is clearly slow.
func (table *paceTable) slowdown(replica string, now time.Time) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	if entry == nil || entry.count < paceLeastCount || now.Sub(entry.at) > paceLife {
		return 1
	}
	var known []float64
	for _, other := range table.replicas {
		if now.Sub(other.at) <= paceLife && other.count >= paceLeastCount {
			known = append(known, other.perEvent)
		}
	}
	if len(known) < 3 {
		return 1
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	if median <= 0 || entry.perEvent < slowFactor*median {
		return 1
	}
	return entry.perEvent / median
}

const stallLimit = 700 * time.Millisecond
