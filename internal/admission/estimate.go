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

// observeAtLeast records a request that was cut off: its service time is unknown but no shorter than took.
func (average *serviceTime) observeAtLeast(took time.Duration) {
	if float64(took) > average.mean {
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
	inTime   kind = iota // interactive, can still be answered with full value
	critical             // scoring, its step is about to miss its due time
	late                 // past the time of full value
	spare                // scoring with time to spare
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
	scoring := usage.used[critical] + usage.used[spare]
	total := scoring + usage.used[inTime] + usage.used[late]
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
