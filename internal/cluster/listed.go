package cluster

import (
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// listing is when a registry first listed an incarnation of a node; zero if it was in the first listing, so that its age is unknown.
type listing struct {
	incarnation int64
	since       time.Time
}

// ListedWithin reports whether this registry has listed the incarnation of a record for less than a period, or does not list it yet. An
// incarnation of unknown age counts as older.
func (registry *Registry) ListedWithin(record *clusterv1.NodeRecord, period time.Duration, now time.Time) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	listed, known := registry.listings[record.GetName()]
	return !known || listed.incarnation != record.GetLife() || now.Sub(listed.since) < period
}

// updateListings records the incarnations that are listed for the first time and forgets nodes that are no longer listed. The caller must
// hold mu.
func (registry *Registry) updateListings(now time.Time) {
	if registry.listings == nil {
		now = time.Time{}
	}
	updated := make(map[string]listing, len(registry.nodes))
	for name, record := range registry.nodes {
		listed, known := registry.listings[name]
		if !known || listed.incarnation != record.GetLife() {
			listed = listing{record.GetLife(), now}
		}
		updated[name] = listed
	}
	registry.listings = updated
}
