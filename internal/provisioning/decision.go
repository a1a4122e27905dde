// Package provisioning decides how many replicas each service has in each zone, and orders them from the platform. Only the holder of the
// orderer's lease orders. An order is stored before it is sent, so that a successor sends the same order.
package provisioning

import (
	"cmp"
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Pool is the replicas of one kind that a service has in a zone.
type Pool struct {
	Zone string
	Spot bool
	// Ordered is the number of replicas in force at the platform, as far as is known.
	Ordered int
	// Expected is the number of replicas that serve or will soon.
	Expected int
	// Age is the time since the last order. Lowered is true if that order lowered the number.
	Age     time.Duration
	Lowered bool
	// Unanswered is true if the answer to the last order is still awaited, Unsent if it has not been sent in this term.
	Unanswered, Unsent bool
	// Unavailable is true if the zone had none to give or lost those that it had, a short time ago.
	Unavailable bool
}

// Service describes a service whose replicas can be ordered.
type Service struct {
	Scaling catalog.Scaling
	// Slots is the number of requests that a replica runs at a time.
	Slots int
	// BatchOnly is true if all requests of the service are items of jobs, which can move unless Immovable is set: items of a single version
	// stay at their replica.
	BatchOnly, Immovable bool
}

// Situation is what a decision about one service rests on.
type Situation struct {
	Service
	Pools []Pool
	// Need is the present need and Peak the highest one in the last LowerAfter. PeakKnown is false if the load was not observed for that long.
	Need, Peak Need
	PeakKnown  bool
}

// Change is a decision to change the ordered number of a pool.
type Change struct {
	Zone   string
	Spot   bool
	Count  int
	Reason Reason
}

// Reason says why an order was given.
type Reason string

// Reasons for orders.
const (
	ReasonBounds Reason = "bounds"
	ReasonLoad   Reason = "load"
	ReasonIdle   Reason = "idle"
)

const (
	// maxSpotShare is the part of the movable load that spot replicas are ordered for. A zone can lose all of them at once.
	maxSpotShare = 0.5
	// minLowerAfter and lowerBoots give the time for which the load must have been low before replicas are given up. A replica that is ordered
	// again costs its boot time without service, and starts with an empty prefix cache: at ten boot times, this is a tenth of what was saved.
	minLowerAfter = 45 * time.Second
	lowerBoots    = 10
	// unansweredLimit is how long an order is sent again before another may take its place.
	unansweredLimit = 15 * time.Second
)

// LowerAfter returns the time for which the load must have been low before replicas are given up.
func LowerAfter(bootTime time.Duration) time.Duration { return max(minLowerAfter, lowerBoots*bootTime) }

// Decide returns the changes to the pools of a service; none if their number is adequate. It raises as soon as the load does not fit, and lowers
// only what the load has not needed for LowerAfter and would not need if a zone failed.
func Decide(situation Situation) []Change {
	plan := newPlan(situation)
	switch {
	case slices.ContainsFunc(situation.Pools, func(pool Pool) bool { return pool.Unsent && pool.Age < unansweredLimit }):
		return nil // the answers to the orders of one decision are awaited together
	case plan.keepBounds():
		return plan.changes(ReasonBounds)
	case plan.raise():
		return plan.changes(ReasonLoad)
	case plan.lower():
		return plan.changes(ReasonIdle)
	}
	return nil
}

// plan is the working state of one decision.
type plan struct {
	Situation
	pools []*plannedPool
	// perReplica is the number of requests that a replica runs at a time.
	perReplica float64
}

type plannedPool struct {
	Pool
	// count is the planned number, and base the number from which the plan starts.
	base, count int
	// repeated is true if the order in force is sent again, as replicas were lost since.
	repeated bool
}

func newPlan(situation Situation) *plan {
	created := &plan{Situation: situation, perReplica: float64(max(1, situation.Slots))}
	for _, pool := range situation.Pools {
		created.pools = append(created.pools, &plannedPool{Pool: pool})
	}
	slices.SortFunc(created.pools, func(a, b *plannedPool) int {
		return cmp.Or(cmp.Compare(created.price(a), created.price(b)), cmp.Compare(a.Zone, b.Zone), compareKinds(a, b))
	})
	return created
}

// compareKinds orders on-demand pools before spot pools.
func compareKinds(a, b *plannedPool) int {
	switch {
	case a.Spot == b.Spot:
		return 0
	case b.Spot:
		return -1
	}
	return 1
}

// startFrom sets the numbers from which the plan starts.
func (plan *plan) startFrom(base func(*plannedPool) int) {
	for _, pool := range plan.pools {
		pool.base = base(pool)
		pool.count = pool.base
	}
}

// price returns what a replica of the zone costs in a second. A zone without a price counts as the most expensive one.
func (plan *plan) price(pool *plannedPool) float64 {
	if price, known := plan.Scaling.ZonePrices[pool.Zone]; known {
		return price
	}
	highest := 0.0
	for _, price := range plan.Scaling.ZonePrices {
		highest = max(highest, price)
	}
	return highest
}

// isKnown reports whether replicas can be had in the zone of a pool, as far as the configuration tells: where it has prices, it prices every zone. A
// registered replica that names no zone, or a wrong one, still serves, but makes a pool that the platform does not know.
func (plan *plan) isKnown(pool *plannedPool) bool {
	if len(plan.Scaling.ZonePrices) == 0 {
		return pool.Zone != ""
	}
	_, priced := plan.Scaling.ZonePrices[pool.Zone]
	return priced
}

// zoneCount returns the planned number of replicas of both kinds in a zone.
func (plan *plan) zoneCount(zone string) int {
	return plan.sum(func(pool *plannedPool) int { return pool.count }, func(pool *plannedPool) bool { return pool.Zone == zone })
}

func (plan *plan) sum(value func(*plannedPool) int, selected func(*plannedPool) bool) int {
	total := 0
	for _, pool := range plan.pools {
		if selected(pool) {
			total += value(pool)
		}
	}
	return total
}

func all(*plannedPool) bool        { return true }
func onDemand(p *plannedPool) bool { return !p.Spot }
func expected(p *plannedPool) int  { return p.Expected }
func planned(p *plannedPool) int   { return p.count }

// atLeast returns the number that an order for more replicas starts from. An order that named fewer than there are would take some away.
func atLeast(p *plannedPool) int { return max(p.Ordered, p.Expected) }

// fixedSlots returns the part of a need that on-demand replicas have to serve.
func (plan *plan) fixedSlots(need Need) float64 {
	if plan.Immovable {
		return need.Slots()
	}
	movable := max(0, need.Jobs-need.Reported) // the reported part may be interactive
	if plan.BatchOnly {
		movable = need.Slots()
	}
	return need.Slots() - maxSpotShare*movable
}

// keepBounds changes the zones whose number of replicas is out of bounds.
func (plan *plan) keepBounds() bool {
	plan.startFrom(atLeast)
	changed := false
	for _, pool := range plan.pools {
		if pool.Spot || !plan.isKnown(pool) || plan.awaitsAnswer(pool.Zone) {
			continue
		}
		if missing := plan.Scaling.Minimum - plan.zoneCount(pool.Zone); missing > 0 && !pool.Unavailable {
			pool.count += missing
			changed = true
		}
	}
	if changed {
		return true
	}
	plan.startFrom(func(pool *plannedPool) int { return pool.Ordered })
	for _, spot := range []bool{true, false} { // on-demand replicas are given up last
		for _, pool := range plan.pools {
			if excess := plan.zoneCount(pool.Zone) - plan.Scaling.Maximum; pool.Spot == spot && excess > 0 && pool.count > 0 && !plan.awaitsAnswer(pool.Zone) && !plan.unavailable(pool.Zone) {
				pool.count -= min(excess, pool.count)
				changed = true
			}
		}
	}
	return changed
}

// unavailable reports whether a zone refused an order or lost replicas a short time ago. Neither kind is given up there meanwhile: on-demand
// replicas would go in place of spot replicas.
func (plan *plan) unavailable(zone string) bool {
	return slices.ContainsFunc(plan.pools, func(pool *plannedPool) bool { return pool.Zone == zone && pool.Unavailable && pool.Ordered > 0 })
}

// awaitsAnswer reports whether an order for a zone is unanswered. The sum of both kinds is uncertain until then.
func (plan *plan) awaitsAnswer(zone string) bool {
	return slices.ContainsFunc(plan.pools, func(pool *plannedPool) bool {
		return pool.Zone == zone && pool.Unanswered && pool.Age < unansweredLimit
	})
}

// raise adds replicas if the expected ones are too few for the present need.
func (plan *plan) raise() bool {
	need := plan.Need.Slots()
	fixed := plan.fixedSlots(plan.Need)
	haveTotal, haveFixed := plan.sum(expected, all), plan.sum(expected, onDemand)
	if replicasFor(need, maxUtilization, plan.perReplica) <= haveTotal && replicasFor(fixed, maxUtilization, plan.perReplica) <= haveFixed {
		return false
	}
	plan.startFrom(atLeast)
	wantTotal, wantFixed := replicasFor(need, raisedUtilization, plan.perReplica), replicasFor(fixed, raisedUtilization, plan.perReplica)
	changed := false
	for _, pool := range plan.pools {
		lacking := haveTotal < wantTotal || (!pool.Spot && haveFixed < wantFixed)
		if lost := pool.Ordered - pool.Expected; lost > 0 && lacking && plan.isKnown(pool) && !pool.Unavailable && !plan.awaitsAnswer(pool.Zone) {
			pool.repeated, changed = true, true
			haveTotal += lost
			if !pool.Spot {
				haveFixed += lost
			}
		}
	}
	for haveFixed < wantFixed && plan.addOne(false) {
		haveFixed++
		haveTotal++
		changed = true
	}
	for haveTotal < wantTotal && haveTotal-haveFixed < wantTotal-wantFixed && plan.addOne(true) {
		haveTotal++
		changed = true
	}
	for haveTotal < wantTotal && plan.addOne(false) {
		haveTotal++
		changed = true
	}
	return changed
}

// addOne adds a replica in the zone that has the fewest of the kind and can give one, the cheapest first, and in one that is not known last.
func (plan *plan) addOne(spot bool) bool {
	if spot && (plan.Scaling.SpotPrice <= 0 || plan.Scaling.SpotPrice >= 1) {
		return false
	}
	var best *plannedPool
	for _, pool := range plan.pools {
		settling := pool.Lowered && pool.Age < plan.Scaling.BootTime // a reduction is still taking effect
		if pool.Spot != spot || pool.Unavailable || settling || plan.awaitsAnswer(pool.Zone) || plan.zoneCount(pool.Zone) >= plan.Scaling.Maximum {
			continue
		}
		if best == nil || plan.isBetter(pool, best) {
			best = pool // pools are ordered by price
		}
	}
	if best == nil {
		return false
	}
	best.count++
	return true
}

// isBetter reports whether a replica is rather added to a pool than to another one.
func (plan *plan) isBetter(pool, other *plannedPool) bool {
	if known := plan.isKnown(pool); known != plan.isKnown(other) {
		return known
	}
	return pool.count < other.count
}

// lower removes the replicas that the highest recent need leaves idle.
func (plan *plan) lower() bool {
	lowerAfter := LowerAfter(plan.Scaling.BootTime)
	if !plan.PeakKnown {
		return false
	}
	for _, pool := range plan.pools {
		if pool.Unanswered || pool.Age < lowerAfter {
			return false
		}
	}
	plan.startFrom(func(pool *plannedPool) int { return min(pool.Ordered, pool.Expected) }) // lost replicas don't count
	lowered := false
	for plan.removeOne() {
		lowered = true
	}
	return lowered
}

// removeOne removes a replica of the zone with the most replicas, the most expensive first, if what remains is enough. On-demand replicas, which
// cost more, are removed before spot replicas.
func (plan *plan) removeOne() bool {
	candidates := slices.Clone(plan.pools)
	slices.Reverse(candidates) // the most expensive first
	slices.SortStableFunc(candidates, func(a, b *plannedPool) int {
		return cmp.Or(compareKinds(a, b), cmp.Compare(plan.zoneCount(b.Zone), plan.zoneCount(a.Zone)))
	})
	for _, pool := range candidates {
		if pool.count == 0 || plan.zoneCount(pool.Zone) <= plan.Scaling.Minimum {
			continue
		}
		pool.count--
		if plan.sufficient() {
			return true
		}
		pool.count++
	}
	return false
}

// sufficient reports whether the planned replicas are enough for the highest recent need, also if any one zone fails.
func (plan *plan) sufficient() bool {
	need, fixed := plan.Peak.Slots(), plan.fixedSlots(plan.Peak)
	if plan.sum(planned, all) < max(1, replicasFor(need, loweredUtilization, plan.perReplica)) ||
		plan.sum(planned, onDemand) < max(1, replicasFor(fixed, loweredUtilization, plan.perReplica)) {
		return false
	}
	zones := make(map[string]bool)
	for _, pool := range plan.pools {
		zones[pool.Zone] = true
	}
	if len(zones) < 2 {
		return true
	}
	for zone := range zones {
		elsewhere := func(pool *plannedPool) bool { return pool.Zone != zone }
		onDemandElsewhere := func(pool *plannedPool) bool { return pool.Zone != zone && !pool.Spot }
		if plan.sum(planned, elsewhere) < replicasFor(need, maxUtilization, plan.perReplica) ||
			plan.sum(planned, onDemandElsewhere) < max(1, replicasFor(fixed, maxUtilization, plan.perReplica)) {
			return false
		}
	}
	return true
}

// changes returns the pools whose number changes.
func (plan *plan) changes(reason Reason) []Change {
	var list []Change
	for _, pool := range plan.pools {
		if pool.count != pool.base || pool.repeated {
			list = append(list, Change{Zone: pool.Zone, Spot: pool.Spot, Count: pool.count, Reason: reason})
		}
	}
	return list
}
