package partition

// removalsPerGeneration bounds the removals that are remembered: one to two generations of them. A write that is overtaken
// by a removal arrives within the time limit of a call.
const removalsPerGeneration = 8192

// removals remembers the prefixes that were removed at the current epoch, so that a write which was sent before a removal
// and arrives after it stores nothing. It is in memory only: calls to a process that has ended do not reach its successor.
// The zero value is empty.
type removals struct {
	// Sequences of removals by prefix.
	current, previous map[string]uint64
}

// reset forgets all removals. Replicas refuse the writes of earlier epochs.
func (removals *removals) reset() {
	removals.current, removals.previous = nil, nil
}

func (removals *removals) add(write Write) {
	if write.RemovalSequence == 0 {
		return
	}
	for _, prefix := range write.RemovePrefixes {
		if len(removals.current) >= removalsPerGeneration {
			removals.previous, removals.current = removals.current, nil
		}
		if removals.current == nil {
			removals.current = make(map[string]uint64)
		}
		removals.current[prefix] = max(removals.current[prefix], write.RemovalSequence)
	}
}

// cover reports whether a register was removed after it was written.
func (removals *removals) cover(register Register) bool {
	if len(removals.current)+len(removals.previous) == 0 {
		return false
	}
	for end := range len(register.Key) + 1 {
		prefix := register.Key[:end]
		if register.Sequence <= max(removals.current[prefix], removals.previous[prefix]) {
			return true
		}
	}
	return false
}
