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
	probeLimit    = 700 * time.Millisecond
	// neededCheck is how often a node that need not probe looks whether it has to by now: a fifth of probeInterval, so that it finds a
	// lost store hardly later than one that always probes.
	neededCheck = 200 * time.Millisecond
	// probeAgain is the time between two probes of a lost store by all nodes together that share them, as far as each may wait so
	// long: refused calls are paid for as others are.
	probeAgain     = 30 * time.Millisecond
	probeAgainMost = time.Second
	// probeAgainSeldom takes its place for a node that does not wait for the store, should what others tell be lost: half of an outage
	// of usual length.
	probeAgainSeldom = 3 * time.Second
	// probeAgainUnknown is the time between two probes by a node that does not know yet how many others there are, and so can neither
	// tell them nor be told: all of a large fleet may have been restarted while the store is lost.
	probeAgainUnknown = 500 * time.Millisecond
	// probeAgainAlone is the time between two probes of a lost store by a node that shares them with nobody.
	probeAgainAlone = 120 * time.Millisecond
)

// Health finds out when the store has stopped answering and when it answers again. A watch that waited meanwhile may never
// be answered, on a connection that looks alive, so all watches are cut and begun anew then. A nil Health cuts none.
type Health struct {
	store  Store
	logger *log.Logger
	// Nodes returns how many nodes share the probes of a lost store: each probes so much more seldom, and tells the others when the
	// store answers again. Nil for none. It must be set before Run.
	Nodes func() int
	// Needed reports whether this node has to know soon when the store is lost. While it need not, a store that answered last is not
	// probed. Nil for always. It must be set before Run.
	Needed func() bool
	// Urgent reports whether this node has work that waits for a lost store, or hears of no other node. One for which neither holds
	// probes it seldom among many nodes: others tell it when the store answers. Nil for always. It must be set before Run.
	Urgent func() bool
	// OnRegained is called when a probe of this node's own found that the store answers again; nil for nothing.
	OnRegained func()

	wake chan struct{} // the store is to be probed now

	mu       sync.Mutex
	cut      chan struct{} // closed when watches are to begin anew
	answered time.Time
	proved   time.Time // when a probe was last answered; zero before the first
	lost     bool
	lostAt   time.Time // when a probe first failed
	regained time.Time // when it answered again; zero if it was never lost
}

// NewHealth returns the health of a store, which is good until a probe fails.
func NewHealth(store Store, logger *log.Logger) *Health {
	return &Health{store: store, logger: logger, wake: make(chan struct{}, 1), cut: make(chan struct{}), answered: time.Now()}
}

// Run probes the store until the context ends.
func (health *Health) Run(ctx context.Context) {
	told := false // whether the next probe was asked for
	for ctx.Err() == nil {
		if health.Good() && !told && !health.needed() {
			told = health.await(ctx, neededCheck)
			continue
		}
		err := health.probe(ctx, told)
		if errors.Is(err, errToldMeanwhile) {
			told = true
			continue
		}
		if health.Observe(err) && !told && health.OnRegained != nil {
			health.OnRegained()
		}
		interval := probeInterval
		if err != nil {
			interval = health.again()
		}
		told = health.await(ctx, interval)
	}
}

// errToldMeanwhile says that a probe was left, since others have been answered after it was sent.
var errToldMeanwhile = errors.New("others were answered meanwhile")

// probe asks the store. A lost store that says nothing holds a probe until its limit, also when it answers others by then: the first telling
// ends a probe that was sent before, and another is sent. One that was sent because of a telling is not left.
func (health *Health) probe(parent context.Context, told bool) error {
	ctx, cancel := context.WithTimeout(parent, probeLimit)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- health.store.Probe(ctx) }()
	wake := health.wake
	if told || health.Good() {
		wake = nil
	}
	select {
	case err := <-answered:
		return err
	case <-wake:
		return errToldMeanwhile
	}
}

func (health *Health) needed() bool { return health.Needed == nil || health.Needed() }

// again returns how long to wait before a lost store is probed again, spread so that nodes do not do so at the same moment.
func (health *Health) again() time.Duration {
	if health.Nodes == nil {
		return probeAgainAlone
	}
	most := probeAgainMost
	if health.Urgent != nil && !health.Urgent() {
		most = probeAgainSeldom
	}
	interval := probeAgainUnknown
	if nodes := health.Nodes(); nodes > 0 {
		interval = min(most, max(probeAgainAlone, time.Duration(nodes)*probeAgain))
	}
	return interval/2 + rand.N(interval)
}

// await waits, and reports whether it was woken.
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

// Told takes another node's word that the store answers again: a lost one is probed at once.
func (health *Health) Told() {
	if health.Good() {
		return
	}
	select {
	case health.wake <- struct{}{}:
	default:
	}
}

// Doubt has a store that answered last be probed at once, because a call failed that it should have answered.
func (health *Health) Doubt() {
	if health == nil || !health.Good() {
		return
	}
	select {
	case health.wake <- struct{}{}:
	default:
	}
}

// Observe takes the outcome of a call that the store must answer at once, and reports whether the store answers again by it.
func (health *Health) Observe(err error) (again bool) {
	health.mu.Lock()
	defer health.mu.Unlock()
	if err != nil {
		if !health.lost {
			health.logger.Warn("metadata store silent", "error", err, "answered_ms_ago", time.Since(health.answered).Milliseconds())
		}
		if !health.lost {
			health.lost, health.lostAt = true, time.Now()
		}
		return false
	}
	health.answered = time.Now()
	health.proved = health.answered
	if !health.lost {
		return false
	}
	health.lost = false
	health.regained = health.answered
	health.logger.Info("metadata store answers again")
	health.cutWatches()
	return true
}

// CutWatches has all watches begin anew.
func (health *Health) CutWatches() {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.cutWatches()
}

// cutWatches must be called with mu held.
func (health *Health) cutWatches() {
	close(health.cut)
	health.cut = make(chan struct{})
}

// Good reports whether the store answered when it was last asked.
func (health *Health) Good() bool {
	if health == nil {
		return true
	}
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lost
}

// AnsweredAfter reports whether the store was asked and has answered since a moment. A store that is good may not have been asked for
// long.
func (health *Health) AnsweredAfter(moment time.Time) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lost && health.proved.After(moment)
}

// LostFor returns how long the store has been lost; zero if it answers.
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

// GoodFor reports whether the store has answered for a time, since it was last lost.
func (health *Health) GoodFor(duration time.Duration) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lost && time.Since(health.regained) >= duration
}

// AwaitGood waits until the store answers, as far as the probes tell, or the context ends. Calls that would only be refused
// are saved so, and are made at once when the store is back.
func (health *Health) AwaitGood(ctx context.Context) {
	if health == nil {
		return
	}
	for {
		health.mu.Lock()
		lost, cut := health.lost, health.cut
		health.mu.Unlock()
		if !lost {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-cut:
		}
	}
}

// context returns a context that ends when watches are to begin anew.
func (health *Health) context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	if health == nil {
		return ctx, cancel
	}
	health.mu.Lock()
	cut := health.cut
	health.mu.Unlock()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
