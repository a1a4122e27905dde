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
	endTimeout = 3 * time.Second
	// ownerEndTimeout bounds the End call to the owner of a job. After it, the node that received the request makes the end
	// durable itself.
	ownerEndTimeout = 900 * time.Millisecond
)

// End ends a job of a tenant; tenant is empty in a deployment without tenants. It returns once the end is durable.
func (runner *Runner) End(ctx context.Context, tenant, job string) error {
	return runner.inScope(ctx, tenant, job, func(id string) error { return runner.end(ctx, id) })
}

func (runner *Runner) end(ctx context.Context, id string) error {
	if runner.ended.has(id) {
		return nil
	}
	if owned := runner.find(id); owned != nil {
		return runner.endLocally(ctx, owned)
	}
	return runner.endElsewhere(ctx, id)
}

// endElsewhere asks the owner to end a job, and writes the end to the log itself if the owner does not answer.
func (runner *Runner) endElsewhere(ctx context.Context, id string) error {
	served, err := runner.askOwner(ctx, id, ownerEndTimeout, func(ctx context.Context, owner batchv1.Batches) (bool, error) {
		response, err := owner.End(ctx, &batchv1.EndRequest{JobId: id})
		return err == nil && response.GetOwned(), err
	})
	if served || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err = runner.Log.End(ctx, id)
	runner.Logger.Info("job ended for its owner", "job", id, "error", err)
	if err == nil || errors.Is(err, batchlog.ErrNotFound) {
		return err
	}
	return errors.Mark(err, ErrUncertain)
}

const (
	// endNoticeAttempts bounds the calls that notify an owner of the end of its job. The owner learns of it by its next append in any case.
	endNoticeAttempts = 3
	endNoticePause    = 300 * time.Millisecond
)

// notifyOwnerOfEnd makes the owner of a job that this node has ended stop the job's items. An owner that has nothing to append would start
// waiting items until then. An owner that is just taking the job over checks its claim itself once the job runs.
func (runner *Runner) notifyOwnerOfEnd(job, owner string) {
	if owner == runner.Node {
		if owned := runner.find(job); owned != nil && owned.isAccepted() {
			go runner.dropIfLost(runner.ctx, owned)
		}
		return
	}
	go func() {
		notified := false
		for range endNoticeAttempts {
			notified = runner.callPeer(runner.ctx, owner, ownerEndTimeout, func(ctx context.Context, peer batchv1.Batches) (bool, error) {
				_, err := peer.End(ctx, &batchv1.EndRequest{JobId: job})
				return err == nil, err
			})
			if notified || runner.ctx.Err() != nil {
				break
			}
			wait.Pause(runner.ctx, endNoticePause)
		}
		runner.Logger.Info("owner notified of an end", "job", job, "owner", owner, "notified", notified)
	}()
}

// endLocally cancels the items at once and makes the end durable, even if the caller disconnects.
func (runner *Runner) endLocally(ctx context.Context, owned *job) error {
	if !runner.stopItems(owned) {
		return runner.awaitEnd(ctx, owned)
	}
	ended := make(chan error, 1)
	go func() { ended <- runner.endDurably(owned) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return ErrUncertain
	}
}

// endDurably writes the end of a job whose items are canceled.
func (runner *Runner) endDurably(owned *job) error {
	ctx, cancel := context.WithTimeout(runner.ctx, acceptTimeout)
	defer cancel()
	endedAt := time.Now()
	complete, err := runner.Log.EndOwned(ctx, owned.ownership)
	if complete {
		runner.cacheEnded(owned, endedAt)
	}
	runner.Metrics.Job("ended")
	spent := runner.timingOf(owned)
	runner.Logger.Info("job ended", "job", owned.id(), "listed", len(owned.listed), "items", len(owned.items), "step", owned.definition.GetStep(),
		"here_ms", spent.elapsed.Milliseconds(), "enough_ms", spent.enough.Milliseconds(), "bound_ms", spent.lowerBound.Milliseconds(),
		"longest", spent.longest, "events", spent.events, "scored", spent.scored.count, "scoring_ms", spent.scored.last.Milliseconds(),
		"scoring_longest_ms", spent.scored.longest.Milliseconds(), "error", err)
	runner.remove(owned)
	if err != nil {
		return errors.Mark(err, ErrUncertain)
	}
	return nil
}

// cacheEnded caches an ended job, unless the log may hold results that this node does not have.
func (runner *Runner) cacheEnded(owned *job, endedAt time.Time) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if !owned.logUncertain {
		runner.ended.put(&endedJob{id: owned.id(), endedAt: endedAt, total: len(owned.items), results: owned.listed})
	}
}

// stopItems cancels the items of a job and keeps their texts. It returns false if the job is not accepted or is ending already.
func (runner *Runner) stopItems(owned *job) bool {
	select {
	case <-owned.accepted:
	default:
		return false
	}
	owned.mu.Lock()
	if owned.ending || owned.ownership == nil {
		owned.mu.Unlock()
		return false
	}
	owned.ending = true
	owned.notifyReaders()
	unfinished := owned.unfinishedItems()
	owned.mu.Unlock()
	logUnfinished(runner.Logger, owned.id(), unfinished, time.Now())
	owned.cancel()
	<-owned.flushed
	runner.scheduler.drop(owned)
	owned.runs.Wait() // no attempt may begin after the end is acknowledged
	return true
}

// awaitEnd waits for an end that another caller requested.
func (runner *Runner) awaitEnd(ctx context.Context, owned *job) error {
	for runner.find(owned.id()) == owned && ctx.Err() == nil {
		wait.Pause(ctx, acceptRetryDelay)
	}
	if runner.ended.has(owned.id()) {
		return nil
	}
	return runner.endElsewhere(ctx, owned.id())
}
