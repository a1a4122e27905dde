package provisioning

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/leadership"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// roundInterval is the time between two decisions. At most one order is sent in a round, since the platform limits the calls of all nodes.
	roundInterval = 250 * time.Millisecond
	orderTimeout  = 2 * time.Second
	storeTimeout  = 900 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause before an unanswered order is sent again.
	minRetryPause = time.Second
	maxRetryPause = 8 * time.Second
	// settleTime is how long the lease must have been valid before a decision. Replicas whose entries lapsed during an outage of the store
	// register again within two seconds.
	settleTime = 3 * time.Second
	// confirmTime is how long the reported load must have been too high before replicas are ordered. It spans two counts of refused requests, each
	// of a second; a shorter burst is over before a replica boots.
	confirmTime = 2 * time.Second
	// maxSilence is how long nodes may report no load of any service before it counts as unknown. Idle nodes report nothing, but nor do nodes that
	// are cut off from this one.
	maxSilence = 15 * time.Second
	// demandLogInterval is the time between two log lines about the demand for a service.
	demandLogInterval = 30 * time.Second
	// forgetAfter is the age from which the stored order of a service that is no longer scaled is removed.
	forgetAfter    = time.Hour
	forgetInterval = time.Minute
	// After a count of the replicas, the next one waits for countPauseFactor times as long as it took: half a percent of a core at most, however
	// many replicas change their versions. A pause of this process during a count must not delay the next one for long.
	countPauseFactor = 200
	maxCountPause    = time.Second
)

// Order is an order for the replicas of one kind that a service has in a zone. Count is their number and not a difference, so that an order can be
// sent again.
type Order struct {
	Service, Zone string
	Spot          bool
	Count         int
}

// ErrRefused says that the platform does not carry out an order, as it has no replicas to give at present or finds the order wrong.
var ErrRefused = errors.New("the platform refused the order")

// Sink takes orders for replicas.
type Sink interface {
	// Order sends an order on behalf of the holder of a term, with the fence of that term. After an error other than ErrRefused, the order
	// may or may not have been accepted.
	Order(ctx context.Context, holder string, fence int64, order Order) error
}

// Provisioner orders replicas during the terms of this node.
type Provisioner struct {
	Node    string
	Store   metadata.Store
	Sink    Sink
	Catalog *catalog.Table
	Loads   *Loads
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// ReplicasRevision returns the revision of the metadata store as of which the catalog's replicas are known.
	ReplicasRevision func() metadata.Revision
	// CallGrace is how long a call may continue after the term has ended; see leadership.CallContext.
	CallGrace time.Duration
}

// termWork is the work of one term. Only one goroutine uses its fields.
type termWork struct {
	*Provisioner
	fence     int64
	term      leadership.Term
	startedAt time.Time
	// validSince is when the lease became valid after it had not been, or when the replicas were first read; zero while either is missing.
	validSince time.Time
	pools      map[poolKey]*poolState
	services   map[string]*serviceState
	// counted and countedFor are the replicas and the configuration from which the pools were counted.
	counted    *catalog.ReplicaSet
	countedFor *catalog.Configuration
	countNext  time.Time // not before
	forgotAt   time.Time
}

// serviceState is what a term knows about the demand for a service.
type serviceState struct {
	slots     int // of a replica
	sustained history
	peak      history
	loggedAt  time.Time
	// decideNext is when the next decision may be made, storePause the last pause after orders could not be stored.
	decideNext time.Time
	storePause time.Duration
}

// Run orders replicas until the context ends, which it does at the end of the term.
func (provisioner *Provisioner) Run(ctx context.Context, fence int64, term leadership.Term) {
	work := &termWork{
		Provisioner: provisioner, fence: fence, term: term, startedAt: time.Now(), pools: make(map[poolKey]*poolState), services: make(map[string]*serviceState),
	}
	for !work.resume(ctx) {
		if wait.Pause(ctx, roundInterval); ctx.Err() != nil {
			return
		}
	}
	for ctx.Err() == nil {
		work.round(ctx)
		wait.Pause(ctx, roundInterval)
	}
}

// resume reads the orders that former holders have stored. Their conditions fail since this term began, so no further order of theirs is stored. It
// returns false if the store cannot be read.
func (work *termWork) resume(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := work.Store.List(callCtx, orderPrefix)
	if err != nil {
		work.Logger.Warn("replica orders not read", "fence", work.fence, "error", err)
		return false
	}
	unanswered := 0
	for _, item := range listing.Items {
		work.adopt(item)
	}
	for _, pool := range work.pools {
		if pool.unanswered() {
			unanswered++
		}
	}
	work.Logger.Info("replica orders resumed", "fence", work.fence, "stored", len(listing.Items), "unanswered", unanswered)
	return true
}

