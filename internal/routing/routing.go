// Package routing picks the replica of a rollout. A Filter says which replicas may take it, Scorers grade them, and a
// Picker takes one. All are pure: they see Candidate values and do no I/O.
package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/loads"
	"github.com/thistlewalk/thistlewalk/internal/placement"
)

// Wanted describes the rollout to place.
type Wanted struct {
	Arm experiment.Arm
	// Newest is the policy's target version; replicas that run it are preferred.
	Newest uint64
	Zone   string
	// PrefixKey is equal for prompts that share a prefix worth caching.
	PrefixKey string
	// Preferred is the replica that ran the rollout's last turn; empty for none.
	Preferred string
	// Excluded are replicas that were tried already.
	Excluded []string
	// RoomShare keeps the rollout off replicas whose batch is filled to this share: it would rather wait here, where it can
	// still go to whichever replica has room first. Zero asks for no room.
	RoomShare float64
}

// Candidate is a replica at the moment of the decision.
type Candidate struct {
	Replica *loads.Replica
	Digest  *loads.Digest
	// Version is the active version of the wanted policy.
	Version uint64
	// Load is the estimate of requests, as a share of capacity.
	Load float64
	// Affinity tells that the replica is the prefix's home.
	Affinity bool
}

// Filter says whether a replica may take the rollout.
type Filter interface {
	Keep(wanted *Wanted, replica *loads.Replica, digest *loads.Digest) bool
}

// Scorer grades a candidate: 0 is worst, 1 is best.
type Scorer interface {
	Score(wanted *Wanted, candidate *Candidate) float64
}

// Choices are the replicas of a decision. Filters and scorers run only for those that a picker looks at.
type Choices struct {
	router   *Router
	wanted   *Wanted
	replicas []*loads.Replica
	home     *loads.Replica // of the prompt's prefix; nil without one
}

// Len returns the number of replicas, those that the filters would not keep included.
func (choices *Choices) Len() int { return len(choices.replicas) }

// Keep reports whether the filters keep a replica.
func (choices *Choices) Keep(index int) bool {
	replica := choices.replicas[index]
	digest := replica.Digest()
	for _, filter := range choices.router.Filters {
		if !filter.Keep(choices.wanted, replica, digest) {
			return false
		}
	}
	return true
}

// Grade returns the weighted sum of the scores of a replica.
func (choices *Choices) Grade(index int) float64 {
	replica := choices.replicas[index]
	digest := replica.Digest()
	candidate := Candidate{Replica: replica, Digest: digest, Affinity: replica == choices.home}
	if held := digest.HeldVersion(choices.wanted.Arm.Policy); held != nil {
		candidate.Version = held.GetActive()
	}
	candidate.Load = float64(replica.Estimate()) / float64(max(digest.Capacity, 1))
	total := 0.0
	for _, weighted := range choices.router.Scorers {
		total += weighted.Weight * weighted.Scorer.Score(choices.wanted, &candidate)
	}
	return total
}

