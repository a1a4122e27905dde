package room

import (
	"math"
	"time"
)

const (
	// toleratedFull is the share of requests that replicas may refuse without narrowing a window. Uneven replicas refuse some requests
	// while others are free, and a refusal costs its request only a few milliseconds.
	toleratedFull = 0.05
	// minWeight is the smallest weight of one request in the share of refused requests. The share follows the last two limits of requests.
	minWeight = 1.0 / 32
	// decrease is the part of a window that the first refusal of an epoch leaves. What nodes with many requests give up is found by those
	// with few. maxDecrease is the smallest part that all refusals of an epoch leave.
	decrease    = 0.9
	maxDecrease = 0.5
	// windowTTL is the time without a refusal after which a window no longer binds.
	windowTTL = 5 * time.Second
)

// window limits the requests in flight at a service by what its replicas answer. It answers the load of callers that this node knows
// nothing of. It is unbounded until replicas refuse more than a tolerated share of requests. Each refusal then narrows it below what was
// in flight; in one epoch, the time of one request, it loses at most half. It widens while requests succeed at full use, at first
// slowly and faster with each epoch without a refusal, since room that has come back is found only that way.
type window struct {
	// size is the number of requests; zero if the window does not bind.
	size float64
	// share is the moving average of the share of refused requests.
	share float64
	// lastFull is when a refusal last confirmed the window, or the last refusal while it did not bind.
	lastFull time.Duration
	// floor is the size below which the window does not fall in this epoch; calm is the number of epochs without a refusal.
	floor      float64
	epochStart time.Duration
	calm       int
	// assumed is true if the window began at the last share and no refusal has confirmed it since.
	assumed bool
}

// observe records the end of a request that counted among inFlight requests, while the limit was the given one.
func (window *window) observe(full bool, inFlight, limit int, epoch, now time.Duration) {
	window.expire(now)
	outcome := 0.0
	if full {
		outcome = 1
	}
	weight := max(minWeight, 1/(2*float64(limit)))
	if window.size == 0 {
		weight = min(weight, toleratedFull) // a single refusal tells of one replica only
	}
	window.share += (outcome - window.share) * weight
	tolerated := window.share <= toleratedFull
	switch {
	case full && !tolerated:
		if window.size == 0 {
			window.size = float64(limit)
		}
		reached := min(window.size, float64(inFlight-1))
		if window.floor == 0 || now-window.epochStart >= epoch {
			window.floor, window.epochStart = max(1, reached*maxDecrease), now
			reached *= decrease
		}
		window.size = max(window.floor, reached)
		window.lastFull, window.calm, window.assumed = now, 0, false
	case window.size == 0 && full:
		window.lastFull = now
	case window.size == 0:
	case !full && tolerated && inFlight >= limit:
		if now-window.epochStart >= epoch {
			window.epochStart, window.floor = now, 0
			window.calm++
		}
		window.size += window.increase() / window.size
	}
}

// increase returns the number of requests by which the window widens in an epoch of full use.
func (window *window) increase() float64 {
	return min(window.size, math.Ldexp(0.125, min(window.calm, 16)))
}

// expire ends a window that no refusal has confirmed for windowTTL, and forgets refusals of that age.
func (window *window) expire(now time.Duration) {
	if now-window.lastFull > windowTTL {
		window.size, window.share, window.floor, window.calm, window.assumed = 0, 0, 0, 0, false
	}
}

// narrowTo makes the window bind at an assumed size, unless it is narrower already.
func (window *window) narrowTo(size float64, now time.Duration) {
	if window.size > 0 && window.size <= size {
		return
	}
	window.size, window.assumed = max(1, size), true
	window.floor, window.lastFull, window.epochStart, window.calm = 0, now, now, 0
}

// endAssumed ends a window whose size was only assumed.
func (window *window) endAssumed() {
	if window.assumed {
		window.size, window.floor, window.calm, window.assumed = 0, 0, 0, false
	}
}

// scale adapts the window to a change of the service's slots.
func (window *window) scale(before, after int) {
	if window.size > 0 && before > 0 && after > 0 {
		window.size = max(1, window.size*float64(after)/float64(before))
		window.floor = min(window.floor, window.size)
	}
}
