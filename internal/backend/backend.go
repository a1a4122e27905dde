// Package backend is how requests reach replicas: the typed request and answer, the interface of the adapter that sends
// them, and the choice of a replica by its load and health as this node sees them.
package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// ErrNotSent says that nothing of a request left this node, so that it has not run.
var ErrNotSent = errors.New("the request did not reach a replica")

// ErrRefused says that nobody listens at the replica's address. It goes with ErrNotSent.
var ErrRefused = errors.New("the replica refuses connections")

// ErrBroken says that a replica's answer was cut off, was no answer or belonged to another request: the request may have
// run.
var ErrBroken = errors.New("the replica's answer broke off or was not its answer")

// ErrUnneeded is the cause of the end of a context whose request another replica has answered.
var ErrUnneeded = errors.New("another replica has answered the request")

// HeldError says that a request was not sent since replicas have ended that ran it before. It is marked as ErrNotSent; another replica
// will not do either.
type HeldError struct {
	// After is when the request may come again.
	After time.Duration
}

// Error implements error.
func (held *HeldError) Error() string {
	return "replicas have ended under the request; it may come again in " + held.After.Round(time.Millisecond).String()
}

// IsHeld reports whether a request was not sent since replicas have ended that ran it before.
func IsHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

// Request is what a replica is to run. Target and Body arrive there unchanged.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the request target as the caller wrote it: path and query.
	Target string
	Header http.Header
	Body   []byte
	// Deadline is the time that the replica may work; zero sets none.
	Deadline time.Duration
	// ResumeAfter is the last event of a stream that is known already; zero starts at the beginning.
	ResumeAfter int64
	// Priority ranks the request at an engine, 0 first; negative leaves it to the engine.
	Priority int
	// Exclusive says that no other node sends the request, since this one owns the job that it belongs to.
	Exclusive bool
	// Tenant is the name of the tenant that the request is made for; empty for none. Its key never leaves this node.
	Tenant string
}

// Answer is a replica's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length of the body in bytes; negative when the replica did not say.
	Length int64
	// NotExecuted says that the replica did not run the request and will not.
	NotExecuted bool
	// Stamp is the replica's signature of the answer.
	Stamp string
	// WeightVersion is the version of the weights that the answer begins with; zero without one.
	WeightVersion int64
}

// Sender sends one request to one replica, once. It returns ErrNotSent or ErrBroken, or the context's error when that ended
// a request that may have run.
type Sender interface {
	Send(ctx context.Context, replica *catalog.Replica, request *Request) (*Answer, error)
}
