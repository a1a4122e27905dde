package step

import (
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Step is the state of one training step. Only Apply modifies it; methods that decide return a Change.
// Invariants: a slot is in at most one batch; a slot in a batch is filled; only the last batch may be unacknowledged.
type Step struct {
	Definition Definition
	Progress   Progress
	slots      []SlotState
	batches    []Batch
	batched    []bool // by slot: whether it is in a batch
	filled     int
}

// New returns an open step without samples.
func New(definition Definition) *Step {
	count := definition.Slots()
	step := &Step{
		Definition: definition,
		Progress:   Progress{State: StateOpen},
		slots:      make([]SlotState, count),
		batched:    make([]bool, count),
	}
	for index := range step.slots {
		step.slots[index].Slot = uint32(index)
	}
	return step
}

// Apply applies a change that has been stored.
func (step *Step) Apply(change Change) {
	for _, state := range change.Slots {
		if (step.slots[state.Slot].Sample != nil) != (state.Sample != nil) {
			step.filled += filledDelta(state)
		}
		step.slots[state.Slot] = state
	}
	for _, batch := range change.Batches {
		step.setBatch(batch)
	}
	if change.Progress != nil {
		released := step.Progress.NextCursor
		step.Progress = *change.Progress
		step.release(released)
	}
}

// release frees the memory of acknowledged samples, which are not fetched again, from the given cursor on. The slots stay
// filled, and the stored registers keep the samples until the step is removed.
func (step *Step) release(from uint64) {
	for cursor := from; cursor < step.Progress.NextCursor && step.hasBatch(cursor); cursor++ {
		for _, slot := range step.batches[cursor].Slots {
			if step.slots[slot].Sample != nil {
				step.slots[slot].Sample = &rollout.Sample{Policy: step.slots[slot].Sample.Policy}
			}
		}
	}
}

func filledDelta(state SlotState) int {
	if state.Sample != nil {
		return 1
	}
	return -1
}

func (step *Step) setBatch(batch Batch) {
	for uint64(len(step.batches)) <= batch.Cursor {
		step.batches = append(step.batches, Batch{Cursor: uint64(len(step.batches))})
	}
	for _, slot := range step.batches[batch.Cursor].Slots {
		step.batched[slot] = false
	}
	step.batches[batch.Cursor] = batch
	for _, slot := range batch.Slots {
		step.batched[slot] = true
	}
}

// Filled returns the number of slots with a sample.
func (step *Step) Filled() int { return step.filled }

// Delivered returns the number of slots that are in a batch.
func (step *Step) Delivered() int {
	count := 0
	for _, batched := range step.batched {
		if batched {
			count++
		}
	}
	return count
}

// Slot returns the state of a slot.
func (step *Step) Slot(slot uint32) SlotState { return step.slots[slot] }

// Offer returns the change that fills a slot with a sample. If the slot is filled or the step is closed, the sample is a
// duplicate and the change is empty.
func (step *Step) Offer(slot uint32, sample rollout.Sample) (Change, result.Code, error) {
	if int(slot) >= len(step.slots) {
		return Change{}, result.InvalidField, result.New(result.InvalidField, "slot %d of %d", slot, len(step.slots))
	}
	if err := sample.Check(); err != nil {
		return Change{}, result.CodeOf(err), err
	}
	state := step.slots[slot]
	if state.Sample != nil || step.Progress.State != StateOpen {
		return Change{}, result.DoneDuplicate, nil
	}
	state.Sample = &sample
	return Change{Slots: []SlotState{state}}, result.Done, nil
}

// Newest returns the newest known version of a policy.
type Newest func(policy string) uint64

// Staleness is the staleness of a sample at a point in time.
type Staleness struct {
	Versions uint64
	Age      time.Duration
}

// StalenessOf returns how many versions the oldest span of a sample is behind newest, and the time since the rollout
// started. A version greater than newest counts as not stale.
func StalenessOf(sample rollout.Sample, newest uint64, now time.Time) Staleness {
	staleness := Staleness{Age: max(0, now.Sub(sample.Started))}
	if oldest := sample.OldestVersion(); newest > oldest {
		staleness.Versions = newest - oldest
	}
	return staleness
}

// Exceeds reports whether the staleness exceeds the bound.
func (staleness Staleness) Exceeds(bound experiment.Bound) bool {
	if bound.HasVersions && staleness.Versions > bound.Versions {
		return true
	}
	return bound.Age > 0 && staleness.Age > bound.Age
}

// Fetch is a trainer's request for the samples at a cursor.
type Fetch struct {
	Cursor uint64
	// Number must increase with each fetch of the step. The trainer uses only the answer to its greatest number.
	Number uint64
	// Maximum is the maximum number of samples to return.
	Maximum int
}

// Delivery is one sample of a FetchResult, with its staleness at the fetch.
type Delivery struct {
	Slot       uint32
	Generation uint32
	Sample     rollout.Sample
	Staleness  Staleness
}

// FetchResult is the outcome of Step.Fetch. Change must be stored before the deliveries are sent to the trainer.
type FetchResult struct {
	Deliveries []Delivery
	Change     Change
	Dropped    int
}

// Fetch returns the samples at the trainer's cursor. A repeated fetch of a cursor returns the samples of its batch again,
// except those that exceed the staleness bound by now. A repeated fetch implies that the trainer did not use the earlier
// answer, so these samples are dropped and their slots are generated again. docs/design/0003-delivery.md explains why.
func (step *Step) Fetch(fetch Fetch, bound experiment.Bound, newest Newest, now time.Time) (FetchResult, error) {
	if step.Progress.State == StateEnded {
		return FetchResult{}, result.New(result.InvalidState, "step %q was ended", step.Definition.ID)
	}
	if fetch.Cursor != step.Progress.NextCursor {
		return FetchResult{}, result.New(result.ConflictFetch, "cursor %d: the next one is %d", fetch.Cursor, step.Progress.NextCursor)
	}
	if fetch.Number <= step.Progress.LastFetch {
		return FetchResult{}, result.New(result.ConflictFetch, "fetch number %d: %d was answered", fetch.Number, step.Progress.LastFetch)
	}
	candidates := step.candidates(fetch)
	answer := FetchResult{}
	batch := Batch{Cursor: fetch.Cursor}
	for _, slot := range candidates {
		state := step.slots[slot]
		staleness := StalenessOf(*state.Sample, newest(state.Sample.Policy), now)
		if staleness.Exceeds(bound) {
			answer.Change.Slots = append(answer.Change.Slots, emptied(state))
			answer.Dropped++
			continue
		}
		batch.Slots = append(batch.Slots, slot)
		answer.Deliveries = append(answer.Deliveries, Delivery{Slot: slot, Generation: state.Generation, Sample: *state.Sample, Staleness: staleness})
	}
	if len(batch.Slots) > 0 || step.hasBatch(fetch.Cursor) {
		answer.Change.Batches = []Batch{batch}
	}
	progress := step.Progress
	progress.LastFetch = fetch.Number
	progress.Dropped += uint64(answer.Dropped)
	answer.Change.Progress = &progress
	return answer, nil
}

func (step *Step) hasBatch(cursor uint64) bool { return cursor < uint64(len(step.batches)) }

// candidates returns the slots of the cursor's batch if it has any, or else up to fetch.Maximum filled slots that are in no
// batch.
func (step *Step) candidates(fetch Fetch) []uint32 {
	if step.hasBatch(fetch.Cursor) && len(step.batches[fetch.Cursor].Slots) > 0 {
		return slices.Clone(step.batches[fetch.Cursor].Slots)
	}
	var slots []uint32
	for _, state := range step.slots {
		if len(slots) >= fetch.Maximum {
			break
		}
		if state.Sample != nil && !step.batched[state.Slot] {
			slots = append(slots, state.Slot)
		}
	}
	return slots
}

func emptied(state SlotState) SlotState {
	return SlotState{Slot: state.Slot, Generation: state.Generation + 1}
}

// Expire returns the change that drops the undelivered samples that exceed the bound, so that their slots are generated
// again before the trainer fetches.
func (step *Step) Expire(bound experiment.Bound, newest Newest, now time.Time) Change {
	var change Change
	if step.Progress.State != StateOpen {
		return change
	}
	for _, state := range step.slots {
		if state.Sample == nil || step.batched[state.Slot] {
			continue
		}
		if StalenessOf(*state.Sample, newest(state.Sample.Policy), now).Exceeds(bound) {
			change.Slots = append(change.Slots, emptied(state))
		}
	}
	if len(change.Slots) > 0 {
		progress := step.Progress
		progress.Dropped += uint64(len(change.Slots))
		change.Progress = &progress
	}
	return change
}

// Acknowledge returns the change that moves the cursor past a delivered batch. The change is empty if the cursor was
// acknowledged before.
func (step *Step) Acknowledge(cursor uint64, now time.Time) (Change, error) {
	if cursor < step.Progress.NextCursor {
		return Change{}, nil
	}
	if cursor != step.Progress.NextCursor || !step.hasBatch(cursor) || len(step.batches[cursor].Slots) == 0 {
		return Change{}, result.New(result.ConflictFetch, "cursor %d was not delivered; the next one is %d", cursor, step.Progress.NextCursor)
	}
	progress := step.Progress
	progress.NextCursor++
	if step.Delivered() == len(step.slots) {
		progress.State = StateComplete
		progress.Closed = now
	}
	return Change{Progress: &progress}, nil
}

// End returns the change that closes an open step early. The change is empty if the step is closed.
func (step *Step) End(now time.Time) Change {
	if step.Progress.State != StateOpen {
		return Change{}
	}
	progress := step.Progress
	progress.State = StateEnded
	progress.Closed = now
	return Change{Progress: &progress}
}
