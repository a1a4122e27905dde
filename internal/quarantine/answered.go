package quarantine

import "time"

// ClearAnswered drops the crashes under a request that occurred before a replica answered it, and reports whether any were
// recorded. Crashes that are reported later are dropped too if they occurred before the answer.
func (tracker *Tracker) ClearAnswered(fingerprint Fingerprint, answeredAt, now time.Time) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.rememberAnswer(fingerprint, answeredAt, now)
	known := tracker.entries[fingerprint]
	if known == nil {
		return false
	}
	later := known.eventsAfter(answeredAt)
	if len(later) == len(known.events) && len(later) > 0 {
		return false
	}
	tracker.remove(fingerprint)
	if len(later) > 0 {
		tracker.replaceEvents(fingerprint, known, later, now)
	}
	return true
}

// replaceEvents adds an entry that holds only the given crashes of the former one. It must be called with mu held.
func (tracker *Tracker) replaceEvents(fingerprint Fingerprint, former *entry, events []CrashEvent, now time.Time) {
	replaced := tracker.getOrCreate(fingerprint, now)
	replaced.firstSeen, replaced.lastTrial, replaced.storedCrashes = former.firstSeen, former.lastTrial, former.storedCrashes
	for _, event := range events {
		simultaneous := replaced.hasSimultaneous(event.InterruptedAt)
		replaced.addEvent(event)
		if !simultaneous {
			replaced.setCrashes(replaced.crashes+1, former.reporter, former.lastSeen, former.until)
		}
	}
}

// eventsAfter returns the recorded crashes that occurred after a moment.
func (entry *entry) eventsAfter(moment time.Time) []CrashEvent {
	var later []CrashEvent
	for _, event := range entry.events {
		if event.InterruptedAt.After(moment) {
			later = append(later, event)
		}
	}
	return later
}

// rememberAnswer must be called with mu held.
func (tracker *Tracker) rememberAnswer(fingerprint Fingerprint, answeredAt, now time.Time) {
	if len(tracker.answered) >= maxEntries {
		tracker.forgetAnswers(now)
	}
	if answeredAt.After(tracker.answered[fingerprint]) {
		tracker.answered[fingerprint] = answeredAt
	}
}

// forgetAnswers removes the answers before which no crash counts any more and, if there are none, the oldest one. It must
// be called with mu held.
func (tracker *Tracker) forgetAnswers(now time.Time) {
	var oldest Fingerprint
	var oldestAt time.Time
	for fingerprint, at := range tracker.answered {
		if now.Sub(at) > suspicionDuration {
			delete(tracker.answered, fingerprint)
			continue
		}
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = fingerprint, at
		}
	}
	if len(tracker.answered) >= maxEntries {
		delete(tracker.answered, oldest)
	}
}

// AnsweredAt returns when a request was last known to be answered; the zero value for never.
func (tracker *Tracker) AnsweredAt(fingerprint Fingerprint) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.answered[fingerprint]
}
