// Package delivery serves training steps. The owner of a step stores its samples on a quorum of replicas, dispatches empty
// slots to executors until all are filled, and delivers the samples to the trainer by cursor.
package delivery

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// PartitionOf returns the index of a step's partition.
func PartitionOf(stepID string) uint32 { return uint32(xxhash.Sum64String(stepID) % partition.Count) }

// CreateRequest is the body of a call that creates a step.
type CreateRequest struct {
	Definition step.Definition `cbor:"1,keyasint"`
}

// CreateResponse is the response to a CreateRequest. Existed is true if the step already existed with the same content.
type CreateResponse struct {
	Slots   int  `cbor:"1,keyasint"`
	Existed bool `cbor:"2,keyasint"`
}

// FetchRequest is the body of a call that fetches the samples at a cursor. Wait bounds the wait for samples.
type FetchRequest struct {
	StepID  string            `cbor:"1,keyasint"`
	Cursor  uint64            `cbor:"2,keyasint"`
	Number  uint64            `cbor:"3,keyasint"`
	Maximum int               `cbor:"4,keyasint"`
	Wait    time.Duration     `cbor:"5,keyasint"`
	Newest  map[string]uint64 `cbor:"6,keyasint"` // by policy: the newest version that the trainer has
}

// DeliveredSample is one sample of a FetchResponse, with its staleness at delivery.
type DeliveredSample struct {
	Slot              uint32         `cbor:"1,keyasint"`
	Generation        uint32         `cbor:"2,keyasint"`
	Sample            rollout.Sample `cbor:"3,keyasint"`
	StalenessVersions uint64         `cbor:"4,keyasint"`
	StalenessAge      time.Duration  `cbor:"5,keyasint"`
}

// FetchResponse is the response to a FetchRequest. NextCursor is the request's Cursor, plus one if Samples is not empty.
type FetchResponse struct {
	Samples    []DeliveredSample `cbor:"1,keyasint"`
	NextCursor uint64            `cbor:"2,keyasint"`
	State      step.State        `cbor:"3,keyasint"`
	Slots      int               `cbor:"4,keyasint"`
	Delivered  int               `cbor:"5,keyasint"`
}

// AcknowledgeRequest is the body of a call that moves the cursor past a delivered batch.
type AcknowledgeRequest struct {
	StepID string `cbor:"1,keyasint"`
	Cursor uint64 `cbor:"2,keyasint"`
}

// EndRequest is the body of a call that closes a step early.
type EndRequest struct {
	StepID string `cbor:"1,keyasint"`
}

// Summary describes one step.
type Summary struct {
	StepID     string     `cbor:"1,keyasint" json:"step"`
	Experiment string     `cbor:"2,keyasint" json:"experiment"`
	State      step.State `cbor:"3,keyasint" json:"state"`
	Slots      int        `cbor:"4,keyasint" json:"slots"`
	Filled     int        `cbor:"5,keyasint" json:"filled"`
	Delivered  int        `cbor:"6,keyasint" json:"delivered"`
	Running    int        `cbor:"7,keyasint" json:"running"`
	Dropped    uint64     `cbor:"8,keyasint" json:"dropped"`
	Owner      string     `cbor:"9,keyasint" json:"owner"`
	Copies     int        `cbor:"10,keyasint" json:"copies"`
	Created    time.Time  `cbor:"11,keyasint" json:"created"`
}

// StalenessSummary is the staleness distribution of the recently delivered samples of one policy.
type StalenessSummary struct {
	Policy string `cbor:"1,keyasint" json:"policy"`
	Count  int64  `cbor:"2,keyasint" json:"count"`
	// Versions and Seconds hold the 50th, 90th and 99th percentiles and the maximum.
	Versions [4]int64   `cbor:"3,keyasint" json:"versions"`
	Seconds  [4]float64 `cbor:"4,keyasint" json:"seconds"`
}

// ListResponse lists the steps of the partitions that a node owns, and the staleness of the samples that it delivered.
type ListResponse struct {
	Steps     []Summary          `cbor:"1,keyasint"`
	Staleness []StalenessSummary `cbor:"2,keyasint"`
}

// SlotRequestID returns the request identifier that engines receive for a slot.
func SlotRequestID(stepID string, slot, generation uint32) string {
	return fmt.Sprintf("%s#%d.%d", stepID, slot, generation)
}
