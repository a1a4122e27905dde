package hollow

import (
	"fmt"
	"io"
	"time"
)

// Budgets at the target fleet size. docs/CAPACITY.md explains them.
const (
	budgetCPU        = 0.018
	budgetHeap       = 32 << 20
	budgetTraffic    = 17 << 10
	budgetChange     = 6 * time.Second
	budgetActivation = 5 * time.Second
	// The detection of a failed node may take longer than that of a replica, because a suspected node has time to refute the
	// suspicion.
	budgetReplicaFailure = 6 * time.Second
	budgetNodeFailure    = 12 * time.Second
)

// BudgetCheck compares a measured figure with its budget.
type BudgetCheck struct {
	Name   string
	Figure string
	Budget string
	Met    bool
}

// CheckBudgets compares the figures with the budgets.
func (figures Figures) CheckBudgets() []BudgetCheck {
	traffic := figures.ControlBytes + figures.PlatformBytes
	return []BudgetCheck{
		{"CPU per node", fmt.Sprintf("%.2f%% of a core", figures.CPUShare*100), fmt.Sprintf("%.1f%%", budgetCPU*100), figures.CPUShare <= budgetCPU},
		{"memory per node", fmt.Sprintf("%.1f MB", figures.HeapBytes/(1<<20)), fmt.Sprintf("%d MB", budgetHeap>>20), figures.HeapBytes <= budgetHeap},
		{"traffic per node", fmt.Sprintf("%.1f KB/s", traffic/(1<<10)), fmt.Sprintf("%d KB/s", budgetTraffic>>10), traffic <= budgetTraffic},
		{"configuration change applied", figures.ChangeDelays.String(), budgetChange.String(), withinBudget(figures.ChangeDelays, budgetChange)},
		{"weights activated", figures.ActivationDelays.String(), budgetActivation.String(), withinBudget(figures.ActivationDelays, budgetActivation)},
		{"replica failure detected", figures.ReplicaFailureDelays.String(), budgetReplicaFailure.String(), withinBudget(figures.ReplicaFailureDelays, budgetReplicaFailure)},
		{"node failure detected", figures.NodeFailureDelays.String(), budgetNodeFailure.String(), withinBudget(figures.NodeFailureDelays, budgetNodeFailure)},
		{"members wrongly declared dead", fmt.Sprint(figures.FalseDeaths), "0", figures.FalseDeaths == 0},
	}
}

// withinBudget reports whether every observer was reached within the budget.
func withinBudget(delays Delays, budget time.Duration) bool {
	return delays.Missed == 0 && delays.Max <= budget
}

// Write prints the figures and one line per budget. It reports whether all budgets are met.
func (figures Figures) Write(output io.Writer) bool {
	fmt.Fprintf(output, "%d nodes, %d replicas: per node and second %.1f control calls, %.1f KB between nodes, %.1f KB with engines and platform\n",
		figures.Nodes, figures.Replicas, figures.ControlCalls, figures.ControlBytes/(1<<10), figures.PlatformBytes/(1<<10))
	fmt.Fprintf(output, "  key-value service: %.1f calls per second in total, %d rejected by its rate limit; suspicions %d; most partitions on one node %d\n",
		figures.KeyValueCalls, figures.KeyValueRejected, figures.FalseSuspicions, figures.MostPartitions)
	all := true
	for _, check := range figures.CheckBudgets() {
		verdict := "met"
		if !check.Met {
			verdict = "not met"
			all = false
		}
		fmt.Fprintf(output, "  %-32s %-60s budget %-8s %s\n", check.Name, check.Figure, check.Budget, verdict)
	}
	return all
}
