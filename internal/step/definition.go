// Package step is the aggregate of one training step: N slots that are filled by samples, delivered to the trainer in
// batches by cursor, each exactly once and never over the staleness bound. It is pure: decisions return a Change, and
// the caller applies the change after it has been stored on a quorum of replicas.
package step

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Limits of a step.
const (
	MaximumSlots        = 16384
	MaximumPromptLength = 65536
	MaximumTokens       = 131072
	MaximumIDLength     = 128
)

// Definition is what the trainer asked for. Slot i belongs to prompt i / GroupSize.
type Definition struct {
	ID         string    `cbor:"1,keyasint"`
	Experiment string    `cbor:"2,keyasint"`
	Prompts    []string  `cbor:"3,keyasint"`
	GroupSize  int       `cbor:"4,keyasint"`
	MaxTokens  int       `cbor:"5,keyasint"`
	Created    time.Time `cbor:"6,keyasint"`
}

// Slots returns the number of samples that the step asks for.
func (definition Definition) Slots() int { return len(definition.Prompts) * definition.GroupSize }

// Prompt returns the prompt of a slot.
func (definition Definition) Prompt(slot uint32) string {
	return definition.Prompts[int(slot)/definition.GroupSize]
}

// Group returns the index of the prompt that a slot belongs to; the slots of a group share their policy.
func (definition Definition) Group(slot uint32) int { return int(slot) / definition.GroupSize }

// Check returns an error that names the first field out of its range.
func (definition Definition) Check() error {
	if definition.ID == "" || len(definition.ID) > MaximumIDLength {
		return result.New(result.InvalidField, "step: want an identifier of 1 to %d bytes", MaximumIDLength)
	}
	if len(definition.Prompts) == 0 || definition.GroupSize < 1 {
		return result.New(result.InvalidField, "step %q: want at least one prompt and a group size of at least 1", definition.ID)
	}
	if len(definition.Prompts) > MaximumSlots || definition.GroupSize > MaximumSlots || definition.Slots() > MaximumSlots {
		return result.New(result.InvalidField, "step %q: at most %d slots", definition.ID, MaximumSlots)
	}
	if definition.MaxTokens < 1 || definition.MaxTokens > MaximumTokens {
		return result.New(result.InvalidField, "step %q: max_tokens %d: want 1 to %d", definition.ID, definition.MaxTokens, MaximumTokens)
	}
	for index, prompt := range definition.Prompts {
		if prompt == "" || len(prompt) > MaximumPromptLength {
			return result.New(result.InvalidField, "step %q: prompt %d: want 1 to %d bytes", definition.ID, index, MaximumPromptLength)
		}
	}
	return nil
}

// ContentHash identifies what was asked for, without the time it was asked at.
func (definition Definition) ContentHash() uint64 {
	definition.Created = time.Time{}
	encoded, err := cbor.Marshal(definition)
	if err != nil {
		panic(err) // a Definition holds only values that CBOR can carry
	}
	return xxhash.Sum64(encoded)
}

// SlotState is the stored state of a slot. A nil Sample means empty. Generation grows with each sample dropped.
type SlotState struct {
	Slot       uint32          `cbor:"1,keyasint"`
	Generation uint32          `cbor:"2,keyasint"`
	Sample     *rollout.Sample `cbor:"3,keyasint"`
}

// Batch is the fixed answer for one cursor.
type Batch struct {
	Cursor uint64   `cbor:"1,keyasint"`
	Slots  []uint32 `cbor:"2,keyasint"`
}

// State is the life cycle of a step.
type State string

// The states of a step.
const (
	StateOpen     State = "open"
	StateComplete State = "complete" // every slot was acknowledged
	StateEnded    State = "ended"    // the operator or the trainer ended it early
)

// Progress is the stored position of the trainer.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// NextCursor is the first cursor that has not been acknowledged.
	NextCursor uint64 `cbor:"2,keyasint"`
	// LastFetch is the greatest fetch number answered.
	LastFetch uint64 `cbor:"3,keyasint"`
	// Dropped counts the samples dropped as too old.
	Dropped uint64 `cbor:"4,keyasint"`
	// Closed is when the step left StateOpen.
	Closed time.Time `cbor:"5,keyasint"`
}

// Change is the outcome of a decision: the new values of the parts it names.
type Change struct {
	Definition *Definition
	Slots      []SlotState
	Batches    []Batch
	Progress   *Progress
}

// Empty reports whether the change names no part.
func (change Change) Empty() bool {
	return change.Definition == nil && len(change.Slots) == 0 && len(change.Batches) == 0 && change.Progress == nil
}
