package clock_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/clock"
)

// The system's clock goes on with the steady one while the machine runs.
func TestSystem(t *testing.T) {
	machine, err := clock.System()
	must.NoError(t, err)
	before, steady := machine.Elapsed(), clock.Steady()
	time.Sleep(20 * time.Millisecond)
	must.GreaterEq(t, steady.Elapsed()-time.Millisecond, machine.Elapsed()-before)
}

// A suspension is reported once, with its length; a clock that drifts slightly is not reported.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var apart atomic.Int64
		var reported []time.Duration
		steady, lines := clock.Steady(), &bytes.Buffer{}
		watch := &clock.Watch{
			Clock:  clock.Func(func() time.Duration { return steady.Elapsed() + time.Duration(apart.Load()) }),
			Logger: log.New(lines), OnResume: func(suspended time.Duration) { reported = append(reported, suspended) },
		}
		go watch.Run(ctx)
		for range 20 { // 0.4 s in all
			time.Sleep(500 * time.Millisecond)
			apart.Add(int64(20 * time.Millisecond))
		}
		synctest.Wait()
		must.SliceEmpty(t, reported)
		apart.Add(int64(5 * time.Second))
		time.Sleep(time.Second)
		must.SliceLen(t, 1, reported)
		must.Between(t, 5*time.Second, reported[0], 5*time.Second+20*time.Millisecond)
		must.StrContains(t, lines.String(), "machine was suspended")
		cancel()
		synctest.Wait()
	})
}
