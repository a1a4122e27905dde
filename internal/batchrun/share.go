package batchrun

import (
	"context"
	"maps"
	"time"
)

const (
	shareInterval = 120 * time.Millisecond
	// demandRounds is the number of rounds after which the demands of open jobs are announced again.
	demandRounds = 8
)

// announceDemands announces the demand of each open job, that is, which model versions it accepts.
func (runner *Runner) announceDemands() {
	for _, owned := range runner.openJobs() {
		runner.Peers.AnnounceDemand(owned.definition)
	}
}

// shareLoads periodically sends this node's requests in flight to the other nodes that run jobs. It sends once more when there
// are none left, so that no stale counts remain.
func (runner *Runner) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	shared := false
	for round := 0; ; round++ {
		if !shared {
			runner.awaitJob(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if round%demandRounds == 0 {
			runner.announceDemands()
		}
		inFlight := runner.enginesInFlight()
		shared = len(inFlight) > 0
		runner.Peers.ShareLoads(inFlight)
	}
}

// enginesInFlight returns this node's requests in flight at replicas that serve models.
func (runner *Runner) enginesInFlight() map[string]int {
	counts := runner.Loads.LocalInFlight()
	replicas := runner.Catalog.Replicas()
	maps.DeleteFunc(counts, func(id string, _ int) bool {
		replica := replicas.Find(id)
		return replica == nil || len(replica.Models) == 0
	})
	return counts
}
