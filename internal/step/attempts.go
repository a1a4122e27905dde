package step

import (
	"slices"
	"time"
)

// Attempt is one attempt by one node to fill a slot.
type Attempt struct {
	Number  uint64
	Slot    uint32
	NodeID  string
	Began   time.Time
	Renewed time.Time
}

// Attempts tracks the running attempts of a step. It exists only in the memory of the partition's owner: a new owner starts
// without attempts, and accepts samples of attempts that it does not know.
type Attempts struct {
	running map[uint32][]Attempt // by slot
}

// NewAttempts returns an empty tracker.
func NewAttempts() *Attempts { return &Attempts{running: make(map[uint32][]Attempt)} }

// Begin adds an attempt.
func (attempts *Attempts) Begin(attempt Attempt) {
	attempts.running[attempt.Slot] = append(attempts.running[attempt.Slot], attempt)
}

// Renew sets the renewal time of an attempt. It returns false if the attempt is unknown.
func (attempts *Attempts) Renew(slot uint32, number uint64, now time.Time) bool {
	for index := range attempts.running[slot] {
		if attempts.running[slot][index].Number == number {
			attempts.running[slot][index].Renewed = now
			return true
		}
	}
	return false
}

// Finish removes all attempts of a slot.
func (attempts *Attempts) Finish(slot uint32) { delete(attempts.running, slot) }

// Abandon removes one attempt.
func (attempts *Attempts) Abandon(slot uint32, number uint64) {
	attempts.keep(slot, func(attempt Attempt) bool { return attempt.Number != number })
}

// Expire removes the attempts whose last renewal is older than silence, and returns their number.
func (attempts *Attempts) Expire(now time.Time, silence time.Duration) int {
	expired := 0
	for slot := range attempts.running {
		before := len(attempts.running[slot])
		attempts.keep(slot, func(attempt Attempt) bool { return now.Sub(attempt.Renewed) <= silence })
		expired += before - len(attempts.running[slot])
	}
	return expired
}

func (attempts *Attempts) keep(slot uint32, wanted func(Attempt) bool) {
	kept := slices.DeleteFunc(attempts.running[slot], func(attempt Attempt) bool { return !wanted(attempt) })
	if len(kept) == 0 {
		delete(attempts.running, slot)
		return
	}
	attempts.running[slot] = kept
}

// Count returns the number of attempts running for a slot.
func (attempts *Attempts) Count(slot uint32) int { return len(attempts.running[slot]) }

// Running returns the number of slots with at least one attempt.
func (attempts *Attempts) Running() int { return len(attempts.running) }

// Oldest returns the oldest running attempt of a slot, and false if there is none.
func (attempts *Attempts) Oldest(slot uint32) (Attempt, bool) {
	if len(attempts.running[slot]) == 0 {
		return Attempt{}, false
	}
	return attempts.running[slot][0], true
}

// Due returns up to limit empty slots without an attempt, in slot order.
func (step *Step) Due(attempts *Attempts, limit int) []SlotState {
	var due []SlotState
	if step.Progress.State != StateOpen {
		return nil
	}
	for _, state := range step.slots {
		if len(due) >= limit {
			break
		}
		if state.Sample == nil && attempts.Count(state.Slot) == 0 {
			due = append(due, state)
		}
	}
	return due
}

// Stragglers returns the empty slots whose only attempt began before the given time: the candidates for a second attempt.
// It returns none while more than remaining slots are empty.
func (step *Step) Stragglers(attempts *Attempts, before time.Time, remaining int) []SlotState {
	if step.Progress.State != StateOpen || len(step.slots)-step.filled > remaining {
		return nil
	}
	var slow []SlotState
	for _, state := range step.slots {
		oldest, running := attempts.Oldest(state.Slot)
		if state.Sample == nil && running && attempts.Count(state.Slot) == 1 && oldest.Began.Before(before) {
			slow = append(slow, state)
		}
	}
	return slow
}
