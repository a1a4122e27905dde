package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/execution"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Scorer scores finished samples with the platform's scoring service.
type Scorer interface {
	Score(ctx context.Context, policy, prompt, completion string) (float64, error)
}

// Owners returns a client of the current owner of a steps partition.
type Owners interface {
	Steps(partition uint32) (controlv1.Steps, error)
}

// ExecutorSettings are the settings of an Executor.
type ExecutorSettings struct {
	// MaximumSlots bounds the number of slots that the node runs concurrently.
	MaximumSlots int
	// RenewInterval is the interval at which the node renews its attempts with the owners.
	RenewInterval time.Duration
	// CallTimeout bounds each call to an owner.
	CallTimeout time.Duration
	// SwapWaitTimeout is how long a rollout that is generated ahead waits for a replica with newer weights.
	SwapWaitTimeout time.Duration
	// MaxBatchFill and AheadMaxBatchFill are the shares of a replica's batch up to which rollouts are sent to the replica:
	// MaxBatchFill for a step whose trainer is waiting, AheadMaxBatchFill for a step that is generated ahead. Zero means no
	// limit, and rollouts queue at the replicas.
	MaxBatchFill, AheadMaxBatchFill float64
}

type slotKey struct {
	stepID string
	slot   uint32
}

type slotRun struct {
	attempt   uint64
	partition uint32
	cancel    context.CancelFunc
}

// Executor fills slots on this node. It implements the Twirp service Executor.
type Executor struct {
	settings ExecutorSettings
	nodeID   string
	runner   *execution.Runner
	scorer   Scorer
	owners   Owners
	document func() *experiment.Document
	logger   *log.Logger

	ctx     context.Context
	stop    context.CancelFunc
	pending sync.WaitGroup

	mu       sync.Mutex
	stopping bool
	running  map[slotKey]slotRun
	epochs   map[uint32]uint64 // by partition: the greatest epoch of any dispatch received
}

// NewExecutor returns an executor that runs no slots yet.
func NewExecutor(settings ExecutorSettings, nodeID string, runner *execution.Runner, scorer Scorer, owners Owners,
	document func() *experiment.Document, logger *log.Logger) *Executor {
	ctx, stop := context.WithCancel(context.Background())
	return &Executor{settings: settings, nodeID: nodeID, runner: runner, scorer: scorer, owners: owners, document: document,
		logger: logger, ctx: ctx, stop: stop, running: make(map[slotKey]slotRun), epochs: make(map[uint32]uint64)}
}

// Dispatch implements the Twirp service. It accepts slots up to MaximumSlots, and none from an owner with an older epoch.
func (executor *Executor) Dispatch(_ context.Context, request *controlv1.DispatchRequest) (*controlv1.DispatchResponse, error) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	response := &controlv1.DispatchResponse{}
	if executor.stopping || request.GetEpoch() < executor.epochs[request.GetPartition()] {
		return response, nil
	}
	executor.epochs[request.GetPartition()] = request.GetEpoch()
	for _, work := range request.GetSlots() {
		if len(executor.running) >= executor.settings.MaximumSlots {
			break
		}
		key := slotKey{request.GetStepId(), work.GetSlot()}
		if _, busy := executor.running[key]; busy {
			continue
		}
		ctx, cancel := context.WithCancel(executor.ctx)
		executor.running[key] = slotRun{attempt: work.GetAttempt(), partition: request.GetPartition(), cancel: cancel}
		response.Accepted = append(response.Accepted, work.GetSlot())
		executor.pending.Go(func() {
			defer cancel()
			executor.fillSlot(ctx, key, request.GetPartition(), work)
		})
	}
	return response, nil
}

// fillSlot generates the sample of a slot and submits it to the owner.
func (executor *Executor) fillSlot(ctx context.Context, key slotKey, index uint32, work *controlv1.SlotWork) {
	defer executor.removeRun(key)
	sample, err := executor.generate(ctx, key, work)
	if err != nil {
		if ctx.Err() == nil {
			executor.logger.Warn("slot failed", "step", key.stepID, "slot", key.slot, "code", result.CodeOf(err), "error", err)
		}
		return
	}
	encoded, err := cbor.Marshal(sample)
	if err != nil {
		executor.logger.Error("sample not encoded", "step", key.stepID, "slot", key.slot, "error", err)
		return
	}
	request := &controlv1.SubmitRequest{StepId: key.stepID, Partition: index, Samples: []*controlv1.SubmittedSample{
		{Slot: work.GetSlot(), Generation: work.GetGeneration(), Attempt: work.GetAttempt(), Sample: encoded},
	}}
	if err := executor.submit(ctx, request); err != nil && ctx.Err() == nil {
		executor.logger.Warn("sample not taken", "step", key.stepID, "slot", key.slot, "code", result.CodeOf(err), "error", err)
	}
}

// errTooStale aborts a rollout whose oldest tokens exceed the staleness bound.
var errTooStale = errors.New("the rollout is over the staleness bound")

