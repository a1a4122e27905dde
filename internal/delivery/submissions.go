package delivery

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/twitchtv/twirp"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// Submit implements the Twirp service. Executors call it to submit samples.
func (service *Service) Submit(ctx context.Context, request *controlv1.SubmitRequest) (*controlv1.SubmitResponse, error) {
	served, err := service.find(request.GetPartition())
	if err == nil {
		err = served.submit(ctx, request)
		if err != nil {
			err = served.confirmOwnership(ctx, err)
		}
	}
	return &controlv1.SubmitResponse{Outcome: result.ToMessage(err)}, nil
}

// submit stores the samples that fill empty slots, in one write.
func (served *servedPartition) submit(ctx context.Context, request *controlv1.SubmitRequest) error {
	if err := served.changing.Acquire(ctx); err != nil {
		return unavailable(err)
	}
	defer served.changing.Release()
	owned, err := served.step(request.GetStepId())
	if err != nil {
		return err
	}
	var change step.Change
	accepted := make(map[uint32]bool)
	for _, submitted := range request.GetSamples() {
		var sample rollout.Sample
		if err := cbor.Unmarshal(submitted.GetSample(), &sample); err != nil {
			return result.New(result.InvalidBody, "sample of slot %d: %v", submitted.GetSlot(), err)
		}
		decided, _, err := owned.step.Offer(submitted.GetSlot(), sample)
		if err != nil {
			return err
		}
		if accepted[submitted.GetSlot()] {
			continue
		}
		accepted[submitted.GetSlot()] = true
		change.Slots = append(change.Slots, decided.Slots...)
	}
	if err := served.commit(ctx, owned, change); err != nil {
		return err
	}
	for slot := range accepted {
		owned.attempts.Finish(slot)
	}
	served.wakeFetches()
	return nil
}

// wakeFetches wakes the waiting fetches. The caller must hold changing.
func (served *servedPartition) wakeFetches() {
	close(served.changed)
	served.changed = make(chan struct{})
}

// Renew implements the Twirp service. Executors call it periodically with their running attempts. The owner adopts unknown
// attempts of empty slots, and returns the slots that need no attempt any more as abandoned.
func (service *Service) Renew(ctx context.Context, request *controlv1.RenewRequest) (*controlv1.RenewResponse, error) {
	served, err := service.find(request.GetPartition())
	if err != nil {
		return &controlv1.RenewResponse{}, nil
	}
	if err := served.changing.Acquire(ctx); err != nil {
		return nil, twirp.DeadlineExceeded.Error(err.Error())
	}
	defer served.changing.Release()
	owned, err := served.step(request.GetStepId())
	if err != nil {
		return &controlv1.RenewResponse{Abandoned: request.GetSlots()}, nil
	}
	response := &controlv1.RenewResponse{}
	now := time.Now()
	for index, slot := range request.GetSlots() {
		if index >= len(request.GetAttempts()) || int(slot) >= owned.step.Definition.Slots() {
			break
		}
		if owned.step.Progress.State != step.StateOpen || owned.step.Slot(slot).Sample != nil {
			response.Abandoned = append(response.Abandoned, slot)
			continue
		}
		number := request.GetAttempts()[index]
		if !owned.attempts.Renew(slot, number, now) {
			owned.attempts.Begin(step.Attempt{Number: number, Slot: slot, NodeID: request.GetNodeId(), Began: now, Renewed: now})
		}
	}
	return response, nil
}
