package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/replicaload"
)

var now = time.Unix(1000, 0)

// fleet returns replicas that run version 2 of policy p, each adjusted by the given function.
func fleet(count int, adjust func(index int, digest *replicaload.Digest)) []*replicaload.Replica {
	table := replicaload.NewTable()
	for index := range count {
		digest := replicaload.Digest{ID: fmt.Sprintf("engine-%03d", index), Zone: fmt.Sprintf("zone-%d", index%7), Sequence: 1, Capacity: 32,
			Held: []*controlv1.HeldVersion{{Policy: "p", Active: 2}}}
		if adjust != nil {
			adjust(index, &digest)
		}
		table.Offer(digest, now)
	}
	return table.List()
}

func router(picker Picker) *Router {
	return &Router{
		Filters: []Filter{Serviceable{Now: func() time.Time { return now }, MaxAge: time.Minute, Drained: func(id string) bool { return id == "engine-006" }}, HoldsVersion{}},
		Scorers: []Weighted{{LoadScorer{}, 4}, {VersionScorer{}, 2}, {AffinityScorer{}, 1}, {ZoneScorer{}, 0.5}},
		Picker:  picker,
	}
}

func wanted() *Requirements {
	return &Requirements{Arm: experiment.Arm{Policy: "p", FirstVersion: 2}, TargetVersion: 2, Zone: "zone-0"}
}

func TestFiltersKeepWorkOffReplicas(t *testing.T) {
	replicas := fleet(8, func(index int, digest *replicaload.Digest) {
		switch index {
		case 0:
			digest.Leaving = true
		case 1:
			digest.Failed = true
		case 2:
			digest.Held = nil
		case 3:
			digest.Held = []*controlv1.HeldVersion{{Policy: "p", Active: 1}}
		}
	})
	for range 3 {
		replicas[4].Failed(now)
	}
	request := wanted()
	request.Excluded = []string{"engine-005"}
	for range 50 {
		must.Eq(t, "engine-007", router(TwoChoices{}).Route(request, replicas).Digest().ID)
	}
	must.Nil(t, router(TwoChoices{}).Route(&Requirements{Arm: experiment.Arm{Policy: "other"}}, replicas))
}

func TestScorers(t *testing.T) {
	digest := &replicaload.Digest{ID: "a", Zone: "zone-0"}
	cases := []struct {
		name          string
		scorer        Scorer
		better, worse Candidate
	}{
		{"less load", LoadScorer{}, Candidate{Load: 0.1}, Candidate{Load: 0.9}},
		{"newer version", VersionScorer{}, Candidate{Version: 2}, Candidate{Version: 1}},
		{"own zone", ZoneScorer{}, Candidate{Digest: digest}, Candidate{Digest: &replicaload.Digest{Zone: "zone-1"}}},
		{"warm cache", AffinityScorer{}, Candidate{Digest: digest, Affinity: true}, Candidate{Digest: digest}},
		{"a full replica's cache does not count", AffinityScorer{}, Candidate{Digest: digest, Affinity: true}, Candidate{Digest: digest, Affinity: true, Load: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			must.Greater(t, test.scorer.Score(wanted(), &test.worse), test.scorer.Score(wanted(), &test.better))
		})
	}
}

// Many nodes that route by the same outdated digests must not overload one replica. Choosing the least reported load does;
// two random choices spread the requests.
func TestNoHerdingOnOldDigests(t *testing.T) {
	most := func(picker Picker) int {
		taken := make(map[string]int)
		for range 51 {
			replicas := fleet(107, func(index int, digest *replicaload.Digest) { digest.Running = index % 5 })
			for range 4 {
				chosen := router(picker).Route(wanted(), replicas)
				chosen.Begin()
				taken[chosen.Digest().ID]++
			}
		}
		greatest := 0
		for _, count := range taken {
			greatest = max(greatest, count)
		}
		return greatest
	}
	random := TwoChoices{Random: rand.New(rand.NewPCG(1, 1))}
	must.Less(t, 12, most(random))
	must.Eq(t, 204, most(LeastReported{}), must.Sprint("the baseline overloads one replica"))
}

func TestTheSamePrefixGoesToOneReplicaUntilItIsFull(t *testing.T) {
	replicas := fleet(107, nil)
	request := wanted()
	request.PrefixKey = "a prompt that many share"
	first := router(TwoChoices{}).Route(request, replicas)
	for range 10 {
		must.Eq(t, first, router(TwoChoices{}).Route(request, replicas))
	}
	for range 64 {
		first.Begin()
	}
	must.NotEq(t, first, router(TwoChoices{}).Route(request, replicas))
}

func BenchmarkRoute(b *testing.B) {
	for _, count := range []int{107, 750} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			replicas := fleet(count, nil)
			request := wanted()
			request.PrefixKey = "a prompt that many share"
			route := router(TwoChoices{})
			b.ReportAllocs()
			for b.Loop() {
				route.Route(request, replicas)
			}
		})
	}
}
