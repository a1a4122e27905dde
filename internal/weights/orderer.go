package weights

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// ErrOrderUnanswered says that an order may have been taken, or may still be taken later if its condition holds then.
var ErrOrderUnanswered = errors.New("the order was not answered")

// Order asks a replica to change the version of a model's weights. Runs in progress go on under the new version.
type Order struct {
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// ExpectedOrders is the number of orders that the replica must have taken, so that an order which arrives late, after
	// another, is refused.
	ExpectedOrders int64
}

// Reply is a replica's answer to an order.
type Reply int

// Replies.
const (
	// Started is a change under way.
	Started Reply = iota
	// Held means that the replica has the version already.
	Held
	// Conflicting means that another order is in progress or that the expected number of orders is wrong.
	Conflicting
	// Rejected is any other answer: the replica did not take the order.
	Rejected
)

var replyNames = [...]string{"started", "held", "conflicting", "rejected"}

// String returns the name that logs and metrics use.
func (reply Reply) String() string { return replyNames[reply] }

// Report is what a replica tells of itself.
type Report struct {
	Models []catalog.ModelVersion
	Busy   bool
	Orders int64
}

// Replicas reaches the replicas' control calls.
type Replicas interface {
	Order(ctx context.Context, replica *catalog.Replica, order Order) (Reply, error)
	Report(ctx context.Context, replica *catalog.Replica) (Report, error)
}

// Orderer gives the orders of a term.
type Orderer struct {
	Node     string
	Catalog  *catalog.Table
	Replicas Replicas
	Logger   *log.Logger
	Metrics  *telemetry.Metrics
	// LoadShare is the share of a service's replicas that load at the same time, rounded up.
	LoadShare float64

	mu      sync.Mutex
	targets Targets
	named   map[string]naming // by model
	changed chan struct{}
}

// NewOrderer returns an orderer that knows no targets.
func NewOrderer(node string, table *catalog.Table, replicas Replicas, loadShare float64, logger *log.Logger) *Orderer {
	return &Orderer{
		Node: node, Catalog: table, Replicas: replicas, LoadShare: loadShare, Logger: logger,
		targets: make(Targets), named: make(map[string]naming), changed: make(chan struct{}, 1),
	}
}

// atOnce returns how many replicas of a service load at the same time.
func (orderer *Orderer) atOnce(replicas int) int {
	return min(mostAtOnce, max(1, int(math.Ceil(orderer.LoadShare*float64(replicas)))))
}

// mostAtOnce bounds how many replicas load at the same time, so that one node can order them all: enough for 750 replicas to load
// within 5 s.
const mostAtOnce = 150

// SetTarget takes a named version, if it is newer than the one known.
func (orderer *Orderer) SetTarget(model string, version int64) {
	orderer.mu.Lock()
	target, known := orderer.targets[model]
	if !known {
		target.Lag = mostLag // until a job tells: replicas that it needs are ordered then, others need not be
	}
	if target.Version < version {
		target.Interval = orderer.measure(model, target, version)
		target.Version = version
		orderer.targets[model] = target
		orderer.Logger.Info("version named", "model", model, "version", version, "lag", target.Lag)
	}
	orderer.mu.Unlock()
	orderer.nudge()
}

const (
	// gapsKept is how many of the last gaps between two versions count; their median does, so that an outage doesn't.
	gapsKept = 3
	// leastInterval is the shortest usual time that is believed: versions that come faster have waited somewhere, as in an
	// outage, and a model that is held for so fast would lose its replicas.
	leastInterval = 3 * time.Second
)

// naming is when a model's versions were named.
type naming struct {
	at   time.Time
	gaps []time.Duration
}

// measure returns the usual time between two versions of a model. It must be called with mu held.
func (orderer *Orderer) measure(model string, target Target, version int64) time.Duration {
	now := time.Now()
	before, known := orderer.named[model]
	if !known || version != target.Version+1 {
		orderer.named[model] = naming{at: now, gaps: before.gaps}
		return target.Interval // several at once: this node has just begun to follow
	}
	gaps := append(slices.Clone(before.gaps), now.Sub(before.at))
	gaps = gaps[max(0, len(gaps)-gapsKept):]
	orderer.named[model] = naming{at: now, gaps: gaps}
	return max(leastInterval, slices.Sorted(slices.Values(gaps))[len(gaps)/2])
}

// workWeight is the weight of the newest job in the work of a model's jobs.
const workWeight = 0.3

