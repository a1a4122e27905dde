package forwarding

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// run is one call in progress. All its fields belong to the goroutine of loop.
type run struct {
	forwarder *Forwarder
	route     *catalog.Route
	call      *Call
	started   time.Time
	clock     clock.Clock
	end       time.Duration // by the clock
	service   string
	tried     []string
	last      string
	attempts  int
	pending   int
	// mayHaveRun says that an attempt ended without word of its outcome.
	mayHaveRun bool
	// held says that the request is sent to no further replica, since others ended under it.
	held *backend.HeldError
	// failure is the answer of a replica that failed the request, kept in case no other does better.
	failure *attemptResult
	results chan attemptResult
}

type attemptResult struct {
	replica string
	answer  *backend.Answer
	body    []byte
	rest    io.ReadCloser
	err     error
}

// hasNotRun reports whether it is known that the replica did not begin the request.
func (result *attemptResult) hasNotRun() bool {
	if result.err != nil {
		return errors.Is(result.err, backend.ErrNotSent)
	}
	return result.answer.NotExecuted
}

// held returns why the request was not sent, if replicas have ended under it; nil otherwise.
func (result *attemptResult) held() *backend.HeldError {
	var held *backend.HeldError
	if errors.As(result.err, &held) {
		return held
	}
	return nil
}

func (run *run) loop(ctx context.Context) Result {
	if !run.start(ctx) {
		if run.revoked() {
			return run.unauthorized()
		}
		return run.refuse("no_replica")
	}
	for {
		hedge, stop := run.hedgeTimer()
		select {
		case result := <-run.results:
			stop()
			run.pending--
			if final, done := run.settle(ctx, result); done {
				return final
			}
		case <-hedge:
			run.start(ctx)
		case <-ctx.Done():
			stop()
			return run.timedOut()
		}
	}
}

// hedgeTimer fires when another replica is to be asked beside the one that is slow.
func (run *run) hedgeTimer() (<-chan time.Time, func()) {
	if run.held != nil || run.route.Kind != catalog.Safe || run.pending != 1 || run.attempts >= run.route.MaxAttempts {
		return nil, func() {}
	}
	wait := max(hedgeLeast, time.Duration(hedgeShare*float64(run.route.Objective)))
	timer := time.NewTimer(wait)
	return timer.C, func() { timer.Stop() }
}

// revoked reports whether the caller's key was taken away since the request came: no further attempt begins with it.
func (run *run) revoked() bool { return run.call.StillAdmitted != nil && !run.call.StillAdmitted() }

// start sends the request to a replica that has not had it, and reports whether there was one.
func (run *run) start(ctx context.Context) bool {
	left := run.end - run.clock.Elapsed()
	if run.revoked() {
		return false
	}
	if run.attempts >= max(run.route.MaxAttempts, 1) || left < leastAttempt {
		return false
	}
	now := time.Now()
	choice := backend.Choice{Loads: run.forwarder.Loads, Zone: run.forwarder.Zone}
	replica := choice.Pick(run.forwarder.Catalog.Replicas().Service(run.service), run.tried, now)
	if replica == nil {
		return false
	}
	run.tried = append(run.tried, replica.ID)
	run.last = replica.ID
	run.attempts++
	run.pending++
	request := run.call.Request
	request.Deadline = left
	request.Priority = -1
	go run.attempt(ctx, replica, &request)
	return true
}

// attempt sends the request once and reads the answer, or its beginning when it is long.
func (run *run) attempt(ctx context.Context, replica *catalog.Replica, request *backend.Request) {
	loads := run.forwarder.Loads
	loads.Begin(replica.ID, time.Now())
	withdraw := run.forwarder.count(request.Tenant)
	result := attemptResult{replica: replica.ID}
	result.answer, result.err = run.forwarder.Sender.Send(ctx, replica, request)
	if result.hasNotRun() {
		withdraw()
	}
	if result.err == nil {
		result.body, result.rest, result.err = readBody(result.answer, run.route.Kind == catalog.Stream)
	}
	outcome := backend.Served
	switch {
	case result.held() != nil, result.err != nil && ctx.Err() != nil:
		outcome = backend.Unknown
	case result.err != nil:
		outcome = backend.Failed
	}
	loads.End(replica.ID, outcome, time.Now())
	run.results <- result
}

// readBody reads an answer up to the buffer limit; what is longer, or a stream, is left to be read on.
func readBody(answer *backend.Answer, stream bool) ([]byte, io.ReadCloser, error) {
	if stream && answer.Status < http.StatusMultipleChoices {
		return nil, answer.Body, nil
	}
	var buffer bytes.Buffer
	if answer.Length > 0 && answer.Length <= bufferLimit {
		buffer.Grow(int(answer.Length) + bytes.MinRead)
	}
	_, err := io.Copy(&buffer, io.LimitReader(answer.Body, bufferLimit))
	if err != nil {
		answer.Body.Close()
		return nil, nil, errors.Mark(err, backend.ErrBroken)
	}
	if buffer.Len() == bufferLimit {
		return buffer.Bytes(), answer.Body, nil
	}
	answer.Body.Close()
	return buffer.Bytes(), nil, nil
}

// settle decides what the end of an attempt means for the call.
func (run *run) settle(ctx context.Context, result attemptResult) (Result, bool) {
	run.logFailure(result)
	switch {
	case result.err == nil && result.answer.NotExecuted:
		closeRest(result)
	case result.err == nil && (result.answer.Status < http.StatusInternalServerError || !run.route.Idempotent()):
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
	if run.held == nil && (run.route.Idempotent() || !run.mayHaveRun) && run.start(ctx) {
		return Result{}, false
	}
	return run.giveUp(), true
}

// logFailure tells of an attempt that did not serve the request, and whether it can have run.
func (run *run) logFailure(result attemptResult) {
	switch {
	case result.held() != nil: // which has a line of its own
	case result.err != nil:
		run.forwarder.Logger.Info("attempt failed", "request", run.call.Request.ID, "replica", result.replica, "sent", !errors.Is(result.err, backend.ErrNotSent),
			"after_ms", time.Since(run.started).Milliseconds(), "fingerprint", run.fingerprint(result), "error", result.err)
	case result.answer.NotExecuted || result.answer.Status >= http.StatusInternalServerError:
		run.forwarder.Logger.Info("attempt failed", "request", run.call.Request.ID, "replica", result.replica, "status", result.answer.Status,
			"not_executed", result.answer.NotExecuted, "after_ms", time.Since(run.started).Milliseconds())
	}
}

// fingerprint names what a replica was asked of whom no answer came: a request that comes again has another identifier.
func (run *run) fingerprint(result attemptResult) string {
	if errors.Is(result.err, backend.ErrNotSent) {
		return ""
	}
	return quarantine.FingerprintOf(run.service, &run.call.Request).String()
}

// keepFailure keeps the first failure that a replica answered, in case no other replica does better.
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
