package partition

import (
	"cmp"
	"slices"

	"github.com/thistlewalk/thistlewalk/internal/placement"
)

// ReplicationFactor is the replication factor of a partition, provided there are enough nodes.
const ReplicationFactor = 3

// Candidate is a live node that may hold a replica.
type Candidate = Holder

// NeedsTakeover reports whether a partition has no owner, or its owner has failed: either its node is live with another
// replica identity, or the node is not live and its lease has expired. An owner keeps its partition while it is a live
// member, even if its lease expired in an outage of the key-value service, and while its lease is valid, even if members
// cannot reach it.
func NeedsTakeover(table Table, assignment Assignment, candidates []Candidate) bool {
	if assignment.Epoch == 0 {
		return true
	}
	alive := slices.ContainsFunc(candidates, func(candidate Candidate) bool {
		return candidate.NodeID == assignment.Owner.NodeID && candidate.ReplicaID == assignment.Owner.ReplicaID
	})
	if alive {
		return false
	}
	restarted := slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.NodeID == assignment.Owner.NodeID })
	return restarted || !table.Leased(assignment.Owner.NodeID)
}

// Successor returns the candidate that should take a partition over: the highest-ranked candidate that holds a replica, or
// else the highest-ranked of all. It returns false if there are no candidates.
func Successor(assignment Assignment, candidates []Candidate) (Candidate, bool) {
	ranked := rank(assignment.Name, candidates)
	for _, candidate := range ranked {
		if holdsReplica(assignment.Replicas, candidate) {
			return candidate, true
		}
	}
	if len(ranked) == 0 {
		return Candidate{}, false
	}
	return ranked[0], true
}

func holdsReplica(replicas []Holder, candidate Candidate) bool {
	return slices.ContainsFunc(replicas, func(holder Holder) bool { return holder.ReplicaID == candidate.ReplicaID })
}

func rank(name Name, candidates []Candidate) []Candidate {
	return placement.Rank(name.String(), candidates, func(candidate Candidate) string { return candidate.NodeID })
}

// ChooseReplicas returns the replicas for an owner: the owner itself, then nodes of other zones. It prefers zones without
// a replica, and then nodes that already hold one. It uses the owner's zone only if no other zone has a candidate.
func ChooseReplicas(name Name, owner Candidate, present []Holder, candidates []Candidate) []Holder {
	chosen := []Holder{owner}
	ranked := rank(name, candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		return cmp.Compare(rankFirst(holdsReplica(present, a)), rankFirst(holdsReplica(present, b)))
	})
	// Round 0: zones without a chosen replica. Round 1: any zone except the owner's. Round 2: any zone.
	for round := range 3 {
		for _, candidate := range ranked {
			if len(chosen) == ReplicationFactor {
				return chosen
			}
			if holdsReplica(chosen, candidate) || candidate.NodeID == owner.NodeID || !zoneAllowed(round, chosen, candidate) {
				continue
			}
			chosen = append(chosen, candidate)
		}
		if round == 1 && len(chosen) > 1 {
			break
		}
	}
	return chosen
}

// RetainAbsentReplicas adds present replicas on disk to the chosen ones, up to ReplicationFactor, even if their nodes are
// down. Without it the replica set would shrink with each failed node, until one disk alone formed a write quorum. An absent
// replica stays in the set until a replica on another node replaces it.
func RetainAbsentReplicas(name Name, chosen, present []Holder) []Holder {
	if name.Kind != KindSteps {
		return chosen
	}
	for _, holder := range present {
		if len(chosen) < ReplicationFactor && !holdsReplica(chosen, holder) {
			chosen = append(chosen, holder)
		}
	}
	return chosen
}

func rankFirst(first bool) int {
	if first {
		return 0
	}
	return 1
}

func zoneAllowed(round int, chosen []Holder, candidate Candidate) bool {
	switch round {
	case 0:
		return !slices.ContainsFunc(chosen, func(holder Holder) bool { return holder.Zone == candidate.Zone })
	case 1:
		return chosen[0].Zone != candidate.Zone
	default:
		return true
	}
}

// NeedsReplacement reports whether a partition has fewer live replicas than the candidates allow, or lists a replica in
// memory whose process is not live: such a replica has lost its state.
func NeedsReplacement(assignment Assignment, candidates []Candidate) bool {
	missing := 0
	for _, holder := range assignment.Replicas {
		alive := slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.ReplicaID == holder.ReplicaID })
		if !alive {
			missing++
		}
	}
	wanted := ChooseReplicas(assignment.Name, assignment.Owner, assignment.Replicas, candidates)
	present := len(assignment.Replicas) - missing
	return present < len(wanted) || missing > 0 && assignment.Name.Kind == KindClaims
}