// round sends an unanswered order, observes the demand, and decides. It neither sends nor decides unless the lease is valid: a store that does not
// renew the lease would not store an order either.
func (work *termWork) round(ctx context.Context) {
	configuration := work.Catalog.Configuration()
	if configuration == nil {
		return
	}
	if now := time.Now(); work.settled(now) {
		work.withdrawExpired(now)
		work.sendNext(ctx, configuration)
	}
	now := time.Now() // a call may have taken seconds, so the decision rests on what is known after it
	work.countReplicas(configuration)
	scaled := make(map[string]*demand)
	for name, service := range configuration.Services {
		if service.Scaling != nil {
			scaled[name] = work.observe(configuration, &service, now)
		}
	}
	if !work.settled(now) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(scaled)) {
		work.recordObserved(ctx, name, now)
		work.decide(ctx, scaled[name], now)
	}
	work.forget(ctx, configuration, now)
}

// settled reports whether the lease has been valid, and the replicas known as of this term, for settleTime. When it becomes valid again, reductions
// that are unanswered are withdrawn, since the load may have risen meanwhile.
func (work *termWork) settled(now time.Time) bool {
	if !work.term.Valid(leadership.Margin) || !work.replicasRead() {
		work.validSince = time.Time{}
		return false
	}
	if work.validSince.IsZero() {
		work.validSince = now
		work.withdraw((*poolState).reduces)
	}
	return now.Sub(work.validSince) >= settleTime
}

// replicasRead reports whether the replicas have been read from the store, or confirmed by a watch, since the term began. Its condition holds the
// revision at which it began.
func (work *termWork) replicasRead() bool {
	return work.ReplicasRevision() >= work.term.Condition().Revision
}

// withdrawExpired withdraws the unanswered orders whose load is long gone.
func (work *termWork) withdrawExpired(now time.Time) {
	work.withdraw(func(pool *poolState) bool { return pool.expired(now) })
}

// withdraw takes the selected unanswered orders for not sent. The next order replaces their records. If the platform has accepted one after all,
// replicas will be missing.
func (work *termWork) withdraw(selected func(*poolState) bool) {
	for key, pool := range work.pools {
		if pool.unanswered() && selected(pool) {
			pool.withdraw()
			work.Logger.Info("replica order withdrawn", "service", key.service, "zone", key.zone, "spot", key.spot, "count", pool.order.GetCount(),
				"previous", pool.order.GetPrevious(), "decided_in", pool.order.GetFence(), "fence", work.fence)
		}
	}
}

// countReplicas counts the registered replicas of each pool, if they have changed.
func (work *termWork) countReplicas(configuration *catalog.Configuration) {
	replicas := work.Catalog.Replicas()
	begun := time.Now()
	if (replicas == work.counted && configuration == work.countedFor) || begun.Before(work.countNext) {
		return
	}
	defer func() { work.countNext = time.Now().Add(min(maxCountPause, countPauseFactor*time.Since(begun))) }()
	work.counted, work.countedFor = replicas, configuration
	for _, pool := range work.pools {
		pool.present, pool.reclaimed = 0, 0
	}
	for name, service := range configuration.Services {
		if service.Scaling == nil {
			continue
		}
		slots := make(map[int]int)
		for replica := range replicas.Service(name).Each() {
			pool := work.pool(poolKey{name, replica.Zone, replica.Spot})
			switch {
			case !replica.Draining:
				pool.present++
				slots[replica.Slots]++
			case replica.Spot && replica.LeavesAfter > 0:
				pool.reclaimed++
			}
		}
		work.service(&service).slots = mostFrequent(slots, work.service(&service).slots)
	}
}

// mostFrequent returns the value with the highest count, or the former value if there is none. A single wrong entry changes nothing.
func mostFrequent(counts map[int]int, former int) int {
	best := former
	for value, count := range counts {
		if count > counts[best] || (count == counts[best] && value < best) {
			best = value
		}
	}
	return best
}

func (work *termWork) pool(key poolKey) *poolState {
	if work.pools[key] == nil {
		work.pools[key] = &poolState{orderedAt: work.startedAt}
	}
	return work.pools[key]
}

