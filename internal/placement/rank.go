// Package placement ranks live nodes for a key by rendezvous hashing: nodes with the same view of the membership choose
// the same node, and the failure of a node moves only the keys that it owned.
//
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking
// 6(1), 1998.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or node identifier for Weight.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Weight returns the rendezvous weight of a node for a key, given the hashes of both.
func Weight(key, node uint64) uint64 { return mix(key ^ mix(node)) }

// mix is the finalizer of MurmurHash3 (Appleby 2011), which spreads similar hashes.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// Rank returns a copy of the items, sorted by descending weight for the key.
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

// Best returns the identifier that ranks first for the key; empty if there are none. It does not allocate.
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
