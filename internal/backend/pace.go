package backend

import (
	"math"
	"time"
)

const (
	// maxPaceWeight is the weight of one answer in a replica's pace when answers are rare. One long answer then counts for a quarter.
	maxPaceWeight = 0.25
	minPaceWeight = 0.02
	// paceWindow is the time over which answers are averaged when they are frequent, so that a burst counts for little.
	paceWindow = 400 * time.Millisecond
	// maxPaceStep bounds how far one answer lies from the pace known so far, as a factor.
	maxPaceStep = 3.0
	// minPace and maxPace bound the pace, so that a replica that was silent for long returns in bounded time.
	minPace = 1.0 / 8
	maxPace = 16.0
	// paceHalfLife is the time after which, without an answer, half of the difference from other replicas is forgotten, unless the replica
	// was slow.
	paceHalfLife = 4 * time.Second
	// paceSettled is the age up to which a pace counts in full.
	paceSettled = 500 * time.Millisecond
	// returnWeight is the weight of a usual answer of a replica that was slow, so that a few trials bring it back.
	returnWeight = 0.5
)

// paceAverage is the time that a replica takes for an answer as a multiple of what answers of the same kind usually take: 1 is usual, 4 is
// four times slower. The zero value knows no answer.
type paceAverage struct {
	value   float64
	answers int
	last    time.Time
}

// observe adds an answer that took ratio times as long as usual.
func (average *paceAverage) observe(ratio float64, now time.Time) {
	ratio = min(maxPace, max(minPace, ratio))
	if average.answers == 0 {
		average.value, average.answers, average.last = min(maxPaceStep, max(1/maxPaceStep, ratio)), 1, now
		return
	}
	weight := 1 - math.Exp(-now.Sub(average.last).Seconds()/paceWindow.Seconds())
	weight = min(maxPaceWeight, max(minPaceWeight, weight))
	if average.value >= slowPace && ratio < slowPace {
		weight = max(weight, returnWeight)
	}
	ratio = min(average.value*maxPaceStep, max(average.value/maxPaceStep, ratio))
	average.value += weight * (ratio - average.value)
	average.answers++
	average.last = now
}

// at returns the pace at a time. Without answers it tends towards the typical pace of the replica's peers, unless the replica was slow: such
// a replica is tried again from time to time.
func (average *paceAverage) at(now time.Time, typical float64) float64 {
	if average.answers == 0 {
		return typical
	}
	age := now.Sub(average.last) - paceSettled
	if age <= 0 || average.slow(typical) {
		return average.value
	}
	return typical + (average.value-typical)*halved(age, paceHalfLife)
}

// slow reports whether the replica was slower than is typical of its peers when it last answered.
func (average *paceAverage) slow(typical float64) bool {
	return average.answers > 0 && average.value >= slowPace*typical
}

// negligible is the number of half-lives after which nothing counts.
const negligible = 8

// halved returns the share that is left at an age of what halves with each halfLife.
func halved(age, halfLife time.Duration) float64 {
	if age >= negligible*halfLife {
		return 0
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

const (
	// kindSlots bounds the kinds of request that are told apart at a service. Kinds that share a slot are averaged.
	kindSlots = 32
	// minKindWeight is the weight of one answer in what its kind usually takes. It is far less than that of a replica's pace, so that a
	// replica that turns slow differs from its peers before they all count as usual.
	minKindWeight = 0.01
	// maxKindRatio bounds one answer relative to what its kind usually takes.
	maxKindRatio = 4.0
)

// kindMean is what the answers to requests of one kind take on average at a service.
type kindMean struct {
	seconds float64
	bytes   float64 // of an answer's body
	answers int
}

// ratio returns the duration of an answer relative to what its kind usually takes, before the answer is added.
func (mean *kindMean) ratio(took time.Duration) float64 {
	if mean.answers == 0 || mean.seconds <= 0 {
		return 1
	}
	return took.Seconds() / mean.seconds
}

func (mean *kindMean) observe(took time.Duration, bytes int64) {
	mean.answers++
	weight := max(minKindWeight, 1/float64(mean.answers))
	seconds := took.Seconds()
	if mean.answers > 1 {
		seconds = min(seconds, maxKindRatio*mean.seconds)
	}
	mean.seconds += weight * (seconds - mean.seconds)
	mean.bytes += weight * (float64(max(0, bytes)) - mean.bytes)
}

// kindOf returns the slot of a request's kind: its host, method, the first part of its path and the magnitude of its body. Requests of one
// route mostly share these, and their answers take about as long.
func kindOf(request *Request) int {
	hash := uint32(2166136261)
	mix := func(char byte) { hash = (hash ^ uint32(char)) * 16777619 }
	for index := range len(request.Host) {
		mix(request.Host[index])
	}
	for index := range len(request.Method) {
		mix(request.Method[index])
	}
	for index := range len(request.Target) {
		char := request.Target[index]
		if char == '?' || (char == '/' && index > 0) {
			break
		}
		mix(char)
	}
	for size := len(request.Body) >> bodyMagnitudeBits; size > 0; size >>= 3 {
		mix('#')
	}
	return int(hash % kindSlots)
}

// bodyMagnitudeBits is the size, as a power of two, up to which all bodies count as small.
const bodyMagnitudeBits = 12