func (work *termWork) service(service *catalog.Service) *serviceState {
	if work.services[service.Name] == nil {
		work.services[service.Name] = &serviceState{
			sustained: history{length: confirmTime, combine: lowest}, peak: history{combine: highest},
		}
	}
	return work.services[service.Name]
}

// demand is the situation of a service with the load from which it results.
type demand struct {
	service   string
	load      Load
	situation Situation
}

// observe records the present need of a service and returns its situation.
func (work *termWork) observe(configuration *catalog.Configuration, service *catalog.Service, now time.Time) *demand {
	state := work.service(service)
	state.peak.length = LowerAfter(service.Scaling.BootTime)
	span, patience, batchOnly, immovable := expectations(configuration, service.Name)
	load := work.Loads.Read(service.Name, service.Models, span, service.Scaling.BootTime, now)
	load.Patience = patience
	observed := &demand{service: service.Name, load: load, situation: Situation{Service: Service{
		Scaling: *service.Scaling, Slots: state.slots, BatchOnly: batchOnly, Immovable: immovable,
	}}}
	total := 0
	for _, key := range work.poolsOf(service) {
		pool := work.pool(key)
		if pool.observe(service.Scaling.BootTime, now) {
			work.Logger.Warn("replicas missing", "service", key.service, "zone", key.zone, "spot", key.spot, "ordered", pool.ordered(), "present", pool.present,
				"reclaimed", pool.reclaimed)
		}
		total += pool.present
		observed.situation.Pools = append(observed.situation.Pools, pool.describe(key, service.Scaling.BootTime, now))
	}
	need := observed.situation.Measure(load, float64(total*max(1, state.slots)))
	state.sustained.add(need, now)
	if now.Sub(work.Loads.LastHeard()) > maxSilence || load.Incomplete || load.hasUnknownTimes() {
		state.peak.reset() // the need is unknown, so nothing is given up
	} else {
		state.peak.add(need, now)
	}
	observed.situation.Need = Need{Jobs: need.Jobs}
	if lowest, covered := state.sustained.value(); covered {
		observed.situation.Need.Reported = lowest.Reported
	}
	observed.situation.Peak, observed.situation.PeakKnown = state.peak.value()
	if now.Sub(state.loggedAt) >= demandLogInterval {
		state.loggedAt = now
		work.Logger.Info("replica demand", observed.fields("fence", work.fence)...)
	}
	return observed
}

// fields returns the inputs of a decision for a log line.
func (observed *demand) fields(first ...any) []any {
	load, situation := observed.load, observed.situation
	ordered, expected := 0, 0
	for _, pool := range situation.Pools {
		ordered += pool.Ordered
		expected += pool.Expected
	}
	return append(first, "service", observed.service, "ordered", ordered, "expected", expected, "slots", situation.Slots, "in_flight", load.InFlight, "waiting", load.Waiting,
		"refused", load.Refused, "service_time_us", load.ServiceTime.Microseconds(), "jobs", len(load.Jobs), "need_reported", tenths(situation.Need.Reported),
		"need_jobs", tenths(situation.Need.Jobs), "peak", tenths(situation.Peak.Slots()), "peak_known", situation.PeakKnown)
}

// tenths rounds a number for a log line.
func tenths(number float64) float64 { return math.Round(10*number) / 10 }

// expectations returns by when the jobs of a service are due after their submission, how long its callers wait, and whether all its requests are
// items of jobs, and whether items are bound to their replica.
func expectations(configuration *catalog.Configuration, service string) (span, patience time.Duration, batchOnly, immovable bool) {
	batchOnly = true
	for _, route := range configuration.Routes {
		if !slices.ContainsFunc(route.Targets, func(target catalog.RouteTarget) bool { return target.Service == service && target.Weight > 0 }) {
			continue
		}
		allowed := route.Timeout
		if route.Kind == catalog.Batch {
			allowed = route.JobObjective
			span = shorter(span, allowed)
			immovable = immovable || route.SingleVersion
		} else {
			batchOnly = false
		}
		patience = shorter(patience, allowed)
	}
	return span, patience, batchOnly && span > 0, immovable
}

