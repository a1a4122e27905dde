package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/delivery"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// StepRequest is the body of POST /v1/steps.
type StepRequest struct {
	Step       string   `json:"step"`
	Experiment string   `json:"experiment"`
	Prompts    []string `json:"prompts"`
	GroupSize  int      `json:"group_size"`
	MaxTokens  int      `json:"max_tokens"`
}

// StepResponse is the answer to a StepRequest.
type StepResponse struct {
	Step    string `json:"step"`
	Slots   int    `json:"slots"`
	Existed bool   `json:"existed"`
	Code    int    `json:"code"`
}

// FetchRequest is the body of POST /v1/steps/{step}/fetch.
type FetchRequest struct {
	Cursor uint64 `json:"cursor"`
	// Fetch must increase with each fetch of the step. Only the answer to the greatest may be used.
	Fetch            uint64            `json:"fetch"`
	Maximum          int               `json:"maximum"`
	WaitMilliseconds int64             `json:"wait_ms"`
	Versions         map[string]uint64 `json:"versions"`
}

// SampleBody is one delivered sample of a FetchResponse.
type SampleBody struct {
	Slot              uint32         `json:"slot"`
	Generation        uint32         `json:"generation"`
	Group             int            `json:"group"`
	Sample            rollout.Sample `json:"sample"`
	StalenessVersions uint64         `json:"staleness_versions"`
	StalenessSeconds  float64        `json:"staleness_seconds"`
}

// FetchResponse is the answer to a FetchRequest.
type FetchResponse struct {
	Samples    []SampleBody `json:"samples"`
	NextCursor uint64       `json:"next_cursor"`
	State      step.State   `json:"state"`
	Slots      int          `json:"slots"`
	Delivered  int          `json:"delivered"`
	Code       int          `json:"code"`
}

// AcknowledgeRequest is the body of POST /v1/steps/{step}/acknowledge.
type AcknowledgeRequest struct {
	Cursor uint64 `json:"cursor"`
}

// PublishRequest is the body of POST /v1/policies/{policy}/versions.
type PublishRequest struct {
	Version uint64 `json:"version"`
	// CommandID identifies the publication, so that a retry has no further effect; the node generates one if it is empty.
	CommandID string `json:"command_id,omitempty"`
}

// RevisionResponse is the answer to a change, with the revision at which the change took effect.
type RevisionResponse struct {
	Revision uint64 `json:"revision"`
	Code     int    `json:"code"`
}

const (
	maximumFetch = 4096 // samples
	maximumWait  = 10 * time.Minute
	// callSlack is the time for one call to an owner, in addition to the wait of a fetch.
	callSlack = 5 * time.Second
)

func (gateway *Gateway) createStep(writer http.ResponseWriter, request *http.Request) error {
	if gateway.stopping.Load() {
		return result.New(result.NotRunStopping, "the node is stopping").WithRetryAfter(time.Second)
	}
	var body StepRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	definition := step.Definition{ID: body.Step, Experiment: body.Experiment, Prompts: body.Prompts, GroupSize: body.GroupSize, MaxTokens: body.MaxTokens}
	if err := definition.Check(); err != nil {
		return err
	}
	response, err := callOwner[delivery.CreateResponse](gateway, request.Context(), body.Step, delivery.CreateRequest{Definition: definition}, 0, controlv1.Steps.Create)
	if err != nil {
		return err
	}
	code := result.Done
	if response.Existed {
		code = result.DoneAlready
	}
	writeJSON(writer, http.StatusOK, StepResponse{Step: body.Step, Slots: response.Slots, Existed: response.Existed, Code: int(code)})
	return nil
}

