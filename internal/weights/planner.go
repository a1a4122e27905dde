// Package weights distributes published versions of model weights to the replicas of a service. One elected node at a time orders
// replicas to load versions. Few replicas load at once, and each model is assigned its own share of the replicas.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Target is the newest published version of a model, with the lag and the size of its jobs.
type Target struct {
	Version int64
	// Lag is by how many versions a replica may be behind Version and still serve the newest jobs of the model.
	Lag int64
	// Interval is the typical time between two versions; zero if unknown.
	Interval time.Duration
	// Work is the expected output of a job in tokens; zero if unknown.
	Work float64
	// Items is the recent peak of the number of items in the model's open jobs; zero if unknown.
	Items int
}

// Targets are the targets by model.
type Targets map[string]Target

// Step is an order that is due.
type Step struct {
	Replica *catalog.Replica
	Model   string
	Version int64
	// usableShare is the fraction of the model's replicas that the newest jobs can use before this step.
	usableShare float64
}

// Fleet is the replicas of a service as a planner sees them.
type Fleet struct {
	Replicas catalog.ReplicaList
	// Version returns the newest known version of a model on a replica.
	Version func(replica *catalog.Replica, model string) int64
	// Busy reports whether a replica has an order in progress or is paused.
	Busy func(id string) bool
}

// Planner decides which models each replica runs, and which replica is ordered to load next. It makes no calls and starts no
// goroutines; its caller serializes calls.
//
// A model is assigned as many replicas as its jobs need, if there are enough. The others are left alone: the cost of a round grows
// with the number of assigned replicas, and all replicas are scanned only if a model lacks some.
//
// If jobs accept the version before the newest, only half of a model's replicas load each version: those that the newest jobs can
// no longer use. A load then never interrupts a usable replica, and the same number of loads serves twice as many replicas.
type Planner struct {
	// assigned are the models of each replica that has any. Assignments are kept as long as they are balanced.
	assigned map[string][]string
	// Budget bounds the loads.
	Budget LoadBudget
}

// LoadBudget bounds the loads of a service. Few replicas load at the same time; a model whose replicas cannot all load within the
// interval between two versions falls behind.
type LoadBudget struct {
	// Concurrency is how many replicas load at the same time, LoadTime how long one load takes.
	Concurrency int
	LoadTime    time.Duration
}

const (
	// budgetShare is the fraction of the loading capacity that the plan uses.
	budgetShare = 0.75
	// defaultInterval is the assumed time between two versions until it is measured.
	defaultInterval = 4 * time.Second
	// minReplicas is the least number of replicas of a model, so that one can load while another serves.
	minReplicas = 2
)

// NewPlanner returns a planner without assignments.
func NewPlanner(budget LoadBudget) *Planner {
	return &Planner{assigned: make(map[string][]string), Budget: budget}
}

// Plan returns the orders that are due for a service. Models with the smallest usable share come first, so that a model with
// frequent versions does not use up all loads.
func (planner *Planner) Plan(models []string, fleet Fleet, targets Targets) []Step {
	planner.assign(models, fleet, targets)
	var steps []Step
	for _, model := range models {
		steps = append(steps, planner.planModel(model, fleet, targets[model])...)
	}
	lag := func(step Step) int64 { return step.Version - fleet.Version(step.Replica, step.Model) }
	slices.SortStableFunc(steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.usableShare, b.usableShare), cmp.Compare(lag(b), lag(a)))
	})
	return withoutRepeats(steps)
}

// planModel returns the orders that are due for a model: for replicas that the newest jobs cannot use, and for others until enough
// have the newest version for the jobs after those.
func (planner *Planner) planModel(model string, fleet Fleet, target Target) []Step {
	members := planner.members(model, fleet)
	ready, usable := 0, 0
	for _, replica := range members {
		if fleet.Version(replica, model) >= target.Version {
			ready++
		}
		if fleet.Version(replica, model) >= target.Version-target.Lag {
			usable++
		}
	}
	slices.SortStableFunc(members, func(a, b *catalog.Replica) int { return cmp.Compare(fleet.Version(a, model), fleet.Version(b, model)) })
	readyTarget := len(members)
	if target.Lag >= 1 {
		readyTarget = (len(members) + 1) / 2
	}
	var steps []Step
	for _, replica := range members {
		version := fleet.Version(replica, model)
		due := version < target.Version-target.Lag || (version < target.Version && ready < readyTarget)
		if !due {
			continue
		}
		ready++
		usableShare := float64(usable) / float64(len(members))
		if version < target.Version-target.Lag {
			usable++
		}
		if !fleet.Busy(replica.ID) {
			steps = append(steps, Step{Replica: replica, Model: model, Version: target.Version, usableShare: usableShare})
		}
	}
	return steps
}

// withoutRepeats keeps the first step of each replica, since a replica takes one order at a time.
func withoutRepeats(steps []Step) []Step {
	seen := make(map[string]bool, len(steps))
	return slices.DeleteFunc(steps, func(step Step) bool {
		repeated := seen[step.Replica.ID]
		seen[step.Replica.ID] = true
		return repeated
	})
}
