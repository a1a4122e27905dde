// Package step implements the state of one training step. A step has a fixed number of slots, each filled by one sample.
// The trainer receives the samples in batches by cursor, each sample exactly once and never beyond the staleness bound.
// The package does no I/O: methods that decide return a Change, and the caller applies it after a quorum of replicas has
// stored it.
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

// Definition is the trainer's request for a step. Slot i belongs to prompt i / GroupSize.
type Definition struct {
	ID         string    `cbor:"1,keyasint"`
	Experiment string    `cbor:"2,keyasint"`
	Prompts    []string  `cbor:"3,keyasint"`
	GroupSize  int       `cbor:"4,keyasint"`
	MaxTokens  int       `cbor:"5,keyasint"`
	Created    time.Time `cbor:"6,keyasint"`
}

// Slots returns the number of slots of the step.
func (definition Definition) Slots() int { return len(definition.Prompts) * definition.GroupSize }

// Prompt returns the prompt of a slot.
func (definition Definition) Prompt(slot uint32) string {
	return definition.Prompts[int(slot)/definition.GroupSize]
}

// Group returns the index of the prompt that a slot belongs to. All slots of a group have the same policy.
func (definition Definition) Group(slot uint32) int { return int(slot) / definition.GroupSize }

// Check returns an error that describes the first invalid field.
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

// ContentHash returns a hash of all fields except Created.
func (definition Definition) ContentHash() uint64 {
	definition.Created = time.Time{}
	encoded, err := cbor.Marshal(definition)
	if err != nil {
		panic(err) // CBOR can encode every Definition
	}
	return xxhash.Sum64(encoded)
}

// SlotState is the stored state of a slot. Sample is nil if the slot is empty. Generation counts the dropped samples.
type SlotState struct {
	Slot       uint32          `cbor:"1,keyasint"`
	Generation uint32          `cbor:"2,keyasint"`
	Sample     *rollout.Sample `cbor:"3,keyasint"`
}

// Batch holds the slots that are delivered at one cursor.
type Batch struct {
	Cursor uint64   `cbor:"1,keyasint"`
	Slots  []uint32 `cbor:"2,keyasint"`
}

// State is the state of a step in its life cycle.
type State string

// The states of a step.
const (
	StateOpen     State = "open"
	StateComplete State = "complete" // every slot was acknowledged
	StateEnded    State = "ended"    // the operator or the trainer ended it early
)

// Progress is the stored state of a step apart from its definition, slots and batches.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// NextCursor is the first cursor that has not been acknowledged.
	NextCursor uint64 `cbor:"2,keyasint"`
	// LastFetch is the greatest fetch number that was answered.
	LastFetch uint64 `cbor:"3,keyasint"`
	// Dropped counts the samples that were dropped because they exceeded the staleness bound.
	Dropped uint64 `cbor:"4,keyasint"`
	// Closed is when the step left StateOpen.
	Closed time.Time `cbor:"5,keyasint"`
}

// Change is a state change of a step: the new values of the parts that change.
type Change struct {
	Definition *Definition
	Slots      []SlotState
	Batches    []Batch
	Progress   *Progress
}

// Empty reports whether the change has no parts.
func (change Change) Empty() bool {
	return change.Definition == nil && len(change.Slots) == 0 && len(change.Batches) == 0 && change.Progress == nil
}
