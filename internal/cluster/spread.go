package cluster

import "slices"

// PreferredAmong returns the names of strong nodes of this node's zone and role for a key, the preferred one first. The keys are all keys
// that share these nodes, in an order that all nodes agree on, such as sorted. Unlike Preferred, it gives two keys the same first node
// only if there are more keys than nodes: the jobs of two trainers then do not compete for one machine while others are idle. A key that
// is not among the keys is ranked as by Preferred.
func (registry *Registry) PreferredAmong(key string, keys []string) []string {
	if !slices.Contains(keys, key) {
		return registry.preferredOf(key)
	}
	registry.mu.Lock()
	if registry.views.strongInZone == nil {
		registry.views.strongInZone = registry.strongOf(registry.inZone)
	}
	strong := registry.views.strongInZone
	registry.mu.Unlock()
	return spreadKeys(strong, keys)[key]
}

// spreadKeys assigns nodes to keys by rendezvous hashing. Each key takes its highest-ranked node that the fewest keys before it have
// taken, so that a node that joins or leaves changes the first node of few keys. A key's further nodes are its highest-ranked others,
// those that are no key's first node before the rest.
func spreadKeys(nodes, keys []string) map[string][]string {
	taken := make(map[string]int, len(keys))
	assigned := make(map[string][]string, len(keys))
	for index, key := range keys {
		ranked := highestRanked(nodes, key, len(nodes))
		assigned[key] = ranked
		if len(ranked) == 0 {
			continue
		}
		turns := index / len(nodes) // how many keys each node has been given at least
		first := slices.IndexFunc(ranked, func(name string) bool { return taken[name] <= turns })
		name := ranked[first]
		assigned[key] = slices.Insert(slices.Delete(ranked, first, first+1), 0, name)
		taken[name]++
	}
	for _, key := range keys {
		ranked := assigned[key]
		if len(ranked) > 1 {
			slices.SortStableFunc(ranked[1:], func(a, b string) int { return min(taken[a], 1) - min(taken[b], 1) })
		}
		assigned[key] = ranked[:min(len(ranked), preferredCount)]
	}
	return assigned
}
