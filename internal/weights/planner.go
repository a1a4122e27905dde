// Package weights brings the replicas of a service to the versions of weights that trainers name: one node at a time orders
// replicas, a few load at once, and each model has its own share of the replicas.
package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Target is the newest named version of a model, and how many versions older its newest jobs accept.
type Target struct {
	Version int64
	Lag     int64
	// Interval is the usual time between two versions; zero when not known.
	Interval time.Duration
	// Work is the expected output of a job in tokens; zero when not known.
	Work float64
}

// Targets are the targets of models.
type Targets map[string]Target

// Step is an order that is due.
type Step struct {
	Replica *catalog.Replica
	Model   string
	Version int64
	// covered is the share of the model's replicas that the newest jobs can use before this step.
	covered float64
}

// Planner decides which replicas run which model, and which is ordered next. It is pure; its caller serializes calls.
//
// Where jobs accept the version before the newest, only half of a model's replicas load each version: those that the newest
// jobs cannot use any more. A load then never takes a replica from work, and with as many loads each model has twice the
// replicas.
type Planner struct {
	// assigned are the models of each replica, kept as long as they stay balanced.
	assigned map[string][]string
	// Budget is what loads may take.
	Budget LoadBudget
}

// LoadBudget is what loads may take: replicas load only a few at a time, and a model whose replicas cannot all load within the
// time between two versions falls behind.
type LoadBudget struct {
	// AtOnce is how many replicas load at the same time, LoadTime how long a load takes.
	AtOnce   int
	LoadTime time.Duration
}

const (
	// budgetShare is the share of the time that loads may use.
	budgetShare = 0.75
	// defaultInterval stands for the time between two versions until it is known.
	defaultInterval = 4 * time.Second
	// leastShare is the least number of replicas of a model, so that one can load while another works.
	leastShare = 2
)

// replicas returns how many replicas the models can have together, each its part of them, if half of each model's load each of
// its versions.
func (budget LoadBudget) replicas(parts map[string]float64, targets Targets) float64 {
	perSecond := 0.0 // loads that one replica of each model, divided by parts, needs
	for model, part := range parts {
		interval := targets[model].Interval
		if interval <= 0 {
			interval = defaultInterval
		}
		perSecond += part / loadsShareOfVersions / interval.Seconds()
	}
	return budgetShare * float64(budget.AtOnce) / budget.LoadTime.Seconds() / perSecond
}

// loadsShareOfVersions is how many versions go by for each load of a replica.
const loadsShareOfVersions = 2

const (
	// leastPart and mostPart bound a model's part of the replicas against an equal one.
	leastPart = 0.5
	mostPart  = 2.0
)

// partsOf returns the part of the replicas that each model is due by the work of its jobs; equal ones where that is not known.
func partsOf(models []string, targets Targets) map[string]float64 {
	known, count := 0.0, 0
	for _, model := range models {
		if targets[model].Work > 0 {
			known += targets[model].Work
			count++
		}
	}
	parts, total := make(map[string]float64, len(models)), 0.0
	for _, model := range models {
		part := 1.0
		if work := targets[model].Work; work > 0 {
			part = min(mostPart, max(leastPart, work*float64(count)/known))
		}
		parts[model] = part
		total += part
	}
	for model := range parts {
		parts[model] /= total
	}
	return parts
}

// NewPlanner returns a planner without assignments.
func NewPlanner(budget LoadBudget) *Planner {
	return &Planner{assigned: make(map[string][]string), Budget: budget}
}

// Plan returns the orders that are due for a service: first those of the models with the smallest share of replicas that the newest
// jobs can use, so that a model whose versions come fast doesn't take all loads. Replicas in busy have an order in progress.
func (planner *Planner) Plan(models []string, replicas []*catalog.Replica, targets Targets, busy func(id string) bool) []Step {
	present := slices.DeleteFunc(slices.Clone(replicas), func(replica *catalog.Replica) bool { return replica.Draining })
	planner.assign(models, present, targets)
	var steps []Step
	for _, model := range models {
		steps = append(steps, planner.planModel(model, present, targets[model], busy)...)
	}
	slices.SortStableFunc(steps, func(a, b Step) int {
		return cmp.Or(
			cmp.Compare(a.covered, b.covered),
			cmp.Compare(b.Version-b.Replica.Version(b.Model), a.Version-a.Replica.Version(a.Model)),
		)
	})
	return withoutRepeats(steps)
}

// planModel returns the orders that are due for a model: for replicas that new jobs cannot use, and for others until enough
// are ready for the jobs after those.
func (planner *Planner) planModel(model string, replicas []*catalog.Replica, target Target, busy func(id string) bool) []Step {
	members := planner.members(model, replicas)
	ready, usable := 0, 0
	for _, replica := range members {
		if replica.Version(model) >= target.Version {
			ready++
		}
		if replica.Version(model) >= target.Version-target.Lag {
			usable++
		}
	}
	slices.SortStableFunc(members, func(a, b *catalog.Replica) int { return cmp.Compare(a.Version(model), b.Version(model)) })
	wanted := len(members)
	if target.Lag >= 1 {
		wanted = (len(members) + 1) / 2
	}
	var steps []Step
	for _, replica := range members {
		version := replica.Version(model)
		due := version < target.Version-target.Lag || (version < target.Version && ready < wanted)
		if !due {
			continue
		}
		ready++
		covered := float64(usable) / float64(len(members))
		if version < target.Version-target.Lag {
			usable++
		}
		if !busy(replica.ID) {
			steps = append(steps, Step{Replica: replica, Model: model, Version: target.Version, covered: covered})
		}
	}
	return steps
}

