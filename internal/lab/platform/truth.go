// Package platform simulates the platform services that thistlewalk depends on: engines, weight store, key-value service,
// machine list and scorer. Each is an HTTP handler; most accept injected faults. docs/PLATFORM.md describes their protocols.
package platform

import (
	"sync"
	"time"
)

// Produced is one chunk as the engine generated it.
type Produced struct {
	Engine    string   `json:"engine"`
	RequestID string   `json:"request"`
	Attempt   uint64   `json:"attempt"`
	Position  int      `json:"position"`
	TokenIDs  []uint32 `json:"tokens"`
	Text      string   `json:"text"`
	Version   uint64   `json:"version"`
}

// Begun is one attempt of a request that an engine accepted.
type Begun struct {
	Engine    string    `json:"engine"`
	RequestID string    `json:"request"`
	Attempt   uint64    `json:"attempt"`
	At        time.Time `json:"at"`
}

// Truth is the log of what the engines accepted and generated. It survives their crashes, and checks compare it with what
// callers received. It is safe for concurrent use.
type Truth struct {
	mu       sync.Mutex
	begun    []Begun
	produced []Produced
}

// NewTruth returns an empty log.
func NewTruth() *Truth { return &Truth{} }

func (truth *Truth) recordAttempt(begun Begun) {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	truth.begun = append(truth.begun, begun)
}

func (truth *Truth) recordChunk(produced Produced) {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	truth.produced = append(truth.produced, produced)
}

// Begun returns every accepted attempt, in order.
func (truth *Truth) Begun() []Begun {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	return append([]Begun(nil), truth.begun...)
}

// Produced returns every generated chunk, in order.
func (truth *Truth) Produced() []Produced {
	truth.mu.Lock()
	defer truth.mu.Unlock()
	return append([]Produced(nil), truth.produced...)
}
