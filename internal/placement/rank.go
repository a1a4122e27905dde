// Package placement ranks live nodes for a key by rendezvous hashing: every node with the same view of the members
// picks the same node, and a node's death moves only what it held.
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on
// Networking 6(1), 1998.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight is the rendezvous weight of a node for a key.
func weight(key, node string) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(node)))
}

// mix finishes a hash so that near inputs spread (the finalizer of MurmurHash3, Appleby 2011).
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// Rank returns a sorted copy of the items, best first.
func Rank[T any](key string, items []T, identify func(T) string) []T {
	type weighted struct {
		item   T
		weight uint64
		id     string
	}
	entries := make([]weighted, 0, len(items))
	for _, item := range items {
		id := identify(item)
		entries = append(entries, weighted{item, weight(key, id), id})
	}
	slices.SortFunc(entries, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ranked := make([]T, 0, len(items))
	for _, entry := range entries {
		ranked = append(ranked, entry.item)
	}
	return ranked
}

// Best returns the identifier ranked first, empty without identifiers. It allocates nothing.
func Best(key string, identifiers []string) string {
	return BestItem(key, identifiers, func(identifier string) string { return identifier })
}

// BestItem returns the item ranked first, the zero value without items. It allocates nothing.
func BestItem[T any](key string, items []T, identify func(T) string) T {
	var best T
	bestID, bestWeight := "", uint64(0)
	for _, item := range items {
		id := identify(item)
		candidate := weight(key, id)
		if bestID == "" || candidate > bestWeight || candidate == bestWeight && id < bestID {
			best, bestID, bestWeight = item, id, candidate
		}
	}
	return best
}
