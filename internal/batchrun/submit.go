package batchrun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	acceptCallTimeout = 700 * time.Millisecond
	acceptRetryDelay  = 60 * time.Millisecond
	// claimOwnTimeout bounds the claim and the reading of a job that an earlier process of this node accepted.
	claimOwnTimeout = 2 * time.Second
	// earlyStartDelay is how long an acceptance may take before the items start without it.
	earlyStartDelay = 150 * time.Millisecond
	// acceptTimeout is how long a node retries to accept a job before it drops the job.
	acceptTimeout = 11 * time.Second
	// relayAfter is the number of failed attempts after which this node asks another node to accept the job.
	relayAfter   = 2
	relayTimeout = 900 * time.Millisecond
	// relayRetryDelay is the delay between two relay attempts while the metadata store is unreachable for this node.
	relayRetryDelay = 500 * time.Millisecond
	// preferredTimeout bounds the call that asks the preferred node to accept a job.
	preferredTimeout = 250 * time.Millisecond
)

// Submit makes a job durable and runs it, at this node or at the node that already owns it. It returns once the job is accepted.
// After any error except ErrStopping the job may still run.
func (runner *Runner) Submit(ctx context.Context, definition *batchv1.Job, route *catalog.Route) error {
	err := runner.submit(ctx, definition, route)
	if !errors.Is(err, errOtherTenant) {
		return err
	}
	scoped := proto.CloneOf(definition)
	scoped.Id = batch.ScopedID(definition.GetTenant(), definition.GetId())
	runner.Logger.Info("job scoped", "job", scoped.GetId(), "tenant", scoped.GetTenant())
	return runner.submit(ctx, scoped, route)
}

// submit returns errOtherTenant and accepts nothing if another tenant's job has the identifier.
func (runner *Runner) submit(ctx context.Context, definition *batchv1.Job, route *catalog.Route) error {
	if err := runner.checkTenant(definition); err != nil {
		return err
	}
	if runner.knownElsewhere(ctx, definition.GetId()) {
		return nil
	}
	if runner.find(definition.GetId()) == nil {
		if runner.isPartitioned() {
			runner.Logger.Warn("job not taken", "job", definition.GetId(), "reason", "cut off")
			return ErrUncertain
		}
		if runner.relayToPreferred(ctx, definition) {
			return nil
		}
	}
	if runner.ended.has(definition.GetId()) {
		return nil
	}
	owned := runner.acceptOnce(ctx, definition, route.JobObjective)
	if owned == nil {
		return runner.relay(ctx, &batchv1.SubmitRequest{Job: definition})
	}
	if !batch.MayUse(definition.GetTenant(), owned.definition.GetTenant()) {
		return errOtherTenant // this node is accepting another tenant's job with the same identifier
	}
	select {
	case <-owned.accepted:
		return nil
	case <-owned.ctx.Done():
		if owned.foreign.Load() {
			return errOtherTenant
		}
		return ErrUncertain
	case <-ctx.Done():
		return ErrUncertain
	}
}

// isPartitioned reports whether this node can reach neither the metadata store nor any node that it monitors. It could not list
// the results of a job, whereas the caller may reach a node that can.
func (runner *Runner) isPartitioned() bool {
	return !runner.Log.Health.Good() && runner.Peers.Isolated()
}

// knownElsewhere reports whether the node that announced the job confirms that it accepted the job.
func (runner *Runner) knownElsewhere(ctx context.Context, id string) bool {
	runner.mu.Lock()
	name := runner.owners[id]
	runner.mu.Unlock()
	if name == "" || name == runner.Node {
		return false
	}
	return runner.callPeer(ctx, name, peerCallMargin, func(ctx context.Context, owner batchv1.Batches) (bool, error) {
		response, err := owner.Read(ctx, &batchv1.ReadRequest{JobId: id, From: positionBeyondEnd})
		return err == nil && response.GetOwned(), err
	})
}

// positionBeyondEnd exceeds every job's length. It serves for reads that only check whether a node knows a job.
const positionBeyondEnd = 1 << 30

// relayToPreferred asks the node that runs the model's jobs in this zone to accept the job. That node has open connections to
// the engines and tracks their load. If the call fails or times out, this node accepts the job itself.
func (runner *Runner) relayToPreferred(ctx context.Context, definition *batchv1.Job) bool {
	name := runner.Peers.Preferred(definition.GetModel())
	if name == "" || name == runner.Node || !runner.Log.Health.Good() {
		return false
	}
	accepted := runner.callPeer(ctx, name, preferredTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		_, err := client.Submit(ctx, &batchv1.SubmitRequest{Job: definition})
		return err == nil, err
	})
	if accepted {
		runner.RememberOwner(definition.GetId(), name)
	}
	runner.Logger.Info("job relayed", "job", definition.GetId(), "to", name, "accepted", accepted)
	return accepted
}

