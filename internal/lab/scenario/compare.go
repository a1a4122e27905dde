package scenario

import (
	"fmt"
	"io"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Summary holds the results of a variant over all seeds.
type Summary struct {
	Variant Variant
	// The slices hold one value per seed. Idle is the mean time in seconds that the trainer waited for a step, Step the mean
	// time in seconds from submission of a step to its completion, and StepOverBound the ratio of Step to its lower bound.
	Idle, Step, StepOverBound []float64
	// Staleness and StalenessMax are the mean and the maximum over delivered samples, in versions.
	Staleness, StalenessMax []float64
	Breaches                int
	Dropped                 int
}

// Summarize summarizes the results of a variant, one for each seed.
func Summarize(variant Variant, results []Result) Summary {
	summary := Summary{Variant: variant}
	for _, result := range results {
		summary.Idle = append(summary.Idle, meanSeconds(result.Idle))
		summary.Step = append(summary.Step, meanSeconds(result.Step))
		summary.StepOverBound = append(summary.StepOverBound, meanSeconds(result.Step)/meanSeconds(result.Bound))
		total, greatest := 0.0, 0.0
		for _, versions := range result.Staleness {
			total += float64(versions)
			greatest = max(greatest, float64(versions))
		}
		summary.Staleness = append(summary.Staleness, total/float64(max(len(result.Staleness), 1)))
		summary.StalenessMax = append(summary.StalenessMax, greatest)
		summary.Breaches += result.Report.Breaches()
	}
	return summary
}

func meanSeconds(times []time.Duration) float64 {
	total := time.Duration(0)
	for _, value := range times {
		total += value
	}
	return total.Seconds() / float64(max(len(times), 1))
}

// Interval returns the mean and the half width of its 95% confidence interval by Student's t-distribution. The half width
// of fewer than two values is NaN.
func Interval(values []float64) (mean, half float64) {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return mean, math.NaN()
	}
	const upper = 0.975
	quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(upper)
	return mean, quantile * deviation / math.Sqrt(float64(len(values)))
}

func formatInterval(values []float64) string {
	mean, half := Interval(values)
	if math.IsNaN(half) {
		return fmt.Sprintf("%.2f", mean)
	}
	return fmt.Sprintf("%.2f ± %.2f", mean, half)
}

// WriteComparison prints a table with one row per variant and returns the total number of breaches. The first summary is that
// of the system, the others are baselines.
func WriteComparison(output io.Writer, spec Spec, seeds int, bound float64, summaries []Summary) int {
	fmt.Fprintf(output, "%s, %d seeds; mean and 95%% confidence interval over seeds; perfect packing needs %.2f s a step\n", spec.Name, seeds, bound)
	fmt.Fprintf(output, "%-24s %-18s %-18s %-16s %-20s %-10s %s\n", "side", "idle s/step", "step s", "step/bound", "staleness versions", "greatest", "breaches")
	breaches := 0
	bestBaseline := math.Inf(1)
	for index, summary := range summaries {
		greatest, _ := Interval(summary.StalenessMax)
		fmt.Fprintf(output, "%-24s %-18s %-18s %-16s %-20s %-10.1f %d\n", summary.Variant.Name, formatInterval(summary.Idle), formatInterval(summary.Step),
			formatInterval(summary.StepOverBound), formatInterval(summary.Staleness), greatest, summary.Breaches)
		breaches += summary.Breaches
		if mean, _ := Interval(summary.Idle); index > 0 {
			bestBaseline = min(bestBaseline, mean)
		}
	}
	systemIdle, _ := Interval(summaries[0].Idle)
	fmt.Fprintf(output, "idle against the best baseline: %.2f\n", systemIdle/bestBaseline)
	return breaches
}
