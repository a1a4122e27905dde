// Package weights brings the replicas of a service to the versions of weights that trainers name: one node at a time orders
// replicas, a few load at once, and each model has its own replicas.
package weights

import (
	"cmp"
	"slices"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Targets are the newest named version of each model.
type Targets map[string]int64

// Step is an order that is due.
type Step struct {
	Replica *catalog.Replica
	Model   string
	Version int64
}

// Planner decides which replica runs which model, and which is ordered next. It is pure; its caller serializes calls.
type Planner struct {
	// assigned is the model of each replica, kept as long as it stays balanced.
	assigned map[string]string
}

// NewPlanner returns a planner without assignments.
func NewPlanner() *Planner { return &Planner{assigned: make(map[string]string)} }

// Plan returns the orders that are due for a service, the furthest behind first. Replicas in busy have an order in progress.
func (planner *Planner) Plan(models []string, replicas []*catalog.Replica, targets Targets, busy func(id string) bool) []Step {
	planner.assign(models, replicas, targets)
	var steps []Step
	for _, replica := range replicas {
		model := planner.assigned[replica.ID]
		target := targets[model]
		if replica.Draining || model == "" || busy(replica.ID) || replica.Version(model) >= target {
			continue
		}
		steps = append(steps, Step{Replica: replica, Model: model, Version: target})
	}
	slices.SortStableFunc(steps, func(a, b Step) int {
		return cmp.Compare(b.Version-b.Replica.Version(b.Model), a.Version-a.Replica.Version(a.Model))
	})
	return steps
}

// assign gives every replica a model: as many replicas to each as can be, and to each model those that lag least.
func (planner *Planner) assign(models []string, replicas []*catalog.Replica, targets Targets) {
	present := make(map[string]bool, len(replicas))
	count := make(map[string]int, len(models))
	var free []*catalog.Replica
	for _, replica := range replicas {
		present[replica.ID] = true
		if replica.Draining {
			continue
		}
		model, known := planner.assigned[replica.ID]
		if known && slices.Contains(models, model) {
			count[model]++
			continue
		}
		free = append(free, replica)
	}
	for id := range planner.assigned {
		if !present[id] {
			delete(planner.assigned, id)
		}
	}
	planner.assignFree(models, free, targets, count)
	planner.balance(models, replicas, targets, count)
}

// assignFree gives replicas without a model to the models that have the fewest, those with the least lag first.
func (planner *Planner) assignFree(models []string, free []*catalog.Replica, targets Targets, count map[string]int) {
	for len(free) > 0 && len(models) > 0 {
		model := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
		best := slices.IndexFunc(free, func(replica *catalog.Replica) bool {
			return lag(replica, model, targets) == leastLag(free, model, targets)
		})
		planner.assigned[free[best].ID] = model
		count[model]++
		free = slices.Delete(free, best, best+1)
	}
}

// balance moves a replica while one model has two more than another.
func (planner *Planner) balance(models []string, replicas []*catalog.Replica, targets Targets, count map[string]int) {
	for len(models) > 1 {
		few := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
		many := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
		if count[many]-count[few] < 2 {
			return
		}
		var movable []*catalog.Replica
		for _, replica := range replicas {
			if planner.assigned[replica.ID] == many && !replica.Draining {
				movable = append(movable, replica)
			}
		}
		moved := slices.MinFunc(movable, func(a, b *catalog.Replica) int {
			return cmp.Compare(lag(a, few, targets), lag(b, few, targets))
		})
		planner.assigned[moved.ID] = few
		count[many]--
		count[few]++
	}
}

func lag(replica *catalog.Replica, model string, targets Targets) int64 {
	return max(0, targets[model]-replica.Version(model))
}

func leastLag(replicas []*catalog.Replica, model string, targets Targets) int64 {
	least := lag(replicas[0], model, targets)
	for _, replica := range replicas[1:] {
		least = min(least, lag(replica, model, targets))
	}
	return least
}
