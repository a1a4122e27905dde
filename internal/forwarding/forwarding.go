// Package forwarding sends a caller's request to a replica of its route's service. It enforces the route's timeout and number of
// attempts, retries and hedges requests where the route allows it, and reports after a failure whether the request may have run.
package forwarding

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	// answerMargin is the part of the timeout that is reserved for sending the answer.
	answerMargin = 40 * time.Millisecond
	// minAttempt is the remaining time below which no attempt starts.
	minAttempt = 10 * time.Millisecond
	// hedgeFraction is the fraction of the route's objective after which a request that may run more than once is hedged.
	hedgeFraction = 0.55
	minHedgeDelay = 60 * time.Millisecond
	// bufferLimit is the size in bytes up to which an answer is buffered whole before it is sent to the caller.
	bufferLimit = 1 << 20
	// RetryAfter is how long a refused caller has to wait before a retry.
	RetryAfter = 150 * time.Millisecond
)

// Call is one request of a caller with its limits.
type Call struct {
	Request backend.Request
	// Deadline is how long the caller waits; zero if the caller set no limit.
	Deadline time.Duration
	// KeyValid reports whether the caller's API key still admits the request; nil if callers need no key.
	KeyValid func() bool
}

// Result is the final answer of a call. Rest, if not nil, is the unread part of a long body and must be closed.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Length int64
	Rest   io.ReadCloser
	// Local is true if this node produced the status, not a replica.
	Local  bool
	Reason string
	// RetryAfter is set if the request was refused without having run.
	RetryAfter time.Duration
	// Unfinished is true if no answer can be sent any more and the connection has to be closed.
	Unfinished bool
}

// Meter counts the runs of requests by tenant.
type Meter interface {
	// CountStarted counts a run. withdraw removes it from the count and is called at most once, if the request has not run.
	CountStarted(tenant string) (withdraw func())
}

// Forwarder sends requests to replicas. It is safe for concurrent use.
type Forwarder struct {
	Catalog *catalog.Table
	Loads   *backend.Loads
	Sender  backend.Sender
	Zone    string
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// Meter may be nil.
	Meter Meter
	// Admission admits requests to services; nil sends each of them at once.
	Admission *admission.Controller
	// Clock measures the caller's remaining time; nil for a steady clock. It must advance while the machine is suspended, because the
	// caller keeps waiting.
	Clock clock.Clock

	deadlines usualDeadlines
}

// PickTarget picks a target of a route at random by weight and returns its service; empty if no target has a weight.
func PickTarget(targets []catalog.RouteTarget) string {
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := rand.IntN(total)
	for _, target := range targets {
		drawn -= target.Weight
		if drawn < 0 {
			return target.Service
		}
	}
	return ""
}

// ServingTargets returns the targets of a route that have a weight and serve; those that have a weight if none serves.
func ServingTargets(targets []catalog.RouteTarget, serves func(service string) bool) []catalog.RouteTarget {
	var weighted, serving []catalog.RouteTarget
	for _, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		weighted = append(weighted, target)
		if len(targets) > 1 && serves(target.Service) {
			serving = append(serving, target)
		}
	}
	if len(serving) > 0 {
		return serving
	}
	return weighted
}

// serves reports whether a service has a replica that can be expected to serve a request.
func (forwarder *Forwarder) serves(service string) bool {
	return forwarder.Loads.AnyWorking(forwarder.Catalog.Replicas().Service(service), time.Now())
}

// TimeLimit returns how long the call may take on a route; zero if neither sets a limit.
func (call *Call) TimeLimit(route *catalog.Route) time.Duration {
	if call.Deadline > 0 && (route.Timeout <= 0 || call.Deadline < route.Timeout) {
		return call.Deadline
	}
	return route.Timeout
}

// Forward runs a call and returns its result. The context ends when the caller disconnects.
func (forwarder *Forwarder) Forward(ctx context.Context, route *catalog.Route, call *Call) Result {
	started := time.Now()
	timeout := call.TimeLimit(route)
	callerClock := forwarder.clock()
	run := &run{
		forwarder: forwarder, route: route, call: call, started: started, clock: callerClock, deadline: callerClock.Elapsed() + timeout - answerMargin,
		service: PickTarget(ServingTargets(route.Targets, forwarder.serves)), results: make(chan attemptResult, max(route.MaxAttempts, 1)),
	}
	timedCtx, cancelTimer := context.WithTimeout(ctx, timeout-answerMargin)
	attemptCtx, cancelCause := context.WithCancelCause(timedCtx)
	cancel := func() {
		cancelCause(backend.ErrSuperseded)
		cancelTimer()
	}
	result := run.loop(attemptCtx)
	if result.Rest == nil {
		cancel()
	}
	forwarder.Metrics.Forwarded(result.Status, result.Local, time.Since(started))
	fields := []any{"request", call.Request.ID, "route", route.Name, "service", run.service,
		"replica", run.lastReplica, "attempts", run.attempts, "replicas_revision", forwarder.Catalog.Replicas().Revision, "configuration", forwarder.configurationVersion(), "held_ms", time.Since(started).Milliseconds(), "status", result.Status,
		"own", result.Local, "reason", result.Reason}
	forwarder.Logger.Info("forward", append(fields, run.admissionFields()...)...)
	return result
}

func (forwarder *Forwarder) clock() clock.Clock { return clock.OrMonotonic(forwarder.Clock) }

func (forwarder *Forwarder) configurationVersion() int64 {
	if configuration := forwarder.Catalog.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// countRun counts a run for a tenant; an empty tenant is not counted.
func (forwarder *Forwarder) countRun(tenant string) (withdraw func()) {
	if forwarder.Meter == nil || tenant == "" {
		return func() {}
	}
	return forwarder.Meter.CountStarted(tenant)
}
