package provisioning

import (
	"cmp"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	provisioningv1 "github.com/thistlewalk/thistlewalk/api/provisioning/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// orderPrefix is the prefix of the stored orders in the metadata store: one key for each service, zone and kind.
const orderPrefix = "provisioning/"

// poolKey identifies a pool.
type poolKey struct {
	service, zone string
	spot          bool
}

func comparePoolKeys(a, b poolKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone), cmp.Compare(a.kind(), b.kind()))
}

func (key poolKey) kind() string {
	if key.spot {
		return "spot"
	}
	return "on-demand"
}

func (key poolKey) storeKey() string {
	return orderPrefix + url.PathEscape(key.service) + "/" + url.PathEscape(key.zone) + "/" + key.kind()
}

// parseStoreKey returns the pool whose order is stored under a key; false if there is none.
func parseStoreKey(stored string) (poolKey, bool) {
	parts := strings.Split(strings.TrimPrefix(stored, orderPrefix), "/")
	if len(parts) != 3 {
		return poolKey{}, false
	}
	service, serviceErr := url.PathUnescape(parts[0])
	zone, zoneErr := url.PathUnescape(parts[1])
	key := poolKey{service, zone, parts[2] == poolKey{spot: true}.kind()}
	return key, serviceErr == nil && zoneErr == nil && key.storeKey() == stored
}

const (
	// deliveryBoots and deliverySlack give the time within which ordered replicas register; until then they count as expected.
	deliveryBoots = 2
	deliverySlack = 5 * time.Second
	// missingPatience is how long registered replicas may be fewer than ordered. It is longer than a replica takes to restart after a crash.
	missingPatience = 5 * time.Second
	// staleAfter is the age from which an unanswered order is not sent again, as the load that it was decided on is gone. An order for fewer replicas
	// expires after unansweredLimit, since the load may have risen.
	staleAfter = 10 * time.Minute
	// minUnavailable and maxUnavailable bound the time for which a pool that had none to give, or lost some, gets no order. The time doubles until
	// an order is fulfilled.
	minUnavailable = 10 * time.Second
	maxUnavailable = time.Minute
)

// poolState is what a term knows about a pool.
type poolState struct {
	// order is the stored order; nil if there is none. It is not changed: a new message replaces it, which keeps the fields of other builds.
	order    *provisioningv1.ReplicaOrder
	revision metadata.Revision
	// orderedAt is when the order was decided, or the start of the term. acceptedAt is when it was accepted in this term.
	orderedAt, acceptedAt time.Time

	// present replicas are registered and not draining. reclaimed ones have announced their end. seen is the highest number of present ones that
	// lasted, and moreSince is since when there have been more.
	present, reclaimed, seen int
	moreSince                time.Time
	// missingSince is since when replicas have been missing; zero if none are.
	missingSince     time.Time
	lost             bool
	unavailableUntil time.Time
	// backoff is the last time for which the pool was unavailable.
	backoff time.Duration

	attempts   int
	sendAt     time.Time
	retryPause time.Duration
}

// decodePool decodes a stored order. Its age is counted by its wall-clock time; an order from the future counts as just given.
func decodePool(item metadata.Item, now time.Time) (poolKey, *poolState, error) {
	order := &provisioningv1.ReplicaOrder{}
	if err := proto.Unmarshal(item.Value, order); err != nil {
		return poolKey{}, nil, errors.Wrap(err, "decode a replica order")
	}
	key := poolKey{order.GetService(), order.GetZone(), order.GetSpot()}
	if item.Key != key.storeKey() {
		return poolKey{}, nil, errors.Newf("the replica order of %s in %s is stored under another key", key.service, key.zone)
	}
	if order.GetCount() < 0 || order.GetPrevious() < 0 {
		return poolKey{}, nil, errors.Newf("the replica order of %s in %s is negative", key.service, key.zone)
	}
	pool := &poolState{order: order, revision: item.Revision, orderedAt: now.Add(-since(order.GetOrderedUnixMs(), now))}
	if order.GetState() == provisioningv1.State_STATE_REFUSED {
		pool.backoff = minUnavailable
		pool.unavailableUntil = now.Add(minUnavailable - since(order.GetRefusedUnixMs(), now))
	}
	return key, pool, nil
}

