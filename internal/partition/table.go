// Package partition replicates the state of a small, fixed number of partitions. Each partition has one owner, which
// writes registers to a set of replicas. Every write carries the owner's epoch, and a replica that has promised a greater
// epoch refuses it. A new owner raises the epoch in the key-value service by compare-and-swap, then collects promises and
// registers from a read quorum of the replicas, and only then serves. docs/design/0002-partitions.md compares the
// alternatives.
package partition

import (
	"fmt"
	"slices"
	"time"
)

// Kind is the type of state that a partition holds.
type Kind string

// The kinds of partitions.
const (
	KindSteps  Kind = "steps"  // training steps and their samples, on the disks of nodes with a data folder
	KindClaims Kind = "claims" // claims of non-repeatable requests, in the memory of any node
)

// Count is the fixed number of partitions of each kind.
const Count = 16

// Name identifies one partition.
type Name struct {
	Kind  Kind   `json:"kind" cbor:"1,keyasint"`
	Index uint32 `json:"index" cbor:"2,keyasint"`
}

// String returns the form that keys of the key-value service and logs use.
func (name Name) String() string { return fmt.Sprintf("%s/%d", name.Kind, name.Index) }

// Names returns the names of all partitions.
func Names() []Name {
	names := make([]Name, 0, 2*Count)
	for _, kind := range []Kind{KindSteps, KindClaims} {
		for index := range uint32(Count) {
			names = append(names, Name{Kind: kind, Index: index})
		}
	}
	return names
}

// Holder identifies a replica and its node. ReplicaID is the identity of the data folder, or of the process for replicas in
// memory: an empty replica on the same node has another ReplicaID and is not mistaken for the lost one.
type Holder struct {
	NodeID    string `json:"node" cbor:"1,keyasint"`
	Address   string `json:"address" cbor:"2,keyasint"`
	Zone      string `json:"zone" cbor:"3,keyasint"`
	ReplicaID string `json:"replica" cbor:"4,keyasint"`
}

// Assignment is the stored ownership of a partition.
type Assignment struct {
	Name     Name     `json:"name" cbor:"1,keyasint"`
	Epoch    uint64   `json:"epoch" cbor:"2,keyasint"`
	Owner    Holder   `json:"owner" cbor:"3,keyasint"`
	Replicas []Holder `json:"replicas" cbor:"4,keyasint"`
	// HistoryLost is the last time an owner discarded the registers because too few replicas were left, or zero.
	HistoryLost time.Time `json:"history_lost" cbor:"5,keyasint"`
	// ServiceRevision is the revision of the assignment's key in the key-value service.
	ServiceRevision uint64 `json:"-" cbor:"6,keyasint"`
}

// Table is a snapshot of the assignments of all partitions and of the leases of their owners.
type Table struct {
	// Revision is the revision of the key-value service that the table was read at.
	Revision    uint64       `cbor:"1,keyasint"`
	Assignments []Assignment `cbor:"2,keyasint"`
	// Leases are the identifiers of the nodes whose owner lease has not expired.
	Leases []string `cbor:"3,keyasint"`
}

// Assignment returns the assignment of a partition, and false if the partition has never had an owner.
func (table Table) Assignment(name Name) (Assignment, bool) {
	index := slices.IndexFunc(table.Assignments, func(assignment Assignment) bool { return assignment.Name == name })
	if index < 0 {
		return Assignment{Name: name}, false
	}
	return table.Assignments[index], true
}

// Leased reports whether the owner lease of a node has not expired.
func (table Table) Leased(nodeID string) bool { return slices.Contains(table.Leases, nodeID) }

// WriteQuorum returns how many of n replicas must store a write before it is accepted: all if n is at most two, else a
// majority.
func WriteQuorum(n int) int {
	if n <= 2 {
		return n
	}
	return n/2 + 1
}

// ReadQuorum returns how many of n replicas must promise, so that at least one of them holds each accepted write.
func ReadQuorum(n int) int { return n - WriteQuorum(n) + 1 }