// generate runs a rollout and has its sample scored. It retries a rollout that failed or exceeded the staleness bound,
// unless the request is invalid.
func (executor *Executor) generate(ctx context.Context, key slotKey, work *controlv1.SlotWork) (*rollout.Sample, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = 2 * time.Second
	began := time.Now()
	sample, err := backoff.Retry(ctx, func() (*rollout.Sample, error) {
		margin := uint64(work.GetMargin())
		if time.Since(began) > executor.settings.SwapWaitTimeout {
			margin = 0
		}
		sample, err := executor.attempt(ctx, key, work, margin)
		if err != nil && result.CodeOf(err).Class() == result.ClassInvalid {
			return nil, backoff.Permanent(err)
		}
		return sample, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return nil, err
	}
	sample.Score, err = backoff.Retry(ctx, func() (float64, error) {
		return executor.scorer.Score(ctx, sample.Policy, work.GetPrompt(), sample.Text)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
	return sample, err
}

// attempt runs the rollout once, on a replica whose version satisfies the staleness bound tightened by margin versions.
func (executor *Executor) attempt(ctx context.Context, key slotKey, work *controlv1.SlotWork, margin uint64) (*rollout.Sample, error) {
	document := executor.document()
	arm, ok := armFor(document, work.GetExperiment(), work.GetPolicy())
	if !ok {
		return nil, result.New(result.InvalidNotFound, "experiment %q has no policy %q", work.GetExperiment(), work.GetPolicy())
	}
	arm.FirstVersion = max(arm.FirstVersion, oldestAllowedVersion(document, work, margin))
	outcome, err := executor.runner.Run(ctx, execution.Request{
		RequestID: SlotRequestID(key.stepID, key.slot, work.GetGeneration()), Arm: arm, Prompt: work.GetPrompt(), MaxTokens: int(work.GetMaxTokens()),
		Priority: int(work.GetPriority()), Repeatable: true, PrefixKey: work.GetPrompt(), MaxBatchFill: executor.maxBatchFill(work),
	}, func(chunk rollout.Chunk) error {
		if chunk.Version < oldestAllowedVersion(executor.document(), work, 0) {
			return errTooStale
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if outcome.Sample.OldestVersion() < oldestAllowedVersion(executor.document(), work, 0) {
		return nil, errTooStale
	}
	if err := outcome.Sample.Check(); err != nil {
		// The new error carries no result code, so that generate retries the rollout.
		return nil, errors.Newf("sample cannot be used for training: %v", err)
	}
	return &outcome.Sample, nil
}

// maxBatchFill returns the share of a replica's batch that the rollout may fill. The share is smaller for a step that is
// generated ahead, to leave capacity for rollouts that a trainer is waiting for.
func (executor *Executor) maxBatchFill(work *controlv1.SlotWork) float64 {
	if work.GetMargin() > 0 {
		return executor.settings.AheadMaxBatchFill
	}
	return executor.settings.MaxBatchFill
}

// oldestAllowedVersion returns the oldest version that the staleness bound allows after it is tightened by margin versions.
// A margin beyond the bound counts as the bound, so that the newest version is always allowed.
func oldestAllowedVersion(document *experiment.Document, work *controlv1.SlotWork, margin uint64) uint64 {
	found, ok := document.Experiment(work.GetExperiment())
	policy, known := document.Policy(work.GetPolicy())
	if !ok || !known || !found.Bound.HasVersions {
		return 0
	}
	allowed := found.Bound.Versions - min(margin, found.Bound.Versions)
	return policy.Newest() - min(policy.Newest(), allowed)
}

// submit sends samples to the owner. It retries until the owner accepts them or refuses them permanently, or until ctx is
// done.
func (executor *Executor) submit(ctx context.Context, request *controlv1.SubmitRequest) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = 2 * time.Second
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		owner, err := executor.owners.Steps(request.GetPartition())
		if err != nil {
			return struct{}{}, err
		}
		callCtx, cancel := context.WithTimeout(ctx, executor.settings.CallTimeout)
		defer cancel()
		answer, err := owner.Submit(callCtx, request)
		if err != nil {
			return struct{}{}, err
		}
		failure := result.FromMessage(answer.GetOutcome())
		if failure != nil && result.CodeOf(failure).Class() != result.ClassNotRun {
			return struct{}{}, backoff.Permanent(failure)
		}
		return struct{}{}, failure
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	return err
}

func (executor *Executor) removeRun(key slotKey) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	delete(executor.running, key)
}

type renewalKey struct {
	stepID    string
	partition uint32
}

// Tick renews the running attempts with their owners, and cancels those that the owners have abandoned.
func (executor *Executor) Tick(ctx context.Context) {
	executor.mu.Lock()
	requests := make(map[renewalKey]*controlv1.RenewRequest)
	for key, run := range executor.running {
		group := renewalKey{key.stepID, run.partition}
		request, ok := requests[group]
		if !ok {
			request = &controlv1.RenewRequest{StepId: key.stepID, Partition: run.partition, NodeId: executor.nodeID}
			requests[group] = request
		}
		request.Slots = append(request.Slots, key.slot)
		request.Attempts = append(request.Attempts, run.attempt)
	}
	executor.mu.Unlock()
	for _, request := range requests {
		executor.renew(ctx, request)
	}
}

func (executor *Executor) renew(ctx context.Context, request *controlv1.RenewRequest) {
	owner, err := executor.owners.Steps(request.GetPartition())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, executor.settings.CallTimeout)
	defer cancel()
	response, err := owner.Renew(ctx, request)
	if err != nil {
		return
	}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	for _, slot := range response.GetAbandoned() {
		if run, ok := executor.running[slotKey{request.GetStepId(), slot}]; ok {
			run.cancel()
		}
	}
}

// Running returns the number of slots that are running.
func (executor *Executor) Running() int {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return len(executor.running)
}

// StopAccepting makes the executor accept no more slots. Running slots continue.
func (executor *Executor) StopAccepting() {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.stopping = true
}

// Drain waits until no slots are running or ctx is done.
func (executor *Executor) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		executor.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close refuses further slots and cancels the running ones.
func (executor *Executor) Close() {
	executor.StopAccepting()
	executor.stop()
}
