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

// Keys of the election: who holds the lease, and who gave orders last. A holder writes the latter before its first order, and not when it
// acquires the lease: an acquisition may lapse, or its process end, before any order is given.
const (
	electionPrefix = "cluster/orderer"
	holderKey      = "cluster/orderer/holder"
	lastKey        = "cluster/orderer/last"
)

// ElectionSettings are the times of an election.
type ElectionSettings struct {
	// Lease is the life of the holder's lease, Renew how often it is renewed.
	Lease time.Duration
	Renew time.Duration
	// HandoverWait is how long a new holder waits before its first order, after another held the lease.
	HandoverWait time.Duration
}

// Election makes at most one node the holder of a lease in the metadata store.
type Election struct {
	Store    metadata.Store
	Node     string
	Settings ElectionSettings
	Logger   *log.Logger
	// StandIn is called when a former process of this node holds the lease still, which lapses by itself; its context ends with that.
	// This process orders nothing meanwhile. Nil for nothing.
	StandIn func(context.Context)
	// Clock is what terms go by; nil for a steady one. It has to go on while the machine is suspended, as the lease does.
	Clock clock.Clock

	health *metadata.Health
	mu     sync.Mutex
	holder string
	last   string
	// lastAt is the revision at which the last holder was read, zero for none: an acquisition needs it unchanged.
	lastAt metadata.Revision
	known  bool
	wake   chan struct{}
}

// NewElection returns an election that this node takes part in once Run is called.
func NewElection(store metadata.Store, node string, settings ElectionSettings, logger *log.Logger) *Election {
	return &Election{
		Store: store, Node: node, Settings: settings, Logger: logger, health: metadata.NewHealth(store, logger), wake: make(chan struct{}, 1),
	}
}

// Reset implements metadata.Handler.
func (election *Election) Reset(items []metadata.Item, _ metadata.Revision) {
	election.mu.Lock()
	election.holder, election.last, election.lastAt, election.known = "", "", 0, true
	for _, item := range items {
		election.put(item)
	}
	election.mu.Unlock()
	election.nudge()
}

// Apply implements metadata.Handler.
func (election *Election) Apply(events []metadata.Event, _ metadata.Revision) {
	election.mu.Lock()
	for _, event := range events {
		election.put(event.Item)
	}
	election.mu.Unlock()
	election.nudge()
}

// put must be called with mu held; a deleted key has no value.
func (election *Election) put(item metadata.Item) {
	switch item.Key {
	case holderKey:
		election.holder = string(item.Value)
	case lastKey:
		election.last, election.lastAt = string(item.Value), item.Revision
	}
}

func (election *Election) nudge() {
	select {
	case election.wake <- struct{}{}:
	default:
	}
}

const (
	candidateDelay = 250 * time.Millisecond
	// otherDelay is how much longer a candidate waits that did not hold the lease last: it has to wait before its first order,
	// and the last holder has not.
	otherDelay = 450 * time.Millisecond
	// renewFaster is how many times as often a renewal is tried that failed.
	renewFaster  = 3
	electionPoll = time.Second
	electionCall = 600 * time.Millisecond
	// acquireLimit leaves time for the two calls of an acquisition at a slow store.
	acquireLimit = 1500 * time.Millisecond
	// electionWatch bounds how long a vacancy can be missed.
	electionWatch   = 8 * time.Second
	electionBackoff = 250 * time.Millisecond
)

