package delivery

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/lock"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// Settings of the owner of steps.
type Settings struct {
	// AttemptSilence is how long an executor may be silent about a slot before another one gets it.
	AttemptSilence time.Duration
	// AdoptTime is how long a new owner waits for executors to tell what they run before it dispatches.
	AdoptTime time.Duration
	// OutstandingSlots bounds the slots of one partition that are with executors.
	OutstandingSlots int
	// SlotsPerDispatch bounds the slots of one dispatch message.
	SlotsPerDispatch int
	// StragglerShare and StragglerTime allow a second attempt once at most this share of a step's slots is empty and the
	// first attempt is older than the time. A zero time allows none.
	StragglerShare float64
	StragglerTime  time.Duration
	// KeepClosed is how long a finished step is kept, for a trainer that asks again.
	KeepClosed time.Duration
	// DispatchTimeout bounds one dispatch call.
	DispatchTimeout time.Duration
}

// Dispatcher hands slots to executors.
type Dispatcher interface {
	// Executors returns the identifiers of nodes that may be given slots.
	Executors() []string
	// Dispatch returns the slots that the node accepted.
	Dispatch(ctx context.Context, nodeID string, request *controlv1.DispatchRequest) ([]uint32, error)
}

// Service owns steps partitions: it is their ownership.Handler and the Twirp service Steps.
type Service struct {
	settings   Settings
	nodeID     string
	document   func() *experiment.Document
	dispatcher Dispatcher
	logger     *log.Logger
	staleness  *stalenessHistory

	mu     sync.Mutex
	served map[partition.Name]*served
}

// served is one owned partition. All changes go through commit.
type served struct {
	service *Service
	name    partition.Name
	log     *partition.Log
	since   time.Time
	copies  int

	changing lock.Lock // guards what follows; held while a change is stored
	steps    map[string]*owned
	attempt  uint64
	changed  chan struct{} // closed and replaced when a sample is accepted
}

// owned is one step with what is tracked about it in memory.
type owned struct {
	step     *step.Step
	attempts *step.Attempts
	// wanted is when the trainer last asked for samples.
	wanted time.Time
}

// NewService returns a service that owns nothing yet.
func NewService(settings Settings, nodeID string, document func() *experiment.Document, dispatcher Dispatcher, logger *log.Logger) *Service {
	return &Service{settings: settings, nodeID: nodeID, document: document, dispatcher: dispatcher, logger: logger,
		staleness: newStalenessHistory(), served: make(map[partition.Name]*served)}
}

