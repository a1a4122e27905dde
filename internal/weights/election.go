package weights

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// Keys of the election: the current holder of the lease, and the node that gave orders last. A holder writes the latter just
// before its first order and not when it acquires the lease, because the lease may expire or the process may end before it gives
// any order.
const (
	electionPrefix = "cluster/orderer"
	holderKey      = "cluster/orderer/holder"
	lastKey        = "cluster/orderer/last"
)

// ElectionSettings are the intervals of an election.
type ElectionSettings struct {
	// Lease is the time to live of the lease, Renew the interval between renewals.
	Lease time.Duration
	Renew time.Duration
	// HandoverWait is how long a new holder waits before its first order if another node gave orders last.
	HandoverWait time.Duration
}

// Election elects at most one node as the holder of a lease in the metadata store.
type Election struct {
	Store    metadata.Store
	Node     string
	Settings ElectionSettings
	Logger   *log.Logger
	// OnEarlierIncarnation is called when an earlier incarnation of this node still holds the lease, which then has to expire. Its
	// context ends when that holder is gone. This process gives no orders in the meantime. Nil disables the call.
	OnEarlierIncarnation func(context.Context)
	// Clock measures terms; nil selects the steady clock. It has to advance while the machine is suspended, as the lease in the
	// store does.
	Clock clock.Clock

	health *metadata.Health
	mu     sync.Mutex
	holder string
	last   string
	// lastRevision is the revision of the key of the last orderer, zero if the key does not exist. An acquisition requires it to
	// be unchanged.
	lastRevision metadata.Revision
	synced       bool
	wake         chan struct{}
}

// NewElection returns an election. The node takes part once Run is called.
func NewElection(store metadata.Store, node string, settings ElectionSettings, logger *log.Logger) *Election {
	return &Election{
		Store: store, Node: node, Settings: settings, Logger: logger, health: metadata.NewHealth(store, logger), wake: make(chan struct{}, 1),
	}
}

// Reset implements metadata.Handler.
func (election *Election) Reset(items []metadata.Item, _ metadata.Revision) {
	election.mu.Lock()
	election.holder, election.last, election.lastRevision, election.synced = "", "", 0, true
	for _, item := range items {
		election.applyItem(item)
	}
	election.mu.Unlock()
	election.notify()
}

// Apply implements metadata.Handler.
func (election *Election) Apply(events []metadata.Event, _ metadata.Revision) {
	election.mu.Lock()
	for _, event := range events {
		election.applyItem(event.Item)
	}
	election.mu.Unlock()
	election.notify()
}

// applyItem must be called with mu held. The item of a deleted key has no value.
func (election *Election) applyItem(item metadata.Item) {
	switch item.Key {
	case holderKey:
		election.holder = string(item.Value)
	case lastKey:
		election.last, election.lastRevision = string(item.Value), item.Revision
	}
}

func (election *Election) notify() {
	select {
	case election.wake <- struct{}{}:
	default:
	}
}

const (
	candidateDelay = 250 * time.Millisecond
	// successorDelay is the additional delay of a candidate that was not the last orderer. The last orderer goes first because it
	// needs no handover wait.
	successorDelay = 450 * time.Millisecond
	// renewRetryFactor divides the renewal interval after a renewal fails.
	renewRetryFactor     = 3
	electionPollInterval = time.Second
	electionCallTimeout  = 600 * time.Millisecond
	// acquireTimeout leaves time for the two calls of an acquisition at a slow store.
	acquireTimeout = 1500 * time.Millisecond
	// electionWatchTimeout bounds how long a vacancy can go unnoticed.
	electionWatchTimeout = 8 * time.Second
	electionBackoff      = 250 * time.Millisecond
)

