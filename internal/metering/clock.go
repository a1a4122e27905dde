package metering

import (
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/clock"
)

const (
	// minStep is the smallest deviation of the time of day from the monotonic clock that counts as a step. A smaller deviation is taken
	// for a correction by time synchronization and accepted at once.
	minStep = 200 * time.Millisecond
	// stepAcceptTime is how long a step must last to be accepted. An erroneous step is expected to be reverted sooner.
	stepAcceptTime = 10 * time.Minute
)

// reading holds the values of a machine's clocks at one moment.
type reading struct {
	// timeOfDay may step. monotonic, the time since a fixed moment, does not step and includes the time while the machine is suspended.
	timeOfDay time.Time
	monotonic time.Duration
}

// Clock returns the time of day without temporary steps of the machine's clock. After a step, it follows the monotonic clock until the step
// is reverted or has lasted long enough to be accepted. It is safe for concurrent use.
type Clock struct {
	read func() reading

	mu sync.Mutex
	// base is the last accepted reading. While diverged is true, the time of day deviates from it by a step, and divergedAt is the
	// monotonic time at which the step was first seen.
	base       reading
	divergedAt time.Duration
	diverged   bool
}

// NewClock returns a clock that accepts the current time of day. The machine's clock must include the time while the machine is suspended, as
// the time of day does. Otherwise a suspension would look like a step.
func NewClock(machine clock.Clock) *Clock {
	return newClock(func() reading {
		return reading{timeOfDay: time.Now().Round(0), monotonic: machine.Elapsed()} // Round drops the monotonic reading of the time
	})
}

func newClock(read func() reading) *Clock { return &Clock{read: read, base: read()} }

// Now returns the time of day without steps that have not been accepted.
func (clock *Clock) Now() time.Time {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	now := clock.read()
	expected := clock.base.timeOfDay.Add(now.monotonic - clock.base.monotonic)
	switch {
	case now.timeOfDay.Sub(expected).Abs() < minStep:
		clock.base, clock.diverged = now, false
		return now.timeOfDay
	case !clock.diverged:
		clock.divergedAt, clock.diverged = now.monotonic, true
	case now.monotonic-clock.divergedAt > stepAcceptTime:
		clock.base, clock.diverged = now, false
		return now.timeOfDay
	}
	return expected
}
