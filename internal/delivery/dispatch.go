package delivery

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// Priorities of slots. The second attempt of a straggler precedes the other slots of its step; requests of callers precede
// both.
const (
	prioritySlot      = 0
	priorityStraggler = 5
)

// dispatchBatch is a set of slots of one step for one node.
type dispatchBatch struct {
	nodeID string
	stepID string
	work   []*controlv1.SlotWork
}

// Tick drops stale samples, expires attempts that were not renewed, removes old closed steps, and dispatches empty slots.
func (service *Service) Tick(ctx context.Context) {
	var pending sync.WaitGroup
	for _, served := range service.servedPartitions() {
		pending.Go(func() {
			served.expire(ctx)
			if time.Since(served.since) >= service.settings.AdoptTime {
				served.dispatch(ctx)
			}
		})
	}
	pending.Wait()
}

// expire removes closed steps, attempts and samples that have expired.
func (served *servedPartition) expire(ctx context.Context) {
	if served.changing.Acquire(ctx) != nil {
		return
	}
	defer served.changing.Release()
	document := served.service.document()
	now := time.Now()
	for id, owned := range served.steps {
		if closed := owned.step.Progress.Closed; !closed.IsZero() {
			if now.Sub(closed) > served.service.settings.ClosedRetention && served.log.Append(ctx, nil, []string{step.Prefix(id)}) == nil {
				delete(served.steps, id)
			}
			continue
		}
		if expired := owned.attempts.Expire(now, served.service.settings.AttemptTimeout); expired > 0 {
			served.service.logger.Warn("slot attempts expired", "step", id, "slots", expired)
		}
		bound, err := boundOf(document, owned)
		if err != nil {
			continue
		}
		if err := served.commit(ctx, owned, owned.step.Expire(bound, newest(document, nil), now)); err != nil {
			return
		}
	}
}

// dispatch sends empty slots to executors, the oldest step first.
func (served *servedPartition) dispatch(ctx context.Context) {
	batches := served.assign(ctx)
	var pending sync.WaitGroup
	for _, batch := range batches {
		pending.Go(func() { served.send(ctx, batch) })
	}
	pending.Wait()
}

// assign chooses an executor for each empty slot, within OutstandingSlots, and records the attempts.
func (served *servedPartition) assign(ctx context.Context) []dispatchBatch {
	if served.changing.Acquire(ctx) != nil {
		return nil
	}
	defer served.changing.Release()
	executors := served.service.dispatcher.Executors()
	if len(executors) == 0 {
		return nil
	}
	rand.Shuffle(len(executors), func(i, j int) { executors[i], executors[j] = executors[j], executors[i] })
	capacity := served.service.settings.OutstandingSlots
	steps := served.openSteps()
	for _, owned := range steps {
		capacity -= owned.attempts.Running()
	}
	var batches []dispatchBatch
	next := 0
	for _, owned := range steps {
		due := owned.step.Due(owned.attempts, max(capacity, 0))
		capacity -= len(due)
		work := served.slotWork(owned, due, prioritySlot)
		work = append(work, served.slotWork(owned, served.stragglers(owned), priorityStraggler)...)
		for chunk := range slices.Chunk(work, served.chunkSize(len(work), len(executors))) {
			nodeID := executors[next%len(executors)]
			next++
			served.recordAttempts(owned, nodeID, chunk)
			batches = append(batches, dispatchBatch{nodeID: nodeID, stepID: owned.step.Definition.ID, work: chunk})
		}
	}
	return batches
}

// chunkSize returns the number of slots per dispatch that spreads the work over all executors, up to SlotsPerDispatch.
func (served *servedPartition) chunkSize(work, executors int) int {
	even := (work + executors - 1) / executors
	return max(1, min(even, served.service.settings.SlotsPerDispatch))
}

// openSteps returns the open steps, oldest first. The caller must hold changing.
func (served *servedPartition) openSteps() []*ownedStep {
	var open []*ownedStep
	for _, owned := range served.steps {
		if owned.step.Progress.State == step.StateOpen {
			open = append(open, owned)
		}
	}
	slices.SortFunc(open, func(a, b *ownedStep) int {
		return cmp.Or(a.step.Definition.Created.Compare(b.step.Definition.Created), cmp.Compare(a.step.Definition.ID, b.step.Definition.ID))
	})
	return open
}

