package dissemination

import (
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

const (
	// maxBeaconDelay is how much longer than the fastest beacon of the same sender a beacon may take. A slower beacon was buffered while a
	// relay or this node was paused, and its revisions are out of date. It equals the pause after which a process expects to have missed
	// beacons.
	maxBeaconDelay = pauseThreshold
	// delayDrift is added to the minimum delay with each beacon, 2.5 ms a second at beaconInterval. It exceeds the drift between two
	// clocks, and lets a path that has become permanently slower be accepted after some minutes.
	delayDrift = time.Millisecond
	// maxSenders bounds the senders whose delays are tracked.
	maxSenders = 16
)

// beaconDelays detects beacons that were delayed in transit. It compares the sender's clock with the clock of this node; the offset between
// the two is unknown but constant.
type beaconDelays struct {
	// minimum is the smallest observed difference between the two clocks, by sender.
	minimum map[process]time.Duration
}

// stale reports whether a beacon that arrives at elapsed, by this node's clock, was delayed for too long.
func (delays *beaconDelays) stale(beacon *clusterv1.Beacon, elapsed time.Duration) bool {
	if beacon.GetSentUs() == 0 {
		return false
	}
	sender := process{beacon.GetName(), beacon.GetLife()}
	difference := elapsed - time.Duration(beacon.GetSentUs())*time.Microsecond
	minimum, known := delays.minimum[sender]
	if !known && len(delays.minimum) >= maxSenders {
		clear(delays.minimum)
	}
	if delays.minimum == nil {
		delays.minimum = make(map[process]time.Duration)
	}
	if !known {
		minimum = difference
	}
	delays.minimum[sender] = min(difference, minimum+delayDrift)
	return difference > minimum+maxBeaconDelay
}
