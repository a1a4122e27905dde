package backend

import (
	"time"
)

// holdReason says why a replica gets no requests for a while.
type holdReason int

const (
	holdFull holdReason = iota
	holdFailing
	holdMute
)

var holdReasonNames = [...]string{"full", "failing", "mute"}

// String returns the name used in logs and metrics.
func (reason holdReason) String() string { return holdReasonNames[reason] }

const (
	// initialHold is the first pause of a replica that fails. It doubles with each failed probe up to maxHold.
	initialHold = 400 * time.Millisecond
	maxHold     = 4 * time.Second
	// minDrain and maxDrain bound the pause of a replica that was full.
	minDrain = 5 * time.Millisecond
	maxDrain = time.Second
	// probesToReturn is how many probes in a row a replica that failed has to answer. One answer may be luck if it fails a part of them.
	probesToReturn = 3
	// probeStart bounds the time between the choice of a replica for a probe and the start of the probe.
	probeStart = 50 * time.Millisecond
)

// hold is the state of a replica that failed or was full: a pause, then one request at a time until enough of them were answered.
type hold struct {
	reason   holdReason
	until    time.Time
	pause    time.Duration
	answered int
	// chosenAt is when the replica was last chosen for a probe.
	chosenAt time.Time
}

// mayTry reports whether a replica with the given requests of this node in flight may get one more.
func (hold *hold) mayTry(own int, now time.Time) bool {
	return hold == nil || (!now.Before(hold.until) && own == 0 && now.Sub(hold.chosenAt) >= probeStart)
}

// needed returns the number of probes that must be answered.
func (hold *hold) needed() int {
	if hold.reason == holdFull {
		return 1
	}
	return probesToReturn
}

// expectedDrain returns how long a full replica takes to work off the requests that wait there, which makes room for others.
func expectedDrain(waiting, slots int, serviceTime time.Duration) time.Duration {
	drain := time.Duration(float64(max(1, waiting)) / float64(max(1, slots)) * float64(serviceTime))
	return min(maxDrain, max(minDrain, drain))
}

// nextHold returns the hold of a replica that failed once more, with a longer pause if it was held for the same reason.
func nextHold(last *hold, reason holdReason, now time.Time) *hold {
	pause := initialHold
	if last != nil && last.reason != holdFull {
		pause = min(maxHold, 2*last.pause)
	}
	return &hold{reason: reason, until: now.Add(pause), pause: pause}
}

const (
	// failureShareWeight is the weight of one answer in the share of failures.
	failureShareWeight = 0.12
	// muteWeight is the weight of a request that was never answered by a replica that answered nothing else in the meantime.
	muteWeight = 0.4
	// failingShare is how much larger than that of its peers the share of failures is from which on a replica is held.
	failingShare = 0.5
	// failureHalfLife is the time after which, without answers, half of the share is forgotten.
	failureHalfLife = 4 * time.Second
)

// failureShare is the share of a replica's answers that fail, exponentially weighted.
type failureShare struct {
	value float64
	last  time.Time
}

func (share *failureShare) observe(failed bool, weight float64, now time.Time) {
	target := 0.0
	if failed {
		target = 1
	}
	value := share.at(now)
	share.value, share.last = value+weight*(target-value), now
}

func (share *failureShare) at(now time.Time) float64 {
	if share.value == 0 {
		return 0
	}
	return share.value * halved(max(0, now.Sub(share.last)), failureHalfLife)
}

const (
	// trialPause is the first time after which a slow replica is tried again. It doubles with each trial in which the replica was still slow,
	// up to maxTrialPause.
	trialPause    = 2 * time.Second
	maxTrialPause = 16 * time.Second
	// requestsPerTrial is the least number of this node's requests at a service between two trials that are probably slow.
	requestsPerTrial = 100
)

// trialPlan is when a slow replica, which gets few requests or none, is given one to show whether it has recovered.
type trialPlan struct {
	next  time.Time
	pause time.Duration
}

// due reports whether the replica gets a trial after a number of this node's requests at the service since the last one.
func (trials *trialPlan) due(requests int, now time.Time) bool {
	returning := trials.pause == 0
	return !now.Before(trials.next) && (returning || requests >= requestsPerTrial)
}

// observe records an answer of a replica that is known as slow. A usual answer makes the next trial due at once.
func (trials *trialPlan) observe(slow bool, now time.Time) {
	switch {
	case !slow:
		*trials = trialPlan{next: now}
	case trials.pause == 0:
		*trials = trialPlan{next: now.Add(trialPause), pause: trialPause}
	case !now.Before(trials.next):
		trials.pause = min(maxTrialPause, 2*trials.pause)
		trials.next = now.Add(trials.pause)
	}
}
