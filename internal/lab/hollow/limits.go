package hollow

import (
	"fmt"
	"io"
	"time"
)

// Budgets of the target size; docs/CAPACITY.md has their source.
const (
	budgetProcessor  = 0.018
	budgetHeap       = 32 << 20
	budgetBytes      = 17 << 10
	budgetChange     = 6 * time.Second
	budgetActivation = 5 * time.Second
	// budgetDetection is the bound of "a few seconds" for back ends; nodes get the time to refute a suspicion too.
	budgetReplica = 6 * time.Second
	budgetNode    = 12 * time.Second
)

// Limit is a figure against its budget.
type Limit struct {
	Name   string
	Figure string
	Budget string
	Met    bool
}

// Limits holds the figures against the budgets.
func (figures Figures) Limits() []Limit {
	bytes := figures.ControlBytes + figures.PlatformBytes
	return []Limit{
		{"processor a node", fmt.Sprintf("%.2f%% of a core", figures.Processor*100), fmt.Sprintf("%.1f%%", budgetProcessor*100), figures.Processor <= budgetProcessor},
		{"memory a node", fmt.Sprintf("%.1f MB", figures.HeapBytes/(1<<20)), fmt.Sprintf("%d MB", budgetHeap>>20), figures.HeapBytes <= budgetHeap},
		{"bytes a node and second", fmt.Sprintf("%.1f KB/s", bytes/(1<<10)), fmt.Sprintf("%d KB/s", budgetBytes>>10), bytes <= budgetBytes},
		{"configuration change in force", figures.Change.String(), budgetChange.String(), within(figures.Change, budgetChange)},
		{"weights activated", figures.Activation.String(), budgetActivation.String(), within(figures.Activation, budgetActivation)},
		{"dead replica known", figures.DeadReplica.String(), budgetReplica.String(), within(figures.DeadReplica, budgetReplica)},
		{"dead node known", figures.DeadNode.String(), budgetNode.String(), within(figures.DeadNode, budgetNode)},
		{"members falsely declared dead", fmt.Sprint(figures.FalseDeaths), "0", figures.FalseDeaths == 0},
	}
}

func within(spread Spread, budget time.Duration) bool {
	return spread.Missed == 0 && spread.Max <= budget
}

// Write prints the figures and one line a limit; it returns whether all are met.
func (figures Figures) Write(output io.Writer) bool {
	fmt.Fprintf(output, "%d nodes, %d replicas: %.1f control calls, %.1f KB between nodes and %.1f KB with engines and platform a node and second\n",
		figures.Nodes, figures.Replicas, figures.Messages, figures.ControlBytes/(1<<10), figures.PlatformBytes/(1<<10))
	fmt.Fprintf(output, "  key-value service: %.1f calls a second in all, %d refused by its rate limit; suspicions %d; most partitions on one node %d\n",
		figures.KeyValuePerSec, figures.KeyValueRefused, figures.FalseSuspicions, figures.MostPartitions)
	all := true
	for _, limit := range figures.Limits() {
		verdict := "met"
		if !limit.Met {
			verdict = "not met"
			all = false
		}
		fmt.Fprintf(output, "  %-32s %-60s budget %-8s %s\n", limit.Name, limit.Figure, limit.Budget, verdict)
	}
	return all
}
