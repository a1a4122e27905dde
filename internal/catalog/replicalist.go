package catalog

import (
	"iter"
	"slices"
	"strings"
)

// maxChunkSize bounds the replicas of a chunk. A change copies a chunk and the list of chunks: smaller chunks make the former
// cheaper, larger ones the latter.
const maxChunkSize = 256

// ReplicaList is an immutable list of replicas, ordered by identifier. It consists of chunks, so that a change copies only the
// chunks that it touches and shares the others with the former list.
type ReplicaList struct {
	// chunks has no empty chunk; starts has the position of the first replica of each chunk.
	chunks []chunk
	starts []int
	size   int
	// working is the number of replicas that are not draining, slots the number of their slots.
	working, slots int
}

// chunk is a contiguous part of a list.
type chunk struct {
	replicas       []*Replica
	working, slots int
}

func newChunk(replicas []*Replica) chunk {
	created := chunk{replicas: replicas}
	for _, replica := range replicas {
		if !replica.Draining {
			created.working++
			created.slots += max(replica.Slots, 1)
		}
	}
	return created
}

// NewReplicaList returns a list of the given replicas, which may be in any order.
func NewReplicaList(replicas ...*Replica) ReplicaList {
	return newReplicaList(slices.SortedFunc(slices.Values(replicas), func(a, b *Replica) int { return strings.Compare(a.ID, b.ID) }))
}

func newReplicaList(sorted []*Replica) ReplicaList {
	return listOfChunks(splitChunks(sorted))
}

// splitChunks splits sorted replicas into half-filled chunks, which have room to grow.
func splitChunks(sorted []*Replica) []chunk {
	var chunks []chunk
	for part := range slices.Chunk(sorted, maxChunkSize/2) {
		chunks = append(chunks, newChunk(part))
	}
	return chunks
}

func listOfChunks(chunks []chunk) ReplicaList {
	list := ReplicaList{chunks: chunks, starts: make([]int, 0, len(chunks))}
	for _, chunk := range chunks {
		list.starts = append(list.starts, list.size)
		list.size += len(chunk.replicas)
		list.working += chunk.working
		list.slots += chunk.slots
	}
	return list
}

// Len returns the number of replicas.
func (list ReplicaList) Len() int { return list.size }

// Working returns the number of replicas that are not draining.
func (list ReplicaList) Working() int { return list.working }

// Slots returns the number of slots of the replicas that are not draining, at least one for each replica.
func (list ReplicaList) Slots() int { return list.slots }

// At returns the replica at a position, counted from 0.
func (list ReplicaList) At(position int) *Replica {
	index, found := slices.BinarySearch(list.starts, position)
	if !found {
		index--
	}
	return list.chunks[index].replicas[position-list.starts[index]]
}

// Each iterates over the replicas in order.
func (list ReplicaList) Each() iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		for _, chunk := range list.chunks {
			for _, replica := range chunk.replicas {
				if !yield(replica) {
					return
				}
			}
		}
	}
}

// Find returns the replica with an identifier, or nil.
func (list ReplicaList) Find(id string) *Replica {
	if list.size == 0 {
		return nil
	}
	replicas := list.chunks[list.chunkOf(id)].replicas
	index, found := searchReplicas(replicas, id)
	if !found {
		return nil
	}
	return replicas[index]
}

// firstFrom returns the first replica whose identifier is at least id, or nil.
func (list ReplicaList) firstFrom(id string) *Replica {
	if list.size == 0 {
		return nil
	}
	chunk := list.chunkOf(id)
	index, _ := searchReplicas(list.chunks[chunk].replicas, id)
	position := list.starts[chunk] + index
	if position >= list.size {
		return nil
	}
	return list.At(position)
}

// chunkOf returns the index of the chunk that an identifier belongs to.
func (list ReplicaList) chunkOf(id string) int {
	index, found := slices.BinarySearchFunc(list.chunks, id, func(chunk chunk, id string) int { return strings.Compare(chunk.replicas[0].ID, id) })
	if found {
		return index
	}
	return max(0, index-1)
}

func searchReplicas(sorted []*Replica, id string) (index int, found bool) {
	return slices.BinarySearchFunc(sorted, id, func(replica *Replica, id string) int { return strings.Compare(replica.ID, id) })
}

// with returns the list after changes, which are ordered by identifier, at most one for each replica.
func (list ReplicaList) with(changes []ReplicaChange) ReplicaList {
	if list.size == 0 {
		return newReplicaList(mergeChanges(nil, changes))
	}
	chunks := make([]chunk, 0, len(list.chunks)+1)
	for index, before := range list.chunks {
		count := len(changes)
		if index+1 < len(list.chunks) {
			next := list.chunks[index+1].replicas[0].ID
			count, _ = slices.BinarySearchFunc(changes, next, func(change ReplicaChange, id string) int { return strings.Compare(change.ID, id) })
		}
		if count == 0 {
			chunks = append(chunks, before)
			continue
		}
		chunks = append(chunks, before.with(changes[:count])...)
		changes = changes[count:]
	}
	return listOfChunks(chunks)
}

// with returns the chunks that replace this one after changes: none if it becomes empty, several if it grows too large.
func (before chunk) with(changes []ReplicaChange) []chunk {
	replicas := mergeChanges(before.replicas, changes)
	if len(replicas) <= maxChunkSize && len(replicas) > 0 {
		return []chunk{newChunk(replicas)}
	}
	return splitChunks(replicas)
}

// mergeChanges returns the replicas after changes; both are ordered by identifier.
func mergeChanges(sorted []*Replica, changes []ReplicaChange) []*Replica {
	result := make([]*Replica, 0, len(sorted)+len(changes))
	for _, change := range changes {
		index, found := searchReplicas(sorted, change.ID)
		result = append(result, sorted[:index]...)
		if change.Replica != nil {
			result = append(result, change.Replica)
		}
		if found {
			index++
		}
		sorted = sorted[index:]
	}
	return append(result, sorted...)
}
