// Package clock provides a monotonic clock that includes the time for which the machine was suspended. Go's own monotonic
// clock, which time.Since, timers and contexts use, may stop during a suspension: by that clock, stale state would look
// fresh and an expired lease valid.
package clock

import (
	"time"
)

// Clock measures the time since a fixed moment, including suspensions of the machine. It never decreases.
type Clock interface {
	Elapsed() time.Duration
}

// Func adapts a function to Clock.
type Func func() time.Duration

// Elapsed implements Clock.
func (read Func) Elapsed() time.Duration { return read() }

// Monotonic returns a Clock based on Go's monotonic clock, which may exclude suspensions. It is for tests with simulated time
// and for code whose guarantees do not depend on suspensions.
func Monotonic() Clock {
	start := time.Now()
	return Func(func() time.Duration { return time.Since(start) })
}

// OrMonotonic returns the given clock, or Monotonic if it is nil.
func OrMonotonic(clock Clock) Clock {
	if clock == nil {
		return Monotonic()
	}
	return clock
}
