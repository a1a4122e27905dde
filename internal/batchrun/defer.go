package batchrun

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// takeWait is how long the node that has a job waits for its acceptance before it answers that there is none yet: callers ask their node
	// for a second, and may give up in the moment in which the job is accepted. A node without power holds a call up for as long.
	takeWait = 400 * time.Millisecond
	// takeAgain is the pause between two such calls.
	takeAgain = 30 * time.Millisecond
	// takeFailures is how many calls in a row fail before the job is run here: one call may meet a connection that has just been closed.
	takeFailures = 2
)

// deferral is what another node does about a job that is not accepted yet.
type deferral struct {
	// taken says that the other node runs the items and has the job accepted, done that it was.
	taken, done atomic.Bool
	// mine says that another node has left the job to this one, which leaves it to nobody then: two nodes whose views of the fleet differ
	// would leave it to each other.
	mine atomic.Bool
	// to is the name of the other node, failures the calls to it in a row that failed, second whether it takes the place of another. They
	// belong to the goroutine that makes the calls.
	to       string
	failures int
	second   bool
	// heard holds a value when a node has announced that it has accepted the job.
	heard chan struct{}
}

// hear notes the announcement of a node that has accepted the job.
func (deferral *deferral) hear() {
	select {
	case deferral.heard <- struct{}{}:
	default:
	}
}

// heed ends a job's acceptance here once another node confirms that it has accepted it: the caller may be about to give up.
func (runner *Runner) heed(ctx context.Context, settled context.CancelFunc, owned *job) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-owned.deferral.heard:
		}
		if runner.knownElsewhere(ctx, owned.id()) {
			owned.deferral.done.Store(true)
			settled()
			return
		}
	}
}

// takeBack has this node see to the job itself: the node that it was left to can't have it accepted, and has asked this one to.
func (deferral *deferral) takeBack() {
	deferral.mine.Store(true)
	deferral.taken.Store(false)
}

// deferJob has the node that runs the model's jobs in this zone, or the one that does so without it, run a job whose acceptance takes long,
// and reports whether that node can be relied upon. In an outage of the metadata store a caller tries one node after the other: each would
// run all items otherwise, and the first to be served by the store would own the job, whichever has run most of it.
func (runner *Runner) deferJob(owned *job) bool {
	deferral := &owned.deferral
	if deferral.mine.Load() {
		return false
	}
	if deferral.to == "" {
		deferral.to = runner.Peers.Preferred(owned.definition.GetModel())
	}
	if !runner.mayDefer(owned) {
		return false
	}
	if runner.callTake(owned, deferral.to) {
		deferral.failures = 0
		return true
	}
	deferral.failures++
	if deferral.taken.Load() && deferral.failures < takeFailures {
		return true
	}
	if deferral.second {
		return false
	}
	deferral.to, deferral.second, deferral.failures = runner.Peers.Alternate(owned.definition.GetModel()), true, 0
	return runner.mayDefer(owned) && runner.callTake(owned, deferral.to)
}

// mayDefer reports whether there is another node to leave the job to.
func (runner *Runner) mayDefer(owned *job) bool {
	return owned.deferral.to != "" && owned.deferral.to != runner.Node
}

// callTake asks a node to run a job, or whether it has been accepted there by now, and reports whether it was reached and does.
func (runner *Runner) callTake(owned *job, name string) bool {
	accepted := false
	wait := time.Duration(0)
	if owned.deferral.taken.Load() {
		wait = takeWait
	}
	reached := runner.callPeer(owned.ctx, name, wait+preferredTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		response, err := client.Take(ctx, &batchv1.TakeRequest{Job: owned.definition, WaitMs: wait.Milliseconds()})
		accepted = response.GetAccepted()
		return err == nil, err
	})
	if !reached || owned.deferral.mine.Load() {
		return false
	}
	if accepted {
		runner.RememberOwner(owned.id(), name)
		owned.deferral.done.Store(true)
	}
	if !owned.deferral.taken.Swap(true) {
		runner.Logger.Info("job deferred", "job", owned.id(), "to", name, "accepted", accepted)
	}
	return true
}

// beginEarly begins the items of a job whose acceptance takes long, unless the preferred node does, or this node is cut off: another may
// have accepted the job by now, and items that run twice take the replicas' slots from each other.
func (runner *Runner) beginEarly(owned *job) {
	for wait := earlyStartDelay; ; wait = takeAgain {
		timer := time.NewTimer(wait)
		select {
		case <-owned.accepted:
			timer.Stop()
			return
		case <-owned.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if runner.Peers.Isolated() || runner.deferJob(owned) {
			continue
		}
		if owned.deferral.taken.Swap(false) {
			runner.Logger.Warn("job no longer deferred", "job", owned.id())
		}
		runner.startItems(owned)
		return
	}
}

// Take runs a job for a node whose acceptance takes long, and tells whether it is accepted by now.
func (service Service) Take(ctx context.Context, request *batchv1.TakeRequest) (*batchv1.TakeResponse, error) {
	runner := service.Runner
	id := request.GetJob().GetId()
	if runner.ended.has(id) || runner.knownElsewhere(ctx, id) {
		return &batchv1.TakeResponse{Accepted: true}, nil
	}
	if runner.isPartitioned() {
		return nil, twirp.NewError(twirp.Unavailable, errNotServed.Error())
	}
	owned := runner.acceptOnce(request.GetJob(), runner.objectiveOf(request.GetJob()))
	if owned == nil {
		return nil, twirp.NewError(twirp.Unavailable, ErrStopping.Error())
	}
	select {
	case <-owned.accepted:
		return &batchv1.TakeResponse{Accepted: true}, nil
	default:
	}
	if owned.deferral.taken.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "another node has been left the job")
	}
	owned.deferral.mine.Store(true)
	timer := time.NewTimer(min(time.Duration(request.GetWaitMs())*time.Millisecond, takeWait))
	defer timer.Stop()
	select {
	case <-owned.accepted:
		return &batchv1.TakeResponse{Accepted: true}, nil
	case <-timer.C:
	case <-owned.ctx.Done():
	case <-ctx.Done():
	}
	return &batchv1.TakeResponse{}, nil
}
