// Package engine is the system's side of a model engine: streams, load reports and fenced orders. Client is the
// interface; HTTP is the adapter for the engines' HTTP protocol (docs/PLATFORM.md).
package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Errors of a Client. Only ErrNotAccepted says that the engine did not begin.
var (
	// ErrNotAccepted means that no byte went to the engine, or that it said it did not accept the request.
	ErrNotAccepted = errors.New("the engine did not accept the request")
	// ErrBroken means that the request was written and its stream ended early: the engine may have run it.
	ErrBroken = errors.New("the engine's stream broke")
	// ErrFenced means that the engine follows a greater fence.
	ErrFenced = errors.New("the engine follows a greater fence")
)

// Request is one attempt of a rollout on one engine.
type Request struct {
	RequestID string `json:"request_id"`
	// Attempt orders the attempts of a request; chunks repeat it.
	Attempt   uint64 `json:"attempt"`
	Policy    string `json:"policy"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// FirstVersion and LastVersion are the versions that the rollout may begin under; zero LastVersion is no limit.
	FirstVersion uint64 `json:"first_version"`
	LastVersion  uint64 `json:"last_version"`
	// ResumeTokens are those that earlier attempts produced; generation goes on after them.
	ResumeTokens []uint32 `json:"resume_tokens,omitempty"`
	// DeadlineMilliseconds is Unix time after which nobody waits; zero is none.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
}

// Fence orders the orders to an engine: it refuses one that is smaller than the greatest it has taken, and one of equal
// term by another holder.
type Fence struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
	// Revision is the configuration revision that the order follows from; within a term it may not shrink.
	Revision uint64 `json:"revision"`
}

// Action is what an order asks for.
type Action string

// The actions of an order.
const (
	ActionStage    Action = "stage"    // load weights beside the active ones
	ActionActivate Action = "activate" // run under staged weights from the next token on
	ActionDiscard  Action = "discard"  // drop a policy
	ActionHold     Action = "hold"     // only take the fence
	ActionRole     Action = "role"     // change what the engine does, such as prefill or decode only
)

// Order changes what an engine runs.
type Order struct {
	Fence   Fence  `json:"fence"`
	Action  Action `json:"action"`
	Policy  string `json:"policy"`
	Version uint64 `json:"version"`
	Role    string `json:"role,omitempty"`
}

// Held is what an engine holds of one policy.
type Held struct {
	Policy string `json:"policy"`
	Active uint64 `json:"active"`
	Staged uint64 `json:"staged"`
}

// Report is an engine's own report; it lags.
type Report struct {
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving"`
	Held     []Held `json:"held"`
	Fence    Fence  `json:"fence"`
	// Role is the last one ordered; empty for an engine that does everything.
	Role string `json:"role,omitempty"`
}

// Client reaches engines by address.
type Client interface {
	// Stream runs a request and calls each with every chunk, in order. It returns nil after the last chunk.
	Stream(ctx context.Context, address string, request Request, each func(rollout.Chunk) error) error
	Report(ctx context.Context, address string, timeout time.Duration) (Report, error)
	Order(ctx context.Context, address string, order Order, timeout time.Duration) error
	Cancel(ctx context.Context, address, requestID string, attempt uint64, timeout time.Duration) error
}
