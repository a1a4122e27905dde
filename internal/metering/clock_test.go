package metering

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/clock"
)

// A machine whose time of day jumps still tells true time by its steady clock; a jump that lasts is believed in the end.
func TestClockSteps(t *testing.T) {
	begun := time.Unix(1_800_000_000, 0)
	elapsed, step := time.Duration(0), time.Duration(0)
	clock := newClock(func() reading { return reading{timeOfDay: begun.Add(elapsed + step), steady: elapsed} })
	tells := func(offset time.Duration, when string) {
		t.Helper()
		must.Eq(t, begun.Add(elapsed+offset).UnixMilli(), clock.Now().UnixMilli(), must.Sprint(when))
	}
	elapsed += 3 * time.Second
	tells(0, "no step")
	for _, jump := range []time.Duration{2 * time.Second, -2 * time.Second, time.Hour} {
		step = jump
		tells(0, "just stepped")
		elapsed += 5 * time.Second
		tells(0, "still stepped")
		step = 0
		elapsed += time.Second
		tells(0, "back")
	}
	step = 50 * time.Millisecond
	tells(step, "a clock that is disciplined is followed")
	step = 0
	tells(0, "and back")
	step = 2 * time.Second
	tells(0, "a step that stays")
	elapsed += stepLife + time.Second
	tells(step, "is believed after long")
}

// A machine that was suspended has no step of its time of day: its clock went on.
func TestClockAfterSuspension(t *testing.T) {
	begun, elapsed := time.Now(), time.Minute
	told := NewClock(clock.Func(func() time.Duration { return elapsed }))
	must.Less(t, time.Second, told.Now().Sub(begun).Abs())
	shown := told.read
	told.read = func() reading { // five seconds later for all but the steady clock
		now := shown()
		return reading{timeOfDay: now.timeOfDay.Add(5 * time.Second), steady: now.steady}
	}
	elapsed += 5 * time.Second
	must.Less(t, time.Second, told.Now().Sub(begun.Add(5*time.Second)).Abs())
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
