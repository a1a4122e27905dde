package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Build is one of the two programs of a deployment that is upgraded.
type Build string

// The builds.
const (
	BuildCurrent    Build = "current"    // the program of the sources as they stand
	BuildProduction Build = "production" // the one that runs in production
)

const (
	// mixedStream is the stream of chance for upgrades, drawn apart from the other faults.
	mixedStream = 0xb11d
	// shortestUpgradeGap and longestUpgradeGap are between two machines that start again on another build, one after the other.
	shortestUpgradeGap = 400 * time.Millisecond
	longestUpgradeGap  = 2500 * time.Millisecond
	// nodesOfWorld is how many machines there are.
	nodesOfWorld = fronts + orderers
)

// upgradeCourse is what becomes of an upgrade.
type upgradeCourse int

// The courses of an upgrade, by which they are drawn.
const (
	courseForth     upgradeCourse = iota // all machines, one after the other
	courseHalted                         // half of them: the deployment stays mixed
	courseBack                           // half of them, which are then taken back
	courseAlternate                      // one machine to and fro, then all
	courses
)

// DrawMixed returns the plan of a seed in which machines start again on another build beside the other faults. It begins in production, but for some
// machines of one seed in four.
func DrawMixed(seed uint64, length time.Duration) Plan {
	plan := Draw(seed, length)
	plan.Events = slices.DeleteFunc(plan.Events, func(event Event) bool { return event.Kind == KindCloudDown || event.Kind == KindCloudLost })
	random := rand.New(rand.NewPCG(seed, mixedStream))
	plan.Builds = make([]Build, nodesOfWorld)
	for index := range plan.Builds {
		plan.Builds[index] = BuildProduction
	}
	if random.IntN(4) == 0 {
		plan.Builds[random.IntN(nodesOfWorld)] = BuildCurrent
		plan.Builds[random.IntN(nodesOfWorld)] = BuildCurrent
	}
	gap := shortestUpgradeGap + time.Duration(random.Int64N(int64(longestUpgradeGap-shortestUpgradeGap)))
	at := firstFault / 2
	for _, step := range upgradeSteps(random) {
		if at >= length {
			break
		}
		plan.Events = append(plan.Events, Event{Kind: KindUpgrade, At: at, Target: step.node, Build: step.build})
		at += gap
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// upgradeStep has a machine start again on a build.
type upgradeStep struct {
	node  int
	build Build
}

func upgradeSteps(random *rand.Rand) []upgradeStep {
	order := random.Perm(nodesOfWorld)
	half := order[:nodesOfWorld/2]
	to := func(nodes []int, build Build) []upgradeStep {
		steps := make([]upgradeStep, 0, len(nodes))
		for _, node := range nodes {
			steps = append(steps, upgradeStep{node, build})
		}
		return steps
	}
	switch upgradeCourse(random.IntN(int(courses))) {
	case courseHalted:
		return to(half, BuildCurrent)
	case courseBack:
		return append(to(half, BuildCurrent), to(half, BuildProduction)...)
	case courseAlternate:
		one := order[:1]
		return slices.Concat(to(one, BuildCurrent), to(one, BuildProduction), to(one, BuildCurrent), to(one, BuildProduction), to(order, BuildCurrent))
	}
	return to(order, BuildCurrent)
}

// upgrade stops a machine as planned and starts it again on a build.
func (injector *injector) upgrade(event Event, node *Node) {
	if !injector.claim(node) {
		return // it stays on the build that it has
	}
	defer injector.release(node)
	node.Fault()
	defer node.Fault()
	node.Use(injector.world.programs[event.Build])
	restart(node, syscall.SIGTERM, 0)
}
