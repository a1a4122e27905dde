package delivery

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/twitchtv/twirp"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// List implements the Twirp service.
func (service *Service) List(ctx context.Context, _ *controlv1.StepCall) (*controlv1.StepAnswer, error) {
	list := ListResponse{Staleness: service.staleness.summaries()}
	for _, served := range service.servedPartitions() {
		if err := served.changing.Acquire(ctx); err != nil {
			return nil, twirp.DeadlineExceeded.Error(err.Error())
		}
		for _, owned := range served.steps {
			list.Steps = append(list.Steps, served.summary(owned))
		}
		served.changing.Release()
	}
	body, err := cbor.Marshal(list)
	return &controlv1.StepAnswer{Outcome: result.ToMessage(err), Body: body}, nil
}

// summary returns the summary of a step. The caller must hold changing.
func (served *servedPartition) summary(owned *ownedStep) Summary {
	definition := owned.step.Definition
	return Summary{
		StepID: definition.ID, Experiment: definition.Experiment, State: owned.step.Progress.State, Slots: definition.Slots(),
		Filled: owned.step.Filled(), Delivered: owned.step.Delivered(), Running: owned.attempts.Running(),
		Dropped: owned.step.Progress.Dropped, Owner: served.service.nodeID, Copies: served.replicaCount, Created: definition.Created,
	}
}