// Run takes part until the context ends, and calls lead for each term; the context of lead ends with the term.
func (election *Election) Run(ctx context.Context, lead func(context.Context, *Term)) {
	election.Clock = clock.OrSteady(election.Clock)
	go election.health.Run(ctx)
	follower := metadata.Follower{Store: election.Store, Prefix: electionPrefix, Handler: election, Logger: election.Logger, Health: election.health, Wait: func() time.Duration { return electionWatch }}
	go follower.Run(ctx)
	stopStandIn := func() {}
	defer func() { stopStandIn() }()
	standing := false
	for ctx.Err() == nil {
		if former := election.formerHolds(); former != standing {
			standing = former
			stopStandIn()
			if former {
				stopStandIn = election.standIn(ctx)
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
		stopStandIn()
		standing = false
		election.hold(ctx, term, lead)
	}
}

// formerHolds reports whether the holder of the lease is a process of this node: while this one does not hold it, a former one.
func (election *Election) formerHolds() bool {
	election.mu.Lock()
	defer election.mu.Unlock()
	return strings.HasPrefix(election.holder, election.Node+" ")
}

// standIn has this node stand in for its former process until the returned function is called.
func (election *Election) standIn(ctx context.Context) (stop func()) {
	if election.StandIn == nil {
		return func() {}
	}
	standCtx, cancel := context.WithCancel(ctx)
	go election.StandIn(standCtx)
	return cancel
}

// awaitVacancy waits until nobody holds the lease, and then for this node's turn; it reports whether that came.
func (election *Election) awaitVacancy(ctx context.Context) bool {
	vacant, own := election.vacant()
	if !vacant {
		timer := time.NewTimer(electionPoll)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-election.wake:
		case <-timer.C:
		}
		return false
	}
	if !own {
		wait.Pause(ctx, otherDelay+time.Duration(rand.Int64N(int64(candidateDelay))))
	}
	vacant, own = election.vacant()
	return vacant && (own || election.health.GoodFor(otherDelay)) && ctx.Err() == nil
}

func (election *Election) currentHolder() string {
	election.mu.Lock()
	defer election.mu.Unlock()
	return election.holder
}

func (election *Election) vacant() (vacant, own bool) {
	election.mu.Lock()
	defer election.mu.Unlock()
	return election.known && election.holder == "", election.last == election.Node
}

// acquire tries to take the lease; term is nil when another node has it.
func (election *Election) acquire(ctx context.Context) (*Term, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireLimit)
	defer cancel()
	election.mu.Lock()
	last, lastAt := election.last, election.lastAt
	election.mu.Unlock()
	sent := election.Clock.Elapsed()
	lease, err := election.Store.GrantLease(ctx, election.Settings.Lease)
	if err != nil {
		return nil, errors.Wrap(err, "grant")
	}
	holder := election.Node + " " + uuid.NewString()
	txn := metadata.Txn{
		Conditions: []metadata.Condition{{Key: holderKey}, {Key: lastKey, Revision: lastAt}},
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
		election.learn(conflict)
		return nil, nil
	case err != nil:
		if revision, err = election.readBack(holder); err != nil {
			return nil, errors.Wrap(err, "commit") // if it was done all the same, the lease runs out
		}
	}
	term := &Term{Fence: int64(revision), lease: lease, life: election.Settings.Lease, clock: election.Clock, begun: !waits}
	term.extend(sent)
	election.Logger.Info("orderer lease acquired", "fence", term.Fence, "last", last, "waits", waits)
	return term, nil
}

// beginOrders waits until the last holder gives no more orders, and writes this node down as the one that does, as long as its term lasts.
func (election *Election) beginOrders(ctx context.Context, term *Term) {
	wait.Pause(ctx, election.Settings.HandoverWait)
	for ctx.Err() == nil {
		callCtx, stop := context.WithTimeout(ctx, electionCall)
		_, err := election.Store.Commit(callCtx, metadata.Txn{
			Conditions: []metadata.Condition{term.Condition()}, Puts: []metadata.Put{{Key: lastKey, Value: []byte(election.Node)}},
		})
		stop()
		election.Logger.Info("orders begun", "fence", term.Fence, "error", err)
		var conflict *metadata.ConflictError
		if errors.As(err, &conflict) {
			return // another term has begun; the renewal of the lease will say so
		}
		if err == nil {
			term.begin()
			return
		}
		wait.Pause(ctx, election.Settings.Renew)
	}
}

// readBack settles an acquisition whose answer was lost.
func (election *Election) readBack(holder string) (metadata.Revision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), electionCall)
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

// vacate notes that the lease which this node held is over, before the watch tells.
func (election *Election) vacate() {
	election.mu.Lock()
	defer election.mu.Unlock()
	if strings.HasPrefix(election.holder, election.Node+" ") {
		election.holder = ""
	}
}

// learn takes what a refused acquisition tells: who holds the lease, or who held it last.
func (election *Election) learn(conflict *metadata.ConflictError) {
	election.mu.Lock()
	defer election.mu.Unlock()
	for _, item := range conflict.Items {
		election.put(item)
	}
}

// hold renews the lease until it is over. A lease may wait while the store is down: a term whose time has run out gives no
// orders, and goes on when a renewal succeeds, since nobody else can have held the lease meanwhile.
func (election *Election) hold(ctx context.Context, term *Term, lead func(context.Context, *Term)) {
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
		callCtx, stop := context.WithTimeout(ctx, electionCall)
		err := election.Store.RenewLease(callCtx, term.lease)
		stop()
		if errors.Is(err, metadata.ErrLeaseGone) {
			election.vacate()
			break
		}
		interval = election.Settings.Renew / renewFaster
		if err == nil {
			term.extend(sent)
			interval = election.Settings.Renew
		}
	}
	cancel()
	<-done
	election.Logger.Warn("orderer lease over", "fence", term.Fence, "stopping", ctx.Err() != nil)
	if ctx.Err() != nil {
		revokeCtx, stop := context.WithTimeout(context.Background(), electionCall)
		defer stop()
		_ = election.Store.RevokeLease(revokeCtx, term.lease) // it runs out by itself otherwise
	}
}
