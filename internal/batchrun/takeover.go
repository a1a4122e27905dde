package batchrun

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	takeOverTimeout = 8 * time.Second
	handOverTimeout = 1200 * time.Millisecond
)

// TakeOverNode takes over every job that a crashed node owns, also those of processes before its last one, which may have ended before
// it resumed them. registration is the node's record as that process wrote it, and incarnation that process. TakeOverNode returns
// once all jobs are claimed, or with the errors. The caller keeps the node's record until it returns without an error, so that other
// nodes and the next process of the node know that jobs may be left.
func (runner *Runner) TakeOverNode(ctx context.Context, node string, incarnation int64, registration metadata.Condition) error {
	ids, err := runner.owned(ctx, node, false)
	if err != nil {
		return err
	}
	outcomes := make([]error, len(ids))
	var claims sync.WaitGroup
	for index, id := range ids {
		claims.Go(func() {
			outcomes[index] = runner.takeOver(id, batchlog.Origin{Node: node, Registration: &registration}, nil)
			runner.Logger.Warn("job taken over", "job", id, "from", node, "life", incarnation, "error", outcomes[index])
		})
	}
	claims.Wait()
	return errors.Join(outcomes...)
}

// takeOver makes this node the owner of a job and resumes it.
func (runner *Runner) takeOver(id string, from batchlog.Origin, partials []*batchv1.Partial) error {
	// A node that was cut off runs jobs that others have taken over since. Such a job would be lost if it passed for this node's own.
	if known := runner.find(id); known != nil && known.isAccepted() {
		if still, err := runner.confirmOwned(runner.ctx, known); still || err != nil {
			return err
		}
	}
	if err := runner.beginClaim(id); err != nil {
		return err
	}
	defer runner.endClaim(id)
	ctx, cancel := context.WithTimeout(runner.ctx, takeOverTimeout)
	defer cancel()
	ownership, record, err := runner.claim(ctx, id, from, partials)
	if errors.Is(err, batchlog.ErrNotOwner) {
		return nil // the job ended or has another owner
	}
	if err != nil {
		return err
	}
	runner.Metrics.Job("taken_over")
	runner.resume(ownership, record)
	// The job may have ended since its record was read. Calls that end it later find it at this node.
	if owned := runner.find(id); owned != nil && owned.isAccepted() {
		go runner.dropIfLost(runner.ctx, owned)
	}
	return nil
}

// claim makes this node the owner of a job that has been accepted before, and returns what its former owner made durable. Whatever runs
// such a job starts from this record: without it, the job would list its items anew at positions that have been read. The texts that
// the former owner saved or backed up, and the given ones, are kept for the items.
func (runner *Runner) claim(ctx context.Context, id string, from batchlog.Origin, partials []*batchv1.Partial) (*batchlog.Ownership, *batchlog.Record, error) {
	ownership, err := runner.Log.Claim(ctx, id, from)
	if errors.Is(err, batchlog.ErrNotOwner) || errors.Is(err, batchlog.ErrProcessReplaced) {
		return nil, nil, err // nothing was written
	}
	if err != nil {
		runner.sweeps.recordUncertainWrite()
		return nil, nil, err
	}
	record, err := runner.Log.Resume(ctx, ownership)
	if err != nil {
		runner.sweeps.recordUncertainWrite()
		return nil, nil, err
	}
	now := time.Now()
	for _, partial := range slices.Concat(record.Unfinished, runner.fetchBackups(ctx, id), partials) {
		runner.kept.put(partial.GetItemId(), newKeptText(id, record.Job.GetTenant(), partial, now))
	}
	return ownership, record, nil
}

// resume runs a job that this node has claimed.
func (runner *Runner) resume(ownership *batchlog.Ownership, record *batchlog.Record) {
	objective := runner.objectiveOf(record.Job)
	owned := newJob(runner.ctx, record.Job, objective)
	owned.due = owned.due.Add(-min(objective, max(0, time.Since(time.UnixMilli(record.Job.GetSubmittedUnixMs())))))
	owned.ownership = ownership
	owned.adopt(record)
	close(owned.accepted)
	runner.mu.Lock()
	runner.put(owned)
	delete(runner.owners, owned.id())
	runner.mu.Unlock()
	go runner.flushLoop(owned)
	go runner.backUp(owned)
	go runner.announceTakenOver(owned)
	runner.Peers.AnnounceDemand(owned.definition)
	runner.startItems(owned)
}

// takeOverNotices are the pauses before the announcements of a job that was taken over. Its former owner may live and be cut off for a while.
var takeOverNotices = [...]time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second}

// announceTakenOver announces a job several times while it runs here.
func (runner *Runner) announceTakenOver(owned *job) {
	for _, pause := range takeOverNotices {
		wait.Pause(owned.ctx, pause)
		if owned.ctx.Err() != nil {
			return
		}
		runner.Peers.AnnounceJob(owned.definition)
	}
}

// owned lists the jobs of a node.
func (runner *Runner) owned(ctx context.Context, node string, stale bool) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return runner.Log.Owned(ctx, node, stale)
}

func (runner *Runner) isStopping() bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.stopping
}

// Recheck drops the jobs that this node no longer owns. It is called when other nodes may have declared this node failed.
func (runner *Runner) Recheck(ctx context.Context) {
	for _, owned := range runner.openJobs() {
		if owned.isAccepted() {
			runner.dropIfLost(ctx, owned)
		}
	}
}

