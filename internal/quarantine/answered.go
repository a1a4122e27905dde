package quarantine

import "time"

// ClearAnswered drops the crashes under a request that occurred before a replica answered it, and reports whether any were
// recorded. Crashes that are reported later are dropped too if they occurred before the answer.
func (tracker *Tracker) ClearAnswered(fingerprint Fingerprint, answeredAt time.Time) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known := tracker.entries[fingerprint]
	if known == nil {
		return false
	}
	tracker.answered.add(fingerprint, answeredAt)
	later := known.eventsAfter(answeredAt)
	if len(later) == len(known.events) && len(later) > 0 {
		return false
	}
	tracker.remove(fingerprint)
	if len(later) > 0 {
		tracker.replaceEvents(fingerprint, known, later)
	}
	return true
}

// RecordAnswer records that a request was answered at another node, and does what ClearAnswered does.
func (tracker *Tracker) RecordAnswer(fingerprint Fingerprint, answeredAt time.Time) bool {
	tracker.mu.Lock()
	tracker.answered.add(fingerprint, answeredAt)
	tracker.mu.Unlock()
	return tracker.ClearAnswered(fingerprint, answeredAt)
}

// AnsweredAt returns when a request that was suspected was last known to be answered; the zero value for never.
func (tracker *Tracker) AnsweredAt(fingerprint Fingerprint) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.answered.at(fingerprint)
}

// replaceEvents adds an entry that holds only the given crashes of the former one. It must be called with mu held.
func (tracker *Tracker) replaceEvents(fingerprint Fingerprint, former *entry, events []CrashEvent) {
	replaced := tracker.getOrCreate(fingerprint, former.lastSeen)
	replaced.lastTrial = former.lastTrial
	replaced.storedCrashes, replaced.restoredAt = former.storedCrashes, former.restoredAt
	for _, event := range events {
		simultaneous := replaced.hasSimultaneous(event.InterruptedAt)
		replaced.addEvent(event)
		if !simultaneous {
			replaced.setCrashes(replaced.crashes+1, former.reporter, former.lastSeen, former.until)
		}
	}
}

// eventsAfter returns the recorded crashes that occurred after a moment. Those known from the stored record only occurred
// before it was read.
func (entry *entry) eventsAfter(moment time.Time) []CrashEvent {
	var later []CrashEvent
	for _, event := range entry.events {
		occurred := event.InterruptedAt
		if occurred.IsZero() {
			occurred = entry.restoredAt
		}
		if occurred.After(moment) {
			later = append(later, event)
		}
	}
	return later
}

// answers remembers when requests were answered, at least the last maxEntries of them. The zero value is empty.
type answers struct {
	// Two generations: once the current one is full, it replaces the previous one.
	current, previous map[Fingerprint]time.Time
}

func (answers *answers) at(fingerprint Fingerprint) time.Time {
	if at, known := answers.current[fingerprint]; known {
		return at
	}
	return answers.previous[fingerprint]
}

func (answers *answers) add(fingerprint Fingerprint, at time.Time) {
	if !at.After(answers.at(fingerprint)) {
		return
	}
	if len(answers.current) >= maxEntries {
		answers.previous, answers.current = answers.current, nil
	}
	if answers.current == nil {
		answers.current = make(map[Fingerprint]time.Time)
	}
	answers.current[fingerprint] = at
}

// disprove reports whether a request was answered after a crash under it. A crash whose time is not known stands.
func (answers *answers) disprove(fingerprint Fingerprint, interruptedAt time.Time) bool {
	answeredAt := answers.at(fingerprint)
	return !answeredAt.IsZero() && !interruptedAt.IsZero() && !interruptedAt.After(answeredAt)
}
