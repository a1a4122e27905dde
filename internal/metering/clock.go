package metering

import (
	"sync"
	"time"
)

const (
	// stepLeast is by how much the time of day must differ from what the steady clock makes of it to count as a step: clocks that are
	// disciplined drift by some ms a minute, and are followed.
	stepLeast = 200 * time.Millisecond
	// stepLife is how long the time of day must have differed by a step to be believed: clocks that jump by mistake come back in seconds.
	stepLife = 10 * time.Minute
)

// reading is what a machine's clocks show at one moment.
type reading struct {
	// timeOfDay may jump; steady, the time since some moment, does not.
	timeOfDay time.Time
	steady    time.Duration
}

// Clock tells true time on a machine whose time of day may jump: it goes on by the steady clock then, until the time of day is back or
// has stayed where it is for long. It is safe for concurrent use.
type Clock struct {
	read func() reading

	mu sync.Mutex
	// base is a reading that was right; stepped is when the time of day was first seen to differ, by the steady clock, if differs.
	base    reading
	stepped time.Duration
	differs bool
}

// NewClock returns a clock that takes the present time of day for right.
func NewClock() *Clock {
	begun := time.Now()
	return newClock(func() reading {
		now := time.Now()
		return reading{timeOfDay: now.Round(0), steady: now.Sub(begun)} // rounding drops the steady part
	})
}

func newClock(read func() reading) *Clock { return &Clock{read: read, base: read()} }

// Now returns true time.
func (clock *Clock) Now() time.Time {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	now := clock.read()
	expected := clock.base.timeOfDay.Add(now.steady - clock.base.steady)
	switch {
	case now.timeOfDay.Sub(expected).Abs() < stepLeast:
		clock.base, clock.differs = now, false
		return now.timeOfDay
	case !clock.differs:
		clock.stepped, clock.differs = now.steady, true
	case now.steady-clock.stepped > stepLife:
		clock.base, clock.differs = now, false
		return now.timeOfDay
	}
	return expected
}
