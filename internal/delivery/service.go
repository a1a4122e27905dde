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

// Settings are the settings of a Service.
type Settings struct {
	// AttemptTimeout is how long after its last renewal an attempt expires, and its slot may be dispatched again.
	AttemptTimeout time.Duration
	// AdoptTime is how long a new owner waits for executors to renew their running attempts before it dispatches slots.
	AdoptTime time.Duration
	// OutstandingSlots bounds the number of slots of one partition that executors are running.
	OutstandingSlots int
	// SlotsPerDispatch bounds the number of slots in one dispatch request.
	SlotsPerDispatch int
	// A slot gets a second attempt if at most StragglerShare of the step's slots are empty and its first attempt is older
	// than StragglerTime. A zero StragglerTime disables second attempts.
	StragglerShare float64
	StragglerTime  time.Duration
	// ClosedRetention is how long a closed step is kept, so that a trainer can repeat its last calls.
	ClosedRetention time.Duration
	// DispatchTimeout bounds each dispatch call.
	DispatchTimeout time.Duration
}

// Dispatcher sends slots to executors.
type Dispatcher interface {
	// Executors returns the identifiers of the nodes that may receive slots.
	Executors() []string
	// Dispatch sends slots to a node and returns those that the node accepted.
	Dispatch(ctx context.Context, nodeID string, request *controlv1.DispatchRequest) ([]uint32, error)
}

// Service serves the steps partitions that the node owns. It implements ownership.Handler and the Twirp service Steps.
type Service struct {
	settings   Settings
	nodeID     string
	document   func() *experiment.Document
	dispatcher Dispatcher
	logger     *log.Logger
	staleness  *stalenessHistory

	mu     sync.Mutex
	served map[partition.Name]*servedPartition
}

// servedPartition is one partition that the node owns. All changes of stored state go through commit, or through the log
// when a step is removed.
type servedPartition struct {
	service      *Service
	name         partition.Name
	log          *partition.Log
	since        time.Time // when the node began to serve the partition
	replicaCount int       // number of replicas

	changing lock.Lock // guards the fields below; held while a change is stored
	steps    map[string]*ownedStep
	attempt  uint64        // number of the last attempt
	changed  chan struct{} // closed and replaced when samples are accepted
}

// ownedStep is a step together with its state in the owner's memory.
type ownedStep struct {
	step     *step.Step
	attempts *step.Attempts
	// lastFetch is the time of the trainer's last fetch.
	lastFetch time.Time
}

