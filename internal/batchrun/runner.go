// Package batchrun runs the batch jobs that this node owns: it sends their items to engines, follows the streams, has the
// texts scored, makes the results durable and answers what callers ask of jobs, wherever these are owned.
package batchrun

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// Errors of a Runner. ErrUnsure says that the answer can't be given now; a caller may ask again.
var (
	ErrUnsure   = errors.New("the job's state can't be told now")
	ErrNotFound = batchlog.ErrNotFound
	// ErrStopping says that the node takes no more jobs; nothing of the job has run here.
	ErrStopping = errors.New("the node is stopping")

	errNotServed = errors.New("the metadata store does not answer this node")
)

// Event is one event of an engine's stream.
type Event struct {
	ID   int64
	Data []byte
	// Version of the weights from this event on; zero when it has not changed.
	Version int64
}

// EventReader reads the events of an answer's body. Next returns io.EOF after the last event of a whole body.
type EventReader interface {
	Next() (Event, error)
}

// Decoder makes event readers.
type Decoder interface {
	Events(body io.Reader) EventReader
}

// Peers reaches the other nodes that run batch jobs.
type Peers interface {
	// Client returns the client of a node; nil when the node is not known.
	Client(node string) batchv1.Batches
	// Nearest returns the names of live nodes that could run jobs for this one, best first.
	Nearest() []string
	// Candidates returns the names of some nodes that could run jobs for this one, the nearest first, beyond those of Nearest: many
	// machines may be cut from the metadata store at once.
	Candidates() []string
	// Preferred returns the name of the node that runs jobs of a model for this node's zone; empty for none.
	Preferred(model string) string
	// Alternate returns the name of the node that does so should the preferred one be gone; empty for none.
	Alternate(model string) string
	// Directory returns the name of the node that looks a job up for all others; empty for none.
	Directory(job string) string
	// Isolated reports whether none of the nodes that this one watches was heard of lately.
	Isolated() bool
	// SameZone reports whether a node is in this node's zone.
	SameZone(node string) bool
	// AnnounceJob tells all nodes where a job runs; they may miss it.
	AnnounceJob(job *batchv1.Job)
	// AnnounceDemand tells whoever orders replicas which versions of a model a job takes; it may be missed.
	AnnounceDemand(job *batchv1.Job)
	// ShareLoads tells the other nodes that run jobs of this node's requests in flight; they may miss it.
	ShareLoads(inFlight map[string]int)
}

// Options of a Runner.
type Options struct {
	Node    string
	Life    int64
	Catalog *catalog.Table
	Loads   *backend.Loads
	Sender  backend.Sender
	Decoder Decoder
	Log     *batchlog.Log
	Peers   Peers
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	Flush   batch.FlushPolicy
	// Zone is the node's own zone.
	Zone string
}

// Runner runs jobs. It is safe for concurrent use.
type Runner struct {
	Options
	ctx       context.Context
	cancel    context.CancelFunc
	scheduler *scheduler
	scoring   chan struct{} // bounds the scoring requests in flight

	mu       sync.Mutex
	jobs     map[string]*job
	ended    *endedCache
	owners   map[string]string // owner by job, as last seen; a hint only
	tenants  map[string]string // tenant by job, which never changes
	kept     *keptItems
	copies   *resultCache
	claiming map[string]bool // jobs that this node is taking up
	lastJob  time.Time       // when a job ran here last
	begins   chan struct{}   // closed when the next job begins to run here; nil while nobody waits for that
	stopping bool
	sweeps   *sweeps
}

const (
	scoringInFlight = 8
	ownerHints      = 4096
)

// New returns a runner. Start must be called before its first use.
func New(options Options) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	runner := &Runner{
		Options: options, ctx: ctx, cancel: cancel, scoring: make(chan struct{}, scoringInFlight),
		jobs: make(map[string]*job), ended: newEndedCache(), owners: make(map[string]string), tenants: make(map[string]string), kept: newKeptItems(), copies: newResultCache(), claiming: make(map[string]bool),
		sweeps: newSweeps(),
	}
	runner.scheduler = newScheduler(runner)
	return runner
}

// Start begins to dispatch items.
func (runner *Runner) Start() {
	go runner.scheduler.run(runner.ctx)
	go runner.shareLoads(runner.ctx)
	go runner.sweep(runner.ctx)
	go runner.evacuate(runner.ctx)
}

// Close cuts all that is running.
func (runner *Runner) Close() { runner.cancel() }

// find returns the job if it runs here.
func (runner *Runner) find(id string) *job {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.jobs[id]
}

// RememberOwner keeps a hint of where a job is owned. A node that waits for the job's acceptance looks at once whether it is true.
func (runner *Runner) RememberOwner(id, node string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if len(runner.owners) >= ownerHints {
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
	runner.sweeps.use()
	if runner.begins != nil {
		close(runner.begins)
		runner.begins = nil
	}
}

// awaitJob waits until a job runs here: a node without jobs, as most of a large fleet are, uses no processor time for them.
func (runner *Runner) awaitJob(ctx context.Context) {
	runner.mu.Lock()
	if len(runner.jobs) > 0 {
		runner.mu.Unlock()
		return
	}
	if runner.begins == nil {
		runner.begins = make(chan struct{})
	}
	begins := runner.begins
	runner.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-begins:
	}
}

// remove takes a job out of this node and cuts its items.
func (runner *Runner) remove(owned *job) {
	runner.mu.Lock()
	if runner.jobs[owned.id()] == owned {
		delete(runner.jobs, owned.id())
		if owned.isAccepted() {
			runner.noteTenant(owned.id(), owned.definition.GetTenant())
		}
		runner.lastJob = time.Now()
	}
	runner.mu.Unlock()
	owned.cancel()
	runner.scheduler.drop(owned)
}

// busyFor is how long after its last job a node expects another: trainers send a step every few seconds.
const busyFor = 10 * time.Second

// Busy reports whether jobs run here, or did lately.
func (runner *Runner) Busy(now time.Time) bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return len(runner.jobs) > 0 || (!runner.lastJob.IsZero() && now.Sub(runner.lastJob) < busyFor)
}

// OpenJobs returns the number of jobs that run here.
func (runner *Runner) OpenJobs() int {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return len(runner.jobs)
}
