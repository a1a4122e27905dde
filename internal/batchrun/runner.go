// Package batchrun runs the batch jobs that this node owns. It sends items to engines, reads their event streams, requests
// scores, makes results durable and answers calls for jobs, including those that other nodes own.
package batchrun

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// Errors of a Runner. ErrUncertain means that the answer is unknown at the moment and that the caller may retry.
var (
	ErrUncertain = errors.New("the job's state can't be told now")
	ErrNotFound  = batchlog.ErrNotFound
	// ErrStopping means that the node accepts no more jobs. No item of the rejected job has run here.
	ErrStopping = errors.New("the node is stopping")

	errNotServed = errors.New("the metadata store does not answer this node")
)

// Event is one event of an engine's stream.
type Event struct {
	ID   int64
	Data []byte
	// Version is the version of the weights from this event on, or zero if it is unchanged.
	Version int64
}

// EventReader reads the events of a response body. Next returns io.EOF after the last event of a complete body.
type EventReader interface {
	Next() (Event, error)
}

// Decoder creates event readers.
type Decoder interface {
	Events(body io.Reader) EventReader
}

// Peers gives access to the other nodes that run batch jobs.
type Peers interface {
	// Client returns the client of a node, or nil if the node is unknown.
	Client(node string) batchv1.Batches
	// Nearest returns the names of live nodes that can run jobs in place of this one, best first.
	Nearest() []string
	// Candidates returns the names of further nodes that can run jobs in place of this one, nearest first. It goes beyond Nearest
	// because many nodes may lose the metadata store at once.
	Candidates() []string
	// Preferred returns the name of the node that runs the jobs of a model for this node's zone, or an empty string.
	Preferred(model string) string
	// Alternate returns the name of the node that replaces the preferred node if that one fails, or an empty string.
	Alternate(model string) string
	// Directory returns the name of the node that looks up a job on behalf of all nodes, or an empty string.
	Directory(job string) string
	// Isolated reports whether this node has not received a recent sign of life from any node that it monitors.
	Isolated() bool
	// SameZone reports whether a node is in this node's zone.
	SameZone(node string) bool
	// AnnounceJob broadcasts that a job runs at this node. Delivery is best effort.
	AnnounceJob(job *batchv1.Job)
	// AnnounceDemand sends the versions of a model that a job accepts to the node that orders replicas. Delivery is best effort.
	AnnounceDemand(job *batchv1.Job)
	// ShareLoads sends this node's requests in flight to the other nodes that run jobs. Delivery is best effort.
	ShareLoads(inFlight map[string]int)
}

// Options configures a Runner.
type Options struct {
	Node        string
	Incarnation int64
	Catalog     *catalog.Table
	Loads       *backend.Loads
	Sender      backend.Sender
	Decoder     Decoder
	Log         *batchlog.Log
	Peers       Peers
	Logger      *log.Logger
	Metrics     *telemetry.Metrics
	Flush       batch.FlushPolicy
	// Admission admits scoring requests to their services; nil limits them to a fixed number at a time.
	Admission *admission.Controller
	// Zone is the zone of this node.
	Zone string
	// Retention is how long the log keeps a job after its end; zero means for ever. What this node remembers of a job is valid as long.
	Retention time.Duration
}

// Runner runs jobs. It is safe for concurrent use.
type Runner struct {
	Options
	ctx       context.Context
	cancel    context.CancelFunc
	scheduler *scheduler
	scoring   chan struct{} // limits the scoring requests in flight without Admission
	scores    *scoringQueue
	itemTimes itemTimes

	mu          sync.Mutex
	jobs        map[string]*job
	ended       *endedCache
	owners      map[string]string // last known owner by job; a hint that may be stale
	tenants     map[string]string // tenant by job; it never changes
	kept        *keptItems
	former      *formerJobs
	resultCache *resultCache
	claiming    map[string]chan struct{} // closed when the claim ends; by job
	lastJob     time.Time                // when the last job was removed
	jobAdded    chan struct{}            // closed when the next job is added; nil if nobody waits for it
	stopping    bool
	sweeps      *sweepSchedule
}

const (
	maxScoringInFlight = 8
	maxOwnerHints      = 4096
)

// New returns a runner. Start must be called before any other method.
func New(options Options) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	runner := &Runner{
		Options: options, ctx: ctx, cancel: cancel, scoring: make(chan struct{}, maxScoringInFlight),
		jobs: make(map[string]*job), ended: newEndedCache(options.Retention), owners: make(map[string]string), tenants: make(map[string]string), kept: newKeptItems(), former: newFormerJobs(), resultCache: newResultCache(options.Retention), claiming: make(map[string]chan struct{}),
		sweeps: newSweepSchedule(),
	}
	runner.scheduler = newScheduler(runner)
	runner.scores = newScoringQueue(runner)
	return runner
}

// Start starts the background loops.
func (runner *Runner) Start() {
	runner.Log.OnEndedForOwner = runner.notifyOwnerOfEnd
	go runner.scheduler.run(runner.ctx)
	go runner.shareLoads(runner.ctx)
	go runner.sweep(runner.ctx)
	go runner.evacuate(runner.ctx)
}

// Close cancels all running work.
func (runner *Runner) Close() { runner.cancel() }

// find returns a job that runs here, or nil.
func (runner *Runner) find(id string) *job {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.jobs[id]
}

// RememberOwner records a hint about a job's owner. If this node has deferred the job's acceptance to another node, it verifies
// the hint at once.
func (runner *Runner) RememberOwner(id, node string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if len(runner.owners) >= maxOwnerHints {
		clear(runner.owners)
	}
	runner.owners[id] = node
	if waiting := runner.jobs[id]; waiting != nil && node != runner.Node {
		waiting.delegation.notifyAnnounced()
	}
}

func (runner *Runner) forgetOwner(id string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	delete(runner.owners, id)
}

// put adds a job. It must be called with mu held.
func (runner *Runner) put(owned *job) {
	runner.jobs[owned.id()] = owned
	runner.sweeps.recordUse()
	if runner.jobAdded != nil {
		close(runner.jobAdded)
		runner.jobAdded = nil
	}
}

// awaitJob waits until a job runs here, so that nodes without jobs use no processor time.
func (runner *Runner) awaitJob(ctx context.Context) {
	runner.mu.Lock()
	if len(runner.jobs) > 0 {
		runner.mu.Unlock()
		return
	}
	if runner.jobAdded == nil {
		runner.jobAdded = make(chan struct{})
	}
	jobAdded := runner.jobAdded
	runner.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-jobAdded:
	}
}

// remove removes a job from this node and cancels its items.
func (runner *Runner) remove(owned *job) {
	runner.mu.Lock()
	if runner.jobs[owned.id()] == owned {
		delete(runner.jobs, owned.id())
		if owned.isAccepted() {
			runner.setTenant(owned.id(), owned.definition.GetTenant())
			if !owned.isLeaving() {
				runner.former.recordEnded(owned.definition.GetModel(), time.Now())
			}
		}
		runner.lastJob = time.Now()
	}
	runner.mu.Unlock()
	owned.cancel()
	runner.scheduler.drop(owned)
}

// busyPeriod is how long a node counts as busy after its last job. Trainers submit a job every few seconds.
const busyPeriod = 10 * time.Second

// Busy reports whether jobs run here or ran here within busyPeriod.
func (runner *Runner) Busy(now time.Time) bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return len(runner.jobs) > 0 || (!runner.lastJob.IsZero() && now.Sub(runner.lastJob) < busyPeriod)
}

// OpenJobs returns the number of jobs that run here.
func (runner *Runner) OpenJobs() int {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return len(runner.jobs)
}
