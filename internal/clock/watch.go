package clock

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	// watchInterval is how often the two clocks are compared. What a promise relies on reads the clock itself; this is for what else a node
	// does after a suspension.
	watchInterval = 250 * time.Millisecond
	// leastSuspension is the least difference that counts: the two clocks are read one after the other, some microseconds apart, or some
	// milliseconds if the process is not scheduled between.
	leastSuspension = 100 * time.Millisecond
)

// Watch notices that the machine was suspended.
type Watch struct {
	Clock   Clock
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// OnResume is called after each suspension.
	OnResume func(suspended time.Duration)
}

// Run watches until the context ends.
func (watch *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	steady := Steady()
	behind := watch.Clock.Elapsed() - steady.Elapsed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := watch.Clock.Elapsed() - steady.Elapsed()
		if suspended := now - behind; suspended >= leastSuspension {
			watch.Logger.Warn("machine was suspended", "suspended_ms", suspended.Milliseconds())
			watch.Metrics.Suspended()
			watch.OnResume(suspended)
		}
		behind = now
	}
}
