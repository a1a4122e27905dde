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

// Received is one sample as a trainer took it.
type Received struct {
	Step string
	Body gateway.SampleBody
	// Asked is when the fetch that brought it was sent, Newest the greatest version of its policy that the trainer had
	// then published or was told of.
	Asked  time.Time
	Newest uint64
}

// Trainer asks for steps and takes their samples. It is safe for concurrent use.
type Trainer struct {
	client *Client
	nodes  func() []string // base URLs, the preferred first

	mu        sync.Mutex
	published map[string]uint64
	received  []Received
	requested int
	progress  func(delivered, slots int)
}

// NewTrainer returns a trainer. nodes gives the base URLs to call.
func NewTrainer(client *Client, nodes func() []string, progress func(delivered, slots int)) *Trainer {
	return &Trainer{client: client, nodes: nodes, published: make(map[string]uint64), progress: progress}
}

const callPause = 50 * time.Millisecond

// call posts to one node after the other until one answers with a result that is not "not run".
func (trainer *Trainer) call(ctx context.Context, path string, body, answer any) error {
	for {
		var last error
		for _, node := range trainer.nodes() {
			last = trainer.try(ctx, node+path, body, answer)
			if last == nil || final(last) {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(callPause):
		}
	}
}

// tryLimit bounds one call, so that an answer that was lost on the way is asked for again.
const tryLimit = 15 * time.Second

func (trainer *Trainer) try(ctx context.Context, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	return trainer.client.Call(ctx, url, body, answer)
}

// final reports whether asking again cannot help. All of a trainer's calls can be repeated.
func final(err error) bool {
	switch result.CodeOf(err).Class() {
	case result.ClassInvalid, result.ClassConflict:
		return true
	default:
		return false
	}
}

// Submit asks for a step.
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

// Publish announces a version.
func (trainer *Trainer) Publish(ctx context.Context, policy string, version uint64) error {
	var answer gateway.RevisionResponse
	body := gateway.PublishRequest{Version: version, CommandID: fmt.Sprintf("publish-%s-%d", policy, version)}
	if err := trainer.call(ctx, "/v1/policies/"+policy+"/versions", body, &answer); err != nil {
		return err
	}
	trainer.NoteVersion(policy, version)
	return nil
}

// NoteVersion makes the trainer name the version in its fetches.
func (trainer *Trainer) NoteVersion(policy string, version uint64) {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	trainer.published[policy] = max(trainer.published[policy], version)
}

func (trainer *Trainer) versions() map[string]uint64 {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	versions := make(map[string]uint64, len(trainer.published))
	for policy, version := range trainer.published {
		versions[policy] = version
	}
	return versions
}

const (
	fetchMaximum = 128
	fetchWait    = 2 * time.Second
)

// Collect takes a step's samples until it is whole.
func (trainer *Trainer) Collect(ctx context.Context, stepID string) error {
	cursor, number := uint64(0), uint64(0)
	for {
		number++
		asked := time.Now()
		versions := trainer.versions()
		var answer gateway.FetchResponse
		err := trainer.call(ctx, "/v1/steps/"+stepID+"/fetch", gateway.FetchRequest{
			Cursor: cursor, Fetch: number, Maximum: fetchMaximum, WaitMilliseconds: fetchWait.Milliseconds(), Versions: versions,
		}, &answer)
		if result.CodeOf(err) == result.ConflictFetch {
			continue // an answer was lost: ask with a greater number
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
		trainer.take(stepID, answer, asked, versions)
		if err := trainer.call(ctx, "/v1/steps/"+stepID+"/acknowledge", gateway.AcknowledgeRequest{Cursor: cursor}, new(struct{})); err != nil {
			return err
		}
		cursor = answer.NextCursor
		if answer.Delivered >= answer.Slots {
			return nil
		}
	}
}

func (trainer *Trainer) take(stepID string, answer gateway.FetchResponse, asked time.Time, versions map[string]uint64) {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	for _, sample := range answer.Samples {
		trainer.received = append(trainer.received, Received{Step: stepID, Body: sample, Asked: asked, Newest: versions[sample.Sample.Policy]})
	}
	if trainer.progress != nil {
		trainer.progress(answer.Delivered, answer.Slots)
	}
}

// Received returns the samples taken, and how many were asked for.
func (trainer *Trainer) Received() ([]Received, int) {
	trainer.mu.Lock()
	defer trainer.mu.Unlock()
	return append([]Received(nil), trainer.received...), trainer.requested
}
