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

// Scorer grades a finished sample; the platform's scoring service is behind it.
type Scorer interface {
	Score(ctx context.Context, policy, prompt, completion string) (float64, error)
}

// Owners reaches the owner of a steps partition, wherever it is at the moment.
type Owners interface {
	Steps(partition uint32) (controlv1.Steps, error)
}

// ExecutorSettings of a node.
type ExecutorSettings struct {
	// MaximumSlots bounds the slots that the node works on.
	MaximumSlots int
	// RenewInterval is how often the owner is told what runs here.
	RenewInterval time.Duration
	// CallTimeout bounds a call to the owner.
	CallTimeout time.Duration
	// SwapPatience is how long a rollout that is generated ahead waits for a replica that runs newer weights.
	SwapPatience time.Duration
	// RoomShare and AheadShare are how far rollouts of steps fill a replica's batch: of a step that its trainer waits for,
	// and of one that is generated ahead. Zero queues at replicas.
	RoomShare, AheadShare float64
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
	epochs   map[uint32]uint64 // by partition: the greatest epoch that dispatched here
}

// NewExecutor returns an executor without work.
func NewExecutor(settings ExecutorSettings, nodeID string, runner *execution.Runner, scorer Scorer, owners Owners,
	document func() *experiment.Document, logger *log.Logger) *Executor {
	ctx, stop := context.WithCancel(context.Background())
	return &Executor{settings: settings, nodeID: nodeID, runner: runner, scorer: scorer, owners: owners, document: document,
		logger: logger, ctx: ctx, stop: stop, running: make(map[slotKey]slotRun), epochs: make(map[uint32]uint64)}
}

// Dispatch implements the Twirp service: it accepts slots up to the node's limit, from the owner with the greatest epoch.
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
			executor.fill(ctx, key, request.GetPartition(), work)
		})
	}
	return response, nil
}

// fill runs one slot to its end and brings the sample to the owner.
func (executor *Executor) fill(ctx context.Context, key slotKey, index uint32, work *controlv1.SlotWork) {
	defer executor.forget(key)
	sample, err := executor.produce(ctx, key, work)
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

// errTooOld ends a rollout whose oldest tokens have fallen behind the staleness bound.
var errTooOld = errors.New("the rollout is over the staleness bound")

// produce runs the rollout, again until it is whole, and has it scored. A rollout that has fallen behind the bound is
// begun anew.
func (executor *Executor) produce(ctx context.Context, key slotKey, work *controlv1.SlotWork) (*rollout.Sample, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = 2 * time.Second
	began := time.Now()
	sample, err := backoff.Retry(ctx, func() (*rollout.Sample, error) {
		margin := uint64(work.GetMargin())
		if time.Since(began) > executor.settings.SwapPatience {
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

// attempt runs the rollout once, beginning at least margin versions below the staleness bound where it can.
func (executor *Executor) attempt(ctx context.Context, key slotKey, work *controlv1.SlotWork, margin uint64) (*rollout.Sample, error) {
	document := executor.document()
	arm, ok := armFor(document, work.GetExperiment(), work.GetPolicy())
	if !ok {
		return nil, result.New(result.InvalidNotFound, "experiment %q has no policy %q", work.GetExperiment(), work.GetPolicy())
	}
	arm.FirstVersion = max(arm.FirstVersion, oldestUseful(document, work, margin))
	outcome, err := executor.runner.Run(ctx, execution.Request{
		RequestID: SlotRequestID(key.stepID, key.slot, work.GetGeneration()), Arm: arm, Prompt: work.GetPrompt(), MaxTokens: int(work.GetMaxTokens()),
		Priority: int(work.GetPriority()), Repeatable: true, PrefixKey: work.GetPrompt(), RoomShare: executor.roomShare(work),
	}, func(chunk rollout.Chunk) error {
		if chunk.Version < oldestUseful(executor.document(), work, 0) {
			return errTooOld
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if outcome.Sample.OldestVersion() < oldestUseful(executor.document(), work, 0) {
		return nil, errTooOld
	}
	if err := outcome.Sample.Check(); err != nil {
		// An unlabelled sample is of no use for training: it is run again.
		return nil, errors.Newf("the rollout cannot be used: %v", err)
	}
	return &outcome.Sample, nil
}

// roomShare leaves room beside rollouts that a trainer waits for: those of a step that is generated ahead fill batches
// less, so that the others run faster.
func (executor *Executor) roomShare(work *controlv1.SlotWork) float64 {
	if work.GetMargin() > 0 {
		return executor.settings.AheadShare
	}
	return executor.settings.RoomShare
}

// oldestUseful returns the oldest version whose tokens the staleness bound still allows, with a margin: at most that of
// the bound itself, so that the newest version is always of use.
func oldestUseful(document *experiment.Document, work *controlv1.SlotWork, margin uint64) uint64 {
	found, ok := document.Experiment(work.GetExperiment())
	policy, known := document.Policy(work.GetPolicy())
	if !ok || !known || !found.Bound.HasVersions {
		return 0
	}
	allowed := found.Bound.Versions - min(margin, found.Bound.Versions)
	return policy.Newest() - min(policy.Newest(), allowed)
}

// submit brings samples until the owner has taken them, the slot is given up, or the answer is final.
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

func (executor *Executor) forget(key slotKey) {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	delete(executor.running, key)
}

type renewal struct {
	stepID    string
	partition uint32
}

// Tick tells the owners what runs here, and cancels what they have given up.
func (executor *Executor) Tick(ctx context.Context) {
	executor.mu.Lock()
	requests := make(map[renewal]*controlv1.RenewRequest)
	for key, run := range executor.running {
		group := renewal{key.stepID, run.partition}
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

// Running returns the number of slots in work.
func (executor *Executor) Running() int {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	return len(executor.running)
}

// Refuse stops taking slots; those in work go on.
func (executor *Executor) Refuse() {
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.stopping = true
}

// Drain waits until the slots in work are done or the context ends.
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

// Close gives up the slots in work.
func (executor *Executor) Close() {
	executor.Refuse()
	executor.stop()
}
