package forwarding

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// run is the state of one call in progress. Only the goroutine of loop changes its fields.
type run struct {
	forwarder   *Forwarder
	route       *catalog.Route
	call        *Call
	started     time.Time
	clock       clock.Clock
	deadline    time.Duration // reading of clock at which the call ends
	service     string
	tried       []string
	lastReplica string
	attempts    int
	pending     int
	// mayHaveRun is true if the request may have run in an attempt that failed.
	mayHaveRun bool
	// held is set if the request is held because of earlier crashes, so that no further attempt starts.
	held *backend.HeldError
	// failure is the first failed answer of a replica, delivered if no other attempt succeeds.
	failure *attemptResult
	results chan attemptResult
	// waited is how long the request waited for places, position the number of requests expected before it when it first waited.
	waited   time.Duration
	position int
	// elapsed is how long before this call its caller is taken to have sent the request first.
	elapsed time.Duration
	// refusal is set if the request was refused a place.
	refusal *admission.RefusedError
	// hedgeDenied is true if the service had no room or no replica for a hedge; it is not asked again.
	hedgeDenied bool
}

type attemptResult struct {
	replica  string
	response *backend.Response
	body     []byte
	rest     io.ReadCloser
	err      error
}

// hasNotRun reports whether the replica is known not to have started the request.
func (result *attemptResult) hasNotRun() bool {
	if result.err != nil {
		return errors.Is(result.err, backend.ErrNotSent)
	}
	return result.response.NotExecuted
}

// held returns the error of a request that was not sent because it is held; nil otherwise.
func (result *attemptResult) held() *backend.HeldError {
	var held *backend.HeldError
	if errors.As(result.err, &held) {
		return held
	}
	return nil
}

func (run *run) loop(ctx context.Context) Result {
	if !run.startAttempt(ctx) {
		return run.notStarted(ctx)
	}
	for {
		hedge, stop := run.hedgeTimer()
		select {
		case result := <-run.results:
			stop()
			run.pending--
			if final, done := run.handleResult(ctx, result); done {
				return final
			}
		case <-hedge:
			run.startHedge(ctx)
		case <-ctx.Done():
			stop()
			return run.timedOut()
		}
	}
}

// hedgeTimer returns a channel that fires when the request is to be hedged, and a function that stops the timer. The channel is nil if
// the request must not be hedged.
func (run *run) hedgeTimer() (<-chan time.Time, func()) {
	if run.held != nil || run.hedgeDenied || run.route.Kind != catalog.Safe || run.pending != 1 || run.attempts >= run.route.MaxAttempts {
		return nil, func() {}
	}
	wait := max(minHedgeDelay, time.Duration(hedgeFraction*float64(run.route.Objective)))
	timer := time.NewTimer(wait)
	return timer.C, func() { timer.Stop() }
}

// revoked reports whether the caller's API key was revoked since the request arrived. No attempt starts after that.
func (run *run) revoked() bool { return run.call.KeyValid != nil && !run.call.KeyValid() }

// mayStart reports whether a further attempt is allowed and can end in time.
func (run *run) mayStart() bool {
	return !run.revoked() && run.attempts < max(run.route.MaxAttempts, 1) && run.remaining() >= minAttempt
}

func (run *run) remaining() time.Duration { return run.deadline - run.clock.Elapsed() }

// startAttempt waits until the service has a place for the request, sends it to a replica that was not tried before, and reports whether
// the attempt started. No other attempt may be pending.
func (run *run) startAttempt(ctx context.Context) bool {
	if !run.mayStart() {
		return false
	}
	grant, ok := run.admit(ctx)
	if !ok {
		return false
	}
	// The key and the remaining time are checked again, since the request may have waited for its place.
	if run.mayStart() {
		if replica := run.pick(); replica != nil {
			run.send(ctx, replica, grant)
			return true
		}
	}
	grant.Release(admission.Outcome{})
	return false
}

// pick returns a replica that was not tried before; nil if none is left.
func (run *run) pick() *catalog.Replica {
	picker := backend.Picker{Loads: run.forwarder.Loads, Zone: run.forwarder.Zone, Request: &run.call.Request}
	return picker.Pick(run.forwarder.Catalog.Replicas().Service(run.service), run.tried, time.Now())
}

// startHedge sends the request a second time if the service has room.
func (run *run) startHedge(ctx context.Context) {
	if !run.mayStart() {
		return
	}
	replica := run.pick()
	grant := admission.Grant{}
	if controller := run.forwarder.Admission; controller != nil {
		ok := false
		if replica != nil {
			grant, ok = controller.AdmitHedge(run.demand())
		}
		run.hedgeDenied = !ok
	}
	if replica != nil && !run.hedgeDenied {
		run.send(ctx, replica, grant)
	}
}

// send starts an attempt at a replica.
func (run *run) send(ctx context.Context, replica *catalog.Replica, grant admission.Grant) {
	run.tried = append(run.tried, replica.ID)
	run.lastReplica = replica.ID
	run.attempts++
	run.pending++
	request := run.call.Request
	request.Streamed = run.route.Kind == catalog.Stream
	request.Deadline = run.remaining()
	request.Priority = -1
	go run.runAttempt(ctx, replica, &request, grant)
}