// Serve implements ownership.Handler.
func (service *Service) Serve(name partition.Name, current *partition.Log, registers map[string]partition.Register, assignment partition.Assignment) error {
	parts := make([]step.Register, 0, len(registers))
	for key, register := range registers {
		parts = append(parts, step.Register{Key: key, Value: register.Value})
	}
	steps, orphans, err := step.Load(parts)
	if err != nil {
		return err
	}
	found := &served{service: service, name: name, log: current, since: time.Now(), copies: len(assignment.Replicas),
		changing: lock.New(), steps: make(map[string]*owned), changed: make(chan struct{}), attempt: current.Epoch() << attemptEpochShift}
	for id, recovered := range steps {
		found.steps[id] = &owned{step: recovered, attempts: step.NewAttempts()}
	}
	if len(orphans) > 0 {
		if err := current.Append(context.Background(), nil, orphans); err != nil {
			return err
		}
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	service.served[name] = found
	return nil
}

// attemptEpochShift puts the epoch above the counter of attempts, so that attempts of two owners differ.
const attemptEpochShift = 32

// Stop implements ownership.Handler.
func (service *Service) Stop(name partition.Name) {
	service.mu.Lock()
	defer service.mu.Unlock()
	delete(service.served, name)
}

func (service *Service) find(index uint32) (*served, error) {
	service.mu.Lock()
	defer service.mu.Unlock()
	found, ok := service.served[partition.Name{Kind: partition.KindSteps, Index: index}]
	if !ok {
		return nil, result.New(result.NotRunNoOwner, "this node does not own steps partition %d", index).WithRetryAfter(time.Second)
	}
	return found, nil
}

func (service *Service) all() []*served {
	service.mu.Lock()
	defer service.mu.Unlock()
	all := make([]*served, 0, len(service.served))
	for _, found := range service.served {
		all = append(all, found)
	}
	return all
}

// commit stores a change on a quorum and then applies it; must hold changing.
func (served *served) commit(ctx context.Context, owned *owned, change step.Change) error {
	if change.Empty() {
		return nil
	}
	registers, err := change.Registers(owned.step.Definition.ID)
	if err != nil {
		return err
	}
	if err := served.log.Append(ctx, values(registers), nil); err != nil {
		return unavailable(err)
	}
	owned.step.Apply(change)
	return nil
}

func values(registers []step.Register) []partition.Value {
	list := make([]partition.Value, 0, len(registers))
	for _, register := range registers {
		list = append(list, partition.Value{Key: register.Key, Value: register.Value})
	}
	return list
}

// unavailable says that the call can be made again: all calls of trainers and executors can be repeated.
func unavailable(cause error) error {
	return result.New(result.NotRunNoOwner, "the step's stores: %v", cause).WithRetryAfter(time.Second)
}

// step returns an owned step; must hold changing.
func (served *served) step(stepID string) (*owned, error) {
	found, ok := served.steps[stepID]
	if !ok {
		return nil, result.New(result.InvalidNotFound, "step %q does not exist", stepID)
	}
	return found, nil
}

// Create implements the Twirp service.
func (service *Service) Create(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return answer(ctx, service, call, func(served *served, request CreateCall) (CreateAnswer, error) {
		return served.create(ctx, request)
	})
}

// answer decodes a call, finds its partition and encodes the result.
func answer[Request, Answer any](ctx context.Context, service *Service, call *controlv1.StepCall, work func(*served, Request) (Answer, error)) (*controlv1.StepAnswer, error) {
	var request Request
	if err := cbor.Unmarshal(call.GetBody(), &request); err != nil {
		return &controlv1.StepAnswer{Outcome: result.ToMessage(result.New(result.InvalidBody, "%v", err))}, nil
	}
	served, err := service.find(call.GetPartition())
	if err != nil {
		return &controlv1.StepAnswer{Outcome: result.ToMessage(err)}, nil
	}
	value, err := work(served, request)
	if err != nil {
		return &controlv1.StepAnswer{Outcome: result.ToMessage(served.confirmed(ctx, err))}, nil
	}
	body, err := cbor.Marshal(value)
	return &controlv1.StepAnswer{Outcome: result.ToMessage(err), Body: body}, nil
}

// confirmed returns a refusal once a write quorum has confirmed that this node still owns the partition. A former owner that does not know
// that it is one would refuse what its successor has: a step that was created there, a batch that was delivered there. What tells that the
// call can be made again needs no proof.
func (served *served) confirmed(ctx context.Context, refusal error) error {
	if result.CodeOf(refusal).Class() == result.ClassNotRun {
		return refusal
	}
	if err := served.log.Append(ctx, nil, nil); err != nil {
		served.service.logger.Info("refusal not confirmed", "partition", served.name, "refusal", refusal, "error", err)
		return unavailable(err)
	}
	return refusal
}

func (served *served) create(ctx context.Context, request CreateCall) (CreateAnswer, error) {
	definition := request.Definition
	if err := definition.Check(); err != nil {
		return CreateAnswer{}, err
	}
	if _, ok := served.service.document().Experiment(definition.Experiment); !ok {
		return CreateAnswer{}, result.New(result.InvalidNotFound, "experiment %q does not exist", definition.Experiment)
	}
	if err := served.changing.Acquire(ctx); err != nil {
		return CreateAnswer{}, unavailable(err)
	}
	defer served.changing.Release()
	if present, ok := served.steps[definition.ID]; ok {
		if present.step.Definition.ContentHash() != definition.ContentHash() {
			return CreateAnswer{}, result.New(result.ConflictContent, "step %q exists with other content", definition.ID)
		}
		return CreateAnswer{Slots: definition.Slots(), Existed: true}, nil
	}
	definition.Created = time.Now()
	created := &owned{step: step.New(definition), attempts: step.NewAttempts()}
	progress := created.step.Progress
	if err := served.commit(ctx, created, step.Change{Definition: &definition, Progress: &progress}); err != nil {
		return CreateAnswer{}, err
	}
	served.steps[definition.ID] = created
	served.service.logger.Info("step created", "step", definition.ID, "slots", definition.Slots(), "partition", served.name)
	return CreateAnswer{Slots: definition.Slots()}, nil
}

// Fetch implements the Twirp service.
func (service *Service) Fetch(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return answer(ctx, service, call, func(served *served, request FetchCall) (FetchAnswer, error) {
		return served.fetch(ctx, request)
	})
}

// fetch answers at once when something can be delivered, else waits for samples as long as the trainer allows.
func (served *served) fetch(ctx context.Context, request FetchCall) (FetchAnswer, error) {
	deadline := time.NewTimer(request.Wait)
	defer deadline.Stop()
	for {
		answer, changed, err := served.fetchNow(ctx, request)
		if err != nil || len(answer.Samples) > 0 || answer.State != step.StateOpen {
			return answer, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

func (served *served) fetchNow(ctx context.Context, request FetchCall) (FetchAnswer, <-chan struct{}, error) {
	if err := served.changing.Acquire(ctx); err != nil {
		return FetchAnswer{}, nil, unavailable(err)
	}
	defer served.changing.Release()
	owned, err := served.step(request.StepID)
	if err != nil {
		return FetchAnswer{}, nil, err
	}
	owned.wanted = time.Now()
	document := served.service.document()
	bound, err := boundOf(document, owned)
	if err != nil {
		return FetchAnswer{}, nil, err
	}
	decided, err := owned.step.Fetch(step.Fetch{Cursor: request.Cursor, Number: request.Number, Maximum: request.Maximum},
		bound, newest(document, request.Newest), time.Now())
	if err != nil {
		return FetchAnswer{}, nil, err
	}
	if len(decided.Deliveries) > 0 || decided.Dropped > 0 {
		if err := served.commit(ctx, owned, decided.Change); err != nil {
			return FetchAnswer{}, nil, err
		}
	}
	return served.fetched(owned, request, decided), served.changed, nil
}

func (served *served) fetched(owned *owned, request FetchCall, decided step.Answer) FetchAnswer {
	answer := FetchAnswer{NextCursor: request.Cursor, State: owned.step.Progress.State, Slots: owned.step.Definition.Slots(), Delivered: owned.step.Delivered()}
	for _, delivery := range decided.Deliveries {
		answer.Samples = append(answer.Samples, DeliveredSample{
			Slot: delivery.Slot, Generation: delivery.Generation, Sample: delivery.Sample,
			StalenessVersions: delivery.Staleness.Versions, StalenessAge: delivery.Staleness.Age,
		})
		served.service.staleness.record(delivery.Sample.Policy, delivery.Staleness)
	}
	if len(answer.Samples) > 0 {
		answer.NextCursor++
	}
	return answer
}

func boundOf(document *experiment.Document, owned *owned) (experiment.Bound, error) {
	found, ok := document.Experiment(owned.step.Definition.Experiment)
	if !ok {
		return experiment.Bound{}, result.New(result.InvalidNotFound, "experiment %q does not exist any more", owned.step.Definition.Experiment)
	}
	return found.Bound, nil
}

// newest returns the greater of what the configuration knows and what the trainer names.
func newest(document *experiment.Document, named map[string]uint64) step.Newest {
	return func(name string) uint64 {
		policy, _ := document.Policy(name)
		return max(policy.Newest(), named[name])
	}
}

// Acknowledge implements the Twirp service.
func (service *Service) Acknowledge(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return answer(ctx, service, call, func(served *served, request AcknowledgeCall) (Summary, error) {
		return served.close(ctx, request.StepID, func(owned *owned) (step.Change, error) {
			return owned.step.Acknowledge(request.Cursor, time.Now())
		})
	})
}

// End implements the Twirp service.
func (service *Service) End(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return answer(ctx, service, call, func(served *served, request EndCall) (Summary, error) {
		return served.close(ctx, request.StepID, func(owned *owned) (step.Change, error) {
			return owned.step.End(time.Now()), nil
		})
	})
}

// close commits a change that may close the step.
func (served *served) close(ctx context.Context, stepID string, decide func(*owned) (step.Change, error)) (Summary, error) {
	if err := served.changing.Acquire(ctx); err != nil {
		return Summary{}, unavailable(err)
	}
	defer served.changing.Release()
	owned, err := served.step(stepID)
	if err != nil {
		return Summary{}, err
	}
	before := owned.step.Progress.State
	change, err := decide(owned)
	if err != nil {
		return Summary{}, err
	}
	if err := served.commit(ctx, owned, change); err != nil {
		return Summary{}, err
	}
	if after := owned.step.Progress.State; after != before {
		served.service.logger.Info("step closed", "step", stepID, "state", after, "dropped", owned.step.Progress.Dropped)
	}
	return served.summary(owned), nil
}
