package metering

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/clock"
)

// A temporary step of the time of day must not affect Now; a step that lasts must be accepted in the end.
func TestClockSteps(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	elapsed, step := time.Duration(0), time.Duration(0)
	clock := newClock(func() reading { return reading{timeOfDay: start.Add(elapsed + step), monotonic: elapsed} })
	expect := func(offset time.Duration, when string) {
		t.Helper()
		must.Eq(t, start.Add(elapsed+offset).UnixMilli(), clock.Now().UnixMilli(), must.Sprint(when))
	}
	elapsed += 3 * time.Second
	expect(0, "no step")
	for _, jump := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour} {
		step = jump
		expect(0, "just stepped")
		elapsed += 5 * time.Second
		expect(0, "still stepped")
		step = 0
		elapsed += time.Second
		expect(0, "step reverted")
	}
	step = 50 * time.Millisecond
	expect(step, "a deviation below minStep is accepted")
	step = 0
	expect(0, "the deviation is corrected")
	step = 2 * time.Second
	expect(0, "a step that lasts")
	elapsed += stepAcceptTime + time.Second
	expect(step, "is accepted after stepAcceptTime")
}

// A suspension of the machine must not look like a step: the time of day and the machine's clock both include it.
func TestClockAfterSuspension(t *testing.T) {
	start, elapsed := time.Now(), time.Minute
	clock := NewClock(clock.Func(func() time.Duration { return elapsed }))
	must.Less(t, time.Second, clock.Now().Sub(start).Abs())
	original := clock.read
	clock.read = func() reading { // after a suspension of five seconds, which the test's runtime clock does not include
		now := original()
		return reading{timeOfDay: now.timeOfDay.Add(5 * time.Second), monotonic: now.monotonic}
	}
	elapsed += 5 * time.Second
	must.Less(t, time.Second, clock.Now().Sub(start.Add(5*time.Second)).Abs())
}

func TestWindows(t *testing.T) {
	windows := Windows{Length: 5 * time.Second}
	for _, check := range []struct {
		unix   int64
		window int64
	}{{0, 0}, {4, 0}, {5, 1}, {1_767_225_604, 353_445_120}, {1_767_225_605, 353_445_121}} {
		must.Eq(t, check.window, windows.At(time.Unix(check.unix, 0)))
	}
	must.Eq(t, 1_767_225_605, windows.End(353_445_120).Unix())
	must.Eq(t, 353_445_121, windows.At(windows.End(353_445_120)))
}
