package batchrun

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

// job is a job that this node runs or is accepting.
type job struct {
	definition *batchv1.Job
	// foreign is true if the job is not accepted because a job of another tenant has its identifier.
	foreign    atomic.Bool
	items      map[string]*batchv1.Item
	createdAt  time.Time // at this node
	due        time.Time
	meanTokens float64 // expected output of an item in tokens, on average
	ctx        context.Context
	cancel     context.CancelFunc
	// accepted is closed once the job is durable or known to be owned elsewhere.
	accepted chan struct{}
	// delegation is used until the job is accepted.
	delegation delegation

	mu        sync.Mutex
	ownership *batchlog.Ownership // nil until this node owns the job; then only the flush loop appends with it
	elsewhere bool                // accepted, but another node owns it or it has ended
	progress  *batch.Progress
	tasks     map[string]*task
	listed    []*batchv1.Result
	pending   []*batchv1.Result
	grown     map[string]*batchv1.Partial // texts to back up, by item
	// unfinished holds the texts to save in the log, by item. unsavedSince is when the first of them grew after the last save;
	// zero if none has.
	unfinished       map[string]*batchv1.Partial
	unsavedSince     time.Time
	pendingSince     time.Time // when the oldest pending result was finished
	lastAppend       time.Time // when results were last made durable
	itemsQueued      bool
	itemsQueuedAt    time.Time // when the items were added to the scheduler
	scored           scoringSummary
	wantedCompleteAt time.Time // when the groups that the trainer waits for were complete; zero before
	ending           bool
	leaving          bool          // being handed over to another node, which may have listed more results
	changed          chan struct{} // closed and replaced at each change that a reader may wait for
	flush            chan struct{}
	flushed          chan struct{} // closed when the flush loop has ended
	logUncertain     bool          // an append was interrupted: the log may hold more than listed
	runs             sync.WaitGroup
}

// defaultObjective is the time in which a job is due if its route sets none.
const defaultObjective = 10 * time.Second

func newJob(parent context.Context, definition *batchv1.Job, objective time.Duration) *job {
	ctx, cancel := context.WithCancel(parent)
	if objective <= 0 {
		objective = defaultObjective
	}
	now := time.Now()
	created := &job{
		definition: definition, items: make(map[string]*batchv1.Item, len(definition.GetItems())), createdAt: now, due: now.Add(objective),
		ctx: ctx, cancel: cancel, accepted: make(chan struct{}), delegation: delegation{announced: make(chan struct{}, 1)}, progress: batch.NewProgress(definition), tasks: make(map[string]*task),
		grown: make(map[string]*batchv1.Partial), unfinished: make(map[string]*batchv1.Partial), changed: make(chan struct{}), flush: make(chan struct{}, 1), flushed: make(chan struct{}),
	}
	for _, item := range definition.GetItems() {
		created.items[item.GetId()] = item
	}
	created.meanTokens = float64(batch.ExpectedOutput(definition)) / float64(max(1, len(definition.GetItems())))
	return created
}

// adopt applies the record of a job that another process ran, so that the results keep their positions. It is called before the job
// counts as accepted. Items that started early may have finished since: what the log lists already is not listed again.
func (owned *job) adopt(record *batchlog.Record) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.listed = record.Results
	listed := make(map[string]bool, len(record.Results))
	for _, result := range record.Results {
		owned.progress.Finish(result.GetItemId())
		listed[result.GetItemId()] = true
		delete(owned.tasks, result.GetItemId())
	}
	owned.pending = slices.DeleteFunc(owned.pending, func(result *batchv1.Result) bool { return listed[result.GetItemId()] })
}

// relativeLength returns the ratio of a number of tokens to the expected output of an average item of the job.
func (owned *job) relativeLength(tokens int64) float64 {
	if owned.meanTokens <= 0 {
		return 1
	}
	return float64(tokens) / owned.meanTokens
}

func (owned *job) id() string { return owned.definition.GetId() }

// isAccepted reports whether the job is durable and this node owns it.
func (owned *job) isAccepted() bool {
	select {
	case <-owned.accepted:
		return !owned.elsewhere
	default:
		return false
	}
}

// markLeaving records that the job is being handed over.
func (owned *job) markLeaving() {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.leaving = true
}

func (owned *job) isLeaving() bool {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.leaving
}

func (owned *job) isEnding() bool {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.ending
}

// isFinished reports whether an item has a result, listed or pending.
func (owned *job) isFinished(itemID string) bool {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.progress.Finished(itemID)
}

// notifyReaders wakes the readers that wait for a change. It must be called with mu held.
func (owned *job) notifyReaders() {
	close(owned.changed)
	owned.changed = make(chan struct{})
}

// finish queues the result of an item. The result becomes visible once it is durable.
func (owned *job) finish(result *batchv1.Result) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.ending || !owned.progress.Finish(result.GetItemId()) {
		return
	}
	if len(owned.pending) == 0 {
		owned.pendingSince = time.Now()
	}
	if owned.wantedCompleteAt.IsZero() && owned.progress.WantedComplete() {
		owned.wantedCompleteAt = time.Now()
	}
	owned.pending = append(owned.pending, result)
	delete(owned.tasks, result.GetItemId())
	select {
	case owned.flush <- struct{}{}:
	default:
	}
}

// nextFlush returns how long the flush loop waits before the next write; ok is false if there is nothing to write.
func (owned *job) nextFlush(policy batch.FlushPolicy) (delay time.Duration, ok bool) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.ownership == nil {
		return 0, false
	}
	now := time.Now()
	saving, listing := !owned.unsavedSince.IsZero(), len(owned.pending) > 0
	if saving {
		delay = max(0, owned.lastAppend.Add(saveInterval).Sub(now), owned.unsavedSince.Add(saveBatchDelay).Sub(now))
	}
	if listing {
		wait := policy.Delay(owned.progress, now, owned.pendingSince, owned.lastAppend)
		if !saving || wait < delay {
			delay = wait
		}
	}
	return delay, saving || listing
}

// nextPage returns the pending results to append in one write.
func (owned *job) nextPage() []*batchv1.Result {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	size := 0
	count := 0
	for _, result := range owned.pending {
		size += len(result.GetText()) + resultOverhead
		if count > 0 && size > pageBytes {
			break
		}
		count++
	}
	return owned.pending[:count:count]
}

const (
	pageBytes      = 600 << 10
	resultOverhead = 128
)

// markListed makes appended results visible to readers.
func (owned *job) markListed(results []*batchv1.Result) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.listed = append(owned.listed, results...)
	owned.pending = owned.pending[len(results):]
	owned.lastAppend = time.Now()
	owned.pendingSince = owned.lastAppend
	owned.notifyReaders()
}
