package weights

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// Orderer orders replicas to load versions during the terms of this node.
type Orderer struct {
	Node string
	// Store keeps the orders in flight. It is the store of the election.
	Store    metadata.Store
	Catalog  *catalog.Table
	Replicas Replicas
	Logger   *log.Logger
	Metrics  *telemetry.Metrics
	// LoadShare is the fraction of a service's replicas that load at the same time, rounded up.
	LoadShare float64

	mu        sync.Mutex
	targets   Targets
	published map[string]publication // by model
	openItems map[string]*openItems  // by model
	changed   chan struct{}
}

// NewOrderer returns an orderer without targets.
func NewOrderer(node string, store metadata.Store, table *catalog.Table, replicas Replicas, loadShare float64, logger *log.Logger) *Orderer {
	return &Orderer{
		Node: node, Store: store, Catalog: table, Replicas: replicas, LoadShare: loadShare, Logger: logger,
		targets: make(Targets), published: make(map[string]publication), openItems: make(map[string]*openItems), changed: make(chan struct{}, 1),
	}
}

// concurrentLoads returns how many replicas of a service may load at the same time.
func (orderer *Orderer) concurrentLoads(replicas int) int {
	return min(maxConcurrentLoads, max(1, int(math.Ceil(orderer.LoadShare*float64(replicas)))))
}

// maxConcurrentLoads bounds the loads in progress, so that one node can order and follow all of them. It is enough for 750 replicas
// to load within 5 s.
const maxConcurrentLoads = 150

// SetTarget sets the newest published version of a model, if it is newer than the known one.
func (orderer *Orderer) SetTarget(model string, version int64) {
	orderer.mu.Lock()
	target, known := orderer.targets[model]
	if !known {
		target.Lag = maxLag // until a job reports its minimum; load no more replicas than necessary before that
	}
	if target.Version < version {
		target.Interval = orderer.measureInterval(model, target, version)
		target.Version = version
		orderer.targets[model] = target
		orderer.Logger.Info("version named", "model", model, "version", version, "lag", target.Lag)
	}
	orderer.mu.Unlock()
	orderer.notify()
}

const (
	// maxIntervals is how many of the latest intervals between versions are kept. Their median is used, so that one outage does
	// not distort it.
	maxIntervals = 3
	// minInterval bounds the measured interval from below. Versions that arrive faster were queued, for example during an outage;
	// without the bound, too few replicas would be assigned.
	minInterval = 3 * time.Second
)

// publication records when versions of a model were published.
type publication struct {
	at        time.Time
	intervals []time.Duration
}

// measureInterval returns the typical time between two versions of a model. It must be called with mu held.
func (orderer *Orderer) measureInterval(model string, target Target, version int64) time.Duration {
	now := time.Now()
	before, known := orderer.published[model]
	if !known || version != target.Version+1 {
		orderer.published[model] = publication{at: now, intervals: before.intervals}
		return target.Interval // versions were skipped: this node has only begun to follow the model
	}
	intervals := append(slices.Clone(before.intervals), now.Sub(before.at))
	intervals = intervals[max(0, len(intervals)-maxIntervals):]
	orderer.published[model] = publication{at: now, intervals: intervals}
	return max(minInterval, slices.Sorted(slices.Values(intervals))[len(intervals)/2])
}

// RecordDemand records an open job of a model.
func (orderer *Orderer) RecordDemand(demand Demand) {
	orderer.mu.Lock()
	target := orderer.targets[demand.Model]
	if lag := min(maxLag, max(0, target.Version-demand.Minimum)); target.Version > 0 && lag != target.Lag {
		target.Lag = lag
		orderer.Logger.Info("lag of jobs", "model", demand.Model, "version", target.Version, "minimum", demand.Minimum, "lag", lag)
	}
	target.Work = averageWork(target.Work, float64(demand.Work))
	if target.Version > 0 {
		orderer.targets[demand.Model] = target
	}
	if items, increased := orderer.itemsOf(demand.Model).record(demand, time.Now()); increased {
		orderer.Logger.Info("items of jobs", "model", demand.Model, "job", demand.Job, "items", items)
	}
	orderer.mu.Unlock()
	orderer.notify()
}

// itemsOf returns the open items of a model's jobs. It must be called with mu held.
func (orderer *Orderer) itemsOf(model string) *openItems {
	if orderer.openItems[model] == nil {
		orderer.openItems[model] = newOpenItems()
	}
	return orderer.openItems[model]
}

// maxLag bounds the lag that the plan allows. The demand of a job may arrive late, after versions that the next job requires.
const maxLag = 1

func (orderer *Orderer) notify() {
	select {
	case orderer.changed <- struct{}{}:
	default:
	}
}

func (orderer *Orderer) currentTargets(now time.Time) Targets {
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	copied := make(Targets, len(orderer.targets))
	for model, target := range orderer.targets {
		target.Items = orderer.itemsOf(model).peak(now)
		copied[model] = target
	}
	return copied
}

const (
	// orderMargin is how much of the lease must remain when an order is sent. It covers the call and a pause of this process.
	orderMargin   = 450 * time.Millisecond
	orderTimeout  = 350 * time.Millisecond
	reportTimeout = 350 * time.Millisecond
	// typicalLoadTime is how long a load takes when only a few are in progress.
	typicalLoadTime = 930 * time.Millisecond
	// loadQueryAfter is the age at which a load is first queried. After loadTimeout it is abandoned and ordered again.
	loadQueryAfter = 1300 * time.Millisecond
	loadTimeout    = 5 * time.Second
	busyInterval   = 100 * time.Millisecond
	// After a round the orderer pauses for roundPauseFactor times the duration of the round, at most maxRoundPause. With thousands of
	// replicas, changes arrive faster than rounds complete.
	roundPauseFactor = 10
	maxRoundPause    = 250 * time.Millisecond
	idleInterval     = time.Second
	retryPause       = 300 * time.Millisecond
	// queryPause is how long a replica is paused while it is queried for the first time.
	queryPause = 60 * time.Millisecond
)
