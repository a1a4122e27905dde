package cluster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
)

// views caches values derived from all records of a registry. Each value is computed on first use and dropped when the
// registry changes, so that frequent lookups do not iterate over all nodes.
type views struct {
	others, neighbours []*clusterv1.NodeRecord
	// strongInZone and strongAnywhere are the names of the strong nodes of this node's role, in its zone and in all
	// zones.
	strongInZone, strongAnywhere []string
	// preferred caches the highest-ranked names in this node's zone by key; preferredAnywhere caches the highest-ranked
	// name of all zones by key.
	preferred         map[string][]string
	preferredAnywhere map[string]string
	// capable caches the records of the highest-ranked nodes by zone, key and capability; zones are the zones of this node's role.
	capable map[capableKey][]*clusterv1.NodeRecord
	zones   []string
	// remotePeer is the result of RemotePeer; it is valid if remotePeerKnown is true, and may be nil.
	remotePeer      *clusterv1.NodeRecord
	remotePeerKnown bool
}

// maxCachedKeys bounds the number of keys in each cache; a full cache is cleared.
const maxCachedKeys = 256

// Others returns the records of all other nodes, ordered by name. The same slice is returned until the registry changes;
// the caller must not modify it.
func (registry *Registry) Others() []*clusterv1.NodeRecord {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.views.others == nil {
		registry.views.others = registry.otherRecords(func(*clusterv1.NodeRecord) bool { return true })
	}
	return registry.views.others
}

// Neighbours returns the records of the other nodes in this node's zone, ordered by name. The caller must not modify the
// slice.
func (registry *Registry) Neighbours() []*clusterv1.NodeRecord {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.views.neighbours == nil {
		registry.views.neighbours = registry.otherRecords(registry.inZone)
	}
	return registry.views.neighbours
}

// otherRecords returns the records of the eligible nodes other than this node. The caller must hold mu.
func (registry *Registry) otherRecords(eligible func(*clusterv1.NodeRecord) bool) []*clusterv1.NodeRecord {
	list := make([]*clusterv1.NodeRecord, 0, len(registry.nodes))
	for name, record := range registry.nodes {
		if name != registry.self.GetName() && eligible(record) {
			list = append(list, record)
		}
	}
	slices.SortFunc(list, func(a, b *clusterv1.NodeRecord) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return list
}

func (registry *Registry) inZone(record *clusterv1.NodeRecord) bool {
	return record.GetZone() == registry.self.GetZone()
}

// preferredOf returns the names of the strong nodes of this node's zone and role that rank highest for a key, the
// highest first.
func (registry *Registry) preferredOf(key string) []string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	views := &registry.views
	if known, ok := views.preferred[key]; ok {
		return known
	}
	if views.strongInZone == nil {
		views.strongInZone = registry.strongOf(registry.inZone)
	}
	if views.preferred == nil || len(views.preferred) >= maxCachedKeys {
		views.preferred = make(map[string][]string)
	}
	views.preferred[key] = highestRanked(views.strongInZone, key, preferredCount)
	return views.preferred[key]
}

// PreferredAnywhere returns the name of the node that ranks first for a key among the strong nodes of this node's role
// in all zones, or an empty string if there is none.
func (registry *Registry) PreferredAnywhere(key string) string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	views := &registry.views
	if known, ok := views.preferredAnywhere[key]; ok {
		return known
	}
	if views.strongAnywhere == nil {
		views.strongAnywhere = registry.strongOf(func(*clusterv1.NodeRecord) bool { return true })
	}
	if views.preferredAnywhere == nil || len(views.preferredAnywhere) >= maxCachedKeys {
		views.preferredAnywhere = make(map[string]string)
	}
	views.preferredAnywhere[key] = nth(highestRanked(views.strongAnywhere, key, 1), 0)
	return views.preferredAnywhere[key]
}

type capableKey struct {
	zone, key string
	wanted    clusterv1.Capability
}

