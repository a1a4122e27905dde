package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/step"
)

// ReceivedSample is a sample that a trainer fetched.
type ReceivedSample struct {
	Step string
	Body gateway.SampleBody
	// FetchSent is when the trainer sent the fetch that returned the sample.
	FetchSent time.Time
	// NewestKnown is the greatest version of the policy that the trainer had recorded by then.
	NewestKnown uint64
}

// Trainer submits steps and fetches their samples. It is safe for concurrent use.
type Trainer struct {
	client *Client
	nodes  func() []string // base URLs in order of preference

	mu             sync.Mutex
	newestVersions map[string]uint64 // greatest recorded version, by policy
	received       []ReceivedSample
	requested      int
	progress       func(delivered, slots int)
}

// NewTrainer returns a trainer. nodes returns the base URLs to call, in order of preference. If progress is not nil, the
// trainer calls it after each fetch that returned samples.
func NewTrainer(client *Client, nodes func() []string, progress func(delivered, slots int)) *Trainer {
	return &Trainer{client: client, nodes: nodes, newestVersions: make(map[string]uint64), progress: progress}
}

const retryInterval = 50 * time.Millisecond

// call posts the body to one node after the other, and retries until a call succeeds, fails permanently or the context
// ends.
func (trainer *Trainer) call(ctx context.Context, path string, body, answer any) error {
	for {
		var last error
		for _, node := range trainer.nodes() {
			last = trainer.try(ctx, node+path, body, answer)
			if last == nil || permanent(last) {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryInterval):
		}
	}
}

// attemptTimeout limits one call, so that a call whose answer was lost is retried.
const attemptTimeout = 15 * time.Second

func (trainer *Trainer) try(ctx context.Context, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return trainer.client.Call(ctx, url, body, answer)
}

// permanent reports whether a retry cannot succeed. All calls of a trainer are idempotent, so any other error is retried.
func permanent(err error) bool {
	switch result.CodeOf(err).Class() {
	case result.ClassInvalid, result.ClassConflict:
		return true
	default:
		return false
	}
}

// Submit submits a step.
func (trainer *Trainer) Submit(ctx context.Context, request gateway.StepRequest) error {
	var answer gateway.StepResponse
	if err := trainer.call(ctx, "/v1/steps", request, &answer); err != nil {
		return err
	}
	trainer.mu.Lock()
	trainer.requested += answer.Slots
	trainer.mu.Unlock()
	return nil
}

// Publish publishes a version and records it.
func (trainer *Trainer) Publish(ctx context.Context, policy string, version uint64) error {
	var answer gateway.RevisionResponse
	body := gateway.PublishRequest{Version: version, CommandID: fmt.Sprintf("publish-%s-%d", policy, version)}
	if err := trainer.call(ctx, "/v1/policies/"+policy+"/versions", body, &answer); err != nil {
		return err
	}
	trainer.RecordVersion(policy, version)
	return nil
}

// RecordVersion records a version of a policy. The trainer's fetches state the greatest recorded version.
func (trainer *Trainer) RecordVersion(policy string, version uint64) {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	trainer.newestVersions[policy] = max(trainer.newestVersions[policy], version)
}

func (trainer *Trainer) versions() map[string]uint64 {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	versions := make(map[string]uint64, len(trainer.newestVersions))
	for policy, version := range trainer.newestVersions {
		versions[policy] = version
	}
	return versions
}

const (
	fetchMaximum = 128
	fetchWait    = 2 * time.Second
)

// Collect fetches and acknowledges the samples of a step until all are delivered or the step is no longer open.
func (trainer *Trainer) Collect(ctx context.Context, stepID string) error {
	cursor, number := uint64(0), uint64(0)
	for {
		number++
		fetchSent := time.Now()
		versions := trainer.versions()
		var answer gateway.FetchResponse
		err := trainer.call(ctx, "/v1/steps/"+stepID+"/fetch", gateway.FetchRequest{
			Cursor: cursor, Fetch: number, Maximum: fetchMaximum, WaitMilliseconds: fetchWait.Milliseconds(), Versions: versions,
		}, &answer)
		if result.CodeOf(err) == result.ConflictFetch {
			continue // an answer was lost: retry with a greater fetch number
		}
		if err != nil {
			return err
		}
		if answer.State != step.StateOpen {
			return nil
		}
		if len(answer.Samples) == 0 {
			continue
		}
		trainer.recordSamples(stepID, answer, fetchSent, versions)
		if err := trainer.call(ctx, "/v1/steps/"+stepID+"/acknowledge", gateway.AcknowledgeRequest{Cursor: cursor}, new(struct{})); err != nil {
			return err
		}
		cursor = answer.NextCursor
		if answer.Delivered >= answer.Slots {
			return nil
		}
	}
}

func (trainer *Trainer) recordSamples(stepID string, answer gateway.FetchResponse, fetchSent time.Time, versions map[string]uint64) {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	for _, sample := range answer.Samples {
		trainer.received = append(trainer.received, ReceivedSample{Step: stepID, Body: sample, FetchSent: fetchSent, NewestKnown: versions[sample.Sample.Policy]})
	}
	if trainer.progress != nil {
		trainer.progress(answer.Delivered, answer.Slots)
	}
}

// Received returns the samples that were fetched, and the number of samples that the submitted steps request.
func (trainer *Trainer) Received() ([]ReceivedSample, int) {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	return append([]ReceivedSample(nil), trainer.received...), trainer.requested
}
