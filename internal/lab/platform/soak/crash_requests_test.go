package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against late runs after the third crash being missed, and against counting runs at nodes that had a fault.
func TestLateRuns(t *testing.T) {
	begun := time.Now()
	at := func(offsets ...time.Duration) (times []time.Time) {
		for _, offset := range offsets {
			times = append(times, begun.Add(offset))
		}
		return times
	}
	all := func(time.Time) bool { return true }
	third := 2 * time.Second
	bound := third + crashDelay + recoveryTime
	must.Eq(t, 0, lateRuns(at(0, third), all))
	must.Eq(t, 0, lateRuns(at(0, time.Second, third, bound), all))
	must.Eq(t, 2, lateRuns(at(0, time.Second, third, bound+1, bound+2), all))
	must.Eq(t, 1, lateRuns(at(0, time.Second, third, bound+1, bound+2), func(run time.Time) bool { return run.Equal(begun.Add(bound + 1)) }))
}
