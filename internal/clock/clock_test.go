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

// The system clock must not be slower than the monotonic clock while the machine runs.
func TestSystem(t *testing.T) {
	system, err := clock.System()
	must.NoError(t, err)
	before, monotonic := system.Elapsed(), clock.Monotonic()
	time.Sleep(20 * time.Millisecond)
	must.GreaterEq(t, monotonic.Elapsed()-time.Millisecond, system.Elapsed()-before)
}

// A suspension must be reported once with its length, and a small drift between the clocks must not be reported.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var drift atomic.Int64
		var suspensions []time.Duration
		monotonic, logged := clock.Monotonic(), &bytes.Buffer{}
		detector := &clock.SuspensionDetector{
			Clock:  clock.Func(func() time.Duration { return monotonic.Elapsed() + time.Duration(drift.Load()) }),
			Logger: log.New(logged), OnResume: func(suspended time.Duration) { suspensions = append(suspensions, suspended) },
		}
		go detector.Run(ctx)
		for range 20 { // 0.4 s in total
			time.Sleep(500 * time.Millisecond)
			drift.Add(int64(20 * time.Millisecond))
		}
		synctest.Wait()
		must.SliceEmpty(t, suspensions)
		drift.Add(int64(5 * time.Second))
		time.Sleep(time.Second)
		must.SliceLen(t, 1, suspensions)
		must.Between(t, 5*time.Second, suspensions[0], 5*time.Second+20*time.Millisecond)
		must.StrContains(t, logged.String(), "machine was suspended")
		cancel()
		synctest.Wait()
	})
}
