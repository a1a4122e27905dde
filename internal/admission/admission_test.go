package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

func TestGreaterPriorityGoesFirstAndShedsSmaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(1, 2)
		release, err := limiter.Acquire(t.Context(), 0)
		must.NoError(t, err)
		outcomes := make(chan string, 3)
		wait := func(name string, priority int) {
			go func() {
				release, err := limiter.Acquire(context.Background(), priority)
				if err != nil {
					must.Eq(t, result.NotRunOverload, result.CodeOf(err))
					must.Greater(t, 0, result.From(err).RetryAfter)
					outcomes <- name + " refused"
					return
				}
				outcomes <- name
				release()
			}()
			synctest.Wait()
		}
		wait("low", 0)
		wait("middle", 1)
		_, err = limiter.Acquire(t.Context(), 0)
		must.Eq(t, result.NotRunOverload, result.CodeOf(err))
		wait("high", 2)
		must.Eq(t, "low refused", <-outcomes)
		release()
		must.Eq(t, "high", <-outcomes)
		must.Eq(t, "middle", <-outcomes)
		synctest.Wait()
		running, waiting := limiter.Occupancy()
		must.Eq(t, 0, running+waiting)
	})
}

func TestADeadlineInTheQueueIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewLimiter(1, 1)
		release, err := limiter.Acquire(t.Context(), 0)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = limiter.Acquire(ctx, 0)
		must.Eq(t, result.NotRunDeadline, result.CodeOf(err))
		release()
		_, err = limiter.Acquire(t.Context(), 0)
		must.NoError(t, err)
	})
}

func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	budget := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.FirstAttempt()
		if budget.Retry() {
			retries++
		}
	}
	must.Between(t, 100, retries, 105)
}

func TestACallersRateIsItsOwn(t *testing.T) {
	now := time.Unix(0, 0)
	limits := NewCallerLimits(1, 2)
	must.NoError(t, limits.Admit("a", now))
	must.NoError(t, limits.Admit("a", now))
	err := limits.Admit("a", now)
	must.Eq(t, result.NotRunLimit, result.CodeOf(err))
	must.Eq(t, time.Second, result.From(err).RetryAfter)
	must.NoError(t, limits.Admit("b", now))
	must.NoError(t, limits.Admit("a", now.Add(time.Second)))
}
