package delivery

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// replicas are the copies of one partition, all within reach.
type replicas map[string]*partition.Replica

func (copies replicas) Promise(_ context.Context, holder partition.Holder, _ partition.Name, epoch uint64) (partition.Promise, error) {
	return copies[holder.ReplicaID].Promise(epoch)
}

func (copies replicas) Append(_ context.Context, holder partition.Holder, _ partition.Name, write partition.Write) (bool, uint64, error) {
	return copies[holder.ReplicaID].Append(write)
}

const ownedStep = "step"

var ownedName = partition.Name{Kind: partition.KindSteps, Index: PartitionOf(ownedStep)}

// newOwner returns a service that recovers the partition of the step at an epoch.
func newOwner(t *testing.T, copies replicas, epoch uint64) *Service {
	t.Helper()
	var holders []partition.Holder
	for id := range copies {
		holders = append(holders, partition.Holder{NodeID: id, ReplicaID: id})
	}
	current, registers, err := partition.Recover(t.Context(), partition.Recovery{
		Name: ownedName, Epoch: epoch, From: holders, To: holders, Timeout: time.Second,
	}, copies)
	must.NoError(t, err)
	document := &experiment.Document{Experiments: []experiment.Experiment{{Name: "experiment"}}}
	service := NewService(Settings{}, "node", func() *experiment.Document { return document }, nil, log.New(io.Discard))
	must.NoError(t, service.Serve(ownedName, current, registers, partition.Assignment{Replicas: holders}))
	return service
}

// ask makes a call of the step and returns the code of its answer.
func ask(t *testing.T, call func(context.Context, *controlv1.StepCall) (*controlv1.StepAnswer, error), request any) result.Code {
	t.Helper()
	body, err := cbor.Marshal(request)
	must.NoError(t, err)
	answer, err := call(t.Context(), &controlv1.StepCall{Partition: ownedName.Index, Body: body})
	must.NoError(t, err)
	return result.CodeOf(result.FromMessage(answer.GetOutcome()))
}

// An owner that was replaced and does not know so refuses nothing for good: the batch that its successor has delivered, the step that was
// created there.
func TestFormerOwnerRefusesNothingForGood(t *testing.T) {
	copies := replicas{}
	for _, id := range []string{"a", "b", "c"} {
		copies[id] = partition.NewReplica(ownedName, nil)
	}
	former := newOwner(t, copies, 1)
	create := CreateCall{Definition: step.Definition{ID: ownedStep, Experiment: "experiment", Prompts: []string{"prompt"}, GroupSize: 1, MaxTokens: 10}}
	unknown := AcknowledgeCall{StepID: "other"}
	must.Eq(t, result.Done, ask(t, former.Create, create))
	must.Eq(t, result.ConflictFetch, ask(t, former.Acknowledge, AcknowledgeCall{StepID: ownedStep}))
	must.Eq(t, result.InvalidNotFound, ask(t, former.Acknowledge, unknown))

	present := newOwner(t, copies, 2)
	must.Eq(t, result.NotRunNoOwner, ask(t, former.Acknowledge, AcknowledgeCall{StepID: ownedStep}))
	must.Eq(t, result.NotRunNoOwner, ask(t, former.Fetch, FetchCall{StepID: ownedStep, Cursor: 1, Number: 1, Maximum: 1}))
	must.Eq(t, result.NotRunNoOwner, ask(t, former.Acknowledge, unknown))
	must.Eq(t, result.ConflictFetch, ask(t, present.Acknowledge, AcknowledgeCall{StepID: ownedStep}))
	must.Eq(t, result.InvalidNotFound, ask(t, present.Acknowledge, unknown))
}
