package metadata

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	probeInterval = time.Second
	probeTimeout  = 700 * time.Millisecond
	// needCheckInterval is how often a node that need not probe checks whether it has to probe now. It is well below probeInterval, so
	// that such a node detects a lost store almost as early as a node that always probes.
	needCheckInterval = 200 * time.Millisecond
	// probeRetryPerNode is the average interval between probes of a lost store across all nodes that share the probes. It keeps the
	// load on a lost store independent of the number of nodes, within probeRetryMin and probeRetryMax for each node.
	probeRetryPerNode = 30 * time.Millisecond
	probeRetryMax     = time.Second
	// probeRetryMaxIdle replaces probeRetryMax for a node without urgent work. Such a node normally relies on the notification by other
	// nodes, and probes only in case that notification is lost.
	probeRetryMaxIdle = 3 * time.Second
	// probeRetryUnknown is the interval of a node that does not know the number of nodes yet, and so can neither notify other nodes nor
	// be notified. A whole fleet may be in this state if it was restarted while the store was lost.
	probeRetryUnknown = 500 * time.Millisecond
	// probeRetryMin is the shortest interval, and the interval of a node that does not share probes.
	probeRetryMin = 120 * time.Millisecond
)

// Health detects when the store stops responding and when it responds again. A watch that was open during an outage may never
// get a response although its connection looks alive, so Health restarts all watches when the store recovers. A nil Health
// treats the store as always responding and restarts no watches.
type Health struct {
	store  Store
	logger *log.Logger
	// Nodes returns the number of nodes that share the probes of a lost store, or zero if it is not known yet. The more nodes there are,
	// the less often each of them probes. A node that gets a response again notifies the others through OnRecovered. If Nodes is nil,
	// this node does not share probes. It must be set before Run.
	Nodes func() int
	// ProbeNeeded reports whether this node has to detect the loss of the store soon. While it returns false, a store that is not known
	// to be lost is not probed. Nil means true. It must be set before Run.
	ProbeNeeded func() bool
	// Urgent reports whether this node has work that waits for a lost store, or receives no messages from other nodes. While it returns
	// false, the node probes a lost store less often and relies on the notification by other nodes. Nil means true. It must be set
	// before Run.
	Urgent func() bool
	// OnRecovered is called when the store responds again to a probe that no notification had requested. It may be nil.
	OnRecovered func()

	wake chan struct{} // requests an immediate probe

	mu              sync.Mutex
	restart         chan struct{} // closed to restart all watches
	answeredAt      time.Time
	probeAnsweredAt time.Time // zero before the first response
	lost            bool
	lostAt          time.Time // when a probe first failed
	recoveredAt     time.Time // when the store last responded again; zero if it was never lost
}

// NewHealth returns the health of a store. The store counts as good until a probe fails.
func NewHealth(store Store, logger *log.Logger) *Health {
	return &Health{store: store, logger: logger, wake: make(chan struct{}, 1), restart: make(chan struct{}), answeredAt: time.Now()}
}

// Run probes the store until the context ends.
func (health *Health) Run(ctx context.Context) {
	notified := false // whether the next probe was requested by NotifyRecovered or RequestProbe
	for ctx.Err() == nil {
		if health.Good() && !notified && !health.needed() {
			notified = health.await(ctx, needCheckInterval)
			continue
		}
		err := health.probe(ctx, notified)
		if errors.Is(err, errProbeSuperseded) {
			notified = true
			continue
		}
		if health.Observe(err) && !notified && health.OnRecovered != nil {
			health.OnRecovered()
		}
		interval := probeInterval
		if err != nil {
			interval = health.retryInterval()
		}
		notified = health.await(ctx, interval)
	}
}

// errProbeSuperseded reports that a probe was abandoned because a notification arrived after it was sent.
var errProbeSuperseded = errors.New("probe superseded: the store responded to another node")

// probe sends one probe. A probe that was sent while the store was lost may hang until its timeout although the store already responds to
// other nodes, so a notification aborts that probe. A probe that was itself requested by a notification is not aborted: otherwise
// frequent notifications would abort every probe of a slow store.
func (health *Health) probe(parent context.Context, notified bool) error {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- health.store.Probe(ctx) }()
	wake := health.wake
	if notified || health.Good() {
		wake = nil
	}
	select {
	case err := <-result:
		return err
	case <-wake:
		return errProbeSuperseded
	}
}