// dropIfLost drops a job if it has ended or has another owner.
func (runner *Runner) dropIfLost(ctx context.Context, owned *job) {
	_, _ = runner.confirmOwned(ctx, owned) // logged; an owner by mistake learns of it by its next append
}

// confirmOwned reports whether this node owns a job that it runs, and drops the job otherwise: it has ended, or another node has taken it
// over.
func (runner *Runner) confirmOwned(ctx context.Context, owned *job) (still bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	still, err = runner.Log.StillOwner(ctx, owned.ownership)
	switch {
	case err != nil:
		runner.Logger.Warn("ownership not confirmed", "job", owned.id(), "error", err)
	case !still:
		runner.Logger.Warn("ownership lost", "job", owned.id(), "reason", "another owner")
		runner.remove(owned)
	}
	return still, err
}

func (runner *Runner) openJobs() []*job {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	list := make([]*job, 0, len(runner.jobs))
	for _, owned := range runner.jobs {
		list = append(list, owned)
	}
	return list
}

// HandOver hands all jobs to other nodes for a planned stop and reports whether all were accepted, including those that this node is
// taking over from others. In the log this node remains the owner of the jobs that were not accepted. Other nodes take these over when
// this node stops sending heartbeats, as long as it is registered.
func (runner *Runner) HandOver(ctx context.Context) (all bool) {
	runner.mu.Lock()
	runner.stopping = true // no claim or acceptance begins from now on
	runner.mu.Unlock()
	all = runner.handOverOpenJobs(ctx)
	if !runner.awaitClaims(ctx) {
		runner.Logger.Warn("jobs not handed over", "reason", "still being claimed")
		return false
	}
	return runner.handOverOpenJobs(ctx) && all && runner.ownsNothing(ctx)
}

// ownsNothing reports whether the log shows no job of this node, and no write with an unknown outcome may still make it the owner of one.
// Jobs of an earlier process that this one has not resumed would otherwise have an owner that nobody watches.
func (runner *Runner) ownsNothing(ctx context.Context) bool {
	if runner.sweeps.writesUncertain(time.Now()) {
		runner.Logger.Warn("jobs not handed over", "reason", "a write may still take effect")
		return false
	}
	ids, err := runner.owned(ctx, runner.Node, false)
	if err != nil || len(ids) > 0 {
		runner.Logger.Warn("jobs not handed over", "reason", "the log lists jobs of this node", "jobs", len(ids), "error", err)
		return false
	}
	return true
}

// handOverOpenJobs hands over the jobs that run here and reports whether all were accepted.
func (runner *Runner) handOverOpenJobs(ctx context.Context) (all bool) {
	all = true
	for _, owned := range runner.openJobs() {
		if !owned.isAccepted() {
			all = false
			if !runner.Log.Health.Good() {
				runner.passPartials(ctx, owned)
			}
			continue
		}
		all = runner.handOver(ctx, owned, runner.Peers.Nearest()) && all
	}
	return all
}

// passPartials hands the texts of a job that could not be accepted to the node that becomes responsible for it. When a caller
// submits the job again, that node continues from the texts.
func (runner *Runner) passPartials(ctx context.Context, owned *job) {
	owned.markLeaving()
	owned.cancel()
	runner.scheduler.drop(owned)
	owned.runs.Wait()
	partials := runner.partials(owned)
	runner.remove(owned)
	name := runner.Peers.Preferred(owned.definition.GetModel())
	if name == runner.Node {
		name = runner.Peers.Alternate(owned.definition.GetModel())
	}
	kept := len(partials) > 0 && runner.callPeer(ctx, name, handOverTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		_, err := client.Keep(ctx, &batchv1.KeepRequest{JobId: owned.id(), Tenant: owned.definition.GetTenant(), Partials: partials})
		return err == nil, err
	})
	runner.Logger.Info("job passed on", "job", owned.id(), "to", name, "partials", len(partials), "kept", kept)
}

// handOver hands a job to the first of the named nodes that accepts it.
func (runner *Runner) handOver(ctx context.Context, owned *job, names []string) (taken bool) {
	owned.markLeaving()
	owned.cancel()
	<-owned.flushed
	runner.scheduler.drop(owned)
	owned.runs.Wait()
	request := &batchv1.TakeOverRequest{JobId: owned.id(), Partials: runner.partials(owned), From: runner.Node, Life: runner.Incarnation}
	for _, name := range names {
		client := runner.Peers.Client(name)
		if client == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := client.TakeOver(callCtx, request)
		cancel()
		runner.Logger.Info("job handed over", "job", owned.id(), "to", name, "partials", len(request.GetPartials()), "error", err)
		if err == nil {
			runner.RememberOwner(owned.id(), name)
			taken = true
			break
		}
	}
	if !taken {
		runner.Logger.Warn("job not handed over", "job", owned.id())
		for _, partial := range request.GetPartials() {
			runner.kept.put(partial.GetItemId(), newKeptText(owned.id(), owned.definition.GetTenant(), partial, time.Now()))
		}
	}
	runner.remove(owned)
	return taken
}

// partials returns the texts of a job's unfinished items and of its unlisted results. No item of the job may be running.
func (runner *Runner) partials(owned *job) []*batchv1.Partial {
	list := owned.pendingTexts()
	for _, item := range owned.definition.GetItems() {
		kept := runner.kept.take(owned, item.GetId())
		if kept == nil || kept.lastEvent == 0 {
			continue
		}
		list = append(list, kept.partial(item.GetId()))
	}
	return list
}