// Capable returns the records of the strong nodes of this node's role in a zone that have registered a capability and rank highest for a
// key, the highest first. The caller must not modify the slice.
func (registry *Registry) Capable(zone, key string, wanted clusterv1.Capability) []*clusterv1.NodeRecord {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	views, cached := &registry.views, capableKey{zone, key, wanted}
	if known, ok := views.capable[cached]; ok {
		return known
	}
	if views.capable == nil || len(views.capable) >= maxCachedKeys {
		views.capable = make(map[capableKey][]*clusterv1.NodeRecord)
	}
	views.capable[cached] = nil // also if there is none
	strong := registry.strongOf(func(record *clusterv1.NodeRecord) bool {
		return record.GetZone() == zone && capability.Has(record, wanted)
	})
	for _, name := range highestRanked(strong, key, preferredCount) {
		views.capable[cached] = append(views.capable[cached], registry.nodes[name])
	}
	return views.capable[cached]
}

// Zones returns the names of the zones with nodes of this node's role, in order. The caller must not modify the slice.
func (registry *Registry) Zones() []string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.views.zones == nil {
		for _, record := range registry.nodes {
			if record.GetRole() == registry.self.GetRole() {
				registry.views.zones = append(registry.views.zones, record.GetZone())
			}
		}
		slices.Sort(registry.views.zones)
		registry.views.zones = slices.Compact(registry.views.zones)
	}
	return registry.views.zones
}

// minCoreShare is the fraction of the strongest node's cores that a node needs to count as strong. Work that any node can
// do is given to strong nodes only.
const minCoreShare = 0.75

// strongOf returns the names of the strong nodes among the eligible nodes of this node's role. The caller must hold mu.
func (registry *Registry) strongOf(eligible func(*clusterv1.NodeRecord) bool) []string {
	var candidates []*clusterv1.NodeRecord
	strongest := 0.0
	for _, record := range registry.nodes {
		if record.GetRole() == registry.self.GetRole() && eligible(record) {
			candidates = append(candidates, record)
			strongest = max(strongest, record.GetCores())
		}
	}
	names := make([]string, 0, len(candidates))
	for _, record := range candidates {
		if record.GetCores() >= minCoreShare*strongest {
			names = append(names, record.GetName())
		}
	}
	return names
}

// highestRanked returns up to count names that rank highest for a key by rendezvous hashing, the highest first.
func highestRanked(names []string, key string, count int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	var best []ranked
	for _, name := range names {
		candidate := ranked{name, xxhash.Sum64String(name + "/" + key)}
		place, _ := slices.BinarySearchFunc(best, candidate, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		if place < count {
			best = slices.Insert(best, place, candidate)
			best = best[:min(len(best), count)]
		}
	}
	list := make([]string, 0, len(best))
	for _, entry := range best {
		list = append(list, entry.name)
	}
	return list
}

// RemotePeer returns the record of another node of this node's role, preferably in another zone, or nil if there is
// none. The choice uses rendezvous hashing, so that a change of the registry changes it for few nodes.
func (registry *Registry) RemotePeer() *clusterv1.NodeRecord {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if !registry.views.remotePeerKnown {
		registry.views.remotePeer, registry.views.remotePeerKnown = registry.findRemotePeer(), true
	}
	return registry.views.remotePeer
}

// The caller must hold mu.
func (registry *Registry) findRemotePeer() *clusterv1.NodeRecord {
	var best *clusterv1.NodeRecord
	var bestRank uint64
	for name, record := range registry.nodes {
		if name == registry.self.GetName() || record.GetRole() != registry.self.GetRole() {
			continue
		}
		rank := xxhash.Sum64String(registry.self.GetName() + "/" + name)
		remote, bestRemote := !registry.inZone(record), best != nil && !registry.inZone(best)
		if best == nil || (remote && !bestRemote) || (remote == bestRemote && rank > bestRank) {
			best, bestRank = record, rank
		}
	}
	return best
}
