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
	acceptCallLimit = 700 * time.Millisecond
	acceptPause     = 60 * time.Millisecond
	// beginAfter is how long an acceptance may take before the items are begun without it.
	beginAfter = 150 * time.Millisecond
	// acceptLimit is how long a job is kept that could not be made durable.
	acceptLimit = 11 * time.Second
	// relayAfter is how many failed tries this node makes before it asks another to accept the job.
	relayAfter   = 2
	relayTimeout = 900 * time.Millisecond
	// relayAgain is how long after a relay that failed another is tried, while the metadata store does not answer this node.
	relayAgain = 500 * time.Millisecond
	// preferredLimit is how long the preferred node may take to accept a job.
	preferredLimit = 250 * time.Millisecond
)

// Submit makes a job durable and runs it, here or at the node that owns it already. It returns once the job is accepted;
// an error other than ErrStopping leaves open whether the job will run.
func (runner *Runner) Submit(ctx context.Context, definition *batchv1.Job, route *catalog.Route) error {
	err := runner.submit(ctx, definition, route)
	if !errors.Is(err, errForeign) {
		return err
	}
	scoped := proto.CloneOf(definition)
	scoped.Id = batch.ScopedID(definition.GetTenant(), definition.GetId())
	runner.Logger.Info("job scoped", "job", scoped.GetId(), "tenant", scoped.GetTenant())
	return runner.submit(ctx, scoped, route)
}

// submit returns errForeign, and accepts nothing, where another tenant's job has the identifier.
func (runner *Runner) submit(ctx context.Context, definition *batchv1.Job, route *catalog.Route) error {
	if err := runner.checkTenant(definition); err != nil {
		return err
	}
	if runner.knownElsewhere(ctx, definition.GetId()) {
		return nil
	}
	if runner.find(definition.GetId()) == nil {
		if runner.isCutOff() {
			runner.Logger.Warn("job not taken", "job", definition.GetId(), "reason", "cut off")
			return ErrUnsure
		}
		if runner.relayToPreferred(ctx, definition) {
			return nil
		}
	}
	if runner.ended.has(definition.GetId()) {
		return nil
	}
	owned := runner.acceptOnce(definition, route.JobObjective)
	if owned == nil {
		return runner.relay(ctx, &batchv1.SubmitRequest{Job: definition})
	}
	if !batch.MayUse(definition.GetTenant(), owned.definition.GetTenant()) {
		return errForeign // another tenant's is being accepted here at this moment
	}
	select {
	case <-owned.accepted:
		return nil
	case <-owned.ctx.Done():
		if owned.foreign.Load() {
			return errForeign
		}
		return ErrUnsure
	case <-ctx.Done():
		return ErrUnsure
	}
}

// isCutOff reports whether this node reaches neither the metadata store nor any of the nodes that it watches: what it runs could not
// be listed, while the caller may reach a node that is not cut off.
func (runner *Runner) isCutOff() bool { return !runner.Log.Health.Good() && runner.Peers.Isolated() }

// knownElsewhere reports whether the node that announced the job confirms that it has accepted it.
func (runner *Runner) knownElsewhere(ctx context.Context, id string) bool {
	runner.mu.Lock()
	name := runner.owners[id]
	runner.mu.Unlock()
	if name == "" || name == runner.Node {
		return false
	}
	return runner.callPeer(ctx, name, peerMargin, func(ctx context.Context, owner batchv1.Batches) (bool, error) {
		response, err := owner.Read(ctx, &batchv1.ReadRequest{JobId: id, From: beyondResults})
		return err == nil && response.GetOwned(), err
	})
}

// beyondResults is a position that no job has, for reads that only ask whether a job is known.
const beyondResults = 1 << 30