func (served *servedPartition) stragglers(owned *ownedStep) []step.SlotState {
	settings := served.service.settings
	if settings.StragglerTime == 0 {
		return nil
	}
	remaining := int(settings.StragglerShare * float64(owned.step.Definition.Slots()))
	return owned.step.Stragglers(owned.attempts, time.Now().Add(-settings.StragglerTime), max(remaining, 1))
}

// slotWork returns the work items of slots for executors. It skips slots whose experiment has no active policy. The caller
// must hold changing.
func (served *servedPartition) slotWork(owned *ownedStep, slots []step.SlotState, priority int32) []*controlv1.SlotWork {
	definition := owned.step.Definition
	document := served.service.document()
	work := make([]*controlv1.SlotWork, 0, len(slots))
	for _, state := range slots {
		arm, err := document.AssignPolicy(definition.Experiment, groupKey(definition, state.Slot))
		if err != nil {
			continue
		}
		served.attempt++
		work = append(work, &controlv1.SlotWork{
			Slot: state.Slot, Generation: state.Generation, Attempt: served.attempt, Experiment: definition.Experiment,
			Policy: arm.Policy, Prompt: definition.Prompt(state.Slot), MaxTokens: uint32(definition.MaxTokens),
			Priority: priority + priorityBoost(owned), Margin: versionMargin(owned),
		})
	}
	return work
}

// trainerWaitWindow is how long after a fetch the trainer counts as waiting. A waiting trainer fetches again
// within this time.
const trainerWaitWindow = 5 * time.Second

// trainerWaiting reports whether the trainer is waiting for samples of the step.
func trainerWaiting(owned *ownedStep) bool { return time.Since(owned.lastFetch) < trainerWaitWindow }

// priorityBoost raises the priority of steps whose trainer is waiting over that of steps that are generated ahead.
func priorityBoost(owned *ownedStep) int32 {
	if trainerWaiting(owned) {
		return 1
	}
	return 0
}

// versionMargin tightens the staleness bound by one version for a step that is generated ahead, because the trainer will
// publish another version before it uses the samples.
func versionMargin(owned *ownedStep) uint32 {
	if trainerWaiting(owned) {
		return 0
	}
	return 1
}

// groupKey returns the key that determines the policy of a slot. All slots of a group have the same key.
func groupKey(definition step.Definition, slot uint32) string {
	return fmt.Sprintf("%s/%d", definition.ID, definition.Group(slot))
}

// recordAttempts records the attempts of a dispatch before it is sent. The caller must hold changing.
func (served *servedPartition) recordAttempts(owned *ownedStep, nodeID string, work []*controlv1.SlotWork) {
	now := time.Now()
	for _, slot := range work {
		owned.attempts.Begin(step.Attempt{Number: slot.GetAttempt(), Slot: slot.GetSlot(), NodeID: nodeID, Began: now, Renewed: now})
	}
}

// send dispatches a batch and abandons the attempts that the node did not accept.
func (served *servedPartition) send(ctx context.Context, batch dispatchBatch) {
	callCtx, cancel := context.WithTimeout(ctx, served.service.settings.DispatchTimeout)
	defer cancel()
	accepted, err := served.service.dispatcher.Dispatch(callCtx, batch.nodeID, &controlv1.DispatchRequest{
		StepId: batch.stepID, Partition: served.name.Index, Epoch: served.log.Epoch(), Slots: batch.work,
	})
	if err != nil {
		served.service.logger.Warn("dispatch failed", "step", batch.stepID, "node", batch.nodeID, "slots", len(batch.work), "error", err)
	}
	if served.changing.Acquire(ctx) != nil {
		return
	}
	defer served.changing.Release()
	owned, known := served.steps[batch.stepID]
	if !known {
		return
	}
	for _, slot := range batch.work {
		if !slices.Contains(accepted, slot.GetSlot()) {
			owned.attempts.Abandon(slot.GetSlot(), slot.GetAttempt())
		}
	}
}

// armFor returns the arm of an experiment that uses the given policy.
func armFor(document *experiment.Document, experimentName, policy string) (experiment.Arm, bool) {
	found, ok := document.Experiment(experimentName)
	if !ok {
		return experiment.Arm{}, false
	}
	return found.Arm(policy)
}
