package batchrun

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// formerTextsTimeout bounds the calls for the texts of earlier jobs, for which the items of a new job wait.
	formerTextsTimeout = 150 * time.Millisecond
	// maxAnnouncedJobs bounds the announced jobs that are remembered and asked for.
	maxAnnouncedJobs = 8
)

// announcedJob is a job that another node announced.
type announcedJob struct {
	id, node string
	at       time.Time
}

// formerJobs tracks which jobs may have been the earlier ones of a trainer: those that ended here, by model, and those that other nodes announced,
// each within keptTTL. It is safe for concurrent use.
type formerJobs struct {
	mu        sync.Mutex
	announced []announcedJob       // oldest first
	ended     map[string]time.Time // when a job of a model last ended here
}

func newFormerJobs() *formerJobs { return &formerJobs{ended: make(map[string]time.Time)} }

// recordAnnounced records the announcement of a job by another node.
func (former *formerJobs) recordAnnounced(id, node string, now time.Time) {
	former.mu.Lock()
	defer former.mu.Unlock()
	former.announced = slices.DeleteFunc(former.announced, func(job announcedJob) bool { return job.id == id || now.Sub(job.at) > keptTTL })
	former.announced = append(former.announced, announcedJob{id, node, now})
	former.announced = former.announced[max(0, len(former.announced)-maxAnnouncedJobs):]
}

// recordEnded records the end of a job at this node, which keeps the texts of its unfinished items.
func (former *formerJobs) recordEnded(model string, now time.Time) {
	former.mu.Lock()
	defer former.mu.Unlock()
	maps.DeleteFunc(former.ended, func(_ string, at time.Time) bool { return now.Sub(at) > keptTTL })
	former.ended[model] = now
}

// elsewhere returns the jobs of other nodes that may have been the earlier ones of a model's trainer. There are none if the last one ended here.
func (former *formerJobs) elsewhere(model string, now time.Time) []announcedJob {
	former.mu.Lock()
	defer former.mu.Unlock()
	if at, known := former.ended[model]; known && now.Sub(at) <= keptTTL {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(former.announced), func(job announcedJob) bool { return now.Sub(job.at) > keptTTL })
}

// JobAnnounced records that another node has announced that it runs a job. If the job runs here too, one of the two is a former owner.
func (runner *Runner) JobAnnounced(id, node string) {
	runner.former.recordAnnounced(id, node, time.Now())
	runner.RememberOwner(id, node)
	if owned := runner.find(id); owned != nil && owned.isAccepted() && node != runner.Node {
		go runner.dropIfLost(runner.ctx, owned)
	}
}

// fetchFormerTexts gets the texts that other nodes keep of the unfinished items of earlier jobs. A trainer may bring such items back in any job; the
// texts also tell the owner which groups it brings back.
func (runner *Runner) fetchFormerTexts(ctx context.Context, owned *job) {
	jobs := runner.former.elsewhere(owned.definition.GetModel(), time.Now())
	ctx, cancel := context.WithTimeout(ctx, formerTextsTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, former := range jobs {
		if former.id == owned.id() || former.node == runner.Node || !runner.isOfTenant(former.id, owned.definition.GetTenant()) {
			continue
		}
		calls.Go(func() { runner.fetchTextsOf(ctx, former, owned) })
	}
	calls.Wait()
}

// isOfTenant reports whether an announced job belongs to a tenant, as far as this node knows.
func (runner *Runner) isOfTenant(id, tenant string) bool {
	of, known := runner.knownTenant(id)
	if !known {
		return !runner.multitenant()
	}
	return of == tenant
}

// fetchTextsOf keeps the texts that a node has of an earlier job and that are of items of this job.
func (runner *Runner) fetchTextsOf(ctx context.Context, former announcedJob, owned *job) {
	client := runner.Peers.Client(former.node)
	if client == nil {
		return
	}
	started := time.Now()
	response, err := client.Kept(ctx, &batchv1.KeptRequest{JobId: former.id})
	used := 0
	for _, partial := range response.GetPartials() {
		if owned.items[partial.GetItemId()] == nil {
			continue
		}
		used++
		runner.kept.put(partial.GetItemId(), newKeptText(former.id, owned.definition.GetTenant(), partial, started))
	}
	runner.Logger.Info("texts of an earlier job fetched", "job", owned.id(), "earlier", former.id, "from", former.node, "count", used, "took_ms", time.Since(started).Milliseconds(), "error", err)
}
