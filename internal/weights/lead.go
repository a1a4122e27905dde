package weights

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// load is the loading of a version that is in progress on a replica.
type load struct {
	service, model string
	version        int64
	since          time.Time
	queried        time.Time
}

// termRun is the state of the orderer during one term. The fields above mu belong to the goroutine of RunTerm.
type termRun struct {
	orderer       *Orderer
	term          *Term
	planners      map[string]*Planner // by service
	started       time.Time
	plannedCounts map[string]int // replicas by model, as last logged
	ledger        *ledger

	mu             sync.Mutex
	loads          map[string]*load            // by replica
	pausedUntil    map[string]time.Time        // replicas that get no order before the given time
	versions       map[string]map[string]int64 // by replica and model, as last reported
	ordersAccepted map[string]int64            // number of orders that each replica has accepted
}

// RunTerm gives orders until the term ends.
func (orderer *Orderer) RunTerm(ctx context.Context, term *Term) {
	run := &termRun{
		orderer: orderer, term: term, planners: make(map[string]*Planner), started: time.Now(), plannedCounts: make(map[string]int),
		loads: make(map[string]*load), pausedUntil: make(map[string]time.Time), versions: make(map[string]map[string]int64), ordersAccepted: make(map[string]int64),
		ledger: newLedger(orderer.Store, term),
	}
	if !run.loadLedger(ctx) {
		return
	}
	for ctx.Err() == nil {
		changed := orderer.Catalog.Changed()
		idle := idleInterval
		started := time.Now()
		if run.round(ctx) {
			idle = busyInterval
		}
		wait.Pause(ctx, min(maxRoundPause, roundPauseFactor*time.Since(started)))
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

// round starts the orders that are due, and reports whether any is in progress or still due.
func (run *termRun) round(ctx context.Context) bool {
	configuration := run.orderer.Catalog.Configuration()
	if configuration == nil {
		return true
	}
	targets := run.orderer.currentTargets(time.Now())
	replicas := run.orderer.Catalog.Replicas()
	run.finishLoads(ctx, replicas)
	run.expirePauses()
	busy := false
	var due []dueOrder
	for name, service := range configuration.Services {
		if len(service.Models) == 0 {
			continue
		}
		members := replicas.Service(name)
		planner := run.planner(name)
		planner.Budget.Concurrency = run.orderer.concurrentLoads(members.Len())
		models, deferred := run.plannable(service.Models, targets)
		steps := planner.Plan(models, Fleet{Replicas: members, Version: run.version, Busy: run.isBusy}, targets)
		run.reportPlanned(models, planner.Counts(), targets, members.Working())
		room := planner.Budget.Concurrency - run.loading(name)
		for _, step := range steps[:max(0, min(room, len(steps)))] {
			if order, ready := run.prepare(ctx, name, step); ready {
				due = append(due, order)
			}
		}
		busy = busy || deferred || len(steps) > 0 || run.loading(name) > 0
	}
	run.send(ctx, due)
	if !busy && run.ledger.isOutdated() {
		go run.writeLedger(ctx)
	}
	return busy || run.anyPaused()
}

// reportPlanned logs the models whose number of assigned replicas has changed, and updates their metric.
func (run *termRun) reportPlanned(models []string, counts map[string]int, targets Targets, working int) {
	for _, model := range models {
		if before, logged := run.plannedCounts[model]; logged && before == counts[model] {
			continue
		}
		run.plannedCounts[model] = counts[model]
		run.orderer.Metrics.Planned(model, counts[model])
		run.orderer.Logger.Info("replicas planned", "model", model, "replicas", counts[model], "items", targets[model].Items, "version", targets[model].Version, "of", working)
	}
}

// demandWait is how long after the start of a term a model whose jobs are unknown is left out of planning. Owners report their
// jobs every second; a model planned without them is given its full share of all replicas.
const demandWait = 1500 * time.Millisecond

// plannable returns the models to plan for, and whether others are deferred until their jobs are reported.
func (run *termRun) plannable(models []string, targets Targets) (now []string, deferred bool) {
	if time.Since(run.started) > demandWait {
		return models, false
	}
	for _, model := range models {
		if targets[model].Version > 0 && targets[model].Items == 0 {
			deferred = true
			continue
		}
		now = append(now, model)
	}
	return now, deferred
}

// planner returns the planner of a service.
func (run *termRun) planner(service string) *Planner {
	planner := run.planners[service]
	if planner == nil {
		planner = NewPlanner(LoadBudget{Concurrency: 1, LoadTime: typicalLoadTime})
		run.planners[service] = planner
	}
	return planner
}

// version returns the version of a model that a replica holds, by its registration or its last report.
func (run *termRun) version(replica *catalog.Replica, model string) int64 {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.versionLocked(replica, model)
}

// versionLocked must be called with mu held.
func (run *termRun) versionLocked(replica *catalog.Replica, model string) int64 {
	registered := replica.Version(model)
	if registered == 0 {
		return 0
	}
	return max(registered, run.versions[replica.ID][model])
}

func (run *termRun) isBusy(id string) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.loads[id] != nil || time.Now().Before(run.pausedUntil[id]) || run.ledger.awaitsFormer(id)
}

// expirePauses drops the pauses that have ended.
func (run *termRun) expirePauses() {
	run.mu.Lock()
	defer run.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(run.pausedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// anyPaused reports whether any replica is paused; an order for it may be due soon.
func (run *termRun) anyPaused() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return len(run.pausedUntil) > 0
}

func (run *termRun) loading(service string) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	count := 0
	for _, current := range run.loads {
		if current.service == service {
			count++
		}
	}
	return count
}

// finishLoads removes the loads that are complete or timed out, and queries replicas whose load takes long.
func (run *termRun) finishLoads(ctx context.Context, replicas *catalog.ReplicaSet) {
	now := time.Now()
	run.mu.Lock()
	defer run.mu.Unlock()
	for id, current := range run.loads {
		replica, age := replicas.Find(id), now.Sub(current.since)
		switch {
		case replica != nil && run.versionLocked(replica, current.model) >= current.version:
			delete(run.loads, id)
			run.orderer.Logger.Info("version loaded", "replica", id, "model", current.model, "version", current.version, "took_ms", age.Milliseconds())
		case replica == nil, age > loadTimeout:
			delete(run.loads, id)
			run.orderer.Logger.Warn("load given up", "replica", id, "model", current.model, "version", current.version, "registered", replica != nil)
		case age > loadQueryAfter && now.Sub(current.queried) > loadQueryAfter/2:
			current.queried = now
			go run.queryState(ctx, replica)
		}
	}
}

// queryState asks a replica for its state. A replica that doesn't answer is asked again by a later round.
func (run *termRun) queryState(ctx context.Context, replica *catalog.Replica) {
	_, _ = run.refreshState(ctx, replica)
}

// refreshState asks a replica for its state, stores it and returns it.
func (run *termRun) refreshState(ctx context.Context, replica *catalog.Replica) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := run.orderer.Replicas.Report(ctx, replica)
	if err != nil {
		return Report{}, err
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.ordersAccepted[replica.ID] = max(run.ordersAccepted[replica.ID], report.Orders)
	held := make(map[string]int64, len(report.Models))
	for _, model := range report.Models {
		held[model.Model] = model.Version
	}
	run.versions[replica.ID] = held
	if current := run.loads[replica.ID]; current != nil && !report.Busy && held[current.model] < current.version {
		delete(run.loads, replica.ID) // the order was lost; it is sent again
	}
	return report, nil
}

// dueOrder is an order to send in this round.
type dueOrder struct {
	step     Step
	expected int64 // number of orders that the replica has accepted
}

// prepare makes the order of a step. If the number of orders that the replica has accepted is unknown, it queries the replica instead
// and leaves the order to a later round.
func (run *termRun) prepare(ctx context.Context, service string, step Step) (order dueOrder, ready bool) {
	if !run.term.Valid(orderMargin) {
		return dueOrder{}, false
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	now := time.Now()
	expected, known := run.ordersAccepted[step.Replica.ID]
	if !known {
		run.pausedUntil[step.Replica.ID] = now.Add(queryPause)
		go run.queryState(ctx, step.Replica)
		return dueOrder{}, false
	}
	run.loads[step.Replica.ID] = &load{service: service, model: step.Model, version: step.Version, since: now, queried: now}
	return dueOrder{step, expected}, true
}

// send records orders in the ledger and then sends them, in the background.
func (run *termRun) send(ctx context.Context, due []dueOrder) {
	if len(due) == 0 {
		return
	}
	recorded := make([]inFlight, 0, len(due))
	for _, order := range due {
		recorded = append(recorded, inFlight{
			Replica: order.step.Replica.ID, Node: run.orderer.Node, Fence: run.term.Fence, ExpectedOrders: order.expected, SentUnixMS: time.Now().UnixMilli(),
		})
	}
	go func() {
		err := run.ledger.record(ctx, recorded)
		if err != nil {
			run.orderer.Logger.Warn("orders not recorded", "count", len(due), "fence", run.term.Fence, "error", err)
		}
		for index, order := range due {
			if err != nil || !run.term.Valid(orderMargin) {
				run.ledger.remove(recorded[index])
				run.postpone(order.step)
				continue
			}
			go func() {
				run.order(ctx, order.step, order.expected)
				run.ledger.remove(recorded[index])
			}()
		}
	}()
}

// postpone leaves an order that was not sent to a later round.
func (run *termRun) postpone(step Step) {
	run.mu.Lock()
	defer run.mu.Unlock()
	delete(run.loads, step.Replica.ID)
	run.pausedUntil[step.Replica.ID] = time.Now().Add(retryPause)
}

// writeLedger removes the orders that are over from the store.
func (run *termRun) writeLedger(ctx context.Context) {
	if err := run.ledger.write(ctx); err != nil {
		run.orderer.Logger.Warn("orders not recorded", "count", 0, "fence", run.term.Fence, "error", err)
	}
}

// order sends an order. The order is no longer in flight when it returns: a call without an answer discards its bytes.
func (run *termRun) order(ctx context.Context, step Step, expected int64) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := run.orderer.Replicas.Order(callCtx, step.Replica, Order{
		Model: step.Model, Version: step.Version, Holder: run.orderer.Node, Fence: run.term.Fence, ExpectedOrders: expected,
	})
	run.orderer.Logger.Info("order", "replica", step.Replica.ID, "model", step.Model, "version", step.Version, "from", step.Replica.Version(step.Model),
		"fence", run.term.Fence, "expected_orders", expected, "reply", reply, "error", err)
	run.orderer.Metrics.Order(reply.String())
	switch {
	case err == nil && reply == Started:
		run.orderAccepted(step, expected)
	case err == nil && reply == AlreadyLoaded:
		run.orderAccepted(step, expected)
		run.queryState(ctx, step.Replica)
	default:
		run.queryState(ctx, step.Replica)
		run.mu.Lock()
		run.pausedUntil[step.Replica.ID] = time.Now().Add(retryPause)
		run.mu.Unlock()
	}
}

// orderAccepted counts an order that the replica has accepted.
func (run *termRun) orderAccepted(step Step, expected int64) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.ordersAccepted[step.Replica.ID] = max(run.ordersAccepted[step.Replica.ID], expected+1)
}
