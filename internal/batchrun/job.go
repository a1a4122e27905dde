package batchrun

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

// job is a job that this node runs.
type job struct {
	definition *batchv1.Job
	// foreign says that the job was not accepted since another tenant's has its identifier.
	foreign   atomic.Bool
	items     map[string]*batchv1.Item
	due       time.Time
	usualWork float64 // expected output of an item in tokens, on average
	ctx       context.Context
	cancel    context.CancelFunc
	// accepted is closed once the job is durable, or known to be owned elsewhere.
	accepted chan struct{}
	// deferral is what another node does about the job until then.
	deferral deferral

	mu        sync.Mutex
	held      *batchlog.Ownership // nil until accepted; used by the flush loop only afterwards
	elsewhere bool                // accepted, but another node owns it or it has ended
	progress  *batch.Progress
	tasks     map[string]*task
	listed    []*batchv1.Result
	pending   []*batchv1.Result
	growing   map[string]*batchv1.Partial // texts to be backed up, by item
	// unfinished are the texts to be saved in the log, unlogged since when any has grown; zero if none has since they last were.
	unfinished map[string]*batchv1.Partial
	unlogged   time.Time
	since      time.Time // when the oldest pending result was finished
	written    time.Time // when results were last made durable
	begun      bool
	started    time.Time // when the items were put in line
	enough     time.Time // when as many groups were whole as the trainer waits for; zero before
	ending     bool
	leaving    bool          // given to another node, which may have listed more already
	changed    chan struct{} // closed at each change that a reader may wait for
	flush      chan struct{}
	flushed    chan struct{} // closed when the flush loop is over
	unsure     bool          // an append was cut: the log may hold more than listed
	runs       sync.WaitGroup
}

// defaultObjective is used when the route does not say when a job is due.
const defaultObjective = 10 * time.Second

func newJob(parent context.Context, definition *batchv1.Job, objective time.Duration) *job {
	ctx, cancel := context.WithCancel(parent)
	if objective <= 0 {
		objective = defaultObjective
	}
	created := &job{
		definition: definition, items: make(map[string]*batchv1.Item, len(definition.GetItems())), due: time.Now().Add(objective),
		ctx: ctx, cancel: cancel, accepted: make(chan struct{}), deferral: deferral{heard: make(chan struct{}, 1)}, progress: batch.NewProgress(definition), tasks: make(map[string]*task),
		growing: make(map[string]*batchv1.Partial), unfinished: make(map[string]*batchv1.Partial), changed: make(chan struct{}), flush: make(chan struct{}, 1), flushed: make(chan struct{}),
	}
	for _, item := range definition.GetItems() {
		created.items[item.GetId()] = item
	}
	created.usualWork = float64(batch.ExpectedOutput(definition)) / float64(max(1, len(definition.GetItems())))
	return created
}

// relativeLength returns how many times the usual an item of the job is expected to make.
func (owned *job) relativeLength(tokens int64) float64 {
	if owned.usualWork <= 0 {
		return 1
	}
	return float64(tokens) / owned.usualWork
}

func (owned *job) id() string { return owned.definition.GetId() }

// isAccepted reports whether the job is durable with this node as its owner.
func (owned *job) isAccepted() bool {
	select {
	case <-owned.accepted:
		return !owned.elsewhere
	default:
		return false
	}
}

// leave notes that the job is being given to another node.
func (owned *job) leave() {
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

// announce must be called with mu held.
func (owned *job) announce() {
	close(owned.changed)
	owned.changed = make(chan struct{})
}

// finish takes a result, which becomes visible once it is durable.
func (owned *job) finish(result *batchv1.Result) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.ending || !owned.progress.Finish(result.GetItemId()) {
		return
	}
	if len(owned.pending) == 0 {
		owned.since = time.Now()
	}
	if owned.enough.IsZero() && owned.progress.Enough() {
		owned.enough = time.Now()
	}
	owned.pending = append(owned.pending, result)
	delete(owned.tasks, result.GetItemId())
	select {
	case owned.flush <- struct{}{}:
	default:
	}
}

// nextFlush returns how long the flush loop waits; ok is false when there is nothing to write.
func (owned *job) nextFlush(policy batch.FlushPolicy) (delay time.Duration, ok bool) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.held == nil {
		return 0, false
	}
	now := time.Now()
	saving, listing := !owned.unlogged.IsZero(), len(owned.pending) > 0
	if saving {
		delay = max(0, owned.written.Add(saveInterval).Sub(now), owned.unlogged.Add(saveGather).Sub(now))
	}
	if listing {
		wait := policy.Delay(owned.progress, now, owned.since, owned.written)
		if !saving || wait < delay {
			delay = wait
		}
	}
	return delay, saving || listing
}

// takePending returns the results to write next.
func (owned *job) takePending() []*batchv1.Result {
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

// list makes written results visible.
func (owned *job) list(results []*batchv1.Result) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.listed = append(owned.listed, results...)
	owned.pending = owned.pending[len(results):]
	owned.written = time.Now()
	owned.since = owned.written
	owned.announce()
}
