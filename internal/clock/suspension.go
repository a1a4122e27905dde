package clock

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	// watchInterval is the time between two comparisons of the clocks. Code whose guarantees depend on time must read Clock
	// itself, since a suspension is noticed only at the next comparison.
	watchInterval = 250 * time.Millisecond
	// minimumSuspension is the shortest suspension that is reported. Smaller differences can arise because the process may not
	// be scheduled between the reads of the two clocks.
	minimumSuspension = 100 * time.Millisecond
)

// SuspensionDetector detects suspensions of the machine by comparing a Clock with Go's monotonic clock.
type SuspensionDetector struct {
	Clock   Clock
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// OnResume is called after each suspension with its length.
	OnResume func(suspended time.Duration)
}

// Run compares the clocks until the context ends.
func (detector *SuspensionDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	monotonic := Monotonic()
	offset := detector.Clock.Elapsed() - monotonic.Elapsed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := detector.Clock.Elapsed() - monotonic.Elapsed()
		if suspended := now - offset; suspended >= minimumSuspension {
			detector.Logger.Warn("machine was suspended", "suspended_ms", suspended.Milliseconds())
			detector.Metrics.Suspended()
			detector.OnResume(suspended)
		}
		offset = now
	}
}
