// Package platform holds small stand-ins of the platform that thistlewalk runs on, each an HTTP handler with faults to
// inject: engines, weight store, key-value service, machine list and scorer. docs/PLATFORM.md has their protocols.
package platform

import (
	"sync"
	"time"
)

// Produced is what an engine truly produced in one chunk.
type Produced struct {
	Engine    string   `json:"engine"`
	RequestID string   `json:"request"`
	Attempt   uint64   `json:"attempt"`
	Position  int      `json:"position"`
	TokenIDs  []uint32 `json:"tokens"`
	Text      string   `json:"text"`
	Version   uint64   `json:"version"`
}

// Begun is a request that an engine began.
type Begun struct {
	Engine    string    `json:"engine"`
	RequestID string    `json:"request"`
	Attempt   uint64    `json:"attempt"`
	At        time.Time `json:"at"`
}

// Truth is the engines' own log, which outlives their crashes. It is safe for concurrent use.
type Truth struct {
	mu       sync.Mutex
	begun    []Begun
	produced []Produced
}

// NewTruth returns an empty log.
func NewTruth() *Truth { return &Truth{} }

func (truth *Truth) begin(begun Begun) {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	truth.begun = append(truth.begun, begun)
}

func (truth *Truth) produce(produced Produced) {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	truth.produced = append(truth.produced, produced)
}

// Begun returns every request that an engine began.
func (truth *Truth) Begun() []Begun {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	return append([]Begun(nil), truth.begun...)
}

// Produced returns every chunk produced.
func (truth *Truth) Produced() []Produced {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	return append([]Produced(nil), truth.produced...)
}