// SetDemand takes the oldest version that a new job accepts, and its expected output in tokens; zero when not known.
func (orderer *Orderer) SetDemand(model string, minimum, work int64) {
	orderer.mu.Lock()
	target := orderer.targets[model]
	if lag := min(mostLag, max(0, target.Version-minimum)); target.Version > 0 && lag != target.Lag {
		target.Lag = lag
		orderer.Logger.Info("lag of jobs", "model", model, "version", target.Version, "minimum", minimum, "lag", lag)
	}
	switch {
	case work > 0 && target.Work > 0:
		target.Work += workWeight * (float64(work) - target.Work)
	case work > 0:
		target.Work = float64(work)
	}
	if target.Version > 0 {
		orderer.targets[model] = target
	}
	orderer.mu.Unlock()
	orderer.nudge()
}

// mostLag bounds the lag that is planned with. A job may come late, after versions that the next job asks for.
const mostLag = 1

func (orderer *Orderer) nudge() {
	select {
	case orderer.changed <- struct{}{}:
	default:
	}
}

func (orderer *Orderer) currentTargets() Targets {
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	copied := make(Targets, len(orderer.targets))
	for model, target := range orderer.targets {
		copied[model] = target
	}
	return copied
}

const (
	// orderMargin is kept of the lease for the call of an order and for a pause of this process.
	orderMargin = 450 * time.Millisecond
	orderLimit  = 350 * time.Millisecond
	reportLimit = 350 * time.Millisecond
	// loadUsual is how long a load takes with no more than a few at once.
	loadUsual = 930 * time.Millisecond
	// loadExpected is when a load is first looked at; after loadLimit it is given up and ordered again.
	loadExpected = 1300 * time.Millisecond
	loadLimit    = 5 * time.Second
	workTick     = 100 * time.Millisecond
	// After a round the orderer rests for restShare times as long as it took, at most for mostRest: with thousands of replicas
	// changes come faster than rounds can be made.
	restShare  = 10
	mostRest   = 250 * time.Millisecond
	idleWait   = time.Second
	retryPause = 300 * time.Millisecond
	// lookPause is how long a replica that was never asked for its state is left alone while it is.
	lookPause = 60 * time.Millisecond
)

// load is an order in progress.
type load struct {
	model   string
	version int64
	since   time.Time
	looked  time.Time
}

// term is the work of one term. Its fields belong to one goroutine but for what mu guards.
type term struct {
	orderer  *Orderer
	lease    *Term
	planners map[string]*Planner // by service

	mu    sync.Mutex
	loads map[string]*load     // by replica
	pause map[string]time.Time // replicas that refused an order, until when
	held  map[string]map[string]int64
	seen  map[string]int64 // orders taken, as the replica itself reported
}

