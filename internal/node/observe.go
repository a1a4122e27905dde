package node

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/partition"
)

// This file holds accessors for experiments that run many nodes in one process.

// Revision returns the revision of the configuration in force.
func (node *Node) Revision() uint64 { return node.follower.Document().Revision }

// MemberLive reports whether the node is a live member in this node's view. Suspects count as live.
func (node *Node) MemberLive(nodeID string) bool {
	for _, member := range node.members.View().Live {
		if member.NodeID == nodeID {
			return true
		}
	}
	return false
}

// LiveMembers returns the number of live members in this node's view, including itself.
func (node *Node) LiveMembers() int { return len(node.members.View().Live) }

// ReplicaServing reports whether this node considers a replica to be serving, by its newest digest.
func (node *Node) ReplicaServing(replicaID string) bool {
	replica := node.loads.Get(replicaID)
	if replica == nil {
		return false
	}
	digest := replica.Digest()
	return !digest.Leaving && !digest.Failed && time.Since(digest.Received()) <= node.settings.Replicas.MaximumAge
}

// KnownReplicas returns the number of replicas with a load digest on this node.
func (node *Node) KnownReplicas() int { return len(node.loads.List()) }

// SuspicionsAndRefutations returns the number of suspicions that this node received or raised, and how often it refuted its own death.
func (node *Node) SuspicionsAndRefutations() (suspicions, deaths int) {
	counters := node.members.Counters()
	return counters.Suspects, counters.RefutedDeaths
}

// ControlCalls returns the number of calls received from other nodes.
func (node *Node) ControlCalls() int64 { return node.controlCalls.Load() }

// OwnedPartitions returns the number of partitions that this node owns by the newest partition table.
func (node *Node) OwnedPartitions() int {
	owned := 0
	for _, assignment := range node.follower.Table().Assignments {
		if assignment.Owner.NodeID == node.settings.Node.ID {
			owned++
		}
	}
	return owned
}

// PartitionsSettled reports whether every partition has an owner and as many copies as it can have, by the newest partition
// table. stores is the number of nodes with a data folder, which limits the copies of a steps partition.
func (node *Node) PartitionsSettled(stores int) bool {
	table := node.follower.Table()
	for _, name := range partition.Names() {
		assignment, owned := table.Assignment(name)
		wanted := partition.ReplicationFactor
		if name.Kind == partition.KindSteps {
			wanted = min(wanted, stores)
		}
		if !owned || len(assignment.Replicas) < wanted {
			return false
		}
	}
	return true
}
