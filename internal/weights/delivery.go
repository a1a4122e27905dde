package weights

import (
	"context"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// deliveryPoll is the interval between two questions to a replica that may still receive an order of a former term.
	deliveryPoll = 250 * time.Millisecond
	// deliverySlack covers the shortest retransmission interval of TCP.
	deliverySlack = 300 * time.Millisecond
	// maxOrderAge bounds what a sender's clock may make of the age of an order.
	maxOrderAge = 10 * time.Second
	// unregisteredLimit is how long an order is remembered whose replica is not registered.
	unregisteredLimit = 30 * time.Second
	ledgerRetryDelay  = 200 * time.Millisecond
)

// deliveryOutcome is why an order of a former term holds its replica back no longer.
type deliveryOutcome string

// Outcomes in logs and metrics.
const (
	deliveryPending      deliveryOutcome = ""
	deliveryArrived      deliveryOutcome = "arrived"
	deliveryLost         deliveryOutcome = "lost"
	deliveryUnregistered deliveryOutcome = "unregistered"
)

// delivery decides when an order of a former term can no longer reach its replica, and when the replica may get orders of this term.
// TCP repeats what a partition holds up at intervals that double: what is not there when the replica has been reachable for as long as
// the order was old does not arrive any more.
type delivery struct {
	order  inFlight
	loaded time.Time
	// pause is what has to lie between an order of the former holder and one of this node; zero if this node was the holder.
	pause time.Duration
	// minAge is the lowest age of the order that is assumed, because the clocks of two nodes differ.
	minAge time.Duration

	reachableSince time.Time // zero while the replica does not answer
	arrivedAt      time.Time // when the order was first seen to have arrived; zero before
	registeredAt   time.Time // when the replica was last registered
}

// unreachable records that the replica did not answer, or is not registered.
func (delivery *delivery) unreachable() { delivery.reachableSince = time.Time{} }

// reported records an answer of the replica with the number of orders that it has accepted.
func (delivery *delivery) reported(orders int64, now time.Time) {
	if delivery.reachableSince.IsZero() {
		delivery.reachableSince = now
	}
	if orders > delivery.order.ExpectedOrders && delivery.arrivedAt.IsZero() {
		delivery.arrivedAt = now
	}
}

// outcome returns deliveryPending while the replica may get no order of this term.
func (delivery *delivery) outcome(now time.Time) deliveryOutcome {
	switch {
	case !delivery.arrivedAt.IsZero() && now.Sub(delivery.arrivedAt) >= delivery.pause:
		return deliveryArrived
	case delivery.arrivedAt.IsZero() && !delivery.reachableSince.IsZero() && now.Sub(delivery.reachableSince) >= delivery.ageWhenReached()+deliverySlack:
		return deliveryLost
	case delivery.arrivedAt.IsZero() && now.Sub(delivery.registeredAt) >= unregisteredLimit:
		return deliveryUnregistered
	}
	return deliveryPending
}

// untilNextCheck returns when the outcome has to be looked at again: at the end of the pause if the order has arrived, otherwise after
// the next question to the replica.
func (delivery *delivery) untilNextCheck(now time.Time) time.Duration {
	if delivery.arrivedAt.IsZero() {
		return deliveryPoll
	}
	return delivery.arrivedAt.Add(delivery.pause).Sub(now)
}

// ageWhenReached returns how old the order was when the replica became reachable.
func (delivery *delivery) ageWhenReached() time.Duration {
	age := delivery.loaded.Sub(time.UnixMilli(delivery.order.SentUnixMS))
	return min(max(age, delivery.minAge), maxOrderAge) + delivery.reachableSince.Sub(delivery.loaded)
}

// loadLedger reads the orders that former terms left in flight, and begins to wait for each of them. It retries until the term ends, and
// reports whether it has read them.
func (run *termRun) loadLedger(ctx context.Context) bool {
	for ctx.Err() == nil {
		orders, err := run.ledger.load(ctx)
		if err == nil {
			for _, order := range orders {
				go run.awaitDelivery(ctx, order)
			}
			return true
		}
		run.orderer.Logger.Warn("orders in flight not read", "fence", run.term.Fence, "error", err)
		wait.Pause(ctx, ledgerRetryDelay)
	}
	return false
}

// awaitDelivery keeps a replica without orders until an order of a former term has arrived there or can't arrive any more.
func (run *termRun) awaitDelivery(ctx context.Context, order inFlight) {
	now := time.Now()
	awaited := &delivery{order: order, loaded: now, registeredAt: now, minAge: run.term.timeToLive}
	if order.Node != run.orderer.Node {
		awaited.pause = run.term.handoverWait
	}
	for ctx.Err() == nil {
		changed := run.orderer.Catalog.Changed()
		replica := run.orderer.Catalog.Replicas().Find(order.Replica)
		if awaited.arrivedAt.IsZero() {
			run.queryDelivery(ctx, awaited, replica)
		}
		now := time.Now()
		if outcome := awaited.outcome(now); outcome != deliveryPending && ctx.Err() == nil {
			run.endDelivery(awaited, outcome, now)
			return
		}
		if replica != nil {
			changed = nil
		}
		waitForChange(ctx, changed, awaited.untilNextCheck(now))
	}
}

// waitForChange waits for at most a duration, until a channel is closed or the context ends. A nil channel is never closed.
func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// endDelivery lets the replica of an order of a former term get orders of this one.
func (run *termRun) endDelivery(awaited *delivery, outcome deliveryOutcome, now time.Time) {
	order := awaited.order
	run.ledger.remove(order)
	run.orderer.Metrics.FormerOrder(string(outcome))
	run.orderer.Logger.Info("former order over", "replica", order.Replica, "from", order.Node, "from_fence", order.Fence, "fence", run.term.Fence,
		"expected_orders", order.ExpectedOrders, "outcome", string(outcome), "waited_ms", now.Sub(awaited.loaded).Milliseconds())
	run.orderer.notify()
}

// queryDelivery asks the replica of an order of a former term how many orders it has accepted. The replica is nil if it is not registered.
func (run *termRun) queryDelivery(ctx context.Context, awaited *delivery, replica *catalog.Replica) {
	if replica == nil {
		awaited.unreachable()
		return
	}
	awaited.registeredAt = time.Now()
	report, err := run.refreshState(ctx, replica)
	if err != nil {
		awaited.unreachable()
		return
	}
	awaited.reported(report.Orders, time.Now())
}
