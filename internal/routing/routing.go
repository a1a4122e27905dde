// Package routing selects the replica for a rollout. Filters exclude replicas, Scorers rank the remaining ones and a
// Picker chooses one. They do no I/O.
package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/placement"
	"github.com/thistlewalk/thistlewalk/internal/replicaload"
)

// Requirements describes the rollout to route.
type Requirements struct {
	Arm experiment.Arm
	// TargetVersion is the target version of the policy. Replicas that run it are preferred.
	TargetVersion uint64
	Zone          string
	// PrefixKey is equal for prompts that share a prefix worth caching; empty for none.
	PrefixKey string
	// Preferred is the replica that ran the previous turn of the rollout; empty for none.
	Preferred string
	// Excluded are the replicas that were already tried.
	Excluded []string
	// MaxBatchFill excludes replicas whose load has reached this share of their capacity. The rollout then waits on this
	// node, where it can still go to whichever replica has capacity first. Zero disables the limit.
	MaxBatchFill float64
}

// Candidate is the state of a replica at the time of the decision.
type Candidate struct {
	Replica *replicaload.Replica
	Digest  *replicaload.Digest
	// Version is the active version of the requested policy.
	Version uint64
	// Load is the estimated number of requests as a share of capacity.
	Load float64
	// Affinity is true if the prefix of the prompt hashes to the replica.
	Affinity bool
}

// Filter decides whether a replica may run the rollout.
type Filter interface {
	Keep(requirements *Requirements, replica *replicaload.Replica, digest *replicaload.Digest) bool
}

// Scorer scores a candidate from 0, the worst, to 1, the best.
type Scorer interface {
	Score(requirements *Requirements, candidate *Candidate) float64
}

// Choices are the replicas to choose from. Filters and scorers run lazily, only for replicas that the picker examines.
type Choices struct {
	router        *Router
	requirements  *Requirements
	replicas      []*replicaload.Replica
	prefixReplica *replicaload.Replica // the replica that the prompt's prefix hashes to; nil without a prefix
}

// Len returns the number of replicas, including those that the filters exclude.
func (choices *Choices) Len() int { return len(choices.replicas) }

// Keep reports whether all filters accept a replica.
func (choices *Choices) Keep(index int) bool {
	replica := choices.replicas[index]
	digest := replica.Digest()
	for _, filter := range choices.router.Filters {
		if !filter.Keep(choices.requirements, replica, digest) {
			return false
		}
	}
	return true
}

// Score returns the weighted sum of a replica's scores.
func (choices *Choices) Score(index int) float64 {
	replica := choices.replicas[index]
	digest := replica.Digest()
	candidate := Candidate{Replica: replica, Digest: digest, Affinity: replica == choices.prefixReplica}
	if held := digest.HeldVersion(choices.requirements.Arm.Policy); held != nil {
		candidate.Version = held.GetActive()
	}
	candidate.Load = float64(replica.Estimate()) / float64(max(digest.Capacity, 1))
	total := 0.0
	for _, weighted := range choices.router.Scorers {
		total += weighted.Weight * weighted.Scorer.Score(choices.requirements, &candidate)
	}
	return total
}

// Picker chooses one of the replicas that the filters accept.
type Picker interface {
	// Pick returns the index of the chosen replica; negative if the filters accept none.
	Pick(choices *Choices) int
}

// Weighted is a scorer with its weight in the total score.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Router combines filters, scorers and a picker.
type Router struct {
	Filters []Filter
	Scorers []Weighted
	Picker  Picker
}

// Route returns the replica for a rollout; nil if the filters accept none.
func (router *Router) Route(requirements *Requirements, replicas []*replicaload.Replica) *replicaload.Replica {
	choices := Choices{router: router, requirements: requirements, replicas: replicas}
	if requirements.PrefixKey != "" {
		choices.prefixReplica = selectPrefixReplica(requirements.PrefixKey, replicas)
	}
	index := router.Picker.Pick(&choices)
	if index < 0 {
		return nil
	}
	return replicas[index]
}

// selectPrefixReplica returns the replica that ranks first for a prefix by rendezvous hashing.
func selectPrefixReplica(prefixKey string, replicas []*replicaload.Replica) *replicaload.Replica {
	key := placement.Hash(prefixKey)
	var best *replicaload.Replica
	bestWeight := uint64(0)
	for _, replica := range replicas {
		if weight := placement.Weight(key, replica.Hash()); best == nil || weight > bestWeight {
			best, bestWeight = replica, weight
		}
	}
	return best
}

// Serviceable accepts replicas that are not leaving, failed, drained or already tried, whose load digest is recent and
// whose circuit breaker is closed.
type Serviceable struct {
	Now     func() time.Time
	MaxAge  time.Duration
	Drained func(replicaID string) bool
}

