package batchrun

import (
	"slices"
	"sync"
	"time"
)

const (
	// paceWindow is the time over which a replica's present pace is measured, in two halves.
	paceWindow = 1200 * time.Millisecond
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
	best           float64 // seconds of an event at the usually fastest replica
	at             time.Time
}

// compareFor is how long replicas that were compared need not be compared again: comparing takes all of them, and streams ask
// several times a second each.
const compareFor = 150 * time.Millisecond

// pace is what is known of one replica. Its present pace is a mean over a window of time and not over the last events: a process
// that stands still for a moment makes one gap of each of a replica's streams long, and a replica that is slow makes all of them so.
type pace struct {
	halves [2]paceHalf // of the window: the current one and the one before
	began  time.Time   // when the current half began
	usual  float64     // seconds for an event, exponentially weighted over many events
	count  int         // events since the replica was last silent
	at     time.Time   // of the last event
}

// paceHalf sums up the events of half a window.
type paceHalf struct {
	seconds float64
	events  int
}

// add takes an event into the current half, and begins the next one when that is over.
func (entry *pace) add(gap time.Duration, now time.Time) {
	switch elapsed := now.Sub(entry.began); {
	case elapsed > paceWindow:
		entry.halves, entry.began = [2]paceHalf{}, now
	case elapsed > paceWindow/2:
		entry.halves, entry.began = [2]paceHalf{{}, entry.halves[0]}, now
	}
	entry.halves[0].seconds += gap.Seconds()
	entry.halves[0].events++
}

// perEvent returns the seconds that an event took lately, on average.
func (entry *pace) perEvent() float64 {
	events := entry.halves[0].events + entry.halves[1].events
	if events == 0 {
		return 0
	}
	return (entry.halves[0].seconds + entry.halves[1].seconds) / float64(events)
}

func newPaceTable() *paceTable { return &paceTable{replicas: make(map[string]*pace)} }

// observe takes the time between two events of a stream.
func (table *paceTable) observe(replica string, gap time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	switch {
	case entry == nil || now.Sub(entry.at) > usualLife:
		entry = &pace{usual: gap.Seconds(), began: now}
		table.replicas[replica] = entry
	case now.Sub(entry.at) > paceLife:
		entry.count = 0
	}
	entry.add(gap, now)
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
			known = append(known, entry.perEvent())
		}
	}
	if len(known) < paceLeastReplicas {
		return nil
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	slow := make(map[string]float64)
	for id, entry := range table.replicas {
		if entry.believed(now) && median > 0 && entry.perEvent() >= slowFactor*median {
			slow[id] = entry.perEvent() / median
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
	table.best = fastest
	for id := range known {
		known[id] /= fastest
	}
	return known
}

// expected returns the seconds that the next events of a replica are expected to take each: what they usually take, unless the
// replica is clearly slow now; zero when nothing is known.
func (table *paceTable) expected(replica string, now time.Time) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	if entry == nil || now.Sub(entry.at) > usualLife {
		return 0
	}
	table.compare(now)
	if table.slow[replica] > 1 {
		return max(entry.usual, entry.perEvent())
	}
	return entry.usual
}

// fastest returns the seconds that an event takes at the replica that is usually the fastest; zero when nothing is known.
func (table *paceTable) fastest(now time.Time) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.compare(now)
	return table.best
}

func (entry *pace) believed(now time.Time) bool {
	return entry.count >= paceLeastCount && now.Sub(entry.at) <= paceLife
}

const stallLimit = 700 * time.Millisecond
