package batchrun

import (
	"context"

	"github.com/cockroachdb/errors"
)

// errClaiming means that this node is already claiming or accepting the job.
var errClaiming = errors.New("the job is being claimed or accepted by this node")

// beginClaim registers a claim of a job. At most one claim or acceptance of a job is under way at a node: of two the second would
// invalidate the first, and its result might be dropped. It returns ErrStopping once the handover of a planned stop has begun, which
// waits for the claims that are registered. Without an error, endClaim must follow.
func (runner *Runner) beginClaim(id string) error {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	switch {
	case runner.stopping:
		return ErrStopping
	case runner.claiming[id] != nil, runner.jobs[id] != nil:
		return errClaiming
	}
	runner.claiming[id] = make(chan struct{})
	return nil
}

// endClaim ends a claim. The job, if it was claimed, runs at this node by then.
func (runner *Runner) endClaim(id string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	close(runner.claiming[id])
	delete(runner.claiming, id)
}

// awaitClaim waits until no claim of a job is under way, or the context ends. It must be called with mu held, which it releases while it waits.
func (runner *Runner) awaitClaim(ctx context.Context, id string) {
	for runner.claiming[id] != nil && ctx.Err() == nil {
		ended := runner.claiming[id]
		runner.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
		}
		runner.mu.Lock()
	}
}

// awaitClaims waits until no claim is under way and reports whether that is so; it is not if the context ends before.
func (runner *Runner) awaitClaims(ctx context.Context) bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for id := range runner.claiming {
		runner.awaitClaim(ctx, id)
	}
	return len(runner.claiming) == 0
}
