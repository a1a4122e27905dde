package admission

import (
	"math"
	"time"
)

const (
	// serviceTimeWeight is the weight of a new service time in the average. It is large enough to follow a slow replica's or a whole
	// service's change within some ten requests.
	serviceTimeWeight = 1.0 / 8
	// unknownServiceTime stands for a service time that was never measured, where a figure is needed to compare or to charge.
	unknownServiceTime = 100 * time.Millisecond
	// usageWindow is the time constant with which used slot time is forgotten. It is longer than most requests, so that one request is no
	// trend, and shorter than a rush.
	usageWindow = time.Second
)

// serviceTime is an exponentially weighted mean of service times, with the mean deviation from it.
type serviceTime struct {
	known           bool
	mean, deviation float64 // nanoseconds
}

func (average *serviceTime) observe(took time.Duration) {
	sample := float64(took)
	if !average.known {
		*average = serviceTime{known: true, mean: sample, deviation: sample / 4}
		return
	}
	difference := sample - average.mean
	average.mean += serviceTimeWeight * difference
	average.deviation += serviceTimeWeight * (math.Abs(difference) - average.deviation)
}

// observeAtLeast records a request that was cut off: its service time is unknown but no shorter than took. One that was cut off early tells
// nothing, also if no service time is known.
func (average *serviceTime) observeAtLeast(took time.Duration) {
	if average.known && float64(took) > average.mean || !average.known && took > unknownServiceTime {
		average.observe(took)
	}
}

// likely is a time within which most requests end.
func (average *serviceTime) likely() time.Duration {
	return time.Duration(average.mean + average.deviation)
}

// kind is the urgency with which a request was admitted.
type kind int

// Kinds in the order in which they are served, apart from the shares that keep the first two from starving each other.
const (
	kindInTime   kind = iota // interactive, can still be answered with full value
	kindCritical             // scoring, its step is about to miss its due time
	kindLate                 // past the time of full value
	kindSpare                // scoring with time to spare
	kindCount
)

// usage is the slot time that requests of each kind used lately. It decays exponentially, so that a kind that holds n slots all the time
// converges to n times usageWindow.
type usage struct {
	used    [kindCount]float64 // nanoseconds
	decayed time.Duration      // time of the last decay
}

func (usage *usage) add(kind kind, amount float64, now time.Duration) {
	usage.decay(now)
	usage.used[kind] = max(0, usage.used[kind]+amount)
}

func (usage *usage) decay(now time.Duration) {
	if now <= usage.decayed {
		return
	}
	factor := math.Exp(-float64(now-usage.decayed) / float64(usageWindow))
	usage.decayed = now
	for kind := range usage.used {
		usage.used[kind] *= factor
	}
}

// scoringShare returns the part of the used slot time that scoring requests used; a half if none was used.
func (usage *usage) scoringShare() float64 {
	scoring := usage.used[kindCritical] + usage.used[kindSpare]
	total := scoring + usage.used[kindInTime] + usage.used[kindLate]
	if total <= 0 {
		return 0.5
	}
	return scoring / total
}

// ofPlaces returns the part of the places that the given kinds used, at most 1.
func (usage *usage) ofPlaces(places int, kinds ...kind) float64 {
	total := 0.0
	for _, kind := range kinds {
		total += usage.used[kind]
	}
	return min(1, total/(float64(usageWindow)*float64(max(places, 1))))
}

// meanOf returns the mean service time of a class in nanoseconds. A class without samples is taken to be like the other one.
func (queue *queue) meanOf(class Class) float64 {
	for _, candidate := range []Class{class, Interactive, Scoring} {
		if queue.times[candidate].known {
			return queue.times[candidate].mean
		}
	}
	return float64(unknownServiceTime)
}

// meanTime returns the mean service time over both classes, weighted by the slot time that they used lately.
func (queue *queue) meanTime() time.Duration {
	share := queue.usage.scoringShare()
	return time.Duration((1-share)*queue.meanOf(Interactive) + share*queue.meanOf(Scoring))
}

// likelyOf returns the time within which most requests of a class end; zero if nothing is known.
func (queue *queue) likelyOf(class Class) time.Duration {
	for _, candidate := range []Class{class, Interactive, Scoring} {
		if queue.times[candidate].known {
			return queue.times[candidate].likely()
		}
	}
	return 0
}

// timesKnown reports whether a service time was measured. Without one no wait can be estimated, and nothing is refused for its length.
func (queue *queue) timesKnown() bool {
	return queue.times[Interactive].known || queue.times[Scoring].known
}