// withoutRepeats keeps the first step of each replica: it takes one order at a time.
func withoutRepeats(steps []Step) []Step {
	seen := make(map[string]bool, len(steps))
	return slices.DeleteFunc(steps, func(step Step) bool {
		repeated := seen[step.Replica.ID]
		seen[step.Replica.ID] = true
		return repeated
	})
}

// shares returns how many replicas each model has: its part; up to twice that where each version is loaded by half of them, as
// far as loads can keep up.
func (planner *Planner) shares(models []string, replicas int, targets Targets) map[string]int {
	parts := partsOf(models, targets)
	together := planner.Budget.replicas(parts, targets)
	shares := make(map[string]int, len(models))
	for _, model := range models {
		share := int(math.Ceil(parts[model]*float64(replicas) - rounding))
		if targets[model].Lag >= 1 {
			share = min(2*share, max(leastShare, int(parts[model]*together+rounding)))
		}
		shares[model] = min(share, replicas)
	}
	return shares
}

// rounding covers what sums of parts lose.
const rounding = 1e-6

// assign gives each model its share of the replicas: those that it has, then those with the fewest models and the least lag.
func (planner *Planner) assign(models []string, replicas []*catalog.Replica, targets Targets) {
	kept := make(map[string][]string, len(replicas))
	for _, replica := range replicas {
		kept[replica.ID] = slices.DeleteFunc(planner.assigned[replica.ID], func(model string) bool { return !slices.Contains(models, model) })
	}
	planner.assigned = kept
	shares := planner.shares(models, len(replicas), targets)
	for _, model := range models {
		planner.trim(model, replicas, shares[model]+trimSlack)
	}
	for _, model := range models {
		planner.extend(model, replicas, shares[model], targets[model])
	}
	planner.spread(replicas)
}

// trimSlack is how many replicas above its share a model keeps, since shares follow the work of jobs, which varies.
const trimSlack = 1

func (planner *Planner) members(model string, replicas []*catalog.Replica) []*catalog.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(replica *catalog.Replica) bool {
		return !slices.Contains(planner.assigned[replica.ID], model)
	})
}

// trim takes replicas from a model that has too many, those with the most models first.
func (planner *Planner) trim(model string, replicas []*catalog.Replica, most int) {
	members := planner.members(model, replicas)
	slices.SortStableFunc(members, func(a, b *catalog.Replica) int {
		return cmp.Compare(len(planner.assigned[b.ID]), len(planner.assigned[a.ID]))
	})
	for _, replica := range members[:max(0, len(members)-most)] {
		planner.unassign(replica.ID, model)
	}
}

func (planner *Planner) unassign(id, model string) {
	planner.assigned[id] = slices.DeleteFunc(planner.assigned[id], func(held string) bool { return held == model })
}

// extend gives replicas to a model that has too few.
func (planner *Planner) extend(model string, replicas []*catalog.Replica, wanted int, target Target) {
	lacking := wanted - len(planner.members(model, replicas))
	free := slices.DeleteFunc(slices.Clone(replicas), func(replica *catalog.Replica) bool {
		return slices.Contains(planner.assigned[replica.ID], model)
	})
	slices.SortStableFunc(free, func(a, b *catalog.Replica) int {
		return cmp.Or(
			cmp.Compare(len(planner.assigned[a.ID]), len(planner.assigned[b.ID])),
			cmp.Compare(lag(a, model, target), lag(b, model, target)),
		)
	})
	for _, replica := range free[:max(0, min(lacking, len(free)))] {
		planner.assigned[replica.ID] = append(planner.assigned[replica.ID], model)
	}
}

// spread moves models from replicas with two more than others have.
func (planner *Planner) spread(replicas []*catalog.Replica) {
	for range replicas {
		if len(replicas) == 0 {
			return
		}
		byCount := func(a, b *catalog.Replica) int {
			return cmp.Compare(len(planner.assigned[a.ID]), len(planner.assigned[b.ID]))
		}
		few, many := slices.MinFunc(replicas, byCount), slices.MaxFunc(replicas, byCount)
		if len(planner.assigned[many.ID])-len(planner.assigned[few.ID]) < 2 {
			return
		}
		for _, model := range planner.assigned[many.ID] {
			if !slices.Contains(planner.assigned[few.ID], model) {
				planner.unassign(many.ID, model)
				planner.assigned[few.ID] = append(planner.assigned[few.ID], model)
				break
			}
		}
	}
}

func lag(replica *catalog.Replica, model string, target Target) int64 {
	return max(0, target.Version-replica.Version(model))
}
