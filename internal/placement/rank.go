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

// Hash returns the hash of a key or an identifier, for Weight.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Weight returns the rendezvous weight of a node for a key, by their hashes.
func Weight(key, node uint64) uint64 { return mix(key ^ mix(node)) }

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
	hash := Hash(key)
	for _, item := range items {
		id := identify(item)
		entries = append(entries, weighted{item, Weight(hash, Hash(id)), id})
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
	best, bestWeight := "", uint64(0)
	hash := Hash(key)
	for _, identifier := range identifiers {
		weight := Weight(hash, Hash(identifier))
		if best == "" || weight > bestWeight || weight == bestWeight && identifier < best {
			best, bestWeight = identifier, weight
		}
	}
	return best
}
