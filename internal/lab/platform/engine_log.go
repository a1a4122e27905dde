// Package platform simulates the platform services that thistlewalk depends on: engines, weight store, key-value service,
// machine list and scorer. Each is an HTTP handler; most accept injected faults. docs/PLATFORM.md describes their protocols.
package platform

import (
	"sync"
	"time"
)

// ProducedChunk is one chunk as the engine generated it.
type ProducedChunk struct {
	Engine    string   `json:"engine"`
	RequestID string   `json:"request"`
	Attempt   uint64   `json:"attempt"`
	Position  int      `json:"position"`
	TokenIDs  []uint32 `json:"tokens"`
	Text      string   `json:"text"`
	Version   uint64   `json:"version"`
}

// StartedRequest is one attempt of a request that an engine accepted.
type StartedRequest struct {
	Engine    string    `json:"engine"`
	RequestID string    `json:"request"`
	Attempt   uint64    `json:"attempt"`
	At        time.Time `json:"at"`
}

// EngineLog is the log of what the engines accepted and generated. It survives their crashes, and checks compare it with what
// callers received. It is safe for concurrent use.
type EngineLog struct {
	mu       sync.Mutex
	started  []StartedRequest
	produced []ProducedChunk
}

// NewEngineLog returns an empty log.
func NewEngineLog() *EngineLog { return &EngineLog{} }

func (log *EngineLog) recordStart(started StartedRequest) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.started = append(log.started, started)
}

func (log *EngineLog) recordChunk(produced ProducedChunk) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.produced = append(log.produced, produced)
}

// StartedRequests returns every accepted attempt, in order.
func (log *EngineLog) StartedRequests() []StartedRequest {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]StartedRequest(nil), log.started...)
}

// ProducedChunks returns every generated chunk, in order.
func (log *EngineLog) ProducedChunks() []ProducedChunk {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]ProducedChunk(nil), log.produced...)
}
