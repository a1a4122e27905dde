package ownership

import "strconv"

// MemoryReplicaID returns the identity of the replicas in the memory of a process. It is the same for all incarnations of
// one process: a process raises its incarnation when it refutes a suspicion.
func MemoryReplicaID(nodeID string, incarnation uint64) string {
	return nodeID + "#" + strconv.FormatUint(ProcessNumber(incarnation), 10)
}

// IncarnationsPerProcess separates the incarnations of successive processes of a node: the first incarnation of a process
// is a multiple of IncarnationsPerProcess.
const IncarnationsPerProcess = 1 << 20

// ProcessNumber returns the number of the process that has the given incarnation.
func ProcessNumber(incarnation uint64) uint64 { return incarnation / IncarnationsPerProcess }
