package admission

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// maxCallers bounds the number of callers with a token bucket. Beyond it all buckets are discarded.
const maxCallers = 4096

// CallerLimits limits the request rate of each caller by a token bucket. It is safe for concurrent use.
type CallerLimits struct {
	mu        sync.Mutex
	perSecond rate.Limit
	burst     int
	callers   map[string]*rate.Limiter
}

// NewCallerLimits returns limits of perSecond requests for each caller, with bursts of up to burst. There is no limit if
// perSecond is zero or less.
func NewCallerLimits(perSecond float64, burst int) *CallerLimits {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	return &CallerLimits{perSecond: limit, burst: burst, callers: make(map[string]*rate.Limiter)}
}

// Admit returns a NotRunLimit error if the caller exceeds its rate.
func (limits *CallerLimits) Admit(caller string, now time.Time) error {
	if limits.perSecond == rate.Inf {
		return nil
	}
	limiter := limits.limiter(caller)
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return result.New(result.NotRunLimit, "caller %q is over %v requests a second", caller, float64(limits.perSecond)).WithRetryAfter(wait)
}

func (limits *CallerLimits) limiter(caller string) *rate.Limiter {
	limits.mu.Lock()
	defer limits.mu.Unlock()
	if limiter, ok := limits.callers[caller]; ok {
		return limiter
	}
	if len(limits.callers) >= maxCallers {
		clear(limits.callers)
	}
	limiter := rate.NewLimiter(limits.perSecond, limits.burst)
	limits.callers[caller] = limiter
	return limiter
}