// runAttempt sends the request once and reads the answer up to the buffer limit. Its result goes to run.results. The grant is released
// when the answer has been read, or handed to the reader of the rest.
func (run *run) runAttempt(ctx context.Context, replica *catalog.Replica, request *backend.Request, grant admission.Grant) {
	loads := run.forwarder.Loads
	started := time.Now()
	place := &place{grant: grant, started: started}
	defer func() { place.release() }()
	loads.Begin(replica.ID, started)
	withdraw := run.forwarder.countRun(request.Tenant)
	result := attemptResult{replica: replica.ID}
	result.response, result.err = run.forwarder.Sender.Send(ctx, replica, request)
	if result.hasNotRun() {
		withdraw()
	}
	if result.err == nil {
		result.body, result.rest, result.err = readBody(result.response, run.route.Kind == catalog.Stream)
	}
	outcome := backend.Served
	switch {
	case result.held() != nil, result.err != nil && ctx.Err() != nil:
		outcome = backend.Unknown
	case result.err != nil, result.response.Misdirected():
		outcome = backend.Failed
	}
	loads.End(replica.ID, outcome, time.Now())
	place.ended(&result)
	if result.rest != nil && run.forwarder.Admission != nil {
		result.rest = place.until(ctx, result.rest, result.response.Status)
		place = nil
	}
	place.release() // before the result is handled, so that a retry finds the place free
	run.results <- result
}

// readBody buffers an answer up to the buffer limit. The returned reader is nil if nothing is left to read; otherwise it yields the rest of a
// longer answer, or a whole stream.
func readBody(response *backend.Response, stream bool) ([]byte, io.ReadCloser, error) {
	if stream && response.Status < http.StatusMultipleChoices {
		return nil, response.Body, nil
	}
	var buffer bytes.Buffer
	if response.Length > 0 && response.Length <= bufferLimit {
		buffer.Grow(int(response.Length) + bytes.MinRead)
	}
	_, err := io.Copy(&buffer, io.LimitReader(response.Body, bufferLimit))
	if err != nil {
		response.Body.Close()
		return nil, nil, errors.Mark(err, backend.ErrBroken)
	}
	if buffer.Len() == bufferLimit {
		return buffer.Bytes(), response.Body, nil
	}
	response.Body.Close()
	return buffer.Bytes(), nil, nil
}

// handleResult decides how the call continues after an attempt. It returns the final result and true if the call has ended.
func (run *run) handleResult(ctx context.Context, result attemptResult) (Result, bool) {
	run.logFailure(result)
	switch {
	case result.err == nil && result.response.NotExecuted:
		closeRest(result)
	case result.err == nil && (result.response.Status < http.StatusInternalServerError || !run.route.Idempotent()):
		return run.deliver(result), true
	case result.err == nil:
		run.keepFailure(result)
	case errors.Is(result.err, backend.ErrNotSent):
		if held := result.held(); held != nil {
			run.held = held
		}
	default:
		run.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return run.timedOut(), true
	}
	if run.pending > 0 {
		return Result{}, false
	}
	if run.held == nil && (run.route.Idempotent() || !run.mayHaveRun) && run.mayRetry() && run.startAttempt(ctx) {
		return Result{}, false
	}
	return run.giveUp(), true
}

// logFailure logs an attempt that did not serve the request, and whether the request may have run.
func (run *run) logFailure(result attemptResult) {
	switch {
	case result.held() != nil: // logged by quarantine.Guard
	case result.err != nil:
		run.forwarder.Logger.Info("attempt failed", "request", run.call.Request.ID, "replica", result.replica, "sent", !errors.Is(result.err, backend.ErrNotSent),
			"after_ms", time.Since(run.started).Milliseconds(), "fingerprint", run.fingerprint(result), "error", result.err)
	case result.response.NotExecuted || result.response.Status >= http.StatusInternalServerError:
		run.forwarder.Logger.Info("attempt failed", "request", run.call.Request.ID, "replica", result.replica, "status", result.response.Status,
			"not_executed", result.response.NotExecuted, "after_ms", time.Since(run.started).Milliseconds())
	}
}

// fingerprint returns the fingerprint of a request that was sent and not answered; empty if it was not sent. A retry by the caller has
// another request identifier but the same fingerprint.
func (run *run) fingerprint(result attemptResult) string {
	if errors.Is(result.err, backend.ErrNotSent) {
		return ""
	}
	return quarantine.FingerprintOf(run.service, &run.call.Request).String()
}

// keepFailure keeps the first failed answer, to be delivered if no other attempt succeeds.
func (run *run) keepFailure(result attemptResult) {
	run.mayHaveRun = true
	if run.failure != nil {
		closeRest(result)
		return
	}
	run.failure = &result
}

func closeRest(result attemptResult) {
	if result.rest != nil {
		result.rest.Close()
	}
}
