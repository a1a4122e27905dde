// Package execution runs a rollout: it selects a replica, follows the stream, and resumes at another replica after a failure if
// the request allows it.
package execution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/engine"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/replicaload"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
	"github.com/thistlewalk/thistlewalk/internal/routing"
)

// Request is a rollout to run.
type Request struct {
	RequestID string
	Arm       experiment.Arm
	Prompt    string
	MaxTokens int
	Priority  int
	// Repeatable is true if the request may be sent to another replica after a failure.
	Repeatable bool
	// Preferred is the replica that ran the previous turn of the rollout; empty if there is none.
	Preferred string
	PrefixKey string
	// MaxBatchFill makes the request wait for a replica whose batch is filled to less than this share, instead of joining a
	// queue. Zero disables this.
	MaxBatchFill float64
}

// Settings are the settings of a runner.
type Settings struct {
	// RouteWait is how long a request waits for a replica that can serve it.
	RouteWait time.Duration
	// StallTime is how long a stream may be silent before the attempt is aborted.
	StallTime time.Duration
	// CancelTimeout bounds the call that cancels an abandoned attempt.
	CancelTimeout time.Duration
	// MaximumAttempts bounds the number of attempts of a request.
	MaximumAttempts int
}

// Counters are the totals of a runner.
type Counters struct {
	Attempts int64
	Retries  int64
	Resumes  int64
	Tokens   int64
}

// Runner runs rollouts. It is safe for concurrent use.
type Runner struct {
	settings Settings
	zone     string
	client   engine.Client
	loads    *replicaload.Table
	router   *routing.Router
	budget   *admission.RetryBudget
	document func() *experiment.Document
	mu       sync.Mutex
	counters Counters
}

// NewRunner returns a runner. document returns the newest configuration.
func NewRunner(settings Settings, zone string, client engine.Client, table *replicaload.Table, router *routing.Router,
	budget *admission.RetryBudget, document func() *experiment.Document) *Runner {
	return &Runner{settings: settings, zone: zone, client: client, loads: table, router: router, budget: budget, document: document}
}

// Outcome is a completed rollout.
type Outcome struct {
	Sample rollout.Sample
	// Replica is the replica that completed the rollout.
	Replica string
}

// Run runs a request and passes its chunks to onChunk in order and without repetition. The error is a result.Error. Its class is
// "not run" only if no engine has begun the request.
func (runner *Runner) Run(ctx context.Context, request Request, onChunk func(rollout.Chunk) error) (Outcome, error) {
	run := &run{
		runner: runner, request: request, onChunk: onChunk,
		transcript:    rollout.NewTranscript(request.RequestID, min(request.MaxTokens, maxPreallocatedTokens)),
		attempt:       rand.Uint64() >> attemptShift,
		routeDeadline: time.Now().Add(runner.settings.RouteWait),
	}
	runner.budget.FirstAttempt()
	for {
		done, err := run.tryOnce(ctx)
		if err != nil {
			return Outcome{}, err
		}
		if done {
			return run.outcome(), nil
		}
	}
}

const (
	// attemptShift keeps attempt numbers small enough to be exact in JSON, with room to count up.
	attemptShift          = 12
	maxPreallocatedTokens = 4096
	routeRetryInterval    = 20 * time.Millisecond
)

// run is the state of one request.
type run struct {
	runner       *Runner
	request      Request
	onChunk      func(rollout.Chunk) error
	transcript   *rollout.Transcript
	attempt      uint64
	attemptIDs   []uint64
	replicaIDs   []string
	excluded     []string
	attemptCount int
	// mayHaveBegun is true if an engine may have begun the request.
	mayHaveBegun  bool
	started       time.Time
	routeDeadline time.Time
	callerErr     error
}

// tryOnce makes one attempt. It returns true if the rollout is complete, and false without an error if it is to be tried again.
func (run *run) tryOnce(ctx context.Context) (bool, error) {
	if ctx.Err() != nil {
		return false, run.interrupted(ctx)
	}
	replica := run.route()
	if replica == nil {
		return false, run.waitForReplica(ctx)
	}
	digest := replica.Digest()
	run.attempt++
	run.transcript.BeginAttempt(run.attempt)
	run.attemptCount++
	finish := replica.Begin()
	err := run.stream(ctx, digest)
	finish()
	if err == nil || run.transcript.Complete() && run.callerErr == nil {
		replica.Succeeded()
		run.recordAttempt(digest.ID)
		return true, nil
	}
	return false, run.handleFailure(ctx, replica, err)
}

func (run *run) recordAttempt(replicaID string) {
	run.attemptIDs = append(run.attemptIDs, run.attempt)
	run.replicaIDs = append(run.replicaIDs, replicaID)
}

func (run *run) route() *replicaload.Replica {
	runner := run.runner
	policy, _ := runner.document().Policy(run.request.Arm.Policy)
	requirements := routing.Requirements{
		Arm: run.request.Arm, TargetVersion: policy.Target, Zone: runner.zone,
		PrefixKey: run.request.PrefixKey, Preferred: run.request.Preferred, Excluded: run.excluded, MaxBatchFill: run.request.MaxBatchFill,
	}
	return runner.router.Route(&requirements, runner.loads.List())
}