// relayToHealthyPeer asks a node that can reach the metadata store to accept a job that runs here, and reports whether it did.
func (runner *Runner) relayToHealthyPeer(ctx context.Context, owned *job) bool {
	names := runner.peersReachingStore(ctx)
	return len(names) > 0 && runner.relayTo(ctx, names[0], owned.submitRequest())
}

// submitRequest returns the request that lets another node accept the job. It carries the texts generated here, so that the
// other node does not generate them again. Text that running items generated since their last save is not included.
func (owned *job) submitRequest() *batchv1.SubmitRequest {
	return &batchv1.SubmitRequest{Job: owned.definition, Partials: append(owned.pendingTexts(), owned.runningTexts()...)}
}

// relayTo asks a node to accept a job and reports whether it did.
func (runner *Runner) relayTo(ctx context.Context, name string, request *batchv1.SubmitRequest) bool {
	accepted := runner.callPeer(ctx, name, relayTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		_, err := client.Submit(ctx, request)
		return err == nil, err
	})
	if accepted {
		runner.RememberOwner(request.GetJob().GetId(), name)
	}
	runner.Logger.Info("job relayed", "job", request.GetJob().GetId(), "to", name, "accepted", accepted, "partials", len(request.GetPartials()))
	return accepted
}

// relay asks other nodes to accept the job. After an error one of them may still have accepted it.
func (runner *Runner) relay(ctx context.Context, request *batchv1.SubmitRequest) error {
	for _, name := range runner.Peers.Nearest() {
		if runner.relayTo(ctx, name, request) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrUncertain
}

// accept retries until the job is durable. If that takes longer than earlyStartDelay, the items start meanwhile, so that an
// outage of the metadata store does not delay them.
func (runner *Runner) accept(owned *job) {
	started := time.Now()
	go runner.beginEarly(owned)
	ctx, settled := context.WithCancel(owned.ctx)
	defer settled()
	go runner.watchAnnouncements(ctx, settled, owned)
	for tries := 1; owned.ctx.Err() == nil && time.Since(started) < acceptTimeout; tries++ {
		if owned.delegation.acceptedElsewhere.Load() {
			runner.finishAccept(owned, acceptance{}, started, tries)
			return
		}
		if owned.delegation.delegated.Load() {
			wait.Pause(ctx, acceptRetryDelay)
			continue
		}
		if !runner.Log.Health.Good() {
			if runner.relayToHealthyPeer(ctx, owned) {
				runner.finishAccept(owned, acceptance{}, started, tries)
				return
			}
			runner.awaitGood(ctx, relayRetryDelay)
			continue
		}
		accepted, err := runner.tryAccept(ctx, owned)
		if err == nil {
			runner.finishAccept(owned, accepted, started, tries)
			return
		}
		if errors.Is(err, errOtherTenant) {
			owned.foreign.Store(true)
			break
		}
		if tries == 1 {
			runner.Logger.Warn("acceptance delayed", "job", owned.id(), "error", err)
		}
		if tries >= relayAfter && tries%relayAfter == 0 && errors.Is(err, metadata.ErrUnavailable) && runner.relay(ctx, owned.submitRequest()) == nil {
			runner.finishAccept(owned, acceptance{}, started, tries)
			return
		}
		wait.Pause(ctx, acceptRetryDelay)
	}
	runner.Logger.Warn("acceptance given up", "job", owned.id(), "took_ms", time.Since(started).Milliseconds(), "foreign", owned.foreign.Load())
	runner.remove(owned)
}

// awaitGood waits up to limit until this node can reach the metadata store.
func (runner *Runner) awaitGood(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	runner.Log.Health.AwaitGood(ctx)
}

// acceptOnce returns the job that this node has accepted or is accepting, and starts the acceptance if there is none. A claim of the
// job that is under way comes first. It returns nil while this node is stopping, and if the context ends during such a claim.
func (runner *Runner) acceptOnce(ctx context.Context, definition *batchv1.Job, objective time.Duration) *job {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.awaitClaim(ctx, definition.GetId())
	if runner.stopping || runner.claiming[definition.GetId()] != nil {
		return nil
	}
	owned := runner.jobs[definition.GetId()]
	if owned == nil {
		owned = newJob(runner.ctx, definition, objective)
		runner.put(owned)
		go runner.accept(owned)
	}
	return owned
}

// objectiveOf returns the time within which the results of a job are due, by the route of its host and path, or zero if there is
// no such route.
func (runner *Runner) objectiveOf(definition *batchv1.Job) time.Duration {
	configuration := runner.Catalog.Configuration()
	if configuration == nil {
		return 0
	}
	route := configuration.FindRoute(definition.GetHost(), definition.GetPath())
	if route == nil {
		return 0
	}
	return route.JobObjective
}

// acceptance is the outcome of a successful attempt to accept a job.
type acceptance struct {
	// ownership is nil if another node owns the job or it has ended.
	ownership *batchlog.Ownership
	// record is what the log holds of a job that this node had accepted before; nil if the job is new or not owned by this node.
	record *batchlog.Record
}

// tryAccept makes one attempt to accept a job. Without an error the job is durable.
func (runner *Runner) tryAccept(ctx context.Context, owned *job) (acceptance, error) {
	callCtx, cancel := context.WithTimeout(ctx, acceptCallTimeout)
	defer cancel()
	ownership, err := runner.Log.Accept(callCtx, owned.definition)
	if errors.Is(err, batchlog.ErrNotRegistered) {
		return acceptance{}, err // nothing was written
	}
	if err != nil {
		runner.sweeps.recordUncertainWrite()
		return acceptance{}, err
	}
	if ownership != nil {
		return acceptance{ownership: ownership}, nil
	}
	if err := runner.checkAccepted(callCtx, owned.definition); err != nil {
		return acceptance{}, err
	}
	owner, _, err := runner.Log.Owner(callCtx, owned.id())
	switch {
	case errors.Is(err, batchlog.ErrNotOwner):
		return acceptance{}, nil
	case err != nil:
		return acceptance{}, err
	case owner.GetNode() != runner.Node:
		runner.RememberOwner(owned.id(), owner.GetNode())
		return acceptance{}, nil
	}
	return runner.acceptAgain(ctx, owned.id(), owner)
}

// acceptAgain claims a job that this node owns already: an earlier attempt succeeded but its response was lost, or an earlier process of
// this node accepted the job. That process may have listed results, so that the job continues from its record.
func (runner *Runner) acceptAgain(ctx context.Context, id string, owner *batchv1.Ownership) (acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, claimOwnTimeout)
	defer cancel()
	ownership, record, err := runner.claim(ctx, id, batchlog.Origin{Node: runner.Node}, nil)
	if errors.Is(err, batchlog.ErrNotOwner) {
		return acceptance{}, nil
	}
	if err != nil {
		return acceptance{}, err
	}
	runner.Logger.Info("own job accepted again", "job", id, "from_life", owner.GetLife(), "life", runner.Incarnation, "listed", len(record.Results))
	return acceptance{ownership: ownership, record: record}, nil
}