// Run takes part in the election until the context ends. It calls lead for each term, with a context that ends with the term.
func (election *Election) Run(ctx context.Context, lead func(context.Context, *Term)) {
	election.Clock = clock.OrMonotonic(election.Clock)
	go election.health.Run(ctx)
	follower := metadata.Follower{Store: election.Store, Prefix: electionPrefix, Handler: election, Logger: election.Logger, Health: election.health, Wait: func() time.Duration { return electionWatchTimeout }}
	go follower.Run(ctx)
	stopCallback := func() {}
	defer func() { stopCallback() }()
	callbackRuns := false
	for ctx.Err() == nil {
		if earlier := election.earlierIncarnationHolds(); earlier != callbackRuns {
			callbackRuns = earlier
			stopCallback()
			if earlier {
				stopCallback = election.startOnEarlierIncarnation(ctx)
			}
		}
		if !election.awaitVacancy(ctx) {
			continue
		}
		term, err := election.acquire(ctx)
		if err != nil || term == nil {
			election.Logger.Info("orderer lease not acquired", "holder", election.currentHolder(), "error", err)
			wait.Pause(ctx, electionBackoff)
			continue
		}
		stopCallback()
		callbackRuns = false
		election.holdLease(ctx, term, lead)
	}
}

// earlierIncarnationHolds reports whether an earlier incarnation of this node holds the lease. It is meaningful only while this
// process does not hold it.
func (election *Election) earlierIncarnationHolds() bool {
	election.mu.Lock()
	defer election.mu.Unlock()
	return strings.HasPrefix(election.holder, election.Node+" ")
}

// startOnEarlierIncarnation runs OnEarlierIncarnation until the returned function is called.
func (election *Election) startOnEarlierIncarnation(ctx context.Context) (stop func()) {
	if election.OnEarlierIncarnation == nil {
		return func() {}
	}
	publishCtx, cancel := context.WithCancel(ctx)
	go election.OnEarlierIncarnation(publishCtx)
	return cancel
}

// awaitVacancy waits until nobody holds the lease, and then for this node's delay. It reports whether the node may try to acquire
// the lease.
func (election *Election) awaitVacancy(ctx context.Context) bool {
	vacant, wasLast := election.vacant()
	if !vacant {
		timer := time.NewTimer(electionPollInterval)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-election.wake:
		case <-timer.C:
		}
		return false
	}
	if !wasLast {
		wait.Pause(ctx, successorDelay+time.Duration(rand.Int64N(int64(candidateDelay))))
	}
	vacant, wasLast = election.vacant()
	return vacant && (wasLast || election.health.GoodFor(successorDelay)) && ctx.Err() == nil
}

func (election *Election) currentHolder() string {
	election.mu.Lock()
	defer election.mu.Unlock()
	return election.holder
}

func (election *Election) vacant() (vacant, wasLast bool) {
	election.mu.Lock()
	defer election.mu.Unlock()
	return election.synced && election.holder == "", election.last == election.Node
}

// acquire tries to take the lease; the term is nil if another node holds it.
func (election *Election) acquire(ctx context.Context) (*Term, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	election.mu.Lock()
	last, lastRevision := election.last, election.lastRevision
	election.mu.Unlock()
	sent := election.Clock.Elapsed()
	lease, err := election.Store.GrantLease(ctx, election.Settings.Lease)
	if err != nil {
		return nil, errors.Wrap(err, "grant")
	}
	holder := election.Node + " " + uuid.NewString()
	txn := metadata.Txn{
		Conditions: []metadata.Condition{{Key: holderKey}, {Key: lastKey, Revision: lastRevision}},
		Puts:       []metadata.Put{{Key: holderKey, Value: []byte(holder), Lease: lease}},
	}
	waits := last != "" && last != election.Node
	if last == "" {
		txn.Puts = append(txn.Puts, metadata.Put{Key: lastKey, Value: []byte(election.Node)})
	}
	revision, err := election.Store.Commit(ctx, txn)
	var conflict *metadata.ConflictError
	switch {
	case errors.As(err, &conflict):
		election.applyConflict(conflict)
		return nil, nil
	case err != nil:
		if revision, err = election.confirmAcquisition(holder); err != nil {
			return nil, errors.Wrap(err, "commit") // if the commit succeeded after all, the lease expires
		}
	}
	term := &Term{Fence: int64(revision), lease: lease, timeToLive: election.Settings.Lease, handoverWait: election.Settings.HandoverWait, clock: election.Clock, begun: !waits}
	term.extend(sent)
	election.Logger.Info("orderer lease acquired", "fence", term.Fence, "last", last, "waits", waits)
	return term, nil
}

