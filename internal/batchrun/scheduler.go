package batchrun

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

// task is an unfinished item. The scheduler owns its fields while it waits, its attempt while it runs.
type task struct {
	job  *job
	item *batchv1.Item
	// service is the service of the route that runs the item, chosen at random and again after a configuration change.
	service              string
	configurationVersion int64
	// resubmitted is true if an earlier job had the item. The trainer then waits for the item's group.
	resubmitted bool
	text        []byte
	lastEvent   int64
	versions    []int64
	failures    int // responses with status 500
	rejected    int // responses with status 422
	// avoid is the replica of the previous attempt, which is not used again before avoidUntil.
	avoid       string
	avoidUntil  time.Time
	notBefore   time.Time
	moves       int
	latestStart time.Time // latest start that completes the item by the job's due time; set while it waits
	nextBackup  int64     // event from which on the text is backed up again
	nextSave    int64     // event from which on the text is saved again
	// idleSince is when the item was first queued or when its last attempt ended that counts as a run; idleReportAfter is the idle
	// time from which on it is logged.
	idleSince       time.Time
	idleReportAfter time.Duration
	attempts        int
	lastOutcome     outcome // of the last attempt, if there was one
	// current is where the item is; nil before it is queued. It is read without the scheduler's mu.
	current atomic.Pointer[stageEntry]
}

// estimate returns the expected number of tokens of the item.
func (waiting *task) estimate() int64 {
	return batch.ExpectedTokens(waiting.item)
}

// restart discards the text, so that the next attempt starts from the prompt.
func (waiting *task) restart() {
	waiting.text, waiting.lastEvent, waiting.versions, waiting.nextBackup, waiting.nextSave = nil, 0, nil, 0, 0
}

// scheduler assigns waiting items to replicas with free slots.
type scheduler struct {
	runner *Runner
	wake   chan struct{}

	mu      sync.Mutex
	waiting []*task
	// groupReplica is the replica that ran the last item of a group and probably has the group's prompt in its prefix cache.
	groupReplica map[string]string
	refusals     map[string]*refusal // replicas that refused work and have accepted none since
	failures     map[string]int      // consecutive responses with status 500, by replica
	suitable     *suitability
	latencies    *latencyTable
	lengths      lengthTable
	running      map[*attempt]struct{}
	// moveCandidates are the attempts for which a move may gain the most, as of candidatesFoundAt.
	moveCandidates    []*attempt
	candidatesFoundAt time.Time
	// departures are the times at which replicas that announced their end will have gone.
	departures map[string]time.Time
	// idleLines and serviceLines bound the lines about items that wait, and that change their service.
	idleLines, serviceLines logging.LineLimit
}

const (
	idleTick       = 250 * time.Millisecond
	busyTick       = 80 * time.Millisecond
	refusalBackoff = 120 * time.Millisecond
)

func newScheduler(runner *Runner) *scheduler {
	return &scheduler{
		runner: runner, wake: make(chan struct{}, 1), groupReplica: make(map[string]string), refusals: make(map[string]*refusal), failures: make(map[string]int),
		suitable: newSuitability(runner), latencies: newLatencyTable(), running: make(map[*attempt]struct{}), departures: make(map[string]time.Time),
	}
}

// run dispatches items when they are added, when the catalog changes and periodically while items wait or run.
func (scheduler *scheduler) run(ctx context.Context) {
	for {
		changed := scheduler.runner.Catalog.Changed()
		tick := idleTick
		if scheduler.dispatch() > 0 {
			tick = busyTick
		}
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-scheduler.wake:
		case <-changed:
		case <-timer.C:
			if tick == idleTick {
				scheduler.waitForWork(ctx)
			}
		}
		timer.Stop()
	}
}

// waitForWork blocks until an item is added, so that an idle node uses no processor time.
func (scheduler *scheduler) waitForWork(ctx context.Context) {
	scheduler.mu.Lock()
	empty := len(scheduler.waiting) == 0 && len(scheduler.running) == 0
	scheduler.mu.Unlock()
	if !empty {
		return
	}
	select {
	case <-ctx.Done():
	case <-scheduler.wake:
	}
}

func (scheduler *scheduler) wakeUp() {
	select {
	case scheduler.wake <- struct{}{}:
	default:
	}
}

// add queues items in the order of their latest start times.
func (scheduler *scheduler) add(tasks ...*task) {
	now := time.Now()
	scheduler.mu.Lock()
	for _, added := range tasks {
		if added.job.ctx.Err() != nil {
			scheduler.runner.keep(added, false)
			continue
		}
		scheduler.rank(added, now)
		if added.idleSince.IsZero() {
			added.setIdle(now)
		}
		added.enter(stageWaiting, now)
		scheduler.waiting = append(scheduler.waiting, added)
	}
	slices.SortStableFunc(scheduler.waiting, compareTasks)
	scheduler.mu.Unlock()
	scheduler.wakeUp()
}

