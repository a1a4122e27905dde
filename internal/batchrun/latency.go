package batchrun

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the time over which a replica's recent latency is averaged. It consists of two buckets.
	latencyWindow = 1200 * time.Millisecond
	// longTermWeight is the weight of one event in a replica's long-term latency, which expires longTermTTL after the last event.
	longTermWeight = 0.04
	longTermTTL    = 30 * time.Second
	// recentTTL is how long a recent latency stays valid without new events.
	recentTTL  = 2500 * time.Millisecond
	minSamples = 4
	// minComparedReplicas is the number of replicas with a recent latency that is needed to identify slow replicas.
	minComparedReplicas = 3
	// slowFactor is the multiple of the median event latency from which on a replica counts as slow.
	slowFactor = 1.9
)

// latencyTable measures the time between two stream events at each replica. It is safe for concurrent use.
type latencyTable struct {
	mu       sync.Mutex
	replicas map[string]*replicaLatency
	// slowdownOf and relativeTo are computed at comparedAt and valid for comparisonTTL.
	slowdownOf, relativeTo map[string]float64
	fastestEvent           float64 // seconds per event at the replica with the lowest long-term latency
	comparedAt             time.Time
}

// comparisonTTL is how long the comparison of all replicas is cached. Every stream asks for it several times a second.
const comparisonTTL = 150 * time.Millisecond

// replicaLatency is the event latency of one replica. The recent latency is a mean over time instead of over the last events: a
// short pause of this process makes one gap of every stream long, whereas a slow replica makes all gaps long.
type replicaLatency struct {
	buckets  [2]latencyBucket // of the window: the current bucket and the previous one
	began    time.Time        // start of the current bucket
	longTerm float64          // seconds per event, exponentially weighted
	count    int              // events since the replica last produced none for recentTTL
	lastAt   time.Time        // time of the last event
}

// latencyBucket sums the events of half a window.
type latencyBucket struct {
	seconds float64
	events  int
}

// add counts an event in the current bucket and starts a new bucket if the current one is over.
func (entry *replicaLatency) add(gap time.Duration, now time.Time) {
	switch elapsed := now.Sub(entry.began); {
	case elapsed > latencyWindow:
		entry.buckets, entry.began = [2]latencyBucket{}, now
	case elapsed > latencyWindow/2:
		entry.buckets, entry.began = [2]latencyBucket{{}, entry.buckets[0]}, now
	}
	entry.buckets[0].seconds += gap.Seconds()
	entry.buckets[0].events++
}

// recent returns the mean seconds per event within the window, or zero without events.
func (entry *replicaLatency) recent() float64 {
	events := entry.buckets[0].events + entry.buckets[1].events
	if events == 0 {
		return 0
	}
	return (entry.buckets[0].seconds + entry.buckets[1].seconds) / float64(events)
}

func newLatencyTable() *latencyTable {
	return &latencyTable{replicas: make(map[string]*replicaLatency)}
}

// observe records the time between two events of a stream.
func (table *latencyTable) observe(replica string, gap time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	switch {
	case entry == nil || now.Sub(entry.lastAt) > longTermTTL:
		entry = &replicaLatency{longTerm: gap.Seconds(), began: now}
		table.replicas[replica] = entry
	case now.Sub(entry.lastAt) > recentTTL:
		entry.count = 0
	}
	entry.add(gap, now)
	entry.longTerm += longTermWeight * (gap.Seconds() - entry.longTerm)
	entry.count++
	entry.lastAt = now
	if entry.count == minSamples {
		table.comparedAt = time.Time{} // the comparison now includes another replica
	}
}

// slowdowns returns the latency of each slow replica as a multiple of the median. The map must not be changed.
func (table *latencyTable) slowdowns(now time.Time) map[string]float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.refresh(now)
	return table.slowdownOf
}

// relativeLatencies returns the long-term latency of each replica as a multiple of the lowest one. Replicas without a known
// latency are missing. The map must not be changed.
func (table *latencyTable) relativeLatencies(now time.Time) map[string]float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.refresh(now)
	return table.relativeTo
}

// refresh recomputes the comparison if it is older than comparisonTTL. It must be called with mu held.
func (table *latencyTable) refresh(now time.Time) {
	if since := now.Sub(table.comparedAt); since >= 0 && since < comparisonTTL {
		return
	}
	table.comparedAt = now
	table.slowdownOf, table.relativeTo = table.computeSlowdowns(now), table.computeRelative(now)
}

// computeSlowdowns must be called with mu held.
func (table *latencyTable) computeSlowdowns(now time.Time) map[string]float64 {
	var known []float64
	for _, entry := range table.replicas {
		if entry.isRecent(now) {
			known = append(known, entry.recent())
		}
	}
	if len(known) < minComparedReplicas {
		return nil
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	slow := make(map[string]float64)
	for id, entry := range table.replicas {
		if entry.isRecent(now) && median > 0 && entry.recent() >= slowFactor*median {
			slow[id] = entry.recent() / median
		}
	}
	return slow
}

// computeRelative also sets fastestEvent. It must be called with mu held.
func (table *latencyTable) computeRelative(now time.Time) map[string]float64 {
	fastest := 0.0
	known := make(map[string]float64, len(table.replicas))
	for id, entry := range table.replicas {
		if now.Sub(entry.lastAt) > longTermTTL || entry.longTerm <= 0 {
			continue
		}
		known[id] = entry.longTerm
		if fastest == 0 || entry.longTerm < fastest {
			fastest = entry.longTerm
		}
	}
	table.fastestEvent = fastest
	for id := range known {
		known[id] /= fastest
	}
	return known
}

// expected returns the expected seconds per event of a replica: the long-term latency, or the recent one if the replica is slow
// and the recent one is higher. It returns zero if the latency is unknown.
func (table *latencyTable) expected(replica string, now time.Time) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.replicas[replica]
	if entry == nil || now.Sub(entry.lastAt) > longTermTTL {
		return 0
	}
	table.refresh(now)
	if table.slowdownOf[replica] > 1 {
		return max(entry.longTerm, entry.recent())
	}
	return entry.longTerm
}

// fastest returns the lowest long-term latency of all replicas in seconds per event, or zero if none is known.
func (table *latencyTable) fastest(now time.Time) float64 {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.refresh(now)
	return table.fastestEvent
}

func (entry *replicaLatency) isRecent(now time.Time) bool {
	return entry.count >= minSamples && now.Sub(entry.lastAt) <= recentTTL
}

const stallLimit = 700 * time.Millisecond