func (gateway *Gateway) fetch(writer http.ResponseWriter, request *http.Request) error {
	var body FetchRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	wait := time.Duration(body.WaitMilliseconds) * time.Millisecond
	switch {
	case body.Fetch == 0:
		return result.New(result.InvalidField, "fetch: want a number that grows with each fetch, from 1")
	case body.Maximum < 1 || body.Maximum > maximumFetch:
		return result.New(result.InvalidField, "maximum %d: want 1 to %d", body.Maximum, maximumFetch)
	case wait < 0 || wait > maximumWait:
		return result.New(result.InvalidField, "wait_ms %d: want 0 to %d", body.WaitMilliseconds, maximumWait.Milliseconds())
	}
	stepID := request.PathValue("step")
	fetched, err := callOwner[delivery.FetchResponse](gateway, request.Context(), stepID, delivery.FetchRequest{
		StepID: stepID, Cursor: body.Cursor, Number: body.Fetch, Maximum: body.Maximum, Wait: wait, Newest: body.Versions,
	}, wait, controlv1.Steps.Fetch)
	if err != nil {
		return err
	}
	response := FetchResponse{Samples: make([]SampleBody, 0, len(fetched.Samples)), NextCursor: fetched.NextCursor, State: fetched.State,
		Slots: fetched.Slots, Delivered: fetched.Delivered, Code: int(result.Done)}
	for _, delivered := range fetched.Samples {
		response.Samples = append(response.Samples, SampleBody{
			Slot: delivered.Slot, Generation: delivered.Generation, Sample: delivered.Sample,
			StalenessVersions: delivered.StalenessVersions, StalenessSeconds: delivered.StalenessAge.Seconds(),
		})
	}
	writeJSON(writer, http.StatusOK, response)
	return nil
}

func (gateway *Gateway) acknowledge(writer http.ResponseWriter, request *http.Request) error {
	var body AcknowledgeRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	stepID := request.PathValue("step")
	answer, err := callOwner[delivery.Summary](gateway, request.Context(), stepID, delivery.AcknowledgeRequest{StepID: stepID, Cursor: body.Cursor}, 0, controlv1.Steps.Acknowledge)
	if err != nil {
		return err
	}
	writeJSON(writer, http.StatusOK, answer)
	return nil
}

func (gateway *Gateway) endStep(writer http.ResponseWriter, request *http.Request) error {
	answer, err := gateway.end(request.Context(), request.PathValue("step"))
	if err != nil {
		return err
	}
	writeJSON(writer, http.StatusOK, answer)
	return nil
}

func (gateway *Gateway) end(ctx context.Context, stepID string) (delivery.Summary, error) {
	return callOwner[delivery.Summary](gateway, ctx, stepID, delivery.EndRequest{StepID: stepID}, 0, controlv1.Steps.End)
}

type ownerMethod func(owner controlv1.Steps, ctx context.Context, call *controlv1.StepCall) (*controlv1.StepAnswer, error)

// callOwner calls the owner of a step's partition. It retries while the partition has no reachable owner, because the calls are idempotent.
func callOwner[Answer any](gateway *Gateway, ctx context.Context, stepID string, body any, wait time.Duration, method ownerMethod) (Answer, error) {
	var answer Answer
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return answer, err
	}
	call := &controlv1.StepCall{Body: encoded, Partition: delivery.PartitionOf(stepID)}
	ctx, cancel := context.WithTimeout(ctx, gateway.settings.OwnerWait+wait)
	defer cancel()
	reply, err := backoff.Retry(ctx, func() (*controlv1.StepAnswer, error) {
		owner, err := gateway.cluster.Steps(call.GetPartition())
		if err != nil {
			return nil, err
		}
		callCtx, cancel := context.WithTimeout(ctx, callSlack+wait)
		defer cancel()
		reply, err := method(owner, callCtx, call)
		if err != nil {
			return nil, err
		}
		failure := result.FromMessage(reply.GetOutcome())
		if failure != nil && result.CodeOf(failure) != result.NotRunNoOwner {
			return nil, backoff.Permanent(failure)
		}
		return reply, failure
	}, backoff.WithBackOff(shortBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		if failure := result.From(err); failure.Code.Class() != result.ClassInternal {
			return answer, failure
		}
		return answer, result.New(result.NotRunNoOwner, "step %q: %v", stepID, err).WithRetryAfter(time.Second)
	}
	return answer, cbor.Unmarshal(reply.GetBody(), &answer)
}

func (gateway *Gateway) publish(writer http.ResponseWriter, request *http.Request) error {
	var body PublishRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	if body.CommandID == "" {
		body.CommandID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(request.Context(), gateway.settings.OwnerWait)
	defer cancel()
	document, err := gateway.committer.Commit(ctx, experiment.Envelope{
		CommandID: body.CommandID, Command: experiment.PublishVersion{Name: request.PathValue("policy"), Version: body.Version},
	})
	if err != nil {
		return err
	}
	writeJSON(writer, http.StatusOK, RevisionResponse{Revision: document.Revision, Code: int(result.Done)})
	return nil
}
