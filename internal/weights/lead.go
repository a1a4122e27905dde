package weights

import (
	"context"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
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