// waitForReplica pauses before the next selection, or returns the final result if the wait has ended.
func (run *run) waitForReplica(ctx context.Context) error {
	run.excluded = nil
	if time.Now().After(run.routeDeadline) {
		if run.mayHaveBegun {
			return result.New(result.UnknownBroken, "no replica is left to go on at")
		}
		return result.New(result.NotRunNoReplica, "no replica may run policy %q", run.request.Arm.Policy).WithRetryAfter(time.Second)
	}
	select {
	case <-ctx.Done():
		return run.interrupted(ctx)
	case <-time.After(routeRetryInterval):
		return nil
	}
}

// interrupted returns the result of a request whose context has ended.
func (run *run) interrupted(ctx context.Context) error {
	if run.mayHaveBegun {
		return result.New(result.UnknownTimeout, "%v", context.Cause(ctx))
	}
	return result.New(result.NotRunDeadline, "%v", context.Cause(ctx))
}

// stream sends the request and follows its stream. A silent stream is aborted.
func (run *run) stream(ctx context.Context, digest *replicaload.Digest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(run.runner.settings.StallTime, func() { cancel(errStalled) })
	defer stall.Stop()
	if run.started.IsZero() {
		run.started = time.Now()
	}
	request := engine.Request{
		RequestID: run.request.RequestID, Attempt: run.attempt, Policy: run.request.Arm.Policy, Prompt: run.request.Prompt,
		MaxTokens: run.request.MaxTokens, Priority: run.request.Priority,
		FirstVersion: run.request.Arm.FirstVersion, LastVersion: run.request.Arm.LastVersion,
		ResumeTokens: run.transcript.TokenIDs(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.DeadlineMilliseconds = deadline.UnixMilli()
	}
	return run.runner.client.Stream(ctx, digest.Address, request, func(chunk rollout.Chunk) error {
		stall.Reset(run.runner.settings.StallTime)
		return run.acceptChunk(chunk)
	})
}

var errStalled = errors.New("the stream was silent for too long")

func (run *run) acceptChunk(chunk rollout.Chunk) error {
	appended, err := run.transcript.Append(chunk)
	if err != nil || !appended {
		return err
	}
	run.runner.countTokens(len(chunk.TokenIDs))
	if run.onChunk == nil {
		return nil
	}
	if err := run.onChunk(chunk); err != nil {
		run.callerErr = err
		return err
	}
	return nil
}

// handleFailure decides how to continue after a failed attempt. It returns nil to try again.
func (run *run) handleFailure(ctx context.Context, replica *replicaload.Replica, cause error) error {
	digest := replica.Digest()
	notAccepted := errors.Is(cause, engine.ErrNotAccepted)
	if !notAccepted {
		run.mayHaveBegun = true
		run.recordAttempt(digest.ID)
		go run.cancelAttempt(digest.Address, run.attempt)
	}
	if run.callerErr != nil {
		return result.New(result.UnknownBroken, "the caller went away: %v", run.callerErr)
	}
	if ctx.Err() != nil {
		return run.interrupted(ctx)
	}
	replica.Failed(time.Now())
	run.excluded = append(run.excluded, digest.ID)
	if !notAccepted && !run.request.Repeatable {
		return result.New(result.UnknownBroken, "replica %s: %v", digest.ID, cause)
	}
	if !notAccepted {
		run.routeDeadline = time.Now().Add(run.runner.settings.RouteWait)
	}
	return run.spendRetry(notAccepted, cause)
}

// spendRetry takes a retry from the budget, or returns the final result if the attempts or the budget are used up.
func (run *run) spendRetry(notAccepted bool, cause error) error {
	run.runner.countRetry(run.transcript.Tokens() > 0)
	if run.attemptCount < run.runner.settings.MaximumAttempts && run.runner.budget.Retry() {
		return nil
	}
	if run.mayHaveBegun {
		return result.New(result.UnknownBroken, "gave up after %d attempts: %v", run.attemptCount, cause)
	}
	if notAccepted {
		return result.New(result.NotRunRefused, "gave up after %d attempts: %v", run.attemptCount, cause).WithRetryAfter(time.Second)
	}
	return result.New(result.UnknownBroken, "gave up after %d attempts: %v", run.attemptCount, cause)
}

func (run *run) cancelAttempt(address string, attempt uint64) {
	settings := run.runner.settings
	_ = run.runner.client.Cancel(context.Background(), address, run.request.RequestID, attempt, settings.CancelTimeout)
}

func (run *run) outcome() Outcome {
	sample := run.transcript.Sample()
	sample.Policy = run.request.Arm.Policy
	sample.Started = run.started
	sample.Finished = time.Now()
	sample.Replicas = run.replicaIDs
	sample.EngineAttempt = run.attemptIDs
	return Outcome{Sample: sample, Replica: run.replicaIDs[len(run.replicaIDs)-1]}
}

func (runner *Runner) countTokens(count int) {
	runner.mu.Lock()
	runner.counters.Tokens += int64(count)
	runner.mu.Unlock()
}

func (runner *Runner) countRetry(resumed bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.counters.Retries++
	if resumed {
		runner.counters.Resumes++
	}
}

// Counters returns the totals since the start.
func (runner *Runner) Counters() Counters {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.counters
}
