package batchrun

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

const (
	takeOverLimit = 8 * time.Second
	handOverLimit = 1200 * time.Millisecond
)

// origin is the process that a job is taken from.
type origin struct {
	node string
	life int64
}

// TakeOverNode takes up every job that a dead process of a node owns. It returns once all are claimed, or with what went wrong: until
// then the node's record tells others, and its next process, that jobs may be left.
func (runner *Runner) TakeOverNode(ctx context.Context, node string, life int64) error {
	ids, err := runner.owned(ctx, node, false)
	if err != nil {
		return err
	}
	outcomes := make([]error, len(ids))
	var claims sync.WaitGroup
	for index, id := range ids {
		claims.Go(func() {
			outcomes[index] = runner.takeOver(id, origin{node, life}, nil)
			runner.Logger.Warn("job taken over", "job", id, "from", node, "life", life, "error", outcomes[index])
		})
	}
	claims.Wait()
	return errors.Join(outcomes...)
}

// takeOver makes this node the owner of a job and runs what is left of it.
func (runner *Runner) takeOver(id string, from origin, partials []*batchv1.Partial) error {
	if known := runner.find(id); known != nil {
		if known.isAccepted() {
			return nil
		}
		return errClaiming // it was submitted here too: whether this node will be its owner is open
	}
	if !runner.beginClaim(id) {
		return errClaiming
	}
	defer runner.endClaim(id)
	ctx, cancel := context.WithTimeout(runner.ctx, takeOverLimit)
	defer cancel()
	held, err := runner.Log.Claim(ctx, id, from.node, from.life)
	if errors.Is(err, batchlog.ErrNotOwner) {
		return nil // it ended, or another node has it
	}
	if err != nil {
		runner.sweeps.leave()
		return err
	}
	record, err := runner.Log.Resume(ctx, held)
	if err != nil {
		runner.sweeps.leave()
		return err
	}
	now := time.Now()
	for _, partial := range slices.Concat(record.Unfinished, runner.fetchBackups(ctx, id), partials) {
		runner.kept.put(partial.GetItemId(), textOf(id, record.Job.GetTenant(), partial, now))
	}
	runner.Metrics.Job("taken_over")
	runner.resume(held, record)
	return nil
}

// errClaiming says that this node is about to take the job up already.
var errClaiming = errors.New("the job is being claimed by this node")

// beginClaim reports whether no claim of a job is under way here: of two, the first to be made would be void and the last to be made
// might be dropped.
func (runner *Runner) beginClaim(id string) bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.claiming[id] {
		return false
	}
	runner.claiming[id] = true
	return true
}

func (runner *Runner) endClaim(id string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	delete(runner.claiming, id)
}

// resume runs a job that this node has claimed.
func (runner *Runner) resume(held *batchlog.Hold, record *batchlog.Record) {
	objective := runner.objectiveOf(record.Job)
	owned := newJob(runner.ctx, record.Job, objective)
	owned.due = owned.due.Add(-min(objective, max(0, time.Since(time.UnixMilli(record.Job.GetSubmittedUnixMs())))))
	owned.held = held
	owned.listed = record.Results
	for _, result := range record.Results {
		owned.progress.Finish(result.GetItemId())
	}
	close(owned.accepted)
	runner.mu.Lock()
	if runner.jobs[owned.id()] != nil {
		runner.mu.Unlock()
		owned.cancel()
		return
	}
	runner.put(owned)
	delete(runner.owners, owned.id())
	runner.mu.Unlock()
	go runner.flushLoop(owned)
	go runner.backUp(owned)
	runner.Peers.AnnounceJob(owned.definition)
	runner.Peers.AnnounceDemand(owned.definition)
	runner.begin(owned)
}

// owned lists a node's jobs, within the time of a read.
func (runner *Runner) owned(ctx context.Context, node string, stale bool) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReads)
	defer cancel()
	return runner.Log.Owned(ctx, node, stale)
}

func (runner *Runner) isStopping() bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.stopping
}

// Recheck drops the jobs that this node does not own any more. It is called when others may have held the node for dead.
func (runner *Runner) Recheck(ctx context.Context) {
	for _, owned := range runner.open() {
		if !owned.isAccepted() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeReads)
		still, err := runner.Log.StillOwner(callCtx, owned.held)
		cancel()
		if err == nil && !still {
			runner.Logger.Warn("ownership lost", "job", owned.id(), "reason", "another owner")
			runner.remove(owned)
		}
	}
}

func (runner *Runner) open() []*job {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	list := make([]*job, 0, len(runner.jobs))
	for _, owned := range runner.jobs {
		list = append(list, owned)
	}
	return list
}

// HandOver gives all jobs to other nodes, for a planned stop, and reports whether all were taken. Jobs that no node takes stay
// this node's in the log; others take them over once this node is silent, as long as it is registered.
func (runner *Runner) HandOver(ctx context.Context) (all bool) {
	runner.mu.Lock()
	runner.stopping = true
	runner.mu.Unlock()
	all = true
	for _, owned := range runner.open() {
		if !owned.isAccepted() {
			all = false
			if !runner.Log.Health.Good() {
				runner.passOn(ctx, owned)
			}
			continue
		}
		all = runner.handOver(ctx, owned, runner.Peers.Nearest()) && all
	}
	return all
}

// passOn has the node that is left the job next keep what was made of a job that an outage of the metadata store keeps from being accepted:
// callers submit it again, and it goes on from there.
func (runner *Runner) passOn(ctx context.Context, owned *job) {
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
	kept := len(partials) > 0 && runner.callPeer(ctx, name, handOverLimit, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		_, err := client.Keep(ctx, &batchv1.KeepRequest{JobId: owned.id(), Tenant: owned.definition.GetTenant(), Partials: partials})
		return err == nil, err
	})
	runner.Logger.Info("job passed on", "job", owned.id(), "to", name, "partials", len(partials), "kept", kept)
}

// handOver gives a job to the first of some nodes that takes it.
func (runner *Runner) handOver(ctx context.Context, owned *job, names []string) (taken bool) {
	owned.markLeaving()
	owned.cancel()
	<-owned.flushed
	runner.scheduler.drop(owned)
	owned.runs.Wait()
	request := &batchv1.TakeOverRequest{JobId: owned.id(), Partials: runner.partials(owned), From: runner.Node, Life: runner.Life}
	for _, name := range names {
		client := runner.Peers.Client(name)
		if client == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, handOverLimit)
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
			runner.kept.put(partial.GetItemId(), textOf(owned.id(), owned.definition.GetTenant(), partial, time.Now()))
		}
	}
	runner.remove(owned)
	return taken
}

// partials are the texts of a job's unfinished items and of those that are not listed, once nothing of the job runs here any more.
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
