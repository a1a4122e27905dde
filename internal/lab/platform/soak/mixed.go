package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Build is one of the two programs that a deployment runs during an upgrade.
type Build string

// Builds of the program.
const (
	BuildCurrent    Build = "current"    // built from the current sources
	BuildProduction Build = "production" // the build that runs in production
)

const (
	// upgradeStream is the random stream of the upgrades. A stream of its own leaves the other faults of a seed unchanged.
	upgradeStream = 0xb11d
	// minUpgradeGap and maxUpgradeGap bound the time between the upgrades of two nodes.
	minUpgradeGap = 400 * time.Millisecond
	maxUpgradeGap = 2500 * time.Millisecond
	// nodeCount is the number of nodes.
	nodeCount = frontCount + ordererCount
)

// upgradeCourse is the course that an upgrade of the deployment takes.
type upgradeCourse int

// Courses of an upgrade, in the order in which their numbers are drawn.
const (
	courseComplete   upgradeCourse = iota // all nodes, one after the other
	courseHalted                          // half of the nodes; the deployment stays mixed
	courseRolledBack                      // half of the nodes, which are then rolled back
	courseAlternate                       // one node is upgraded and rolled back twice, then all are upgraded
	courseCount
)

// DrawMixed returns the plan of a seed in which an upgrade runs alongside the other faults. All nodes start on the production build; for one seed in
// four, one or two of them start on the current build. The plan has no faults of usage reporting, which the production build does not support.
func DrawMixed(seed uint64, length time.Duration) Plan {
	plan := Draw(seed, length)
	plan.Events = slices.DeleteFunc(plan.Events, func(event Event) bool { return event.Kind == KindCloudDown || event.Kind == KindCloudLost })
	random := rand.New(rand.NewPCG(seed, upgradeStream))
	plan.Builds = make([]Build, nodeCount)
	for index := range plan.Builds {
		plan.Builds[index] = BuildProduction
	}
	if random.IntN(4) == 0 {
		plan.Builds[random.IntN(nodeCount)] = BuildCurrent
		plan.Builds[random.IntN(nodeCount)] = BuildCurrent
	}
	gap := minUpgradeGap + time.Duration(random.Int64N(int64(maxUpgradeGap-minUpgradeGap)))
	at := firstFaultAt / 2
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

// upgradeStep restarts a node on a build.
type upgradeStep struct {
	node  int
	build Build
}

func upgradeSteps(random *rand.Rand) []upgradeStep {
	order := random.Perm(nodeCount)
	half := order[:nodeCount/2]
	to := func(nodes []int, build Build) []upgradeStep {
		steps := make([]upgradeStep, 0, len(nodes))
		for _, node := range nodes {
			steps = append(steps, upgradeStep{node, build})
		}
		return steps
	}
	switch upgradeCourse(random.IntN(int(courseCount))) {
	case courseHalted:
		return to(half, BuildCurrent)
	case courseRolledBack:
		return append(to(half, BuildCurrent), to(half, BuildProduction)...)
	case courseAlternate:
		one := order[:1]
		return slices.Concat(to(one, BuildCurrent), to(one, BuildProduction), to(one, BuildCurrent), to(one, BuildProduction), to(order, BuildCurrent))
	}
	return to(order, BuildCurrent)
}

// upgrade shuts a node down gracefully and restarts it on the build of the event.
func (injector *injector) upgrade(event Event, node *Node) {
	if !injector.claim(node) {
		return // the node keeps its build
	}
	defer injector.release(node)
	node.NoteFault()
	defer node.NoteFault()
	node.SetBinary(injector.deployment.programs[event.Build])
	restart(node, syscall.SIGTERM, 0)
}
