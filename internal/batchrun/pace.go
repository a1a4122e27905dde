package batchrun

import (
	"slices"
	"sync"
	"time"
)

const (
	paceWeight = 0.25
	// usualWeight is the weight of one event in a replica's usual pace, which is remembered for usualLife.
	usualWeight = 0.04
	usualLife   = 30 * time.Second
	// paceLife is how long a pace is believed without new events.
	paceLife       = 2500 * time.Millisecond
	paceLeastCount = 4
	// paceLeastReplicas is how many replicas must be known to tell a slow one.
	paceLeastReplicas = 3
	// slowFactor is how many times the median a replica's time for an event must be to count as slow.
	slowFactor = 1.9
)

// paceTable follows how long each replica takes for an event of a stream. It is safe for concurrent use.
type paceTable struct {
	mu       sync.Mutex
	replicas map[string]*pace
	// slow and compared are what was found out at a time, which is good for compareFor.
	slow, compared map[string]float64
	at             time.Time
}

// compareFor is how long replicas that were compared need not be compared again: comparing takes all of them, and streams ask
// several times a second each.
const compareFor = 150 * time.Millisecond

type pace struct {
	perEvent float64 // seconds, exponentially weighted
	usual    float64 // the same over many more events
	count    int
	at       time.Time
}

func newPaceTable() *paceTable { return &paceTable{replicas: make(map[string]*pace)} }

// observe takes the time between two events of a stream.
func (table *paceTable) observe(replica string, gap time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	switch {
	case entry == nil || now.Sub(entry.at) > usualLife:
		entry = &pace{perEvent: gap.Seconds(), usual: gap.Seconds()}
		table.replicas[replica] = entry
	case now.Sub(entry.at) > paceLife:
		entry.perEvent, entry.count = gap.Seconds(), 0
	}
	entry.perEvent += paceWeight * (gap.Seconds() - entry.perEvent)
	entry.usual += usualWeight * (gap.Seconds() - entry.usual)
	entry.count++
	entry.at = now
	if entry.count == paceLeastCount {
		table.at = time.Time{} // one replica more is believed: compare anew
	}
}

// slowdowns returns the replicas that are clearly slow, with how many times the median of all they take for an event. The map
// must not be changed.
func (table *paceTable) slowdowns(now time.Time) map[string]float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.compare(now)
	return table.slow
}

// relative returns how many times the fastest each replica usually takes for an event, as far as that is known. The map must not
// be changed.
func (table *paceTable) relative(now time.Time) map[string]float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.compare(now)
	return table.compared
}

// compare must be called with mu held.
func (table *paceTable) compare(now time.Time) {
	if since := now.Sub(table.at); since >= 0 && since < compareFor {
		return
	}
	table.at = now
	table.slow, table.compared = table.findSlow(now), table.comparePaces(now)
}

// findSlow must be called with mu held.
func (table *paceTable) findSlow(now time.Time) map[string]float64 {
	var known []float64
	for _, entry := range table.replicas {
		if entry.believed(now) {
			known = append(known, entry.perEvent)
		}
	}
	if len(known) < paceLeastReplicas {
		return nil
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	slow := make(map[string]float64)
	for id, entry := range table.replicas {
		if entry.believed(now) && median > 0 && entry.perEvent >= slowFactor*median {
			slow[id] = entry.perEvent / median
		}
	}
	return slow
}

// comparePaces must be called with mu held.
func (table *paceTable) comparePaces(now time.Time) map[string]float64 {
	fastest := 0.0
	known := make(map[string]float64, len(table.replicas))
	for id, entry := range table.replicas {
		if now.Sub(entry.at) > usualLife || entry.usual <= 0 {
			continue
		}
		known[id] = entry.usual
		if fastest == 0 || entry.usual < fastest {
			fastest = entry.usual
		}
	}
	for id := range known {
		known[id] /= fastest
	}
	return known
}

// isSlow reports whether a replica is clearly slow.
func (table *paceTable) isSlow(replica string, now time.Time) bool {
	return table.slowdowns(now)[replica] > 1
}

func (entry *pace) believed(now time.Time) bool {
	return entry.count >= paceLeastCount && now.Sub(entry.at) <= paceLife
}

const stallLimit = 700 * time.Millisecond
