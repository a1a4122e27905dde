package cluster

import (
	"math/rand/v2"
	"slices"
)

// Preferred returns the name of the node that ranks first for a key among the strong nodes of this node's zone and role,
// or an empty string if there is none. All these nodes compute the same name from the same registry.
func (registry *Registry) Preferred(key string) string { return nth(registry.preferredOf(key), 0) }

// Alternate returns the name of the node that ranks second, after Preferred, or an empty string if there is none.
func (registry *Registry) Alternate(key string) string { return nth(registry.preferredOf(key), 1) }

// Rank returns the position of this node, from 0, among the nodes that rank highest for a key in its zone and role. It
// returns a negative number if this node is not among them.
func (registry *Registry) Rank(key string) int {
	return slices.Index(registry.preferredOf(key), registry.self.GetName())
}

func nth(names []string, place int) string {
	if place >= len(names) {
		return ""
	}
	return names[place]
}

// preferredCount is the number of nodes of a zone that are ranked for a key.
const preferredCount = 3

// maxCandidates bounds the number of nodes that Candidates returns.
const maxCandidates = 8

// Candidates returns the names of nodes of this node's role: first its successors, then random nodes of its zone, then
// random nodes of other zones.
func (registry *Registry) Candidates() []string {
	names := registry.Nearest()
	registry.mu.Lock()
	defer registry.mu.Unlock()
	var near, far []string
	for name, record := range registry.nodes {
		switch {
		case name == registry.self.GetName() || record.GetRole() != registry.self.GetRole() || slices.Contains(names, name):
		case record.GetZone() == registry.self.GetZone():
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	shuffled := func(list []string) []string {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		return list
	}
	others := slices.Concat(shuffled(near), shuffled(far))
	return append(names, others[:min(len(others), max(0, maxCandidates-len(names)))]...)
}

// Nearest returns the names of this node's successors on the ring that have its role, the nearest first.
func (registry *Registry) Nearest() []string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	var names []string
	for _, record := range registry.ring.Successors(registry.self.GetName(), monitorsPerNode) {
		if record.GetRole() == registry.self.GetRole() {
			names = append(names, record.GetName())
		}
	}
	return names
}
