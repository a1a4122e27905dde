package quarantine

import (
	"slices"
	"time"
)

const (
	// coincidenceWindow is the time within which crashes of replicas are taken to have one cause outside of the requests: less than
	// holdDuration, so that a trial and the crashes before it stay apart.
	coincidenceWindow = 2 * time.Second
	// maxKnownCrashes bounds the crashes of replicas that are compared with those under a request.
	maxKnownCrashes = 128
)

// knownCrashes holds the most recent crashes of replicas under any request, whether or not it is suspected still.
type knownCrashes struct{ events []CrashEvent }

// add records a crash and reports whether it is a new one. A crash that interrupted several requests is reported for each of them;
// the first report counts.
func (known *knownCrashes) add(replica string, at time.Time) bool {
	if slices.ContainsFunc(known.events, func(event CrashEvent) bool { return event.Replica == replica }) {
		return false
	}
	if len(known.events) == maxKnownCrashes {
		known.events = slices.Delete(known.events, 0, 1)
	}
	known.events = append(known.events, CrashEvent{replica, at})
	return true
}

// trialCoincides reports whether a crash in a trial of a request tells little about it, since a replica that the request did not run
// on crashed at about the same time: no request crashes a replica that does not run it, so that both crashes are likely to have
// another cause. The crashes before the request was held do not count: they come within seconds, so that a single other crash
// would excuse all of them. It must be called with mu held.
func (tracker *Tracker) trialCoincides(suspected *entry, now time.Time) bool {
	trials := suspected.events[max(0, len(suspected.events)-(suspected.crashes-holdThreshold)):]
	return slices.ContainsFunc(trials, func(trial CrashEvent) bool { return tracker.coincides(suspected, trial, now) })
}

// coincides reports whether a replica that a request did not run on crashed at about the time of a crash under the request, and no more
// suspected request accounts for it. It must be called with mu held.
func (tracker *Tracker) coincides(suspected *entry, crash CrashEvent, now time.Time) bool {
	if crash.InterruptedAt.IsZero() {
		return false
	}
	return slices.ContainsFunc(tracker.crashes.events, func(other CrashEvent) bool {
		apart := other.InterruptedAt.Sub(crash.InterruptedAt).Abs()
		return apart <= coincidenceWindow && !suspected.hasCrash(other.Replica) && !tracker.accountedFor(other.Replica, suspected.crashes, now)
	})
}

// accountedFor reports whether a replica crashed under a quarantined request with more crashes than the given number. It must be called
// with mu held.
func (tracker *Tracker) accountedFor(replica string, crashes int, now time.Time) bool {
	for _, other := range tracker.entries {
		if other.crashes > crashes && other.quarantined(now) && other.hasCrash(replica) {
			return true
		}
	}
	return false
}

// newest returns the last crash under the request; the zero value if none is kept.
func (entry *entry) newest() CrashEvent {
	if len(entry.events) == 0 {
		return CrashEvent{}
	}
	return entry.events[len(entry.events)-1]
}

// mayBeTried reports whether a quarantined request may have a further trial. A request that had a trial amid other crashes has one more
// than usual: beyond trialLimit no crash is coincidental, since the other crashes may be those of another request.
func (entry *entry) mayBeTried() bool { return entry.crashes < trialLimit || entry.coincidental }
