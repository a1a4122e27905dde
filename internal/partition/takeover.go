package partition

import (
	"cmp"
	"slices"

	"github.com/thistlewalk/thistlewalk/internal/placement"
)

// ReplicasWanted is how many copies a partition has when there are nodes enough.
const ReplicasWanted = 3

// Candidate is a live node that may hold a copy.
type Candidate = Holder

// Vacant reports whether the owner is gone: no live member of that identity and copy, and its lease is not alive.
// An owner whose lease lapsed while it is a live member (an outage of the service does that) keeps its partition, and so
// does one whose lease is alive though members cannot reach it.
func Vacant(table Table, assignment Assignment, candidates []Candidate) bool {
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

// Successor returns the candidate that should own a vacant partition: the best ranked one that holds a copy, else the
// best ranked of all. It returns false without candidates.
func Successor(assignment Assignment, candidates []Candidate) (Candidate, bool) {
	ranked := rank(assignment.Name, candidates)
	for _, candidate := range ranked {
		if holdsCopy(assignment.Replicas, candidate) {
			return candidate, true
		}
	}
	if len(ranked) == 0 {
		return Candidate{}, false
	}
	return ranked[0], true
}

func holdsCopy(replicas []Holder, candidate Candidate) bool {
	return slices.ContainsFunc(replicas, func(holder Holder) bool { return holder.ReplicaID == candidate.ReplicaID })
}

func rank(name Name, candidates []Candidate) []Candidate {
	return placement.Rank(name.String(), candidates, func(candidate Candidate) string { return candidate.NodeID })
}

// ChooseReplicas returns the copies for an owner: the owner, then nodes of other zones (one a zone while zones last),
// present copies first. An owner's own zone is used only when no other zone has a node.
func ChooseReplicas(name Name, owner Candidate, present []Holder, candidates []Candidate) []Holder {
	chosen := []Holder{owner}
	ranked := rank(name, candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		return cmp.Compare(boolRank(holdsCopy(present, a)), boolRank(holdsCopy(present, b)))
	})
	// Round 0: new zones only. Round 1: any zone but the owner's. Round 2: any node.
	for round := range 3 {
		for _, candidate := range ranked {
			if len(chosen) == ReplicasWanted {
				return chosen
			}
			if holdsCopy(chosen, candidate) || candidate.NodeID == owner.NodeID || !zoneFits(round, chosen, candidate) {
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

// KeepAbsent adds copies on disk whose nodes are away to those chosen, while there are fewer than wanted: else a set would
// shrink with each absence, until samples counted as accepted on one disk. An absent copy stays until another store takes
// its place.
func KeepAbsent(name Name, chosen, present []Holder) []Holder {
	if name.Kind != KindSteps {
		return chosen
	}
	for _, holder := range present {
		if len(chosen) < ReplicasWanted && !holdsCopy(chosen, holder) {
			chosen = append(chosen, holder)
		}
	}
	return chosen
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

func zoneFits(round int, chosen []Holder, candidate Candidate) bool {
	switch round {
	case 0:
		return !slices.ContainsFunc(chosen, func(holder Holder) bool { return holder.Zone == candidate.Zone })
	case 1:
		return chosen[0].Zone != candidate.Zone
	default:
		return true
	}
}

// NeedsReplacement reports whether a partition has fewer live copies than it could have, or lists a copy in memory whose
// process is gone, which cannot come back.
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
