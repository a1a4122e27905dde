// Package wait provides waiting that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// Pause waits for a duration, or until the context ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
