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

// Picker takes one of the replicas that passed the filters.
type Picker interface {
	// Pick returns the index of the replica; replicas is never empty.
	Pick(wanted *Wanted, replicas []*loads.Replica, grade func(*loads.Replica) float64) int
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

// Route returns the replica to ask; nil when no replica passes the filters. scratch is reused between calls.
func (router *Router) Route(wanted *Wanted, replicas []*loads.Replica, scratch *[]*loads.Replica) *loads.Replica {
	kept := (*scratch)[:0]
	for _, replica := range replicas {
		if router.keep(wanted, replica) {
			kept = append(kept, replica)
		}
	}
	*scratch = kept
	if len(kept) == 0 {
		return nil
	}
	affinity := prefixHome(wanted.PrefixKey, kept)
	index := router.Picker.Pick(wanted, kept, func(replica *loads.Replica) float64 {
		return router.grade(wanted, replica, affinity)
	})
	return kept[index]
}

func (router *Router) keep(wanted *Wanted, replica *loads.Replica) bool {
	digest := replica.Digest()
	for _, filter := range router.Filters {
		if !filter.Keep(wanted, replica, digest) {
			return false
		}
	}
	return true
}

func (router *Router) grade(wanted *Wanted, replica, affinity *loads.Replica) float64 {
	digest := replica.Digest()
	candidate := Candidate{Replica: replica, Digest: digest, Affinity: replica == affinity}
	if held := digest.HeldVersion(wanted.Arm.Policy); held != nil {
		candidate.Version = held.GetActive()
	}
	candidate.Load = float64(replica.Estimate()) / float64(max(digest.Capacity, 1))
	total := 0.0
	for _, weighted := range router.Scorers {
		total += weighted.Weight * weighted.Scorer.Score(wanted, &candidate)
	}
	return total
}

// prefixHome returns the replica that is ranked first for the prefix; nil without a prefix.
func prefixHome(prefixKey string, replicas []*loads.Replica) *loads.Replica {
	if prefixKey == "" {
		return nil
	}
	return placement.BestItem(prefixKey, replicas, func(replica *loads.Replica) string { return replica.Digest().ID })
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

// Pick implements Picker.
func (picker TwoChoices) Pick(wanted *Wanted, replicas []*loads.Replica, grade func(*loads.Replica) float64) int {
	best := rand.IntN(len(replicas))
	if picker.Random != nil {
		best = picker.Random.IntN(len(replicas))
	}
	bestGrade := grade(replicas[best])
	consider := func(index int) {
		if value := grade(replicas[index]); value > bestGrade {
			best, bestGrade = index, value
		}
	}
	if picker.Random != nil {
		consider(picker.Random.IntN(len(replicas)))
	} else {
		consider(rand.IntN(len(replicas)))
	}
	if wanted.Preferred == "" && wanted.PrefixKey == "" {
		return best
	}
	home := prefixHome(wanted.PrefixKey, replicas)
	for index, replica := range replicas {
		if replica == home || replica.Digest().ID == wanted.Preferred {
			consider(index)
		}
	}
	return best
}

// RoundRobin takes the replicas in turn: a baseline.
type RoundRobin struct{ next *atomic.Uint64 }

// NewRoundRobin returns a picker that starts with the first replica.
func NewRoundRobin() RoundRobin { return RoundRobin{next: new(atomic.Uint64)} }

// Pick implements Picker.
func (picker RoundRobin) Pick(_ *Wanted, replicas []*loads.Replica, _ func(*loads.Replica) float64) int {
	return int(picker.next.Add(1) % uint64(len(replicas)))
}

// LeastReported takes the replica with the least reported load, without correction: a baseline.
type LeastReported struct{}

// Pick implements Picker.
func (LeastReported) Pick(_ *Wanted, replicas []*loads.Replica, _ func(*loads.Replica) float64) int {
	best := 0
	for index, replica := range replicas {
		digest, least := replica.Digest(), replicas[best].Digest()
		if digest.Running+digest.Queued < least.Running+least.Queued {
			best = index
		}
	}
	return best
}
