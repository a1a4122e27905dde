package delivery

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thistlewalk/thistlewalk/internal/step"
)

const (
	// A histogram covers the current window and the ten before it. Each window is at least windowTime long.
	windowTime = time.Minute
	windows    = 11

	histogramDigits = 2
	maximumVersions = 1 << 20
	maximumMillis   = 1 << 36
	millisecond     = 1000.0
)

type policyHistory struct {
	versions *hdrhistogram.WindowedHistogram
	millis   *hdrhistogram.WindowedHistogram
}

// stalenessHistory records the staleness of recently delivered samples by policy. It is safe for concurrent use.
type stalenessHistory struct {
	mu       sync.Mutex
	rotated  time.Time
	policies map[string]*policyHistory
}

func newStalenessHistory() *stalenessHistory {
	return &stalenessHistory{rotated: time.Now(), policies: make(map[string]*policyHistory)}
}

// rotate drops expired windows. The caller must hold mu.
func (history *stalenessHistory) rotate() {
	passed := min(int(time.Since(history.rotated)/windowTime), windows)
	for range passed {
		for _, policy := range history.policies {
			policy.versions.Rotate()
			policy.millis.Rotate()
		}
	}
	if passed > 0 {
		history.rotated = time.Now()
	}
}

func (history *stalenessHistory) record(policy string, staleness step.Staleness) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.rotate()
	found, ok := history.policies[policy]
	if !ok {
		found = &policyHistory{
			versions: hdrhistogram.NewWindowed(windows, 1, maximumVersions, histogramDigits),
			millis:   hdrhistogram.NewWindowed(windows, 1, maximumMillis, histogramDigits),
		}
		history.policies[policy] = found
	}
	_ = found.versions.Current.RecordValue(int64(min(staleness.Versions, maximumVersions)))
	_ = found.millis.Current.RecordValue(min(staleness.Age.Milliseconds(), maximumMillis))
}

var percentiles = [3]float64{50, 90, 99}

func (history *stalenessHistory) summaries() []StalenessSummary {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.rotate()
	list := make([]StalenessSummary, 0, len(history.policies))
	for policy, found := range history.policies {
		versions, millis := found.versions.Merge(), found.millis.Merge()
		summary := StalenessSummary{Policy: policy, Count: versions.TotalCount()}
		for index, percentile := range percentiles {
			summary.Versions[index] = versions.ValueAtQuantile(percentile)
			summary.Seconds[index] = float64(millis.ValueAtQuantile(percentile)) / millisecond
		}
		summary.Versions[len(percentiles)] = versions.Max()
		summary.Seconds[len(percentiles)] = float64(millis.Max()) / millisecond
		list = append(list, summary)
	}
	slices.SortFunc(list, func(a, b StalenessSummary) int { return strings.Compare(a.Policy, b.Policy) })
	return list
}
