package batchrun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	endLimit = 3 * time.Second
	// ownerEndLimit is how long the owner of a job may take to end it; then whoever was asked makes the end durable itself.
	ownerEndLimit = 900 * time.Millisecond
)

// End ends a job of a tenant, empty for none. It returns once the end is durable.
func (runner *Runner) End(ctx context.Context, tenant, job string) error {
	return runner.inScope(ctx, tenant, job, func(id string) error { return runner.end(ctx, id) })
}

func (runner *Runner) end(ctx context.Context, id string) error {
	if runner.ended.has(id) {
		return nil
	}
	if owned := runner.find(id); owned != nil {
		return runner.endHere(ctx, owned)
	}
	return runner.endElsewhere(ctx, id)
}

// endElsewhere has the owner end a job, or ends it in the log.
func (runner *Runner) endElsewhere(ctx context.Context, id string) error {
	served, err := runner.askOwner(ctx, id, ownerEndLimit, func(ctx context.Context, owner batchv1.Batches) (bool, error) {
		response, err := owner.End(ctx, &batchv1.EndRequest{JobId: id})
		return err == nil && response.GetOwned(), err
	})
	if served || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endLimit)
	defer cancel()
	err = runner.Log.End(ctx, id)
	runner.Logger.Info("job ended for its owner", "job", id, "error", err)
	if err == nil || errors.Is(err, batchlog.ErrNotFound) {
		return err
	}
	return errors.Mark(err, ErrUnsure)
}

// endHere cuts the items at once, and makes the end durable. It goes on with that when the caller has left.
func (runner *Runner) endHere(ctx context.Context, owned *job) error {
	if !runner.stopItems(owned) {
		return runner.awaitEnd(ctx, owned)
	}
	ended := make(chan error, 1)
	go func() { ended <- runner.endDurably(owned) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return ErrUnsure
	}
}

// endDurably writes the end of a job whose items are cut.
func (runner *Runner) endDurably(owned *job) error {
	ctx, cancel := context.WithTimeout(runner.ctx, acceptTimeout)
	defer cancel()
	whole, err := runner.Log.EndOwned(ctx, owned.held)
	if whole {
		runner.remember(owned)
	}
	runner.Metrics.Job("ended")
	spent := runner.timingOf(owned)
	runner.Logger.Info("job ended", "job", owned.id(), "listed", len(owned.listed), "items", len(owned.items), "step", owned.definition.GetStep(),
		"here_ms", spent.elapsed.Milliseconds(), "enough_ms", spent.enough.Milliseconds(), "bound_ms", spent.lowerBound.Milliseconds(),
		"longest", spent.longest, "events", spent.events, "error", err)
	runner.remove(owned)
	if err != nil {
		return errors.Mark(err, ErrUnsure)
	}
	return nil
}

// remember keeps an ended job at hand, unless the log may hold more of it than this node knows.
func (runner *Runner) remember(owned *job) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if !owned.unsure {
		runner.ended.put(&endedJob{id: owned.id(), total: len(owned.items), results: owned.listed})
	}
}

// stopItems cuts a job's items and keeps their texts. It reports false if the job is ending or not accepted.
func (runner *Runner) stopItems(owned *job) bool {
	select {
	case <-owned.accepted:
	default:
		return false
	}
	owned.mu.Lock()
	if owned.ending || owned.held == nil {
		owned.mu.Unlock()
		return false
	}
	owned.ending = true
	owned.announce()
	owned.mu.Unlock()
	owned.cancel()
	<-owned.flushed
	runner.scheduler.drop(owned)
	owned.runs.Wait() // so that no attempt is begun after the end is acknowledged
	return true
}

// awaitEnd waits for an end that another caller began.
func (runner *Runner) awaitEnd(ctx context.Context, owned *job) error {
	for runner.find(owned.id()) == owned && ctx.Err() == nil {
		wait.Pause(ctx, acceptRetryDelay)
	}
	if runner.ended.has(owned.id()) {
		return nil
	}
	return runner.endElsewhere(ctx, owned.id())
}