// NewService returns a service without partitions.
func NewService(settings Settings, nodeID string, document func() *experiment.Document, dispatcher Dispatcher, logger *log.Logger) *Service {
	return &Service{settings: settings, nodeID: nodeID, document: document, dispatcher: dispatcher, logger: logger,
		staleness: newStalenessHistory(), served: make(map[partition.Name]*servedPartition)}
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
	found := &servedPartition{service: service, name: name, log: current, since: time.Now(), replicaCount: len(assignment.Replicas),
		changing: lock.New(), steps: make(map[string]*ownedStep), changed: make(chan struct{}), attempt: current.Epoch() << attemptEpochShift}
	for id, recovered := range steps {
		found.steps[id] = &ownedStep{step: recovered, attempts: step.NewAttempts()}
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

// attemptEpochShift puts the epoch into the high bits of attempt numbers, so that numbers of different owners differ.
const attemptEpochShift = 32

// Stop implements ownership.Handler.
func (service *Service) Stop(name partition.Name) {
	service.mu.Lock()
	defer service.mu.Unlock()
	delete(service.served, name)
}

func (service *Service) find(index uint32) (*servedPartition, error) {
	service.mu.Lock()
	defer service.mu.Unlock()
	found, ok := service.served[partition.Name{Kind: partition.KindSteps, Index: index}]
	if !ok {
		return nil, result.New(result.NotRunNoOwner, "this node does not own steps partition %d", index).WithRetryAfter(time.Second)
	}
	return found, nil
}

func (service *Service) servedPartitions() []*servedPartition {
	service.mu.Lock()
	defer service.mu.Unlock()
	all := make([]*servedPartition, 0, len(service.served))
	for _, found := range service.served {
		all = append(all, found)
	}
	return all
}

// commit stores a change on a write quorum and then applies it. The caller must hold changing.
func (served *servedPartition) commit(ctx context.Context, owned *ownedStep, change step.Change) error {
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

// unavailable returns a retryable error. All calls of trainers and executors are safe to retry.
func unavailable(cause error) error {
	return result.New(result.NotRunNoOwner, "the step's stores: %v", cause).WithRetryAfter(time.Second)
}

// step returns a step of the partition. The caller must hold changing.
func (served *servedPartition) step(stepID string) (*ownedStep, error) {
	found, ok := served.steps[stepID]
	if !ok {
		return nil, result.New(result.InvalidNotFound, "step %q does not exist", stepID)
	}
	return found, nil
}

// Create implements the Twirp service.
func (service *Service) Create(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return handleCall(ctx, service, call, func(served *servedPartition, request CreateRequest) (CreateResponse, error) {
		return served.create(ctx, request)
	})
}

// handleCall decodes a call, passes it to work with its partition, and encodes the response.
func handleCall[Request, Response any](ctx context.Context, service *Service, call *controlv1.StepCall, work func(*servedPartition, Request) (Response, error)) (*controlv1.StepAnswer, error) {
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
		return &controlv1.StepAnswer{Outcome: result.ToMessage(served.confirmOwnership(ctx, err))}, nil
	}
	body, err := cbor.Marshal(value)
	return &controlv1.StepAnswer{Outcome: result.ToMessage(err), Body: body}, nil
}

// confirmOwnership returns a refusal after a write quorum has confirmed that this node still owns the partition, or else a
// retryable error. A deposed owner does not have the steps and batches of its successor, so its refusals may be wrong.
// Refusals that are already retryable need no confirmation.
func (served *servedPartition) confirmOwnership(ctx context.Context, refusal error) error {
	if result.CodeOf(refusal).Class() == result.ClassNotRun {
		return refusal
	}
	if err := served.log.Append(ctx, nil, nil); err != nil {
		served.service.logger.Info("refusal not confirmed", "partition", served.name, "refusal", refusal, "error", err)
		return unavailable(err)
	}
	return refusal
}

func (served *servedPartition) create(ctx context.Context, request CreateRequest) (CreateResponse, error) {
	definition := request.Definition
	if err := definition.Check(); err != nil {
		return CreateResponse{}, err
	}
	if _, ok := served.service.document().Experiment(definition.Experiment); !ok {
		return CreateResponse{}, result.New(result.InvalidNotFound, "experiment %q does not exist", definition.Experiment)
	}
	if err := served.changing.Acquire(ctx); err != nil {
		return CreateResponse{}, unavailable(err)
	}
	defer served.changing.Release()
	if present, ok := served.steps[definition.ID]; ok {
		if present.step.Definition.ContentHash() != definition.ContentHash() {
			return CreateResponse{}, result.New(result.ConflictContent, "step %q exists with other content", definition.ID)
		}
		return CreateResponse{Slots: definition.Slots(), Existed: true}, nil
	}
	definition.Created = time.Now()
	created := &ownedStep{step: step.New(definition), attempts: step.NewAttempts()}
	progress := created.step.Progress
	if err := served.commit(ctx, created, step.Change{Definition: &definition, Progress: &progress}); err != nil {
		return CreateResponse{}, err
	}
	served.steps[definition.ID] = created
	served.service.logger.Info("step created", "step", definition.ID, "slots", definition.Slots(), "partition", served.name)
	return CreateResponse{Slots: definition.Slots()}, nil
}

// Fetch implements the Twirp service.
func (service *Service) Fetch(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return handleCall(ctx, service, call, func(served *servedPartition, request FetchRequest) (FetchResponse, error) {
		return served.fetch(ctx, request)
	})
}

// fetch returns samples, or the state of a closed step, at once. Otherwise it waits for samples, for at most request.Wait.
func (served *servedPartition) fetch(ctx context.Context, request FetchRequest) (FetchResponse, error) {
	deadline := time.NewTimer(request.Wait)
	defer deadline.Stop()
	for {
		response, changed, err := served.fetchNow(ctx, request)
		if err != nil || len(response.Samples) > 0 || response.State != step.StateOpen {
			return response, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

func (served *servedPartition) fetchNow(ctx context.Context, request FetchRequest) (FetchResponse, <-chan struct{}, error) {
	if err := served.changing.Acquire(ctx); err != nil {
		return FetchResponse{}, nil, unavailable(err)
	}
	defer served.changing.Release()
	owned, err := served.step(request.StepID)
	if err != nil {
		return FetchResponse{}, nil, err
	}
	owned.lastFetch = time.Now()
	document := served.service.document()
	bound, err := boundOf(document, owned)
	if err != nil {
		return FetchResponse{}, nil, err
	}
	decided, err := owned.step.Fetch(step.Fetch{Cursor: request.Cursor, Number: request.Number, Maximum: request.Maximum},
		bound, newest(document, request.Newest), time.Now())
	if err != nil {
		return FetchResponse{}, nil, err
	}
	if len(decided.Deliveries) > 0 || decided.Dropped > 0 {
		if err := served.commit(ctx, owned, decided.Change); err != nil {
			return FetchResponse{}, nil, err
		}
	}
	return served.newFetchResponse(owned, request, decided), served.changed, nil
}

// newFetchResponse returns the response to a fetch and records the staleness of its samples.
func (served *servedPartition) newFetchResponse(owned *ownedStep, request FetchRequest, decided step.FetchResult) FetchResponse {
	response := FetchResponse{NextCursor: request.Cursor, State: owned.step.Progress.State, Slots: owned.step.Definition.Slots(), Delivered: owned.step.Delivered()}
	for _, delivery := range decided.Deliveries {
		response.Samples = append(response.Samples, DeliveredSample{
			Slot: delivery.Slot, Generation: delivery.Generation, Sample: delivery.Sample,
			StalenessVersions: delivery.Staleness.Versions, StalenessAge: delivery.Staleness.Age,
		})
		served.service.staleness.record(delivery.Sample.Policy, delivery.Staleness)
	}
	if len(response.Samples) > 0 {
		response.NextCursor++
	}
	return response
}

func boundOf(document *experiment.Document, owned *ownedStep) (experiment.Bound, error) {
	found, ok := document.Experiment(owned.step.Definition.Experiment)
	if !ok {
		return experiment.Bound{}, result.New(result.InvalidNotFound, "experiment %q does not exist any more", owned.step.Definition.Experiment)
	}
	return found.Bound, nil
}

// newest returns the newest version of each policy: the greater of those in the configuration and in the trainer's call.
func newest(document *experiment.Document, named map[string]uint64) step.Newest {
	return func(name string) uint64 {
		policy, _ := document.Policy(name)
		return max(policy.Newest(), named[name])
	}
}

// Acknowledge implements the Twirp service.
func (service *Service) Acknowledge(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return handleCall(ctx, service, call, func(served *servedPartition, request AcknowledgeRequest) (Summary, error) {
		return served.close(ctx, request.StepID, func(owned *ownedStep) (step.Change, error) {
			return owned.step.Acknowledge(request.Cursor, time.Now())
		})
	})
}

// End implements the Twirp service.
func (service *Service) End(ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	return handleCall(ctx, service, call, func(served *servedPartition, request EndRequest) (Summary, error) {
		return served.close(ctx, request.StepID, func(owned *ownedStep) (step.Change, error) {
			return owned.step.End(time.Now()), nil
		})
	})
}

// close commits a change that may close the step, and returns the step's summary.
func (served *servedPartition) close(ctx context.Context, stepID string, decide func(*ownedStep) (step.Change, error)) (Summary, error) {
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
