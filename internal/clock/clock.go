// Package clock reads a clock that goes on while the machine is suspended. The steady clock, which time.Since, timers and contexts read, stands
// still then: whoever goes by it takes what it knew before for new, and its lease for one that is in force.
package clock

import (
	"time"
)

// Clock tells how long ago some fixed moment was, with all time that the machine was suspended since. It never goes back.
type Clock interface {
	Elapsed() time.Duration
}

// Func makes a function a Clock.
type Func func() time.Duration

// Elapsed implements Clock.
func (read Func) Elapsed() time.Duration { return read() }

// Steady returns a clock that stands still while the machine is suspended, for tests in modelled time and for what promises nothing.
func Steady() Clock {
	begun := time.Now()
	return Func(func() time.Duration { return time.Since(begun) })
}

// OrSteady returns the clock, or a steady one if it is nil.
func OrSteady(clock Clock) Clock {
	if clock == nil {
		return Steady()
	}
	return clock
}