// Lead gives orders until the term ends.
func (orderer *Orderer) Lead(ctx context.Context, lease *Term) {
	work := &term{
		orderer: orderer, lease: lease, planners: make(map[string]*Planner),
		loads: make(map[string]*load), pause: make(map[string]time.Time), held: make(map[string]map[string]int64), seen: make(map[string]int64),
	}
	for ctx.Err() == nil {
		changed := orderer.Catalog.Changed()
		idle := idleWait
		started := time.Now()
		if work.round(ctx) {
			idle = workTick
		}
		wait.Pause(ctx, min(mostRest, restShare*time.Since(started)))
		timer := time.NewTimer(idle)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-orderer.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// round orders what is due, and reports whether anything is in progress or still due.
func (work *term) round(ctx context.Context) bool {
	configuration := work.orderer.Catalog.Configuration()
	if configuration == nil {
		return true
	}
	targets := work.orderer.currentTargets()
	replicas := work.orderer.Catalog.Replicas()
	busy := false
	for name, service := range configuration.Services {
		if len(service.Models) == 0 {
			continue
		}
		members := work.corrected(replicas.Service(name))
		work.settle(ctx, members)
		planner := work.planner(name)
		planner.Budget.AtOnce = work.orderer.atOnce(len(members))
		steps := planner.Plan(service.Models, members, targets, work.isBusy)
		room := planner.Budget.AtOnce - work.loading(members)
		for _, step := range steps[:max(0, min(room, len(steps)))] {
			work.start(ctx, step)
		}
		busy = busy || len(steps) > 0 || work.loading(members) > 0 || work.anyPaused()
	}
	return busy
}

// planner returns the planner of a service.
func (work *term) planner(service string) *Planner {
	planner := work.planners[service]
	if planner == nil {
		planner = NewPlanner(LoadBudget{AtOnce: 1, LoadTime: loadUsual})
		work.planners[service] = planner
	}
	return planner
}

// corrected returns the replicas with what they reported themselves since they registered.
func (work *term) corrected(members []*catalog.Replica) []*catalog.Replica {
	work.mu.Lock()
	defer work.mu.Unlock()
	list := make([]*catalog.Replica, 0, len(members))
	for _, member := range members {
		corrected := *member
		corrected.Models = make([]catalog.ModelVersion, 0, len(member.Models))
		for _, held := range member.Models {
			held.Version = max(held.Version, work.held[member.ID][held.Model])
			corrected.Models = append(corrected.Models, held)
		}
		list = append(list, &corrected)
	}
	return list
}

func (work *term) isBusy(id string) bool {
	work.mu.Lock()
	defer work.mu.Unlock()
	return work.loads[id] != nil || time.Now().Before(work.pause[id])
}

// anyPaused reports whether a replica is left alone for a while: its order may be due again soon.
func (work *term) anyPaused() bool {
	work.mu.Lock()
	defer work.mu.Unlock()
	now := time.Now()
	for _, until := range work.pause {
		if now.Before(until) {
			return true
		}
	}
	return false
}

func (work *term) loading(members []*catalog.Replica) int {
	work.mu.Lock()
	defer work.mu.Unlock()
	count := 0
	for _, member := range members {
		if work.loads[member.ID] != nil {
			count++
		}
	}
	return count
}

// settle ends the loads that are done, and asks replicas whose load takes long.
func (work *term) settle(ctx context.Context, members []*catalog.Replica) {
	now := time.Now()
	for _, member := range members {
		work.mu.Lock()
		current := work.loads[member.ID]
		switch {
		case current == nil:
		case member.Version(current.model) >= current.version:
			delete(work.loads, member.ID)
			work.orderer.Logger.Info("version loaded", "replica", member.ID, "model", current.model, "version", current.version, "took_ms", now.Sub(current.since).Milliseconds())
		case now.Sub(current.since) > loadLimit:
			delete(work.loads, member.ID)
			work.orderer.Logger.Warn("load given up", "replica", member.ID, "model", current.model, "version", current.version)
		case now.Sub(current.since) > loadExpected && now.Sub(current.looked) > loadExpected/2:
			current.looked = now
			go work.look(ctx, member)
		}
		work.mu.Unlock()
	}
}

// look asks a replica for its state.
func (work *term) look(ctx context.Context, replica *catalog.Replica) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	report, err := work.orderer.Replicas.Report(ctx, replica)
	if err != nil {
		return
	}
	work.mu.Lock()
	defer work.mu.Unlock()
	work.seen[replica.ID] = max(work.seen[replica.ID], report.Orders)
	held := make(map[string]int64, len(report.Models))
	for _, model := range report.Models {
		held[model.Model] = model.Version
	}
	work.held[replica.ID] = held
	if current := work.loads[replica.ID]; current != nil && !report.Busy && held[current.model] < current.version {
		delete(work.loads, replica.ID) // the order was lost: it is given again
	}
}

// start gives one order in the background.
func (work *term) start(ctx context.Context, step Step) {
	if !work.lease.Valid(orderMargin) {
		return
	}
	work.mu.Lock()
	defer work.mu.Unlock()
	now := time.Now()
	expected, known := work.seen[step.Replica.ID]
	if !known {
		work.pause[step.Replica.ID] = now.Add(lookPause)
		go work.look(ctx, step.Replica)
		return
	}
	work.loads[step.Replica.ID] = &load{model: step.Model, version: step.Version, since: now, looked: now}
	go work.order(ctx, step, expected)
}

func (work *term) order(ctx context.Context, step Step, expected int64) {
	callCtx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	reply, err := work.orderer.Replicas.Order(callCtx, step.Replica, Order{
		Model: step.Model, Version: step.Version, Holder: work.orderer.Node, Fence: work.lease.Fence, ExpectedOrders: expected,
	})
	work.orderer.Logger.Info("order", "replica", step.Replica.ID, "model", step.Model, "version", step.Version, "from", step.Replica.Version(step.Model),
		"fence", work.lease.Fence, "expected_orders", expected, "reply", reply, "error", err)
	work.orderer.Metrics.Order(reply.String())
	switch {
	case err == nil && reply == Started:
		work.taken(step, expected)
	case err == nil && reply == Held:
		work.taken(step, expected)
		work.look(ctx, step.Replica)
	default:
		work.look(ctx, step.Replica)
		work.mu.Lock()
		work.pause[step.Replica.ID] = time.Now().Add(retryPause)
		work.mu.Unlock()
	}
}

// taken counts an order that the replica took.
func (work *term) taken(step Step, expected int64) {
	work.mu.Lock()
	defer work.mu.Unlock()
	work.seen[step.Replica.ID] = max(work.seen[step.Replica.ID], expected+1)
}
