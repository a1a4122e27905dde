// Package backend defines requests to replicas, their answers, and the interface that sends them. It selects the replica of a request
// by load and recent failures.
package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// ErrNotSent means that no byte of the request left this node, so the request has not run.
var ErrNotSent = errors.New("the request did not reach a replica")

// ErrConnectionRefused means that the replica's address refused the connection. Such an error is also marked as ErrNotSent.
var ErrConnectionRefused = errors.New("the replica refuses connections")

// ErrBroken means that the replica's answer was truncated, malformed, or for another request. The request may have run.
var ErrBroken = errors.New("the replica's answer is truncated, malformed or for another request")

// ErrSuperseded is the cause with which the context of an attempt is cancelled after another replica has answered the request.
var ErrSuperseded = errors.New("another replica has answered the request")

// HeldError means that a request was not sent because replicas crashed while they ran it. It is marked as ErrNotSent. The hold applies to
// all replicas.
type HeldError struct {
	// RetryAfter is the time until the request may be retried.
	RetryAfter time.Duration
}

// Error implements error.
func (held *HeldError) Error() string {
	return "request held because replicas crashed while running it; retry in " + held.RetryAfter.Round(time.Millisecond).String()
}

// IsHeld reports whether err contains a HeldError.
func IsHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

// Request is a request to a replica. Target and Body reach the replica unchanged.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
	// Deadline is how long the replica may work on the request; zero means no limit.
	Deadline time.Duration
	// ResumeAfter is the number of the last event already received of a stream; zero starts at the beginning.
	ResumeAfter int64
	// Priority is the rank of the request at an engine, 0 first; negative leaves it to the engine.
	Priority int
	// Streamed is true if the answer is read at the pace of its caller.
	Streamed bool
	// Tenant is the name of the request's tenant; empty for none. The tenant's API key never leaves this node.
	Tenant string
}

// Response is a replica's answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes; negative if the replica did not declare it.
	Length int64
	// NotExecuted is true if the replica has not run the request and will not.
	NotExecuted bool
	// Signature is the replica's signature of the answer.
	Signature string
	// WeightVersion is the version of the weights that produced the beginning of the answer; zero if unknown.
	WeightVersion int64
	// Load is what the replica says of its load.
	Load ReportedLoad
}

// Misdirected reports whether another process than the expected one answered, so that the replica's entry is outdated.
func (response *Response) Misdirected() bool {
	return response.NotExecuted && response.Status == http.StatusMisdirectedRequest
}

// Sender sends a request to a replica exactly once, without retries. Its errors are ErrNotSent, ErrBroken, or the context's error if the
// context ended a request that may have run.
type Sender interface {
	Send(ctx context.Context, replica *catalog.Replica, request *Request) (*Response, error)
}