func compareTasks(a, b *task) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(b.estimate(), a.estimate()))
}

// drop removes a job's items from the queue and keeps their texts.
func (scheduler *scheduler) drop(owned *job) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.waiting = slices.DeleteFunc(scheduler.waiting, func(waiting *task) bool {
		if waiting.job == owned {
			scheduler.runner.keep(waiting, false)
		}
		return waiting.job == owned
	})
	for _, item := range owned.definition.GetItems() {
		delete(scheduler.groupReplica, item.GetGroup())
	}
}

// dropListed removes the items that started early and that the record of the job lists, from the queue and from their replicas.
func (scheduler *scheduler) dropListed(owned *job) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.waiting = slices.DeleteFunc(scheduler.waiting, func(waiting *task) bool {
		return waiting.job == owned && owned.isFinished(waiting.item.GetId())
	})
	for started := range scheduler.running {
		if started.task.job == owned && started.cancel != nil && owned.isFinished(started.task.item.GetId()) {
			started.cancel(errListed)
		}
	}
}

// dispatch starts every item for which a replica has a free slot and returns the number of items that still wait.
func (scheduler *scheduler) dispatch() int {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	now := time.Now()
	configuration := scheduler.runner.Catalog.Configuration()
	if configuration == nil {
		return len(scheduler.waiting)
	}
	capacity := newCapacity(scheduler, now)
	scheduler.planMoves(capacity)
	left := scheduler.waiting[:0]
	for _, waiting := range scheduler.waiting {
		if now.Before(waiting.notBefore) || !scheduler.place(waiting, configuration, capacity) {
			left = append(left, waiting)
			scheduler.reportIdle(waiting, configuration, capacity)
		}
	}
	clear(scheduler.waiting[len(left):])
	scheduler.waiting = left
	return len(left)
}

// place starts an item if a replica has a free slot for it. It must be called with mu held.
func (scheduler *scheduler) place(waiting *task, configuration *catalog.Configuration, capacity *capacity) bool {
	route := configuration.FindRoute(waiting.job.definition.GetHost(), waiting.item.GetPath())
	if route == nil {
		return false
	}
	if waiting.service == "" || waiting.configurationVersion != configuration.Version || len(route.Targets) > 1 {
		waiting.configurationVersion = configuration.Version
		scheduler.setService(waiting, route, capacity)
	}
	replica := capacity.pick(waiting)
	if replica == nil {
		return false
	}
	capacity.reserve(replica.ID)
	scheduler.beginProbe(replica.ID)
	scheduler.groupReplica[waiting.item.GetGroup()] = replica.ID
	scheduler.runner.Loads.Begin(replica.ID, time.Now())
	waiting.job.runs.Add(1)
	go scheduler.runner.runItem(waiting, replica, route)
	return true
}

// refusal is the backoff state of a replica that refused work. After the backoff the replica gets a single item as a probe until
// it accepts one.
type refusal struct {
	// since is when the replica first refused work after it had accepted some.
	since   time.Time
	until   time.Time
	probing bool
}

// recordRefusal starts the backoff of a replica that refused an item.
func (scheduler *scheduler) recordRefusal(replica string, now time.Time) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.setRefusal(replica, now, refusalBackoff)
}

// setRefusal must be called with mu held.
func (scheduler *scheduler) setRefusal(replica string, now time.Time, backoff time.Duration) {
	since := now
	if last := scheduler.refusals[replica]; last != nil {
		since = last.since
	}
	scheduler.refusals[replica] = &refusal{since: since, until: now.Add(backoff)}
}

// clearRefusal ends the backoff of a replica that accepted an item or whose attempt failed for another reason.
func (scheduler *scheduler) clearRefusal(replica string) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	delete(scheduler.refusals, replica)
}

// mayTry reports whether a replica may get an item: it is not backing off and no probe is under way. It must be called with mu
// held.
func (scheduler *scheduler) mayTry(replica string, now time.Time) bool {
	last := scheduler.refusals[replica]
	return last == nil || (now.After(last.until) && !last.probing)
}

// beginProbe marks a replica as being probed if it refused work before. It must be called with mu held.
func (scheduler *scheduler) beginProbe(replica string) {
	if last := scheduler.refusals[replica]; last != nil {
		last.probing = true
	}
}

// cancelProbe ends a probe that was not sent because its job ended. Otherwise the replica would never be probed again.
func (scheduler *scheduler) cancelProbe(replica string) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if last := scheduler.refusals[replica]; last != nil {
		last.probing = false
	}
}
