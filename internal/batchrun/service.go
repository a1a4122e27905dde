package batchrun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

// Service serves the calls of other nodes. It implements batchv1.Batches.
type Service struct{ Runner *Runner }

// Submit accepts a job on behalf of another node.
func (service Service) Submit(ctx context.Context, request *batchv1.SubmitRequest) (*batchv1.SubmitResponse, error) {
	runner := service.Runner
	if runner.isStopping() {
		return nil, twirp.NewError(twirp.Unavailable, ErrStopping.Error())
	}
	if !runner.Log.Health.Good() {
		return nil, twirp.NewError(twirp.Unavailable, errNotServed.Error())
	}
	definition := request.GetJob()
	started := time.Now()
	for _, partial := range request.GetPartials() {
		runner.kept.put(partial.GetItemId(), newKeptText(definition.GetId(), definition.GetTenant(), partial, started))
	}
	if err := runner.checkTenant(definition); err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.AlreadyExists, "not accepted"), err)
	}
	owned := newJob(runner.ctx, definition, runner.objectiveOf(definition))
	other, err := runner.addUnlessKnown(ctx, owned)
	if err != nil {
		owned.cancel()
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "not accepted"), err)
	}
	if other != nil {
		owned.cancel()
		if !batch.MayUse(definition.GetTenant(), other.definition.GetTenant()) {
			return nil, twirp.WrapError(twirp.NewError(twirp.AlreadyExists, "not accepted"), errOtherTenant)
		}
		other.delegation.reclaim()
		return other.awaitAccepted(ctx)
	}
	accepted, err := runner.tryAccept(owned.ctx, owned)
	if err != nil {
		runner.remove(owned)
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "not accepted"), err)
	}
	runner.finishAccept(owned, accepted, started, 1)
	return &batchv1.SubmitResponse{}, nil
}

// addUnlessKnown adds a job, or returns the job with the same identifier that this node has accepted or is accepting. Two
// concurrent acceptances at one node would claim the job from each other. A claim of the job that is under way comes first. An error
// means that nothing was added.
func (runner *Runner) addUnlessKnown(ctx context.Context, owned *job) (known *job, err error) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.awaitClaim(ctx, owned.id())
	switch {
	case runner.stopping:
		return nil, ErrStopping
	case runner.claiming[owned.id()] != nil:
		return nil, errClaiming
	}
	if known = runner.jobs[owned.id()]; known == nil {
		runner.put(owned)
	}
	return known, nil
}

// awaitAccepted responds once the job is accepted.
func (owned *job) awaitAccepted(ctx context.Context) (*batchv1.SubmitResponse, error) {
	select {
	case <-owned.accepted:
		return &batchv1.SubmitResponse{}, nil
	case <-owned.ctx.Done():
	case <-ctx.Done():
	}
	return nil, twirp.NewError(twirp.Unavailable, "not accepted")
}

// Read returns results of a job that this node owns.
func (service Service) Read(ctx context.Context, request *batchv1.ReadRequest) (*batchv1.ReadResponse, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxReadWait)
	limit := pageLimit
	if request.GetMaxBytes() > 0 {
		limit = min(limit, int(request.GetMaxBytes()))
	}
	page, ok := service.Runner.readLocal(ctx, request.GetJobId(), int(request.GetFrom()), wait, limit)
	if !ok && service.Runner.find(request.GetJobId()) == nil {
		service.Runner.sweeps.recordInquiry() // the caller regards this node as the owner, which the log may confirm
	}
	return &batchv1.ReadResponse{Owned: ok, Total: int64(page.Total), Results: page.Results}, nil
}

// ReadBody returns the body of an item of a job that this node owns.
func (service Service) ReadBody(_ context.Context, request *batchv1.ReadBodyRequest) (*batchv1.ReadBodyResponse, error) {
	if service.Runner.ended.has(request.GetJobId()) {
		return &batchv1.ReadBodyResponse{Owned: true}, nil
	}
	owned := service.Runner.find(request.GetJobId())
	if owned == nil || !owned.isAccepted() {
		return &batchv1.ReadBodyResponse{}, nil
	}
	body, err := owned.body(request.GetItemId())
	return &batchv1.ReadBodyResponse{Owned: true, Found: err == nil, Body: body}, nil
}

// End ends a job that this node owns.
func (service Service) End(ctx context.Context, request *batchv1.EndRequest) (*batchv1.EndResponse, error) {
	if service.Runner.ended.has(request.GetJobId()) {
		return &batchv1.EndResponse{Owned: true}, nil
	}
	owned := service.Runner.find(request.GetJobId())
	if owned == nil || !owned.isAccepted() {
		return &batchv1.EndResponse{}, nil
	}
	if err := service.Runner.endLocally(ctx, owned); err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the end is not durable yet"), err)
	}
	return &batchv1.EndResponse{Owned: true}, nil
}

// Keep stores texts as a backup for the owner of a job.
func (service Service) Keep(_ context.Context, request *batchv1.KeepRequest) (*batchv1.KeepResponse, error) {
	service.Runner.kept.putForJob(request.GetJobId(), request.GetTenant(), request.GetPartials())
	return &batchv1.KeepResponse{}, nil
}

// Kept returns the texts that are stored here for a job.
func (service Service) Kept(_ context.Context, request *batchv1.KeptRequest) (*batchv1.KeptResponse, error) {
	return &batchv1.KeptResponse{Partials: service.Runner.kept.forJob(request.GetJobId())}, nil
}

// TakeOver takes over a job from a node that is stopping or cannot reach the metadata store.
func (service Service) TakeOver(_ context.Context, request *batchv1.TakeOverRequest) (*batchv1.TakeOverResponse, error) {
	if service.Runner.isStopping() {
		return nil, twirp.NewError(twirp.Unavailable, ErrStopping.Error())
	}
	if !service.Runner.Log.Health.Good() {
		return nil, twirp.NewError(twirp.Unavailable, errNotServed.Error())
	}
	err := service.Runner.takeOver(request.GetJobId(), batchlog.Origin{Node: request.GetFrom(), Incarnation: request.GetLife()}, request.GetPartials())
	service.Runner.Logger.Info("job taken over", "job", request.GetJobId(), "partials", len(request.GetPartials()), "error", err)
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "not taken over"), errors.Cause(err))
	}
	return &batchv1.TakeOverResponse{}, nil
}

// Served reports whether this node can reach the metadata store.
func (service Service) Served(ctx context.Context, _ *batchv1.ServedRequest) (*batchv1.ServedResponse, error) {
	runner := service.Runner
	if runner.isStopping() || !runner.Log.Health.Good() {
		return &batchv1.ServedResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, servedProbeTimeout)
	defer cancel()
	return &batchv1.ServedResponse{Served: runner.Log.Store.Probe(ctx) == nil}, nil
}
