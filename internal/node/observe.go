package node

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/partition"
)

// Observations for experiments that run many nodes in one process.

// Revision returns the revision of the configuration in force.
func (node *Node) Revision() uint64 { return node.follower.Document().Revision }

// Sees reports whether this node believes another one alive, suspects included.
func (node *Node) Sees(nodeID string) bool {
	for _, member := range node.members.View().Live {
		if member.NodeID == nodeID {
			return true
		}
	}
	return false
}

// LiveMembers returns how many nodes are believed alive, this one included.
func (node *Node) LiveMembers() int { return len(node.members.View().Live) }

// Serves reports whether this node would give work to a replica.
func (node *Node) Serves(replicaID string) bool {
	replica := node.loads.Get(replicaID)
	if replica == nil {
		return false
	}
	digest := replica.Digest()
	return !digest.Leaving && !digest.Failed && time.Since(digest.Received()) <= node.settings.Replicas.MaximumAge
}

// KnownReplicas returns how many replicas' loads are known.
func (node *Node) KnownReplicas() int { return len(node.loads.List()) }

// FalseDeaths returns how many suspicions the node's member list has taken, and how often the node heard of its own death.
func (node *Node) FalseDeaths() (suspicions, deaths int) {
	counters := node.members.Counters()
	return counters.Suspects, counters.RefutedDeaths
}

// ControlCalls returns how many control calls this node has answered.
func (node *Node) ControlCalls() int64 { return node.controlCalls.Load() }

// OwnedPartitions returns how many partitions the newest table gives to this node.
func (node *Node) OwnedPartitions() int {
	owned := 0
	for _, assignment := range node.follower.Table().Assignments {
		if assignment.Owner.NodeID == node.settings.Node.ID {
			owned++
		}
	}
	return owned
}

// PartitionsSettled reports whether every partition has an owner and as many copies as it can have by the table known
// here; stores tells how many nodes have a data folder.
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
