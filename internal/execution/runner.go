// Package execution runs one rollout: it picks a replica, follows the stream, and goes on at another replica after a
// failure where the request allows it.
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
	"github.com/thistlewalk/thistlewalk/internal/loads"
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
	// Repeatable requests may be sent to a second replica after a failure.
	Repeatable bool
	// Preferred is the replica that ran the rollout's last turn; empty for none.
	Preferred string
	PrefixKey string
	// RoomShare waits for a replica whose batch is filled to less than this share, instead of queueing; zero does not.
	RoomShare float64
}

// Settings of the runner.
type Settings struct {
	// RouteWait is how long a request waits for a serviceable replica before it is refused as not run.
	RouteWait time.Duration
	// StallTime is how long a stream may be silent before it counts as broken.
	StallTime time.Duration
	// CancelTimeout bounds the call that cancels an abandoned attempt.
	CancelTimeout time.Duration
	// MaximumAttempts bounds how many replicas one request is sent to.
	MaximumAttempts int
}

// Counters are totals of a runner.
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
	loads    *loads.Table
	router   *routing.Router
	budget   *admission.RetryBudget
	document func() *experiment.Document
	mu       sync.Mutex
	counters Counters
}

// NewRunner returns a runner. document gives the newest configuration.
func NewRunner(settings Settings, zone string, client engine.Client, table *loads.Table, router *routing.Router,
	budget *admission.RetryBudget, document func() *experiment.Document) *Runner {
	return &Runner{settings: settings, zone: zone, client: client, loads: table, router: router, budget: budget, document: document}
}

// Outcome is a completed rollout.
type Outcome struct {
	Sample rollout.Sample
	// Replica is the one that finished it.
	Replica string
}

// Run runs a request to its end and passes each chunk to each, in order and without repetition. Its error is a
// result.Error: of class not run only when no engine began the request.
func (runner *Runner) Run(ctx context.Context, request Request, each func(rollout.Chunk) error) (Outcome, error) {
	run := &run{
		runner: runner, request: request, each: each,
		transcript: rollout.NewTranscript(request.RequestID, min(request.MaxTokens, maximumSized)),
		attempt:    rand.Uint64() >> attemptShift,
		routedBy:   time.Now().Add(runner.settings.RouteWait),
	}
	runner.budget.FirstAttempt()
	for {
		done, err := run.once(ctx)
		if err != nil {
			return Outcome{}, err
		}
		if done {
			return run.outcome(), nil
		}
	}
}

const (
	// attemptShift keeps attempt numbers exact in JSON numbers, with room to count up.
	attemptShift = 12
	maximumSized = 4096
	routePause   = 20 * time.Millisecond
)

// run is the state of one request.
type run struct {
	runner     *Runner
	request    Request
	each       func(rollout.Chunk) error
	transcript *rollout.Transcript
	attempt    uint64
	attempts   []uint64
	replicas   []string
	excluded   []string
	sent       int
	// began tells that some engine may have begun the request.
	began     bool
	started   time.Time
	routedBy  time.Time
	callerErr error
}

// once makes one attempt. It returns true when the rollout is complete, false to try again.
func (run *run) once(ctx context.Context) (bool, error) {
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
	run.sent++
	end := replica.Begin()
	err := run.stream(ctx, digest)
	end()
	if err == nil || run.transcript.Complete() && run.callerErr == nil {
		replica.Succeeded()
		run.noteAttempt(digest.ID)
		return true, nil
	}
	return false, run.failed(ctx, replica, err)
}

func (run *run) noteAttempt(replicaID string) {
	run.attempts = append(run.attempts, run.attempt)
	run.replicas = append(run.replicas, replicaID)
}

func (run *run) route() *loads.Replica {
	runner := run.runner
	policy, _ := runner.document().Policy(run.request.Arm.Policy)
	wanted := routing.Wanted{
		Arm: run.request.Arm, Newest: policy.Target, Zone: runner.zone,
		PrefixKey: run.request.PrefixKey, Preferred: run.request.Preferred, Excluded: run.excluded, RoomShare: run.request.RoomShare,
	}
	return runner.router.Route(&wanted, runner.loads.List())
}

// waitForReplica pauses, or gives up when the wait is over.
func (run *run) waitForReplica(ctx context.Context) error {
	run.excluded = nil
	if time.Now().After(run.routedBy) {
		if run.began {
			return result.New(result.UnknownBroken, "no replica is left to go on at")
		}
		return result.New(result.NotRunNoReplica, "no replica may run policy %q", run.request.Arm.Policy).WithRetryAfter(time.Second)
	}
	select {
	case <-ctx.Done():
		return run.interrupted(ctx)
	case <-time.After(routePause):
		return nil
	}
}

// interrupted returns the result of a request whose context ended.
func (run *run) interrupted(ctx context.Context) error {
	if run.began {
		return result.New(result.UnknownTimeout, "%v", context.Cause(ctx))
	}
	return result.New(result.NotRunDeadline, "%v", context.Cause(ctx))
}

// stream sends the request and follows its stream; a silent stream is cut.
func (run *run) stream(ctx context.Context, digest *loads.Digest) error {
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
		return run.take(chunk)
	})
}

var errStalled = errors.New("the stream was silent for too long")

func (run *run) take(chunk rollout.Chunk) error {
	taken, err := run.transcript.Append(chunk)
	if err != nil || !taken {
		return err
	}
	run.runner.countTokens(len(chunk.TokenIDs))
	if run.each == nil {
		return nil
	}
	if err := run.each(chunk); err != nil {
		run.callerErr = err
		return err
	}
	return nil
}

// failed decides what follows a failed attempt: nil to try again.
func (run *run) failed(ctx context.Context, replica *loads.Replica, cause error) error {
	digest := replica.Digest()
	notAccepted := errors.Is(cause, engine.ErrNotAccepted)
	if !notAccepted {
		run.began = true
		run.noteAttempt(digest.ID)
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
		run.routedBy = time.Now().Add(run.runner.settings.RouteWait)
	}
	return run.spendRetry(notAccepted, cause)
}

// spendRetry takes a retry from the budget or returns the final result.
func (run *run) spendRetry(notAccepted bool, cause error) error {
	run.runner.countRetry(run.transcript.Tokens() > 0)
	if run.sent < run.runner.settings.MaximumAttempts && run.runner.budget.Retry() {
		return nil
	}
	if run.began {
		return result.New(result.UnknownBroken, "gave up after %d attempts: %v", run.sent, cause)
	}
	if notAccepted {
		return result.New(result.NotRunRefused, "gave up after %d attempts: %v", run.sent, cause).WithRetryAfter(time.Second)
	}
	return result.New(result.UnknownBroken, "gave up after %d attempts: %v", run.sent, cause)
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
	sample.Replicas = run.replicas
	sample.EngineAttempt = run.attempts
	return Outcome{Sample: sample, Replica: run.replicas[len(run.replicas)-1]}
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
