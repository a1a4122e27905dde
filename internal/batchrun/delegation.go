package batchrun

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// takeWaitLimit bounds how long Take waits for the acceptance of the job before it answers that the job is not accepted yet.
	// The wait makes the acceptance known at once instead of with the next call, when the caller may have given up. An
	// unresponsive node delays the delegating node by as much.
	takeWaitLimit = 400 * time.Millisecond
	// takeRetryPause is the pause between two Take calls for a job.
	takeRetryPause = 30 * time.Millisecond
	// maxTakeFailures is the number of consecutive failed calls after which this node no longer relies on its delegate. A
	// single call may fail because its connection was just closed.
	maxTakeFailures = 2
)

// delegation is the state of an unaccepted job that this node leaves to another node.
type delegation struct {
	// delegated is true while the other node runs the items and tries to accept the job; acceptedElsewhere is true once another
	// node has accepted the job.
	delegated, acceptedElsewhere atomic.Bool
	// local is true if another node delegated the job to this one or has asked this one to accept it. This node then does not
	// delegate the job: nodes whose views of the membership differ would delegate it to each other.
	local atomic.Bool
	// target is the name of the other node, failures the number of consecutive failed calls to it; usesAlternate is true if it
	// replaces the preferred node. Only the goroutine that makes the calls uses them.
	target        string
	failures      int
	usesAlternate bool
	// announced receives a value when another node announces that it has accepted the job.
	announced chan struct{}
}

// notifyAnnounced signals that another node has announced the job as accepted.
func (delegation *delegation) notifyAnnounced() {
	select {
	case delegation.announced <- struct{}{}:
	default:
	}
}

// watchAnnouncements stops the acceptance of a job here as soon as another node that announced the job confirms that it has
// accepted it. It does not wait for the next try, because the caller may be close to its deadline.
func (runner *Runner) watchAnnouncements(ctx context.Context, settled context.CancelFunc, owned *job) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-owned.delegation.announced:
		}
		if runner.knownElsewhere(ctx, owned.id()) {
			owned.delegation.acceptedElsewhere.Store(true)
			settled()
			return
		}
	}
}

// reclaim ends the delegation and keeps this node from delegating the job again. It is called when the delegate cannot get the
// job accepted and asks this node to accept it.
func (delegation *delegation) reclaim() {
	delegation.local.Store(true)
	delegation.delegated.Store(false)
}

// delegateJob asks the preferred node of the model, or the alternate if the preferred one fails, to run a job whose acceptance
// takes long, and reports whether the job is delegated. During an outage of the metadata store a caller tries several nodes. Without
// delegation each of them would run all items, and the first one to reach the store again would own the job, however little of it
// that node had run.
func (runner *Runner) delegateJob(owned *job) bool {
	delegation := &owned.delegation
	if delegation.local.Load() {
		return false
	}
	if delegation.target == "" {
		delegation.target = runner.Peers.Preferred(owned.definition.GetModel())
	}
	if !runner.mayDelegate(owned) {
		return false
	}
	if runner.callTake(owned, delegation.target) {
		delegation.failures = 0
		return true
	}
	delegation.failures++
	if delegation.delegated.Load() && delegation.failures < maxTakeFailures {
		return true
	}
	if delegation.usesAlternate {
		return false
	}
	delegation.target, delegation.usesAlternate, delegation.failures = runner.Peers.Alternate(owned.definition.GetModel()), true, 0
	return runner.mayDelegate(owned) && runner.callTake(owned, delegation.target)
}

// mayDelegate reports whether the job has a delegate other than this node.
func (runner *Runner) mayDelegate(owned *job) bool {
	return owned.delegation.target != "" && owned.delegation.target != runner.Node
}

// callTake asks a node to run a job, or whether it has accepted the job by now. It reports whether the node answered and this
// node has not been asked to run the job itself.
func (runner *Runner) callTake(owned *job, name string) bool {
	accepted := false
	wait := time.Duration(0)
	if owned.delegation.delegated.Load() {
		wait = takeWaitLimit
	}
	reached := runner.callPeer(owned.ctx, name, wait+preferredTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		response, err := client.Take(ctx, &batchv1.TakeRequest{Job: owned.definition, WaitMs: wait.Milliseconds()})
		accepted = response.GetAccepted()
		return err == nil, err
	})
	if !reached || owned.delegation.local.Load() {
		return false
	}
	if accepted {
		runner.RememberOwner(owned.id(), name)
		owned.delegation.acceptedElsewhere.Store(true)
	}
	if !owned.delegation.delegated.Swap(true) {
		runner.Logger.Info("job delegated", "job", owned.id(), "to", name, "accepted", accepted)
	}
	return true
}

// beginEarly begins the items of a job whose acceptance takes long, unless the job is delegated or this node is isolated:
// another node may have accepted the job by then, and items that run twice compete for replica slots.
func (runner *Runner) beginEarly(owned *job) {
	for wait := earlyStartDelay; ; wait = takeRetryPause {
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
		if runner.Peers.Isolated() || runner.delegateJob(owned) {
			continue
		}
		if owned.delegation.delegated.Swap(false) {
			runner.Logger.Warn("job delegation ended", "job", owned.id())
		}
		runner.startItems(owned)
		return
	}
}

// Take runs a job for a node that cannot get it accepted in time, and reports whether the job is accepted by now.
func (service Service) Take(ctx context.Context, request *batchv1.TakeRequest) (*batchv1.TakeResponse, error) {
	runner := service.Runner
	id := request.GetJob().GetId()
	if runner.ended.has(id) || runner.knownElsewhere(ctx, id) {
		return &batchv1.TakeResponse{Accepted: true}, nil
	}
	if runner.isPartitioned() {
		return nil, twirp.NewError(twirp.Unavailable, errNotServed.Error())
	}
	owned := runner.acceptOnce(ctx, request.GetJob(), runner.objectiveOf(request.GetJob()))
	if owned == nil {
		return nil, twirp.NewError(twirp.Unavailable, ErrStopping.Error())
	}
	select {
	case <-owned.accepted:
		return &batchv1.TakeResponse{Accepted: true}, nil
	default:
	}
	if owned.delegation.delegated.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "the job is delegated to another node")
	}
	owned.delegation.local.Store(true)
	timer := time.NewTimer(min(time.Duration(request.GetWaitMs())*time.Millisecond, takeWaitLimit))
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
