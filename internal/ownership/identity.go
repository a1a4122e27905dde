package ownership

import "strconv"

// MemoryReplicaID returns the identity of the replicas in the memory of a process. It is the same for all incarnations of
// one process: a process raises its incarnation when it refutes a suspicion.
func MemoryReplicaID(nodeID string, incarnation uint64) string {
	return nodeID + "#" + strconv.FormatUint(Life(incarnation), 10)
}

// LifeStep separates the incarnations of successive processes of a node: the first incarnation of a process is a multiple
// of LifeStep.
const LifeStep = 1 << 20

// Life returns the number of the process that has the given incarnation.
func Life(incarnation uint64) uint64 { return incarnation / LifeStep }
