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

// Priorities of slots: a straggler's second attempt goes before the rest of its step, and callers go before both.
const (
	PrioritySlot      = 0
	PriorityStraggler = 5
)

// assigned is work for one node.
type assigned struct {
	nodeID string
	stepID string
	work   []*controlv1.SlotWork
}

// Tick drops samples that became too old, gives silent slots to others, dispatches empty slots and removes old steps.
func (service *Service) Tick(ctx context.Context) {
	var pending sync.WaitGroup
	for _, served := range service.all() {
		pending.Go(func() {
			served.housekeep(ctx)
			if time.Since(served.since) >= service.settings.AdoptTime {
				served.dispatch(ctx)
			}
		})
	}
	pending.Wait()
}

// housekeep expires samples, attempts and closed steps.
func (served *served) housekeep(ctx context.Context) {
	if served.changing.Acquire(ctx) != nil {
		return
	}
	defer served.changing.Release()
	document := served.service.document()
	now := time.Now()
	for id, owned := range served.steps {
		if closed := owned.step.Progress.Closed; !closed.IsZero() {
			if now.Sub(closed) > served.service.settings.KeepClosed && served.log.Append(ctx, nil, []string{step.Prefix(id)}) == nil {
				delete(served.steps, id)
			}
			continue
		}
		if expired := owned.attempts.Expire(now, served.service.settings.AttemptSilence); expired > 0 {
			served.service.logger.Warn("slots given to others", "step", id, "slots", expired)
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

// dispatch hands empty slots to executors, the oldest step first.
func (served *served) dispatch(ctx context.Context) {
	batches := served.assign(ctx)
	var pending sync.WaitGroup
	for _, batch := range batches {
		pending.Go(func() { served.send(ctx, batch) })
	}
	pending.Wait()
}

func (served *served) assign(ctx context.Context) []assigned {
	if served.changing.Acquire(ctx) != nil {
		return nil
	}
	defer served.changing.Release()
	executors := served.service.dispatcher.Executors()
	if len(executors) == 0 {
		return nil
	}
	rand.Shuffle(len(executors), func(i, j int) { executors[i], executors[j] = executors[j], executors[i] })
	room := served.service.settings.OutstandingSlots
	steps := served.openSteps()
	for _, owned := range steps {
		room -= owned.attempts.Running()
	}
	var batches []assigned
	next := 0
	for _, owned := range steps {
		due := owned.step.Due(owned.attempts, max(room, 0))
		room -= len(due)
		work := served.work(owned, due, PrioritySlot)
		work = append(work, served.work(owned, served.stragglers(owned), PriorityStraggler)...)
		for chunk := range slices.Chunk(work, served.chunkSize(len(work), len(executors))) {
			nodeID := executors[next%len(executors)]
			next++
			served.begin(owned, nodeID, chunk)
			batches = append(batches, assigned{nodeID: nodeID, stepID: owned.step.Definition.ID, work: chunk})
		}
	}
	return batches
}

// chunkSize spreads work over all executors.
func (served *served) chunkSize(work, executors int) int {
	even := (work + executors - 1) / executors
	return max(1, min(even, served.service.settings.SlotsPerDispatch))
}

// openSteps returns the open steps, oldest first; must hold changing.
func (served *served) openSteps() []*owned {
	var open []*owned
	for _, owned := range served.steps {
		if owned.step.Progress.State == step.StateOpen {
			open = append(open, owned)
		}
	}
	slices.SortFunc(open, func(a, b *owned) int {
		return cmp.Or(a.step.Definition.Created.Compare(b.step.Definition.Created), cmp.Compare(a.step.Definition.ID, b.step.Definition.ID))
	})
	return open
}

func (served *served) stragglers(owned *owned) []step.SlotState {
	settings := served.service.settings
	if settings.StragglerTime == 0 {
		return nil
	}
	remaining := int(settings.StragglerShare * float64(owned.step.Definition.Slots()))
	return owned.step.Stragglers(owned.attempts, time.Now().Add(-settings.StragglerTime), max(remaining, 1))
}

// work describes slots to executors; slots whose experiment has no active policy wait. Must hold changing.
func (served *served) work(owned *owned, slots []step.SlotState, priority int32) []*controlv1.SlotWork {
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
			Priority: priority + urgency(owned), Margin: margin(owned),
		})
	}
	return work
}

// wantedTime is how long a trainer's question counts: it asks again within a long poll.
const wantedTime = 5 * time.Second

// isWanted reports whether the trainer waits for the step.
func isWanted(owned *owned) bool { return time.Since(owned.wanted) < wantedTime }

// urgency puts a step that its trainer waits for before those that are generated ahead.
func urgency(owned *owned) int32 {
	if isWanted(owned) {
		return 1
	}
	return 0
}

// margin keeps rollouts of a step that is generated ahead off replicas that are about to be swapped: the trainer will
// publish once more before it uses their samples.
func margin(owned *owned) uint32 {
	if isWanted(owned) {
		return 0
	}
	return 1
}

// groupKey is the key that a slot's policy is assigned by: the slots of a group share it.
func groupKey(definition step.Definition, slot uint32) string {
	return fmt.Sprintf("%s/%d", definition.ID, definition.Group(slot))
}

// begin notes attempts before they are sent; must hold changing.
func (served *served) begin(owned *owned, nodeID string, work []*controlv1.SlotWork) {
	now := time.Now()
	for _, slot := range work {
		owned.attempts.Begin(step.Attempt{Number: slot.GetAttempt(), Slot: slot.GetSlot(), NodeID: nodeID, Began: now, Renewed: now})
	}
}

// send dispatches one batch and forgets the attempts that the node did not accept.
func (served *served) send(ctx context.Context, batch assigned) {
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

// armFor returns the arm of a policy in an experiment.
func armFor(document *experiment.Document, experimentName, policy string) (experiment.Arm, bool) {
	found, ok := document.Experiment(experimentName)
	if !ok {
		return experiment.Arm{}, false
	}
	return found.Arm(policy)
}