// beginOrders waits until the last orderer can give no more orders, and then records this node as the orderer, retrying until the
// term ends.
func (election *Election) beginOrders(ctx context.Context, term *Term) {
	wait.Pause(ctx, election.Settings.HandoverWait)
	for ctx.Err() == nil {
		callCtx, stop := context.WithTimeout(ctx, electionCallTimeout)
		_, err := election.Store.Commit(callCtx, metadata.Txn{
			Conditions: []metadata.Condition{term.Condition()}, Puts: []metadata.Put{{Key: lastKey, Value: []byte(election.Node)}},
		})
		stop()
		election.Logger.Info("orders begun", "fence", term.Fence, "error", err)
		var conflict *metadata.ConflictError
		if errors.As(err, &conflict) {
			return // the lease is gone; the next renewal ends the term
		}
		if err == nil {
			term.begin()
			return
		}
		wait.Pause(ctx, election.Settings.Renew)
	}
}

// confirmAcquisition reads the key of the holder after the answer to an acquisition was lost.
func (election *Election) confirmAcquisition(holder string) (metadata.Revision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), electionCallTimeout)
	defer cancel()
	item, found, err := election.Store.Get(ctx, holderKey)
	switch {
	case err != nil:
		return 0, err
	case !found || string(item.Value) != holder:
		return 0, metadata.ErrUncertain
	}
	return item.Revision, nil
}

// vacate clears the holder if it is this node, without waiting for the watch.
func (election *Election) vacate() {
	election.mu.Lock()
	defer election.mu.Unlock()
	if strings.HasPrefix(election.holder, election.Node+" ") {
		election.holder = ""
	}
}

// applyConflict applies the items of a refused acquisition: the current holder or the last orderer.
func (election *Election) applyConflict(conflict *metadata.ConflictError) {
	election.mu.Lock()
	defer election.mu.Unlock()
	for _, item := range conflict.Items {
		election.applyItem(item)
	}
}

// holdLease renews the lease until it is gone. While the store is down the lease may be kept there: a term that has run out
// locally gives no orders, and resumes when a renewal succeeds, since no other node can have held the lease in the meantime.
func (election *Election) holdLease(ctx context.Context, term *Term, lead func(context.Context, *Term)) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(termCtx, term)
	}()
	if !term.begun {
		go election.beginOrders(termCtx, term)
	}
	interval := election.Settings.Renew
	for ctx.Err() == nil {
		wait.Pause(ctx, interval)
		sent := election.Clock.Elapsed()
		callCtx, stop := context.WithTimeout(ctx, electionCallTimeout)
		err := election.Store.RenewLease(callCtx, term.lease)
		stop()
		if errors.Is(err, metadata.ErrLeaseExpired) {
			election.vacate()
			break
		}
		interval = election.Settings.Renew / renewRetryFactor
		if err == nil {
			term.extend(sent)
			interval = election.Settings.Renew
		}
	}
	cancel()
	<-done
	election.Logger.Warn("orderer lease over", "fence", term.Fence, "stopping", ctx.Err() != nil)
	if ctx.Err() != nil {
		revokeCtx, stop := context.WithTimeout(context.Background(), electionCallTimeout)
		defer stop()
		_ = election.Store.RevokeLease(revokeCtx, term.lease) // otherwise the lease expires
	}
}