// paused returns by how long the sweep is overdue while requests wait. A process that is not scheduled sweeps late, and sees answers late as
// well, which says nothing about the service.
func (queue *queue) paused(now time.Duration) time.Duration {
	if queue.waiting == 0 {
		return 0
	}
	return max(0, now-queue.sweptAt-sweepInterval)
}

// interval returns the expected time until a place is free, and the factor by which places are slower than measured. Requests in flight
// beyond the limit, which has shrunk, end beside each other before a place is free. Places that were taken together end together, so that a
// time without a freed place counts in service times as well as in intervals.
func (queue *queue) interval(now time.Duration) (interval, slower float64) {
	busy := queue.busy()
	mean := queue.meanOf(Interactive)
	if busy > 0 {
		mean = (float64(queue.inFlight[Interactive])*queue.meanOf(Interactive) + float64(queue.inFlight[Scoring])*queue.meanOf(Scoring)) / float64(busy)
	}
	slot := mean / float64(max(queue.limit, busy))
	stalled := float64(now - queue.progressed - queue.paused(now))
	slower = max(1, min((stalled-mean)/slot-stallIntervals+1, stalled/mean))
	interval = mean / float64(queue.limit)
	if busy > queue.limit {
		interval += mean * math.Log(float64(busy)/float64(queue.limit))
	}
	return interval * slower, slower
}

// wait estimates how long a request waits that has the given number of requests of its own kind ahead.
func (queue *queue) wait(class Class, isLate bool, ahead int, now time.Duration) time.Duration {
	queue.usage.decay(now)
	interval, slower := queue.interval(now)
	places := float64(queue.limit)
	interactive, scoring := queue.meanOf(Interactive), queue.meanOf(Scoring)
	criticalWork := float64(queue.criticalCount) * scoring
	var work float64
	switch {
	case class == Scoring:
		work = float64(ahead) * scoring / max(guaranteedShare, 1-queue.usage.ofPlaces(queue.limit, kindInTime))
	case !isLate:
		others := guaranteedShare
		if queue.urgentUntil >= 0 {
			others = 1 - guaranteedShare
		}
		own := float64(ahead) * interactive
		work = min(own+criticalWork, own/(1-others))
	default:
		inTimeWork := float64(queue.count(Interactive, false)) * interactive
		rate := max(leastLateRate, 1-queue.usage.ofPlaces(queue.limit, kindInTime, kindCritical))
		work = inTimeWork + criticalWork + float64(ahead+1)*interactive/rate
	}
	return time.Duration(min(interval+slower*work/places, float64(time.Hour)))
}

// uncertainty is how far an estimated wait may be off. A request starts to wait only if it is in time by that much, and is given up only if
// it is late by that much, so that chance does not push it out while it waits.
func (queue *queue) uncertainty(request *ticket) time.Duration {
	return time.Duration(waitUncertainty * float64(max(0, request.useful-request.arrived)))
}

const (
	// heededShare is the part of its remaining time up to which a caller heeds the time after which it may return.
	heededShare   = 1.0 / 3
	minRetryAfter = 20 * time.Millisecond
	// retrySpread is the greatest time to return in drain times of the backlog; the least is half of it.
	retrySpread = 1.5
)

// retryAfter returns when a refused caller may return: when the backlog has drained, which takes at least the given time, but no later than
// the caller would heed; at random over half of that time, so that callers that were refused together do not come back together.
func (queue *queue) retryAfter(class Class, least, left, now time.Duration) time.Duration {
	drain := max(least, queue.wait(class, false, queue.count(class, false)+queue.count(class, true), now))
	longest := min(time.Duration(retrySpread*float64(drain)), time.Duration(heededShare*float64(min(left, longestWait))))
	longest = max(longest, minRetryAfter)
	return longest/2 + time.Duration(queue.chance()*float64(longest/2))
}

// refreshCritical determines which scoring requests have to be served now. The requests due until some time are critical if the guaranteed
// share of the places is only just enough to serve all of them by then, and urgent if that is so of all places but the other class's share.
func (queue *queue) refreshCritical(now time.Duration) {
	if now-queue.criticalAt < criticalRefresh {
		return
	}
	queue.criticalAt, queue.criticalUntil, queue.urgentUntil, queue.criticalCount = now, -1, -1, 0
	if len(queue.due) == 0 {
		return
	}
	each := queue.meanOf(Scoring) / float64(queue.limit)
	fixed := max(queue.likelyOf(Scoring), 0) + criticalMargin
	for index, request := range queue.due {
		left := float64(request.useful - now - fixed)
		work := float64(index+1) * each
		if left < work/guaranteedShare {
			queue.criticalUntil, queue.criticalCount = request.useful, index+1
		}
		if left < work/(1-guaranteedShare) {
			queue.urgentUntil = request.useful
		}
	}
}
