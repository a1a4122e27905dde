package batchrun

import (
	"context"
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// evacuateAfter is how long the metadata store must have been lost before this node's jobs are given away: some of its answers
	// may be lost while it answers others.
	evacuateAfter = 800 * time.Millisecond
	evacuateCheck = 250 * time.Millisecond
	// servedLimit bounds the question whether the metadata store answers another node, servedCall the call that puts it.
	servedLimit = 300 * time.Millisecond
	servedCall  = 500 * time.Millisecond
	// evacuateTries bounds the nodes that a job is offered to: each may take handOverLimit to say nothing.
	evacuateTries = 3
)

// evacuate gives the jobs of this node to another one when the metadata store answers that one and not this: here no result could be
// listed and no job ended until it does again. When it answers nobody, they stay where they run.
func (runner *Runner) evacuate(ctx context.Context) {
	ticker := time.NewTicker(evacuateCheck)
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
		names := runner.servedPeers(ctx)
		if len(names) == 0 {
			continue
		}
		for _, owned := range runner.openJobs() {
			if owned.isAccepted() {
				taken := runner.handOver(ctx, owned, names)
				runner.Logger.Warn("job evacuated", "job", owned.id(), "to", names, "taken", taken, "lost_ms", runner.Log.Health.LostFor().Milliseconds())
			}
		}
	}
}

// servedPeers returns those of the candidates that the metadata store answers, the best first. All are asked at once. One may stop before it takes a
// job: with the first alone to choose from, a job waited 2.7 s until the store answered its owner again (a third of the nodes refused while all were upgraded).
func (runner *Runner) servedPeers(ctx context.Context) []string {
	names := runner.Peers.Candidates()
	served := make([]bool, len(names))
	var calls sync.WaitGroup
	for index, name := range names {
		calls.Go(func() {
			served[index] = runner.callPeer(ctx, name, servedCall, func(ctx context.Context, client batchv1.Batches) (bool, error) {
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
	return answered[:min(len(answered), evacuateTries)]
}
