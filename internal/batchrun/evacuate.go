package batchrun

import (
	"context"
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// evacuateAfter is how long this node must have been without the metadata store before its jobs are evacuated. A shorter
	// loss may be a few lost answers.
	evacuateAfter    = 800 * time.Millisecond
	evacuateInterval = 250 * time.Millisecond
	// servedProbeTimeout bounds the probe of the metadata store that a node makes to answer Served, servedCallTimeout the Served
	// call to another node.
	servedProbeTimeout = 300 * time.Millisecond
	servedCallTimeout  = 500 * time.Millisecond
	// maxEvacuateTargets bounds the nodes that a job is offered to, each of which may take handOverTimeout to answer.
	maxEvacuateTargets = 3
)

// evacuate hands the jobs of this node over to a node that reaches the metadata store while this node does not: here their
// results could not be listed, and no job could be ended. During an outage for all nodes the jobs stay where they run.
func (runner *Runner) evacuate(ctx context.Context) {
	ticker := time.NewTicker(evacuateInterval)
	defer ticker.Stop()
	for {
		runner.awaitJob(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if runner.Log.Health.LostFor() < evacuateAfter || runner.OpenJobs() == 0 || runner.isStopping() {
			continue
		}
		names := runner.peersReachingStore(ctx)
		if len(names) == 0 {
			continue
		}
		for _, owned := range runner.openJobs() {
			if owned.isAccepted() {
				taken := runner.handOver(ctx, owned, names)
				runner.Logger.Warn("job evacuated", "job", owned.id(), "to", names, "taken", taken, "lost_ms", runner.Log.Health.LostFor().Milliseconds())
				if !taken { // this node owns the job still, and no longer runs it
					runner.Sweep()
				}
			}
		}
	}
}

// peersReachingStore returns the candidates that reach the metadata store, in order of preference. It returns more than one,
// because a node may begin to stop before it takes a job. With the first alone to choose from, a job once waited 2.7 s until its
// owner reached the store again.
func (runner *Runner) peersReachingStore(ctx context.Context) []string {
	names := runner.Peers.Candidates()
	served := make([]bool, len(names))
	var calls sync.WaitGroup
	for index, name := range names {
		calls.Go(func() {
			served[index] = runner.callPeer(ctx, name, servedCallTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
				response, err := client.Served(ctx, &batchv1.ServedRequest{})
				return response.GetServed(), err
			})
		})
	}
	calls.Wait()
	var answered []string
	for index, name := range names {
		if served[index] {
			answered = append(answered, name)
		}
	}
	return answered[:min(len(answered), maxEvacuateTargets)]
}
