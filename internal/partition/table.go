// Package partition gives a fixed, small number of partitions one owner each, and keeps the owner's registers on a set
// of replicas. Every write carries the owner's epoch; a replica that has promised a greater epoch refuses it. A new
// owner raises the epoch in the key-value service by compare-and-swap, collects promises and registers from a read
// quorum of the replicas, and only then serves. docs/design/0002-partitions.md has the ways weighed.
package partition

import (
	"fmt"
	"slices"
	"time"
)

// Kind separates partitions by what they hold.
type Kind string

// The kinds of partitions.
const (
	KindSteps  Kind = "steps"  // training steps and their samples, on nodes with a data folder
	KindClaims Kind = "claims" // claims of not-repeatable requests, in the memory of any node
)

// Count is the fixed number of partitions of each kind.
const Count = 16

// Name names one partition.
type Name struct {
	Kind  Kind   `json:"kind" cbor:"1,keyasint"`
	Index uint32 `json:"index" cbor:"2,keyasint"`
}

// String returns the name as used in keys and logs.
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

// Holder identifies a node that holds a copy. ReplicaID names the copy itself: the identity of the data folder, or of
// the process for copies in memory, so that an emptied replacement is not mistaken for the copy that was lost.
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
	// HistoryLost is when registers were given up because no read quorum was left; zero when never.
	HistoryLost time.Time `json:"history_lost" cbor:"5,keyasint"`
	// ServiceRevision is the key's revision in the key-value service.
	ServiceRevision uint64 `json:"-" cbor:"6,keyasint"`
}

// Table is what is known of all partitions and of the leases of their owners.
type Table struct {
	// Revision is the key-value service's revision that the table was read at.
	Revision    uint64       `cbor:"1,keyasint"`
	Assignments []Assignment `cbor:"2,keyasint"`
	// Leases are the identifiers of the nodes whose owner lease is alive.
	Leases []string `cbor:"3,keyasint"`
}

// Assignment returns the entry of a partition; false when it was never owned.
func (table Table) Assignment(name Name) (Assignment, bool) {
	index := slices.IndexFunc(table.Assignments, func(assignment Assignment) bool { return assignment.Name == name })
	if index < 0 {
		return Assignment{Name: name}, false
	}
	return table.Assignments[index], true
}

// Leased reports whether the node's owner lease is alive.
func (table Table) Leased(nodeID string) bool { return slices.Contains(table.Leases, nodeID) }

// WriteQuorum returns how many of n replicas must store a register before it counts: all of one or two, else a majority.
func WriteQuorum(n int) int {
	if n <= 2 {
		return n
	}
	return n/2 + 1
}

// ReadQuorum returns how many of n replicas must promise, so that at least one of them holds each accepted register.
func ReadQuorum(n int) int { return n - WriteQuorum(n) + 1 }
