package step

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Register is one stored part of a step: a key and its CBOR value. All keys of a step begin with its Prefix.
type Register struct {
	Key   string
	Value []byte
}

const (
	keyRoot       = "step/"
	keyDefinition = "definition"
	keyProgress   = "progress"
	keySlot       = "slot"
	keyBatch      = "batch"
)

// Prefix returns the common prefix of the register keys of a step.
func Prefix(stepID string) string { return keyRoot + escape(stepID) + "/" }

func escape(stepID string) string {
	return strings.ReplaceAll(strconv.QuoteToASCII(stepID), "/", "\\x2f")
}

// Registers returns the registers that store a change.
func (change Change) Registers(stepID string) ([]Register, error) {
	var registers []Register
	var failure error
	add := func(name string, value any) {
		encoded, err := cbor.Marshal(value)
		failure = errors.CombineErrors(failure, err)
		registers = append(registers, Register{Key: Prefix(stepID) + name, Value: encoded})
	}
	if change.Definition != nil {
		add(keyDefinition, *change.Definition)
	}
	for _, state := range change.Slots {
		add(fmt.Sprintf("%s/%d", keySlot, state.Slot), state)
	}
	for _, batch := range change.Batches {
		add(fmt.Sprintf("%s/%d", keyBatch, batch.Cursor), batch)
	}
	if change.Progress != nil {
		add(keyProgress, *change.Progress)
	}
	return registers, failure
}

// Load decodes registers into steps by identifier. It also returns the key prefixes of steps without a stored
// definition; the caller removes their registers.
func Load(registers []Register) (map[string]*Step, []string, error) {
	groups := make(map[string][]Register)
	for _, register := range registers {
		prefix, ok := prefixOf(register.Key)
		if !ok {
			return nil, nil, errors.Newf("key %q does not belong to a step", register.Key)
		}
		groups[prefix] = append(groups[prefix], register)
	}
	steps := make(map[string]*Step)
	var orphans []string
	for prefix, group := range groups {
		step, err := loadStep(prefix, group)
		if err != nil {
			return nil, nil, err
		}
		if step == nil {
			orphans = append(orphans, prefix)
			continue
		}
		steps[step.Definition.ID] = step
	}
	return steps, orphans, nil
}

func prefixOf(key string) (string, bool) {
	if !strings.HasPrefix(key, keyRoot) {
		return "", false
	}
	end := strings.IndexByte(key[len(keyRoot):], '/')
	if end < 0 {
		return "", false
	}
	return key[:len(keyRoot)+end+1], true
}

func loadStep(prefix string, registers []Register) (*Step, error) {
	var step *Step
	for _, register := range registers {
		if register.Key == prefix+keyDefinition {
			var definition Definition
			if err := cbor.Unmarshal(register.Value, &definition); err != nil {
				return nil, errors.Wrapf(err, "key %q", register.Key)
			}
			step = New(definition)
		}
	}
	if step == nil {
		return nil, nil
	}
	for _, register := range registers {
		change, err := decodePart(strings.TrimPrefix(register.Key, prefix), register.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "key %q", register.Key)
		}
		if err := step.checkPart(change); err != nil {
			return nil, errors.Wrapf(err, "key %q", register.Key)
		}
		step.Apply(change)
	}
	step.release(0)
	return step, nil
}

func decodePart(name string, value []byte) (Change, error) {
	kind, _, _ := strings.Cut(name, "/")
	var change Change
	var err error
	switch kind {
	case keyDefinition:
	case keyProgress:
		change.Progress = &Progress{}
		err = cbor.Unmarshal(value, change.Progress)
	case keySlot:
		change.Slots = make([]SlotState, 1)
		err = cbor.Unmarshal(value, &change.Slots[0])
	case keyBatch:
		change.Batches = make([]Batch, 1)
		err = cbor.Unmarshal(value, &change.Batches[0])
	default:
		err = errors.Newf("unknown part %q", kind)
	}
	return change, err
}

func (step *Step) checkPart(change Change) error {
	for _, state := range change.Slots {
		if int(state.Slot) >= len(step.slots) {
			return errors.Newf("slot %d of %d", state.Slot, len(step.slots))
		}
	}
	for _, batch := range change.Batches {
		if batch.Cursor >= MaximumSlots {
			return errors.Newf("cursor %d", batch.Cursor)
		}
		for _, slot := range batch.Slots {
			if int(slot) >= len(step.slots) {
				return errors.Newf("slot %d of %d in a batch", slot, len(step.slots))
			}
		}
	}
	return nil
}