// shorter returns the shorter of two durations; zero stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// poolsOf returns the pools of a service: those of both kinds in each zone that is known to run it.
func (work *termWork) poolsOf(service *catalog.Service) []poolKey {
	keys := make(map[poolKey]bool)
	for key := range work.pools {
		if key.service == service.Name {
			keys[key] = true
			keys[poolKey{key.service, key.zone, false}] = true
			if service.Scaling.SpotPrice > 0 {
				keys[poolKey{key.service, key.zone, true}] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(keys), comparePoolKeys)
}

// recordObserved stores the number of replicas of the pools without an order as accepted orders, once it has lasted. A successor that begins while
// replicas restart then orders no fewer.
func (work *termWork) recordObserved(ctx context.Context, service string, now time.Time) {
	state := work.services[service]
	if now.Before(state.decideNext) {
		return
	}
	txn := metadata.Txn{Conditions: []metadata.Condition{work.term.Condition()}}
	recorded := make(map[poolKey]*poolState)
	for key, pool := range work.pools {
		if key.service != service || pool.order != nil || pool.seen == 0 || pool.present != pool.seen || now.Sub(work.validSince) < settleTime+missingPatience {
			continue
		}
		next := pool.withObserved(key, work.fence)
		if next.addTo(&txn, key) == nil {
			recorded[key] = next
		}
	}
	if len(recorded) == 0 {
		return
	}
	revision, err := work.commit(ctx, txn)
	if err != nil {
		state.storePause = min(maxRetryPause, max(minRetryPause, 2*state.storePause))
		state.decideNext = now.Add(state.storePause)
		work.Logger.Warn("observed replicas not stored", "service", service, "pools", len(recorded), "error", err)
		return
	}
	state.storePause = 0
	for key, next := range recorded {
		next.revision = revision
		work.pools[key] = next
		work.Logger.Info("observed replicas stored", "service", service, "zone", key.zone, "spot", key.spot, "count", next.seen, "fence", work.fence)
	}
}

// decide stores the orders that the situation of a service calls for. They are sent in the following rounds.
func (work *termWork) decide(ctx context.Context, observed *demand, now time.Time) {
	if now.Before(work.services[observed.service].decideNext) {
		return
	}
	changes := Decide(observed.situation)
	if len(changes) == 0 {
		return
	}
	txn := metadata.Txn{Conditions: []metadata.Condition{work.term.Condition()}}
	var stored []*poolState
	for _, change := range changes {
		key := poolKey{observed.service, change.Zone, change.Spot}
		next := work.pool(key).withOrder(key, change.Count, work.fence, now)
		if err := next.addTo(&txn, key); err != nil {
			work.Logger.Error("replica order cannot be encoded", "service", key.service, "zone", key.zone, "error", err)
			return
		}
		stored = append(stored, next)
	}
	revision, err := work.commit(ctx, txn)
	if err != nil {
		state := work.services[observed.service]
		state.storePause = min(maxRetryPause, max(minRetryPause, 2*state.storePause))
		state.decideNext = now.Add(state.storePause)
		work.Logger.Warn("replica orders not stored", observed.fields("fence", work.fence, "orders", len(changes), "reason", string(changes[0].Reason),
			"pause_ms", state.storePause.Milliseconds(), "error", err)...)
		return
	}
	work.services[observed.service].storePause = 0
	for index, change := range changes {
		work.Logger.Info("replica order stored", observed.fields("fence", work.fence, "zone", change.Zone, "spot", change.Spot, "count", change.Count,
			"previous", stored[index].order.GetPrevious(), "reason", string(change.Reason))...)
		stored[index].revision = revision
		work.pools[poolKey{observed.service, change.Zone, change.Spot}] = stored[index]
	}
}

// commit applies a transaction. If it conflicts with stored orders, which an earlier attempt with a lost response has written, they are adopted.
func (work *termWork) commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := work.Store.Commit(callCtx, txn)
	var conflict *metadata.ConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	for _, condition := range txn.Conditions {
		key, isOrder := parseStoreKey(condition.Key)
		if !isOrder {
			continue // the key of the lease's holder
		}
		if item, found := conflict.Find(condition.Key); found {
			work.adopt(item)
		} else if known := work.pools[key]; known != nil {
			known.order, known.revision = nil, 0
		}
	}
	return 0, err
}

// adopt takes over a stored order, unless it is known. Of one that cannot be decoded, the revision is kept, so that the next order replaces it.
func (work *termWork) adopt(item metadata.Item) {
	key, isOrder := parseStoreKey(item.Key)
	if !isOrder {
		work.Logger.Error("replica order under an unknown key", "key", item.Key)
		return
	}
	if known := work.pools[key]; known != nil && known.revision == item.Revision {
		return
	}
	_, stored, err := decodePool(item, time.Now())
	if err != nil {
		work.Logger.Error("replica order cannot be decoded", "key", item.Key, "error", err)
		work.pool(key).order, work.pool(key).revision = nil, item.Revision
		return
	}
	if known := work.pools[key]; known != nil {
		stored.inherit(known)
	}
	work.pools[key] = stored
}

// sendNext sends the unanswered order that has waited the longest, if one is due.
func (work *termWork) sendNext(ctx context.Context, configuration *catalog.Configuration) {
	due := slices.SortedFunc(maps.Keys(work.pools), func(a, b poolKey) int {
		return cmp.Or(work.pools[a].sendAt.Compare(work.pools[b].sendAt), comparePoolKeys(a, b))
	})
	first := slices.IndexFunc(due, func(key poolKey) bool { return work.pools[key].unanswered() })
	if first < 0 || time.Now().Before(work.pools[due[first]].sendAt) {
		return
	}
	next, pool := due[first], work.pools[due[first]]
	if scaling := configuration.Services[next.service].Scaling; scaling == nil || !work.withinBounds(next, scaling) {
		work.Logger.Warn("replica order dropped", "service", next.service, "zone", next.zone, "spot", next.spot, "count", pool.order.GetCount(), "scaled", scaling != nil)
		work.settle(ctx, next, false)
		return
	}
	work.send(ctx, next, pool)
}

// withinBounds reports whether a zone's orders conform to the bounds, which may have changed since they were stored.
func (work *termWork) withinBounds(key poolKey, scaling *catalog.Scaling) bool {
	total := 0
	for _, spot := range []bool{false, true} {
		if pool := work.pools[poolKey{key.service, key.zone, spot}]; pool != nil {
			total += pool.ordered()
		}
	}
	return total >= scaling.Minimum && total <= scaling.Maximum
}

// send sends a stored order if the lease is valid, and records the answer.
func (work *termWork) send(ctx context.Context, key poolKey, pool *poolState) {
	if !work.term.Valid(leadership.Margin) {
		return
	}
	callCtx, cancel := leadership.CallContext(ctx, work.term, orderTimeout, work.CallGrace)
	defer cancel()
	started := time.Now()
	count, previous := int(pool.order.GetCount()), int(pool.order.GetPrevious())
	err := work.Sink.Order(callCtx, work.Node, work.fence, Order{Service: key.service, Zone: key.zone, Spot: key.spot, Count: count})
	took := time.Since(started)
	pool.attempts++
	fields := []any{"service", key.service, "zone", key.zone, "spot", key.spot, "count", count, "previous", previous, "fence", work.fence,
		"decided_in", pool.order.GetFence(), "attempt", pool.attempts, "took_ms", took.Milliseconds()}
	switch {
	case err == nil:
		work.Logger.Info("replicas ordered", fields...)
		work.Metrics.ReplicasOrdered("accepted", took)
		work.settle(ctx, key, true)
	case errors.Is(err, ErrRefused):
		pool.makeUnavailable(time.Now())
		work.Logger.Warn("replica order refused", append(fields, "backoff_ms", pool.backoff.Milliseconds(), "error", err)...)
		work.Metrics.ReplicasOrdered("refused", took)
		work.settle(ctx, key, false)
	default:
		pool.retryLater(time.Now())
		work.Logger.Warn("replica order unanswered", append(fields, "error", err)...)
		work.Metrics.ReplicasOrdered("unanswered", took)
	}
}

// settle records the answer to an order. If it cannot be stored, a successor sends the order again, which changes nothing.
func (work *termWork) settle(ctx context.Context, key poolKey, accepted bool) {
	pool := work.pools[key]
	pool.settle(accepted, time.Now())
	txn := metadata.Txn{Conditions: []metadata.Condition{work.term.Condition()}}
	if pool.addTo(&txn, key) != nil {
		return
	}
	if revision, err := work.commit(ctx, txn); err == nil {
		pool.revision = revision
	} else {
		work.Logger.Warn("answer to a replica order not stored", "service", key.service, "zone", key.zone, "spot", key.spot, "error", err)
	}
}

// forget removes the stored orders of services that are no longer scaled.
func (work *termWork) forget(ctx context.Context, configuration *catalog.Configuration, now time.Time) {
	if now.Sub(work.forgotAt) < forgetInterval {
		return
	}
	work.forgotAt = now
	for key, pool := range work.pools {
		if configuration.Services[key.service].Scaling != nil || pool.age(now) < forgetAfter {
			continue
		}
		txn := metadata.Txn{Conditions: []metadata.Condition{work.term.Condition(), {Key: key.storeKey(), Revision: pool.revision}}, Deletes: []string{key.storeKey()}}
		if _, err := work.commit(ctx, txn); err == nil {
			delete(work.pools, key)
		}
	}
}