func (health *Health) needed() bool { return health.ProbeNeeded == nil || health.ProbeNeeded() }

// retryInterval returns the delay before the next probe of a lost store, with jitter if nodes share the probes.
func (health *Health) retryInterval() time.Duration {
	if health.Nodes == nil {
		return probeRetryMin
	}
	maxInterval := probeRetryMax
	if health.Urgent != nil && !health.Urgent() {
		maxInterval = probeRetryMaxIdle
	}
	interval := probeRetryUnknown
	if nodes := health.Nodes(); nodes > 0 {
		interval = min(maxInterval, max(probeRetryMin, time.Duration(nodes)*probeRetryPerNode))
	}
	return interval/2 + rand.N(interval)
}

// await waits for the interval and reports whether an immediate probe was requested.
func (health *Health) await(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-health.wake:
		return true
	}
	return false
}

// NotifyRecovered notifies this node that the store responds to another node again. If the store is lost here, it is probed at once.
func (health *Health) NotifyRecovered() {
	if health.Good() {
		return
	}
	select {
	case health.wake <- struct{}{}:
	default:
	}
}

// RequestProbe requests an immediate probe after a failed call, unless the store is already known to be lost.
func (health *Health) RequestProbe() {
	if health == nil || !health.Good() {
		return
	}
	select {
	case health.wake <- struct{}{}:
	default:
	}
}

// Observe records the outcome of a call to which the store must respond at once, and reports whether this call shows that a lost
// store has recovered.
func (health *Health) Observe(err error) (recovered bool) {
	health.mu.Lock()
	defer health.mu.Unlock()
	if err != nil {
		if !health.lost {
			health.logger.Warn("metadata store not responding", "error", err, "answered_ms_ago", time.Since(health.answeredAt).Milliseconds())
		}
		if !health.lost {
			health.lost, health.lostAt = true, time.Now()
		}
		return false
	}
	health.answeredAt = time.Now()
	health.probeAnsweredAt = health.answeredAt
	if !health.lost {
		return false
	}
	health.lost = false
	health.recoveredAt = health.answeredAt
	health.logger.Info("metadata store responding again")
	health.restartWatches()
	return true
}

// RestartWatches interrupts all watches; their followers start new ones.
func (health *Health) RestartWatches() {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.restartWatches()
}

// restartWatches must be called with mu held.
func (health *Health) restartWatches() {
	close(health.restart)
	health.restart = make(chan struct{})
}

// Good reports whether the store is not known to be lost.
func (health *Health) Good() bool {
	if health == nil {
		return true
	}
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lost
}

// RespondedAfter reports whether the store is good and has responded to a probe after a moment. This is stronger than Good, which also
// holds if the store has not been probed for a long time.
func (health *Health) RespondedAfter(moment time.Time) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lost && health.probeAnsweredAt.After(moment)
}

// LostFor returns how long the store has been lost, or zero if it is good.
func (health *Health) LostFor() time.Duration {
	if health == nil {
		return 0
	}
	health.mu.Lock()
	defer health.mu.Unlock()
	if !health.lost {
		return 0
	}
	return time.Since(health.lostAt)
}

// GoodFor reports whether the store has been good for at least the given time, or was never lost.
func (health *Health) GoodFor(duration time.Duration) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lost && time.Since(health.recoveredAt) >= duration
}

// AwaitGood waits until the store is good or the context ends. Callers use it to send no calls to a lost store, and to continue at
// once when the store recovers.
func (health *Health) AwaitGood(ctx context.Context) {
	if health == nil {
		return
	}
	for {
		health.mu.Lock()
		lost, restart := health.lost, health.restart
		health.mu.Unlock()
		if !lost {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-restart:
		}
	}
}

// context returns a context for a watch. It is canceled when watches restart.
func (health *Health) context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	if health == nil {
		return ctx, cancel
	}
	health.mu.Lock()
	restart := health.restart
	health.mu.Unlock()
	go func() {
		select {
		case <-restart:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
