package quarantine

import (
	"bytes"
	"time"
)

// attribute determines whether the newest crash under a quarantined request is attributed to another one, and whether so many of its
// crashes coincide with others that fewer count against it than quarantine takes.
//
// A crash interrupts every request that runs on the replica. Requests that are held for the same time become due together
// and, where few replicas are left, can reach the same one. Its crash is then no evidence against the less suspected
// request, which has had no trial of its own. A crash is attributed only to a quarantined request, because that request is
// no longer sent and cannot spoil the next trial as well. Attribution leaves a request one more trial, as quarantine does,
// so a request that crashes replicas itself gains no more runs than if every node knew of every crash.
//
// It must be called with mu held.
func (tracker *Tracker) attribute(fingerprint Fingerprint, entry *entry, now time.Time) {
	if entry.computedAt == tracker.changes {
		return
	}
	entry.computedAt = tracker.changes
	entry.culprit, entry.attributed, entry.coincidental, entry.peers = Fingerprint{}, false, false, trialPeers{}
	if entry.crashes < quarantineThreshold || entry.crashes > trialLimit || len(entry.events) == 0 {
		return
	}
	entry.coincidental = tracker.trialCoincides(entry, now)
	if entry.mayBeTried() {
		tracker.compareWithOthers(fingerprint, entry, now)
	}
}

// triedSoon reports whether the next trial comes holdDuration after the newest crash, as that is no evidence against the request.
func (entry *entry) triedSoon() bool {
	return entry.mayBeTried() && (entry.attributed || entry.coincidental)
}

// compareWithOthers compares a quarantined request with all others that the same newest crash interrupted. It must be called
// with mu held.
//
// Of these, only one at a time may be tried: a crash in a trial that another request spoils would use up the only trial of
// a request. They take turns by fingerprint, the most suspected last (see takeTurn). A request whose trial is over, because
// it was answered or has crashed a replica, no longer takes a turn. Whether the trial of another request is over is taken
// from its stored record, which all nodes share: a node that knows of a crash that others have missed would otherwise expect
// no trial where another node makes one.
func (tracker *Tracker) compareWithOthers(fingerprint Fingerprint, entry *entry, now time.Time) {
	newest := entry.newest().Replica
	for other, suspected := range tracker.entries {
		if other == fingerprint || !suspected.quarantined(now) || !suspected.hasCrash(newest) {
			continue
		}
		if entry.crashes < trialLimit && moreSuspected(other, suspected, fingerprint, entry) {
			entry.culprit, entry.attributed = other, true
		}
		if suspected.sharedCrashes() < trialLimit {
			entry.peers.add(suspected, bytes.Compare(other[:], fingerprint[:]) > 0)
		}
	}
}

// sharedCrashes returns the number of crashes in the stored record, or what this node has counted if there is no record.
func (entry *entry) sharedCrashes() int {
	if entry.storedCrashes > 0 {
		return entry.storedCrashes
	}
	return entry.crashes
}

// moreSuspected is a strict order by the number of crashes, so that of requests with the same crashes at most one is
// exonerated by the other. Ties are broken by fingerprint, so that all nodes choose the same request.
func moreSuspected(fingerprint Fingerprint, suspect *entry, other Fingerprint, otherSuspect *entry) bool {
	if suspect.crashes != otherSuspect.crashes {
		return suspect.crashes > otherSuspect.crashes
	}
	return bytes.Compare(fingerprint[:], other[:]) < 0
}

// attributedTo returns the fingerprint of the request to which the newest crash is attributed, as it appears in logs;
// empty for none.
func (decision Decision) attributedTo() string {
	if !decision.Attributed {
		return ""
	}
	return decision.Culprit.String()
}