// Picker takes one of the replicas that the filters keep.
type Picker interface {
	// Pick returns the index of the replica, negative when none is kept.
	Pick(choices *Choices) int
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Router puts filters, scorers and a picker together.
type Router struct {
	Filters []Filter
	Scorers []Weighted
	Picker  Picker
}

// Route returns the replica to ask; nil when no replica passes the filters.
func (router *Router) Route(wanted *Wanted, replicas []*loads.Replica) *loads.Replica {
	choices := Choices{router: router, wanted: wanted, replicas: replicas}
	if wanted.PrefixKey != "" {
		choices.home = prefixHome(wanted.PrefixKey, replicas)
	}
	index := router.Picker.Pick(&choices)
	if index < 0 {
		return nil
	}
	return replicas[index]
}

// prefixHome returns the replica that is ranked first for a prefix, by rendezvous hashing.
func prefixHome(prefixKey string, replicas []*loads.Replica) *loads.Replica {
	key := placement.Hash(prefixKey)
	var best *loads.Replica
	bestWeight := uint64(0)
	for _, replica := range replicas {
		if weight := placement.Weight(key, replica.Hash()); best == nil || weight > bestWeight {
			best, bestWeight = replica, weight
		}
	}
	return best
}

// Serviceable keeps replicas that are not leaving or failed, whose digest is fresh and whose breaker is closed.
type Serviceable struct {
	Now     func() time.Time
	MaxAge  time.Duration
	Drained func(replicaID string) bool
}

// Keep implements Filter.
func (filter Serviceable) Keep(wanted *Wanted, replica *loads.Replica, digest *loads.Digest) bool {
	if digest.Leaving || digest.Failed {
		return false
	}
	now := filter.Now()
	if now.Sub(digest.Received()) > filter.MaxAge || replica.Open(now) {
		return false
	}
	for _, excluded := range wanted.Excluded {
		if excluded == digest.ID {
			return false
		}
	}
	return !filter.Drained(digest.ID)
}

// HoldsVersion keeps replicas whose active version the arm allows.
type HoldsVersion struct{}

// Keep implements Filter.
func (HoldsVersion) Keep(wanted *Wanted, _ *loads.Replica, digest *loads.Digest) bool {
	held := digest.HeldVersion(wanted.Arm.Policy)
	return held != nil && held.GetActive() != 0 && wanted.Arm.Allows(held.GetActive())
}

// HasRoom keeps replicas whose batch has room, for rollouts that ask for it.
type HasRoom struct{}

// Keep implements Filter.
func (HasRoom) Keep(wanted *Wanted, replica *loads.Replica, digest *loads.Digest) bool {
	return wanted.RoomShare == 0 || float64(replica.Estimate()) < wanted.RoomShare*float64(digest.Capacity)
}

// LoadScorer prefers replicas with few requests for their capacity.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Wanted, candidate *Candidate) float64 { return 1 / (1 + candidate.Load) }

// VersionScorer prefers replicas that run the newest version.
type VersionScorer struct{}

// Score implements Scorer.
func (VersionScorer) Score(wanted *Wanted, candidate *Candidate) float64 {
	if candidate.Version >= wanted.Newest {
		return 1
	}
	return 0
}

// ZoneScorer prefers replicas of the node's own zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(wanted *Wanted, candidate *Candidate) float64 {
	if candidate.Digest.Zone == wanted.Zone {
		return 1
	}
	return 0
}

// AffinityScorer prefers the replica that holds the prompt's prefix in its cache, unless it is full.
type AffinityScorer struct{}

// Score implements Scorer.
func (AffinityScorer) Score(wanted *Wanted, candidate *Candidate) float64 {
	if candidate.Load >= 1 {
		return 0
	}
	if candidate.Digest.ID == wanted.Preferred {
		return 1
	}
	if candidate.Affinity {
		return 1
	}
	return 0
}

// TwoChoices grades two random replicas and the preferred ones, and takes the best. Nodes whose digests are equally old
// do not all pick the same replica.
// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
type TwoChoices struct{ Random *rand.Rand }

// maximumDraws bounds the draws for one choice; where few replicas are kept, a scan finds them.
const maximumDraws = 8

// Pick implements Picker.
func (picker TwoChoices) Pick(choices *Choices) int {
	best, bestGrade := -1, 0.0
	consider := func(index int) {
		if grade := choices.Grade(index); best < 0 || grade > bestGrade {
			best, bestGrade = index, grade
		}
	}
	for range 2 {
		if index := picker.draw(choices); index >= 0 {
			consider(index)
		}
	}
	if choices.home == nil && choices.wanted.Preferred == "" {
		return best
	}
	for index, replica := range choices.replicas {
		isPreferred := replica == choices.home || choices.wanted.Preferred != "" && replica.Digest().ID == choices.wanted.Preferred
		if isPreferred && choices.Keep(index) {
			consider(index)
		}
	}
	return best
}

// draw returns a random replica that is kept, negative when there is none.
func (picker TwoChoices) draw(choices *Choices) int {
	if choices.Len() == 0 {
		return -1
	}
	for range maximumDraws {
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

// RoundRobin takes the replicas in turn: a baseline.
type RoundRobin struct{ next *atomic.Uint64 }

// NewRoundRobin returns a picker that starts with the first replica.
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

// LeastReported takes the replica with the least reported load, without correction: a baseline.
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
