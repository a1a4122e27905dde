// Package forwarding passes a caller's request on to a replica of its route's service: it keeps to the route's attempts and
// time, repeats what may be repeated, and says of a failure whether the request can have run.
package forwarding

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	// answerMargin is kept of the time that a request may be held, to answer it in time.
	answerMargin = 40 * time.Millisecond
	// leastAttempt is the time below which no attempt is begun.
	leastAttempt = 10 * time.Millisecond
	// hedgeShare is the share of the route's objective after which a second replica is asked, where a request may repeat.
	hedgeShare = 0.55
	hedgeLeast = 60 * time.Millisecond
	// bufferLimit is the size up to which an answer is held whole before it goes to the caller.
	bufferLimit = 1 << 20
	// RetryAfter is when a caller that was refused may come back.
	RetryAfter = 150 * time.Millisecond
)

// Call is one request of a caller.
type Call struct {
	Request backend.Request
	// Deadline is the time that the caller waits; zero when it did not say.
	Deadline time.Duration
	// StillAdmitted reports whether the caller's key is in force still; nil where callers need none.
	StillAdmitted func() bool
}

// Result is the final answer of a call. Rest, if not nil, is the part of a long body that is still to come.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Length int64
	Rest   io.ReadCloser
	// Own says that the status is this node's, not a replica's.
	Own    bool
	Reason string
	// RetryAfter is set on refusals of what has not run.
	RetryAfter time.Duration
	// Unfinished says that no answer can be given any more, only a broken connection.
	Unfinished bool
}

// Meter counts requests of tenants that begin to run.
type Meter interface {
	// Began counts a request that is sent now; withdraw takes it back, once, if it has not run.
	Began(tenant string) (withdraw func())
}

// Forwarder passes requests on. It is safe for concurrent use.
type Forwarder struct {
	Catalog *catalog.Table
	Loads   *backend.Loads
	Sender  backend.Sender
	Zone    string
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// Meter may be nil.
	Meter Meter
	// Clock is what is left of a caller's time by; nil for a steady one. It has to go on while the machine is suspended, as the caller does.
	Clock clock.Clock
}

// PickPart draws a part of a route by weight.
func PickPart(parts []catalog.Part) string {
	total := 0
	for _, part := range parts {
		total += part.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := rand.IntN(total)
	for _, part := range parts {
		drawn -= part.Weight
		if drawn < 0 {
			return part.Service
		}
	}
	return ""
}

// Forward runs a call and returns its final answer. The context ends when the caller leaves.
func (forwarder *Forwarder) Forward(ctx context.Context, route *catalog.Route, call *Call) Result {
	started := time.Now()
	held := route.Timeout
	if call.Deadline > 0 && (held <= 0 || call.Deadline < held) {
		held = call.Deadline
	}
	machine := forwarder.clock()
	run := &run{
		forwarder: forwarder, route: route, call: call, started: started, clock: machine, end: machine.Elapsed() + held - answerMargin,
		service: PickPart(route.Parts), results: make(chan attemptResult, max(route.MaxAttempts, 1)),
	}
	timedCtx, cancelTimer := context.WithTimeout(ctx, held-answerMargin)
	attemptCtx, cancelCause := context.WithCancelCause(timedCtx)
	cancel := func() {
		cancelCause(backend.ErrUnneeded)
		cancelTimer()
	}
	result := run.loop(attemptCtx)
	if result.Rest == nil {
		cancel()
	}
	forwarder.Metrics.Forwarded(result.Status, result.Own, time.Since(started))
	forwarder.Logger.Info("forward", "request", call.Request.ID, "route", route.Name, "service", run.service,
		"replica", run.last, "attempts", run.attempts, "replicas_revision", forwarder.Catalog.Replicas().Revision, "configuration", forwarder.configurationVersion(), "held_ms", time.Since(started).Milliseconds(), "status", result.Status,
		"own", result.Own, "reason", result.Reason)
	return result
}

func (forwarder *Forwarder) clock() clock.Clock { return clock.OrSteady(forwarder.Clock) }

func (forwarder *Forwarder) configurationVersion() int64 {
	if configuration := forwarder.Catalog.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// count counts a request of a tenant, empty for none, that is sent to a replica now.
func (forwarder *Forwarder) count(tenant string) (withdraw func()) {
	if forwarder.Meter == nil || tenant == "" {
		return func() {}
	}
	return forwarder.Meter.Began(tenant)
}
