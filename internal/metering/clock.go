package metering

import (
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/clock"
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
	// timeOfDay may jump; steady, the time since some moment, does not, and goes on while the machine is suspended.
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

// NewClock returns a clock that takes the present time of day for right. The machine's clock has to go on while it is suspended: the time of
// day does, and would seem to have stepped otherwise.
func NewClock(machine clock.Clock) *Clock {
	return newClock(func() reading {
		return reading{timeOfDay: time.Now().Round(0), steady: machine.Elapsed()} // rounding drops the steady part
	})
}

func newClock(read func() reading) *Clock { return &Clock{read: read, base: read()} }

// Now returns true time.
func (told *Clock) Now() time.Time {
	told.mu.Lock()
	defer told.mu.Unlock()
	now := told.read()
	expected := told.base.timeOfDay.Add(now.steady - told.base.steady)
	switch {
	case now.timeOfDay.Sub(expected).Abs() < stepLeast:
		told.base, told.differs = now, false
		return now.timeOfDay
	case !told.differs:
		told.stepped, told.differs = now.steady, true
	case now.steady-told.stepped > stepLife:
		told.base, told.differs = now, false
		return now.timeOfDay
	}
	return expected
}
