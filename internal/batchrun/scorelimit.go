package batchrun

import "time"

const (
	// scoreTimeout is the time limit of a scoring call to a service whose times are unknown.
	scoreTimeout = 1500 * time.Millisecond
	// minScoreTimeout is the lowest time limit: a call that waits in a replica's queue or for a new connection is not stuck yet.
	minScoreTimeout = 300 * time.Millisecond
	// scoreTimeWeight is the weight of a new call in the averages, as 1/scoreTimeWeight.
	scoreTimeWeight = 16
	// minScoreTimes is the number of calls from which the averages are used.
	minScoreTimes = 8
	// scoreTimesTTL is the age of the last call after which the times of a service count as unknown.
	scoreTimesTTL = time.Minute
	// scoreDeviations and scoreMeans set the time limit as a number of mean deviations above the mean, and at least as a multiple of the mean.
	scoreDeviations = 4
	scoreMeans      = 2
)

// scoreTimes tracks how long a service takes for a scoring call, and sets the time limit of calls from it. It answers the load of a replica
// that hangs, whose texts go to others soon, beside that of a service that becomes slower as a whole, whose calls must not all be cut
// off. It is not safe for concurrent use.
type scoreTimes struct {
	mean, deviation time.Duration
	count           int
	last            time.Time
}

// observe records a call that was answered. A call that was cut off is not recorded: its time is not known, and one replica that hangs would
// raise the limit for all.
func (times *scoreTimes) observe(took time.Duration, now time.Time) {
	if !times.known(now) && now.Sub(times.last) > scoreTimesTTL {
		*times = scoreTimes{mean: took, deviation: took / 2}
	}
	times.deviation += ((took - times.mean).Abs() - times.deviation) / scoreTimeWeight
	times.mean += (took - times.mean) / scoreTimeWeight
	times.count++
	times.last = now
}

func (times *scoreTimes) known(now time.Time) bool {
	return times.count >= minScoreTimes && now.Sub(times.last) <= scoreTimesTTL
}

// limit returns the time limit of a call that is the attempt after timeouts calls of the same text were cut off. left is the time in which the
// step can use the score. The first call gets at most half of it, so that another can follow, but never less than calls usually take. Each
// earlier timeout doubles the limit: a service that became slower would otherwise have each call of a text cut off.
func (times *scoreTimes) limit(timeouts int, left time.Duration, now time.Time) time.Duration {
	usual, least := scoreTimeout, minScoreTimeout
	if times.known(now) {
		least = max(minScoreTimeout, scoreMeans*times.mean)
		usual = max(least, times.mean+scoreDeviations*times.deviation)
	}
	if timeouts == 0 {
		return min(usual, max(least, left/2))
	}
	least <<= min(timeouts, maxTimeoutDoublings)
	usual <<= min(timeouts, maxTimeoutDoublings)
	return min(usual, max(least, left))
}

// maxTimeoutDoublings bounds the doublings of the time limit.
const maxTimeoutDoublings = 4