// finishAccept completes the acceptance and runs the job here if this node owns it.
func (runner *Runner) finishAccept(owned *job, accepted acceptance, started time.Time, tries int) {
	ownership, record := accepted.ownership, accepted.record
	if record != nil {
		owned.adopt(record)
		runner.scheduler.dropListed(owned)
	}
	owned.mu.Lock()
	owned.ownership = ownership
	owned.elsewhere = ownership == nil
	owned.mu.Unlock()
	close(owned.accepted)
	runner.Metrics.Job("accepted")
	runner.Logger.Info("job accepted", "job", owned.id(), "step", owned.definition.GetStep(), "model", owned.definition.GetModel(),
		"tenant", owned.definition.GetTenant(), "minimum", owned.definition.GetMinimumVersion(), "items", len(owned.definition.GetItems()), "here", ownership != nil, "tries", tries,
		"took_ms", time.Since(started).Milliseconds())
	if ownership == nil {
		runner.remove(owned)
		return
	}
	go runner.flushLoop(owned)
	go runner.backUp(owned)
	runner.Peers.AnnounceJob(owned.definition)
	runner.Peers.AnnounceDemand(owned.definition)
	runner.startItems(owned)
	owned.wakeFlush()
	if record != nil {
		go runner.dropIfLost(runner.ctx, owned) // the job may have ended since its record was read
	}
}

func (owned *job) wakeFlush() {
	select {
	case owned.flush <- struct{}{}:
	default:
	}
}

// startItems queues the items of a job unless that has been done already.
func (runner *Runner) startItems(owned *job) {
	runner.fetchFormerTexts(owned.ctx, owned)
	owned.mu.Lock()
	if owned.itemsQueued || owned.ending || owned.ctx.Err() != nil {
		owned.mu.Unlock()
		return
	}
	owned.itemsQueued = true
	owned.itemsQueuedAt = time.Now()
	var tasks []*task
	var complete []*task
	for _, item := range owned.definition.GetItems() {
		if owned.progress.Finished(item.GetId()) {
			continue
		}
		created := &task{job: owned, item: item}
		owned.tasks[item.GetId()] = created
		if kept := runner.kept.take(owned, item.GetId()); kept != nil && created.resumeFrom(kept) {
			complete = append(complete, created)
			continue
		}
		tasks = append(tasks, created)
	}
	owned.markResubmitted()
	owned.mu.Unlock()
	runner.scheduler.add(tasks...)
	for _, done := range complete {
		owned.runs.Add(1)
		go func() {
			defer owned.runs.Done()
			runner.score(done)
		}()
	}
}

// markResubmitted marks all items of each group that has a resubmitted item. It must be called with mu held.
func (owned *job) markResubmitted() {
	resubmitted := make(map[string]bool)
	for _, created := range owned.tasks {
		if created.resubmitted {
			resubmitted[created.item.GetGroup()] = true
		}
	}
	for _, created := range owned.tasks {
		created.resubmitted = resubmitted[created.item.GetGroup()]
		if created.resubmitted {
			owned.progress.RequireGroup(created.item.GetId())
		}
	}
}
