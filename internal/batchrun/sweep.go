package batchrun

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// uncertainSweepInterval is the time between two sweeps within uncertainSweepPeriod after a write with an unknown outcome. Such
	// a write may still take effect some seconds later.
	uncertainSweepInterval = 4 * time.Second
	uncertainSweepPeriod   = 12 * time.Second
	// regularSweepInterval is the time between two sweeps at other times. A node that has never had a job makes none, which keeps
	// idle nodes from loading the metadata store. Few nodes of a large fleet run jobs: 8 of 835.
	regularSweepInterval = 30 * time.Second
	sweepRetryDelay      = 240 * time.Millisecond
)

// sweepSchedule determines when this node looks for jobs that it owns according to the log but does not run.
type sweepSchedule struct {
	requests chan struct{} // holds a value while a sweep is requested

	mu          sync.Mutex
	uncertainAt time.Time // when this node last had a reason to expect a job that it does not run
	writeAt     time.Time // when a write with an unknown outcome was last given up
	// used is true if this node has had a job or may have had one.
	used bool
}

func newSweepSchedule() *sweepSchedule { return &sweepSchedule{requests: make(chan struct{}, 1)} }

// request makes a sweep due immediately.
func (sweeps *sweepSchedule) request() {
	sweeps.recordUse()
	select {
	case sweeps.requests <- struct{}{}:
	default:
	}
}

// recordUncertainWrite records that a write with an unknown outcome may have made this node the owner of a job that it does not
// run.
func (sweeps *sweepSchedule) recordUncertainWrite() {
	sweeps.mu.Lock()
	defer sweeps.mu.Unlock()
	now := time.Now()
	sweeps.uncertainAt, sweeps.writeAt, sweeps.used = now, now, true
}

// recordInquiry records that another node regards this node as the owner of a job that it does not run.
func (sweeps *sweepSchedule) recordInquiry() {
	sweeps.mu.Lock()
	defer sweeps.mu.Unlock()
	sweeps.uncertainAt, sweeps.used = time.Now(), true
}

// writesUncertain reports whether a write with an unknown outcome may still take effect.
func (sweeps *sweepSchedule) writesUncertain(now time.Time) bool {
	sweeps.mu.Lock()
	defer sweeps.mu.Unlock()
	return !sweeps.writeAt.IsZero() && now.Sub(sweeps.writeAt) < uncertainSweepPeriod
}

// recordUse records that this node has a job or may have one.
func (sweeps *sweepSchedule) recordUse() {
	sweeps.mu.Lock()
	defer sweeps.mu.Unlock()
	sweeps.used = true
}

// interval returns the time between two sweeps, or zero if none are needed.
func (sweeps *sweepSchedule) interval(now time.Time) time.Duration {
	sweeps.mu.Lock()
	defer sweeps.mu.Unlock()
	if !sweeps.used {
		return 0
	}
	if !sweeps.uncertainAt.IsZero() && now.Sub(sweeps.uncertainAt) < uncertainSweepPeriod {
		return uncertainSweepInterval
	}
	return regularSweepInterval
}

// sweepPollInterval is how often the schedule is checked, because the interval may have become shorter.
const sweepPollInterval = time.Second

// await waits until a sweep is due and reports whether it was requested.
func (sweeps *sweepSchedule) await(ctx context.Context) (requested bool) {
	last := time.Now()
	ticker := time.NewTicker(sweepPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-sweeps.requests:
			return true
		case now := <-ticker.C:
			if interval := sweeps.interval(now); interval > 0 && now.Sub(last) >= interval {
				return false
			}
		}
	}
}

// Sweep requests a search for jobs that an earlier process of this node owned.
func (runner *Runner) Sweep() { runner.sweeps.request() }

// sweep resumes jobs that this node owns according to the log but does not run. These are jobs of an earlier process and jobs
// whose acceptance took effect although its response was lost.
func (runner *Runner) sweep(ctx context.Context) {
	for {
		requested := runner.sweeps.await(ctx)
		if ctx.Err() != nil {
			return
		}
		err := runner.claimOwnJobs(ctx, !requested)
		switch {
		case err == nil:
			continue
		case errors.Is(err, errClaiming):
			runner.Logger.Info("own jobs being accepted", "asked", requested)
		default:
			runner.Logger.Warn("own jobs not listed", "asked", requested, "error", err)
			runner.Log.Health.RequestProbe()
		}
		wait.Pause(ctx, sweepRetryDelay)
		runner.Log.Health.AwaitGood(ctx) // calls to an unreachable store are charged as well
		runner.sweeps.request()
	}
}

// claimOwnJobs claims and resumes this node's jobs that do not run here, and drops those that run here and have another owner. A stale list may lag by some seconds and costs less. It returns
// errClaiming if an acceptance of such a job is under way, which may end without the job running here: another node then told that
// the job has an owner.
func (runner *Runner) claimOwnJobs(ctx context.Context, stale bool) error {
	ids, err := runner.owned(ctx, runner.Node, stale)
	if err != nil {
		return err
	}
	outcomes := make([]error, len(ids))
	var claims sync.WaitGroup
	for index, id := range ids {
		if runner.isStopping() || runner.runsOrEnded(id) {
			continue
		}
		claims.Go(func() {
			outcomes[index] = runner.takeOver(id, batchlog.Origin{Node: runner.Node}, nil)
			runner.Logger.Info("job taken up", "job", id, "error", outcomes[index])
		})
	}
	claims.Wait()
	runner.dropUnlisted(ctx, ids)
	if errors.Is(errors.Join(outcomes...), errClaiming) {
		return errClaiming
	}
	return nil // a claim with another error is repeated by the sweep after an uncertain write
}

// maxListLag is how old a job must be for its absence from a list, which may lag, to mean anything.
const maxListLag = 5 * time.Second

// dropUnlisted drops the jobs that run here and have another owner. A former owner without results to append learns of its successor in no other way
// if the successor's announcement is lost.
func (runner *Runner) dropUnlisted(ctx context.Context, listed []string) {
	for _, owned := range runner.openJobs() {
		if owned.isAccepted() && !slices.Contains(listed, owned.id()) && time.Since(owned.createdAt) >= maxListLag {
			runner.dropIfLost(ctx, owned)
		}
	}
}

// runsOrEnded reports whether a job runs at this node, or is cached here as ended.
func (runner *Runner) runsOrEnded(id string) bool {
	owned := runner.find(id)
	return owned != nil && owned.isAccepted() || runner.ended.has(id)
}
