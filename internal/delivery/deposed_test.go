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

// replicas is a partition.Transport to reachable replicas of one partition.
type replicas map[string]*partition.Replica

func (copies replicas) Promise(_ context.Context, holder partition.Holder, _ partition.Name, epoch uint64) (partition.Promise, error) {
	return copies[holder.ReplicaID].Promise(epoch)
}

func (copies replicas) Append(_ context.Context, holder partition.Holder, _ partition.Name, write partition.Write) (bool, uint64, error) {
	return copies[holder.ReplicaID].Append(write)
}

const testStepID = "step"

var testPartition = partition.Name{Kind: partition.KindSteps, Index: PartitionOf(testStepID)}

// newOwner returns a service that has recovered the test partition at the given epoch.
func newOwner(t *testing.T, copies replicas, epoch uint64) *Service {
	t.Helper()
	var holders []partition.Holder
	for id := range copies {
		holders = append(holders, partition.Holder{NodeID: id, ReplicaID: id})
	}
	current, registers, err := partition.Recover(t.Context(), partition.Recovery{
		Name: testPartition, Epoch: epoch, From: holders, To: holders, Timeout: time.Second,
	}, copies)
	must.NoError(t, err)
	document := &experiment.Document{Experiments: []experiment.Experiment{{Name: "experiment"}}}
	service := NewService(Settings{}, "node", func() *experiment.Document { return document }, nil, log.New(io.Discard))
	must.NoError(t, service.Serve(testPartition, current, registers, partition.Assignment{Replicas: holders}))
	return service
}

// sendCall sends a call to the test partition and returns the result code of the response.
func sendCall(t *testing.T, call func(context.Context, *controlv1.StepCall) (*controlv1.StepAnswer, error), request any) result.Code {
	t.Helper()
	body, err := cbor.Marshal(request)
	must.NoError(t, err)
	answer, err := call(t.Context(), &controlv1.StepCall{Partition: testPartition.Index, Body: body})
	must.NoError(t, err)
	return result.CodeOf(result.FromMessage(answer.GetOutcome()))
}

// Guards against a deposed owner that permanently refuses a call about state which only its successor has, such as a newly
// created step or a delivered batch.
func TestFormerOwnerRefusesNothingForGood(t *testing.T) {
	copies := replicas{}
	for _, id := range []string{"a", "b", "c"} {
		copies[id] = partition.NewReplica(testPartition, nil)
	}
	former := newOwner(t, copies, 1)
	create := CreateRequest{Definition: step.Definition{ID: testStepID, Experiment: "experiment", Prompts: []string{"prompt"}, GroupSize: 1, MaxTokens: 10}}
	unknown := AcknowledgeRequest{StepID: "other"}
	must.Eq(t, result.Done, sendCall(t, former.Create, create))
	must.Eq(t, result.ConflictFetch, sendCall(t, former.Acknowledge, AcknowledgeRequest{StepID: testStepID}))
	must.Eq(t, result.InvalidNotFound, sendCall(t, former.Acknowledge, unknown))

	successor := newOwner(t, copies, 2)
	must.Eq(t, result.NotRunNoOwner, sendCall(t, former.Acknowledge, AcknowledgeRequest{StepID: testStepID}))
	must.Eq(t, result.NotRunNoOwner, sendCall(t, former.Fetch, FetchRequest{StepID: testStepID, Cursor: 1, Number: 1, Maximum: 1}))
	must.Eq(t, result.NotRunNoOwner, sendCall(t, former.Acknowledge, unknown))
	must.Eq(t, result.ConflictFetch, sendCall(t, successor.Acknowledge, AcknowledgeRequest{StepID: testStepID}))
	must.Eq(t, result.InvalidNotFound, sendCall(t, successor.Acknowledge, unknown))
}
