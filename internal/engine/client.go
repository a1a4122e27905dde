// Package engine is the client of model engines: it streams completions, reads load reports and sends fenced orders. Client is the
// interface, and HTTP implements it over the engines' HTTP protocol (docs/PLATFORM.md).
package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Errors of a Client. Only ErrNotAccepted guarantees that the engine has not started the request.
var (
	// ErrNotAccepted means that no byte of the request reached the engine, or that the engine refused the request.
	ErrNotAccepted = errors.New("the engine did not accept the request")
	// ErrBroken means that the request may have been written and its response is missing, malformed or truncated: the engine may have run it.
	ErrBroken = errors.New("the engine's stream broke")
	// ErrFenced means that the engine has accepted a greater fence than the one of the order.
	ErrFenced = errors.New("the engine follows a greater fence")
)

// Request is one attempt of a rollout on one engine.
type Request struct {
	RequestID string `json:"request_id"`
	// Attempt increases with each attempt of the request. The chunks of an attempt carry its number.
	Attempt   uint64 `json:"attempt"`
	Policy    string `json:"policy"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// FirstVersion and LastVersion bound the weight versions with which the rollout may start; a zero LastVersion means no limit.
	FirstVersion uint64 `json:"first_version"`
	LastVersion  uint64 `json:"last_version"`
	// ResumeTokens are the tokens that earlier attempts produced. Generation continues after them.
	ResumeTokens []uint32 `json:"resume_tokens,omitempty"`
	// DeadlineMilliseconds is the Unix time in milliseconds after which the caller no longer waits; zero means no deadline.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
}

// Fence protects an engine from outdated orders. The engine refuses an order whose fence is smaller than the greatest accepted one, or has
// the same term and another holder.
type Fence struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
	// Revision is the configuration revision on which the order is based. It must not decrease within a term.
	Revision uint64 `json:"revision"`
}

// Action is the kind of an order.
type Action string

// The actions of an order.
const (
	ActionStage    Action = "stage"    // load weights next to the active ones
	ActionActivate Action = "activate" // use the staged weights from the next token on
	ActionDiscard  Action = "discard"  // unload a policy
	ActionHold     Action = "hold"     // accept the fence, without another change
	ActionRole     Action = "role"     // change the role of the engine, such as prefill or decode only
)

// Order changes the weights or the role of an engine.
type Order struct {
	Fence   Fence  `json:"fence"`
	Action  Action `json:"action"`
	Policy  string `json:"policy"`
	Version uint64 `json:"version"`
	Role    string `json:"role,omitempty"`
}

// LoadedPolicy is the active and the staged weight version of one policy on an engine.
type LoadedPolicy struct {
	Policy string `json:"policy"`
	Active uint64 `json:"active"`
	Staged uint64 `json:"staged"`
}

// Report is an engine's report on its load and weights. It may be stale.
type Report struct {
	Running  int            `json:"running"`
	Queued   int            `json:"queued"`
	Capacity int            `json:"capacity"`
	Leaving  bool           `json:"leaving"`
	Policies []LoadedPolicy `json:"held"`
	Fence    Fence          `json:"fence"`
	// Role is the role from the last order; empty for an engine without a special role.
	Role string `json:"role,omitempty"`
}

// Client sends requests and orders to engines, identified by address.
type Client interface {
	// Stream runs a request and calls onChunk with every chunk, in order. It returns nil after the last chunk.
	Stream(ctx context.Context, address string, request Request, onChunk func(rollout.Chunk) error) error
	Report(ctx context.Context, address string, timeout time.Duration) (Report, error)
	Order(ctx context.Context, address string, order Order, timeout time.Duration) error
	Cancel(ctx context.Context, address, requestID string, attempt uint64, timeout time.Duration) error
}
