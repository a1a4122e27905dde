package ownership

import "strconv"

// MemoryReplicaID names the copies in a process's memory. A process's later incarnations (it refuted a suspicion) are
// the same life: the first incarnation of a life is a multiple of LifeStep.
func MemoryReplicaID(nodeID string, incarnation uint64) string {
	return nodeID + "#" + strconv.FormatUint(Life(incarnation), 10)
}

// LifeStep is the distance between the first incarnations of two lives of a node.
const LifeStep = 1 << 20

// Life returns the number of a process's life from any of its incarnations.
func Life(incarnation uint64) uint64 { return incarnation / LifeStep }