// since returns the time since a moment of the wall clock; zero if the moment is in the future.
func since(unixMillis int64, now time.Time) time.Duration {
	return max(0, now.Round(0).Sub(time.UnixMilli(unixMillis))) // Round drops the monotonic reading
}

// inherit takes over what was observed of the pool before its order was read from the store.
func (pool *poolState) inherit(observed *poolState) {
	pool.present, pool.reclaimed, pool.seen, pool.moreSince = observed.present, observed.reclaimed, observed.seen, observed.moreSince
	pool.missingSince, pool.lost, pool.unavailableUntil, pool.backoff = observed.missingSince, observed.lost, observed.unavailableUntil, observed.backoff
}

// ordered returns the number of replicas in force. Without a stored order, it is the highest number that was seen: a replica that restarts is not
// taken for one that was never ordered.
func (pool *poolState) ordered() int {
	switch {
	case pool.order == nil:
		return pool.seen
	case pool.order.GetState() == provisioningv1.State_STATE_REFUSED:
		return int(pool.order.GetPrevious())
	}
	return int(pool.order.GetCount())
}

func (pool *poolState) unanswered() bool {
	return pool.order != nil && pool.order.GetState() == provisioningv1.State_STATE_UNANSWERED
}

// reduces reports whether the order is for fewer replicas than before.
func (pool *poolState) reduces() bool {
	return pool.order != nil && pool.order.GetCount() < pool.order.GetPrevious()
}

// expired reports whether an unanswered order is too old to be sent again.
func (pool *poolState) expired(now time.Time) bool {
	return pool.age(now) > staleAfter || (pool.reduces() && pool.age(now) > unansweredLimit)
}

// withdraw puts the previous number in force again. Other than after a refusal, the zone can be asked at once.
func (pool *poolState) withdraw() {
	pool.order = proto.CloneOf(pool.order)
	pool.order.State, pool.order.RefusedUnixMs = provisioningv1.State_STATE_REFUSED, 0
}

func (pool *poolState) age(now time.Time) time.Duration { return now.Sub(pool.orderedAt) }

// delivering reports whether replicas may still be on their way.
func (pool *poolState) delivering(bootTime time.Duration, now time.Time) bool {
	if pool.order == nil || pool.order.GetState() == provisioningv1.State_STATE_REFUSED {
		return false
	}
	from := pool.orderedAt
	if pool.acceptedAt.After(from) {
		from = pool.acceptedAt
	}
	return now.Sub(from) < deliveryBoots*bootTime+deliverySlack
}

// observe updates which replicas are missing, and reports whether the pool has now lost replicas. A reclaim counts at once.
func (pool *poolState) observe(bootTime time.Duration, now time.Time) (lost bool) {
	pool.see(now)
	if pool.present >= pool.ordered() {
		pool.missingSince, pool.lost = time.Time{}, false
		if pool.order != nil && pool.order.GetState() == provisioningv1.State_STATE_ACCEPTED {
			pool.backoff = 0
		}
		return false
	}
	if pool.missingSince.IsZero() {
		pool.missingSince = now
	}
	reclaimed := pool.reclaimed > 0
	if pool.lost || (!reclaimed && (pool.delivering(bootTime, now) || now.Sub(pool.missingSince) < missingPatience)) {
		return false
	}
	pool.lost = true
	pool.makeUnavailable(now)
	return true
}