// relayToPreferred has the node that runs the model's jobs in this zone accept the job: it has connections to the engines, and
// knows what it has in flight there. If that takes long, this node accepts the job itself.
func (runner *Runner) relayToPreferred(ctx context.Context, definition *batchv1.Job) bool {
	name := runner.Peers.Preferred(definition.GetModel())
	if name == "" || name == runner.Node || !runner.Log.Health.Good() {
		return false
	}
	accepted := runner.callPeer(ctx, name, preferredLimit, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		_, err := client.Submit(ctx, &batchv1.SubmitRequest{Job: definition})
		return err == nil, err
	})
	if accepted {
		runner.RememberOwner(definition.GetId(), name)
	}
	runner.Logger.Info("job relayed", "job", definition.GetId(), "to", name, "accepted", accepted)
	return accepted
}

// relayToServed has a node that the metadata store answers accept a job that runs here, and reports whether one has.
func (runner *Runner) relayToServed(ctx context.Context, owned *job) bool {
	names := runner.peersReachingStore(ctx)
	return len(names) > 0 && runner.relayTo(ctx, names[0], owned.submission())
}

// submission is the request to accept the job elsewhere, with what was made of it here: items would be made anew otherwise, and be late.
// What running items made since they were last saved is not in it.
func (owned *job) submission() *batchv1.SubmitRequest {
	return &batchv1.SubmitRequest{Job: owned.definition, Partials: append(owned.pendingTexts(), owned.runningTexts()...)}
}

// relayTo has a node accept a job, and reports whether it has.
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

