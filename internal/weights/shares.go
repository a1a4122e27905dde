package weights

import (
	"math"
)

// sustainableReplicas returns how many replicas all models can have in total, divided by fractions, so that loads keep up if half of
// a model's replicas load each of its versions.
func (budget LoadBudget) sustainableReplicas(fractions map[string]float64, targets Targets) float64 {
	perSecond := 0.0 // loads per second for each replica in total
	for model, fraction := range fractions {
		interval := targets[model].Interval
		if interval <= 0 {
			interval = defaultInterval
		}
		perSecond += fraction / versionsPerLoad / interval.Seconds()
	}
	return budgetShare * float64(budget.Concurrency) / budget.LoadTime.Seconds() / perSecond
}

// versionsPerLoad is the number of versions per load of one replica if half of the replicas load each version.
const versionsPerLoad = 2

const (
	// minWorkRatio and maxWorkRatio bound the work of a model's jobs relative to the mean of all models.
	minWorkRatio = 0.5
	maxWorkRatio = 2.0
)

// fractionsOf returns the fraction of the replicas that each model is due by the work of its jobs. Models whose work is unknown
// count as average.
func fractionsOf(models []string, targets Targets) map[string]float64 {
	known, count := 0.0, 0
	for _, model := range models {
		if targets[model].Work > 0 {
			known += targets[model].Work
			count++
		}
	}
	fractions, total := make(map[string]float64, len(models)), 0.0
	for _, model := range models {
		fraction := 1.0
		if work := targets[model].Work; work > 0 {
			fraction = min(maxWorkRatio, max(minWorkRatio, work*float64(count)/known))
		}
		fractions[model] = fraction
		total += fraction
	}
	for model := range fractions {
		fractions[model] /= total
	}
	return fractions
}

// itemsPerSlot is the intended number of items for each slot of the replicas that can run a model's newest jobs. At half load a
// step continues without waiting after the loss of half of these replicas, and engines that slow down with their batch run faster.
const itemsPerSlot = 0.5

// neededReplicas returns how many replicas the open jobs of a model need. If each version is loaded by only half of the replicas,
// twice as many are needed. The number is unlimited if the jobs are unknown.
func (target Target) neededReplicas(slots int) int {
	if target.Items <= 0 {
		return math.MaxInt
	}
	usable := int(math.Ceil(float64(target.Items)/itemsPerSlot/float64(max(slots, 1)) - roundingTolerance))
	if target.Lag >= 1 {
		usable *= versionsPerLoad
	}
	return max(minReplicas, usable)
}

// shares returns how many replicas each model is assigned: its fraction, or up to twice that if each version is loaded by half of
// them and loads can keep up; but no more than its jobs need.
func (planner *Planner) shares(models []string, replicas, slots int, targets Targets) map[string]int {
	fractions := fractionsOf(models, targets)
	sustainable := planner.Budget.sustainableReplicas(fractions, targets)
	shares := make(map[string]int, len(models))
	for _, model := range models {
		share := int(math.Ceil(fractions[model]*float64(replicas) - roundingTolerance))
		if targets[model].Lag >= 1 {
			share = min(2*share, max(minReplicas, int(fractions[model]*sustainable+roundingTolerance)))
		}
		shares[model] = min(share, replicas, targets[model].neededReplicas(slots))
	}
	return shares
}

// roundingTolerance absorbs rounding errors in sums of fractions.
const roundingTolerance = 1e-6