// see updates the number of replicas that were seen. While a replica is replaced, it and its successor are briefly registered together.
func (pool *poolState) see(now time.Time) {
	switch {
	case pool.present <= pool.seen:
		pool.moreSince = time.Time{}
	case pool.moreSince.IsZero():
		pool.moreSince = now
	}
	if pool.present > pool.seen && (pool.seen == 0 || now.Sub(pool.moreSince) >= missingPatience) {
		pool.seen, pool.moreSince = pool.present, time.Time{}
	}
}

// expected returns the number of replicas that serve or will soon.
func (pool *poolState) expected(bootTime time.Duration, now time.Time) int {
	switch {
	case pool.lost:
		return pool.present
	case pool.delivering(bootTime, now):
		return pool.ordered()
	}
	return max(pool.present, pool.ordered())
}

// describe returns the pool as an input of a decision.
func (pool *poolState) describe(key poolKey, bootTime time.Duration, now time.Time) Pool {
	return Pool{
		Zone: key.zone, Spot: key.spot, Ordered: pool.ordered(), Expected: pool.expected(bootTime, now), Age: pool.age(now),
		Lowered:    pool.reduces(),
		Unanswered: pool.unanswered(), Unsent: pool.unanswered() && pool.attempts == 0, Unavailable: now.Before(pool.unavailableUntil),
	}
}

// withOrder returns the pool with a new order, which is neither stored nor sent yet.
func (pool *poolState) withOrder(key poolKey, count int, fence int64, now time.Time) *poolState {
	next := *pool
	next.order = &provisioningv1.ReplicaOrder{}
	if pool.order != nil {
		next.order = proto.CloneOf(pool.order) // with the fields of newer builds
	}
	next.order.Service, next.order.Zone, next.order.Spot = key.service, key.zone, key.spot
	next.order.Count, next.order.Previous = int32(count), int32(pool.ordered())
	next.order.State, next.order.OrderedUnixMs, next.order.RefusedUnixMs, next.order.Fence = provisioningv1.State_STATE_UNANSWERED, now.UnixMilli(), 0, fence
	next.orderedAt, next.acceptedAt, next.sendAt, next.retryPause, next.attempts = now, time.Time{}, now, 0, 0
	next.missingSince, next.lost = time.Time{}, false
	return &next
}

// withObserved returns the pool with the observed number as an accepted order, as old as the term.
func (pool *poolState) withObserved(key poolKey, fence int64) *poolState {
	next := pool.withOrder(key, pool.seen, fence, pool.orderedAt)
	next.order.State = provisioningv1.State_STATE_ACCEPTED
	return next
}

// addTo adds the write of the pool's order to a transaction, on condition that the stored one is the one that this node knows.
func (pool *poolState) addTo(txn *metadata.Txn, key poolKey) error {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(pool.order)
	if err != nil {
		return errors.Wrap(err, "encode a replica order")
	}
	txn.Conditions = append(txn.Conditions, metadata.Condition{Key: key.storeKey(), Revision: pool.revision})
	txn.Puts = append(txn.Puts, metadata.Put{Key: key.storeKey(), Value: encoded})
	return nil
}

// settle records the answer to the order. A refused order leaves the previous number in force.
func (pool *poolState) settle(accepted bool, now time.Time) {
	pool.order = proto.CloneOf(pool.order)
	if accepted {
		pool.order.State, pool.acceptedAt = provisioningv1.State_STATE_ACCEPTED, now
		return
	}
	pool.order.State, pool.order.RefusedUnixMs = provisioningv1.State_STATE_REFUSED, now.UnixMilli()
}

func (pool *poolState) makeUnavailable(now time.Time) {
	pool.backoff = min(maxUnavailable, max(minUnavailable, 2*pool.backoff))
	pool.unavailableUntil = now.Add(pool.backoff)
}

func (pool *poolState) retryLater(now time.Time) {
	pool.retryPause = min(maxRetryPause, max(minRetryPause, 2*pool.retryPause))
	pool.sendAt = now.Add(pool.retryPause)
}