// relay has another node accept the job. Only when no node was reached has the job surely not been accepted.
func (runner *Runner) relay(ctx context.Context, request *batchv1.SubmitRequest) error {
	for _, name := range runner.Peers.Nearest() {
		if runner.relayTo(ctx, name, request) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrUnsure
}

// accept tries to make a job durable until it is, and begins its items meanwhile when the metadata store takes long: an
// outage of the store then costs the job no more than the store's answer.
func (runner *Runner) accept(owned *job) {
	started := time.Now()
	go runner.beginEarly(owned)
	ctx, settled := context.WithCancel(owned.ctx)
	defer settled()
	go runner.watchAnnouncements(ctx, settled, owned)
	for tries := 1; owned.ctx.Err() == nil && time.Since(started) < acceptLimit; tries++ {
		if owned.delegation.acceptedElsewhere.Load() {
			runner.settleAccept(owned, nil, started, tries)
			return
		}
		if owned.delegation.delegated.Load() {
			wait.Pause(ctx, acceptPause)
			continue
		}
		if !runner.Log.Health.Good() {
			if runner.relayToServed(ctx, owned) {
				runner.settleAccept(owned, nil, started, tries)
				return
			}
			runner.awaitGood(ctx, relayAgain)
			continue
		}
		held, settled, err := runner.tryAccept(ctx, owned)
		if settled {
			runner.settleAccept(owned, held, started, tries)
			return
		}
		if errors.Is(err, errForeign) {
			owned.foreign.Store(true)
			break
		}
		if tries == 1 {
			runner.Logger.Warn("acceptance delayed", "job", owned.id(), "error", err)
		}
		if tries >= relayAfter && tries%relayAfter == 0 && errors.Is(err, metadata.ErrUnavailable) && runner.relay(ctx, owned.submission()) == nil {
			runner.settleAccept(owned, nil, started, tries)
			return
		}
		wait.Pause(ctx, acceptPause)
	}
	runner.Logger.Warn("acceptance given up", "job", owned.id(), "took_ms", time.Since(started).Milliseconds(), "foreign", owned.foreign.Load())
	runner.remove(owned)
}

// awaitGood waits until the metadata store answers this node, at most for the limit.
func (runner *Runner) awaitGood(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	runner.Log.Health.AwaitGood(ctx)
}

// acceptOnce returns a job that is accepted here or about to be, and begins to accept it if it is not; nil while this node stops.
func (runner *Runner) acceptOnce(definition *batchv1.Job, objective time.Duration) *job {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.stopping {
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

// objectiveOf returns the time in which the results of a job are due, by the route of its host and path; zero if there is none.
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

// tryAccept makes one try. settled says that the job is durable; held is nil when another node owns it or it has ended.
func (runner *Runner) tryAccept(ctx context.Context, owned *job) (held *batchlog.Hold, settled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, acceptCallLimit)
	defer cancel()
	held, err = runner.Log.Accept(ctx, owned.definition)
	if err != nil {
		runner.sweeps.leave()
		return nil, false, err
	}
	if held != nil {
		return held, true, nil
	}
	if err := runner.checkAccepted(ctx, owned.definition); err != nil {
		return nil, false, err
	}
	owner, _, err := runner.Log.Owner(ctx, owned.id())
	switch {
	case errors.Is(err, batchlog.ErrNotOwner):
		return nil, true, nil
	case err != nil:
		return nil, false, err
	case owner.GetNode() != runner.Node:
		runner.RememberOwner(owned.id(), owner.GetNode())
		return nil, true, nil
	}
	held, err = runner.Log.Claim(ctx, owned.id(), runner.Node, batchlog.AnyLife) // an earlier try was done although its answer was lost
	if err != nil {
		runner.sweeps.leave()
	}
	return held, err == nil, err
}

// settleAccept lets the job run here if this node owns it.
func (runner *Runner) settleAccept(owned *job, held *batchlog.Hold, started time.Time, tries int) {
	owned.mu.Lock()
	owned.held = held
	owned.elsewhere = held == nil
	owned.mu.Unlock()
	close(owned.accepted)
	runner.Metrics.Job("accepted")
	runner.Logger.Info("job accepted", "job", owned.id(), "step", owned.definition.GetStep(), "model", owned.definition.GetModel(),
		"tenant", owned.definition.GetTenant(), "minimum", owned.definition.GetMinimumVersion(), "items", len(owned.definition.GetItems()), "here", held != nil, "tries", tries,
		"took_ms", time.Since(started).Milliseconds())
	if held == nil {
		runner.remove(owned)
		return
	}
	go runner.flushLoop(owned)
	go runner.backUp(owned)
	runner.Peers.AnnounceJob(owned.definition)
	runner.Peers.AnnounceDemand(owned.definition)
	runner.begin(owned)
	owned.wakeFlush()
}

func (owned *job) wakeFlush() {
	select {
	case owned.flush <- struct{}{}:
	default:
	}
}

// begin puts the items of a job in line, once.
func (runner *Runner) begin(owned *job) {
	owned.mu.Lock()
	if owned.itemsQueued || owned.ending || owned.ctx.Err() != nil {
		owned.mu.Unlock()
		return
	}
	owned.itemsQueued = true
	owned.itemsQueuedAt = time.Now()
	var tasks []*task
	var whole []*task
	for _, item := range owned.definition.GetItems() {
		if owned.progress.Finished(item.GetId()) {
			continue
		}
		created := &task{job: owned, item: item}
		owned.tasks[item.GetId()] = created
		if kept := runner.kept.take(owned, item.GetId()); kept != nil && created.useKept(kept) {
			whole = append(whole, created)
			continue
		}
		tasks = append(tasks, created)
	}
	owned.markReturned()
	owned.mu.Unlock()
	runner.scheduler.add(tasks...)
	for _, done := range whole {
		owned.runs.Add(1)
		go func() {
			defer owned.runs.Done()
			runner.score(done)
		}()
	}
}

// markReturned ranks all items of a group first when one of them was brought back. It must be called with mu held.
func (owned *job) markReturned() {
	returned := make(map[string]bool)
	for _, created := range owned.tasks {
		if created.returned {
			returned[created.item.GetGroup()] = true
		}
	}
	for _, created := range owned.tasks {
		created.returned = returned[created.item.GetGroup()]
		if created.returned {
			owned.progress.Require(created.item.GetId())
		}
	}
}
