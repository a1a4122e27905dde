// Package cluster tracks the nodes of a deployment. It keeps a registry of nodes in the metadata store, and detects
// failures by heartbeats. Each node is watched by its successors on a hash ring, so that the cost per node does not grow
// with the size of the cluster.
package cluster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// monitorsPerNode is the number of successors that watch each node.
const monitorsPerNode = 3

// Ring orders nodes by the hash of their names.
type Ring struct{ nodes []ringNode }

type ringNode struct {
	hash   uint64
	record *clusterv1.NodeRecord
}

func NewRing(records []*clusterv1.NodeRecord) *Ring {
	ring := &Ring{nodes: make([]ringNode, 0, len(records))}
	for _, record := range records {
		ring.nodes = append(ring.nodes, ringNode{xxhash.Sum64String(record.GetName()), record})
	}
	slices.SortFunc(ring.nodes, func(a, b ringNode) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// Successors returns up to count nodes that follow a name on the ring, the nearest first. The node of that name is
// excluded.
func (ring *Ring) Successors(name string, count int) []*clusterv1.NodeRecord {
	hash := xxhash.Sum64String(name)
	start, _ := slices.BinarySearchFunc(ring.nodes, hash, func(node ringNode, hash uint64) int { return cmp.Compare(node.hash, hash) })
	var list []*clusterv1.NodeRecord
	for offset := 0; offset < len(ring.nodes) && len(list) < count; offset++ {
		record := ring.nodes[(start+offset)%len(ring.nodes)].record
		if record.GetName() != name {
			list = append(list, record)
		}
	}
	return list
}

// Predecessors returns up to count nodes that precede a node on the ring, the nearest first. These are the nodes that
// have the given node among their first count successors. It returns nil if the name is not on the ring.
func (ring *Ring) Predecessors(name string, count int) []*clusterv1.NodeRecord {
	hash := xxhash.Sum64String(name)
	place, found := slices.BinarySearchFunc(ring.nodes, hash, func(node ringNode, hash uint64) int { return cmp.Compare(node.hash, hash) })
	if !found {
		return nil
	}
	var list []*clusterv1.NodeRecord
	for offset := 1; offset < len(ring.nodes) && len(list) < count; offset++ {
		list = append(list, ring.nodes[(place-offset+len(ring.nodes))%len(ring.nodes)].record)
	}
	return list
}

// Rank returns the position of watcher, from 0, among the successors of watched, or a negative number if it is not among
// them.
func (ring *Ring) Rank(watcher, watched string) int {
	return slices.IndexFunc(ring.Successors(watched, monitorsPerNode), func(record *clusterv1.NodeRecord) bool {
		return record.GetName() == watcher
	})
}