// Keep implements Filter.
func (filter Serviceable) Keep(requirements *Requirements, replica *replicaload.Replica, digest *replicaload.Digest) bool {
	if digest.Leaving || digest.Failed {
		return false
	}
	now := filter.Now()
	if now.Sub(digest.Received()) > filter.MaxAge || replica.Open(now) {
		return false
	}
	for _, excluded := range requirements.Excluded {
		if excluded == digest.ID {
			return false
		}
	}
	return !filter.Drained(digest.ID)
}

// HoldsVersion accepts replicas whose active version of the policy is allowed by the arm.
type HoldsVersion struct{}

// Keep implements Filter.
func (HoldsVersion) Keep(requirements *Requirements, _ *replicaload.Replica, digest *replicaload.Digest) bool {
	held := digest.HeldVersion(requirements.Arm.Policy)
	return held != nil && held.GetActive() != 0 && requirements.Arm.Allows(held.GetActive())
}

// HasCapacity accepts replicas below the load limit of the rollout, Requirements.MaxBatchFill.
type HasCapacity struct{}

// Keep implements Filter.
func (HasCapacity) Keep(requirements *Requirements, replica *replicaload.Replica, digest *replicaload.Digest) bool {
	return requirements.MaxBatchFill == 0 || float64(replica.Estimate()) < requirements.MaxBatchFill*float64(digest.Capacity)
}

// LoadScorer prefers replicas with a low load relative to their capacity.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Requirements, candidate *Candidate) float64 {
	return 1 / (1 + candidate.Load)
}

// VersionScorer prefers replicas that run the target version.
type VersionScorer struct{}

// Score implements Scorer.
func (VersionScorer) Score(requirements *Requirements, candidate *Candidate) float64 {
	if candidate.Version >= requirements.TargetVersion {
		return 1
	}
	return 0
}

// ZoneScorer prefers replicas in the zone of this node.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(requirements *Requirements, candidate *Candidate) float64 {
	if candidate.Digest.Zone == requirements.Zone {
		return 1
	}
	return 0
}

// AffinityScorer prefers the replicas likely to have the prompt in their prefix cache: the one that ran the previous turn
// and the one that the prefix hashes to. A replica at capacity gets no preference.
type AffinityScorer struct{}

// Score implements Scorer.
func (AffinityScorer) Score(requirements *Requirements, candidate *Candidate) float64 {
	if candidate.Load >= 1 {
		return 0
	}
	if candidate.Digest.ID == requirements.Preferred {
		return 1
	}
	if candidate.Affinity {
		return 1
	}
	return 0
}

// TwoChoices compares two random replicas and the preferred ones, and chooses the one with the highest score. The random
// choice keeps nodes with equally old digests from all choosing the same replica.
//
// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
type TwoChoices struct{ Random *rand.Rand }

// maxDraws bounds the random draws for one choice. If none is accepted, a linear scan finds an accepted replica.
const maxDraws = 8

// Pick implements Picker.
func (picker TwoChoices) Pick(choices *Choices) int {
	best, bestScore := -1, 0.0
	consider := func(index int) {
		if score := choices.Score(index); best < 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	for range 2 {
		if index := picker.draw(choices); index >= 0 {
			consider(index)
		}
	}
	if choices.prefixReplica == nil && choices.requirements.Preferred == "" {
		return best
	}
	for index, replica := range choices.replicas {
		isPreferred := replica == choices.prefixReplica || choices.requirements.Preferred != "" && replica.Digest().ID == choices.requirements.Preferred
		if isPreferred && choices.Keep(index) {
			consider(index)
		}
	}
	return best
}

// draw returns the index of a random accepted replica; negative if there is none.
func (picker TwoChoices) draw(choices *Choices) int {
	if choices.Len() == 0 {
		return -1
	}
	for range maxDraws {
		if index := picker.intN(choices.Len()); choices.Keep(index) {
			return index
		}
	}
	start := picker.intN(choices.Len())
	for offset := range choices.Len() {
		if index := (start + offset) % choices.Len(); choices.Keep(index) {
			return index
		}
	}
	return -1
}

func (picker TwoChoices) intN(limit int) int {
	if picker.Random != nil {
		return picker.Random.IntN(limit)
	}
	return rand.IntN(limit)
}

// RoundRobin cycles through the replicas. It serves as a baseline.
type RoundRobin struct{ next *atomic.Uint64 }

// NewRoundRobin returns a picker with a counter of its own.
func NewRoundRobin() RoundRobin { return RoundRobin{next: new(atomic.Uint64)} }

// Pick implements Picker.
func (picker RoundRobin) Pick(choices *Choices) int {
	for range choices.Len() {
		if index := int(picker.next.Add(1) % uint64(choices.Len())); choices.Keep(index) {
			return index
		}
	}
	return -1
}

// LeastReported chooses the replica with the lowest reported load, not corrected by requests in flight. It serves as a
// baseline.
type LeastReported struct{}

// Pick implements Picker.
func (LeastReported) Pick(choices *Choices) int {
	best, least := -1, 0
	for index, replica := range choices.replicas {
		digest := replica.Digest()
		if load := digest.Running + digest.Queued; (best < 0 || load < least) && choices.Keep(index) {
			best, least = index, load
		}
	}
	return best
}
