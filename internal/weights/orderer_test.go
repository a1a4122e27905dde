package weights_test

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

// engine simulates the control interface of a replica. A load takes time, and orders can be lost or delayed.
type engine struct {
	service, model  string
	version, orders int64
	loading         bool
	// loseNext is how many orders get no answer. If late is set, the engine processes them after that time.
	loseNext int
	late     time.Duration
	// silentUntil is when a partition ends that keeps all calls from the engine.
	silentUntil time.Time
}

// receivedOrder is an order as it reached an engine.
type receivedOrder struct {
	weights.Order
	at time.Time
}

// engines implements weights.Replicas.
type engines struct {
	mu    sync.Mutex
	table *catalog.Table
	byID  map[string]*engine
	taken []weights.Order
	// received holds what reached each engine, whatever it answered.
	received map[string][]receivedOrder
}

func newEngines(count int) *engines {
	created := &engines{table: catalog.NewTable(), byID: make(map[string]*engine), received: make(map[string][]receivedOrder)}
	for _, replica := range newReplicas(count, []string{"m"}) {
		created.byID[replica.ID] = &engine{service: "s", model: "m", version: 1}
	}
	configuration := &catalog.Configuration{Version: 1, Services: map[string]catalog.Service{"s": {Name: "s", Models: []string{"m"}}}}
	configuration.Index()
	created.table.SetConfiguration(configuration)
	created.register()
	return created
}

// register updates the table with the versions that replicas have, as the registry does.
func (engines *engines) register() {
	var list []catalog.Replica
	for id, engine := range engines.byID {
		list = append(list, catalog.Replica{ID: id, Service: engine.service, Slots: 8, Models: []catalog.ModelVersion{{Model: engine.model, Version: engine.version}}})
	}
	engines.table.SetReplicas(list, engines.table.Replicas().Revision+1)
}

// addService adds replicas of a second service with its own model.
func (engines *engines) addService(service, model string, count int) {
	for index := range count {
		engines.byID[service+"-"+strconv.Itoa(index)] = &engine{service: service, model: model, version: 1}
	}
	configuration := &catalog.Configuration{Version: 2, Services: map[string]catalog.Service{
		"s": {Name: "s", Models: []string{"m"}}, service: {Name: service, Models: []string{model}},
	}}
	configuration.Index()
	engines.table.SetConfiguration(configuration)
	engines.register()
}

// loading returns the number of replicas that are loading.
func (engines *engines) loading() int {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	count := 0
	for _, engine := range engines.byID {
		if engine.loading {
			count++
		}
	}
	return count
}

// accepted returns the orders that replicas have taken.
func (engines *engines) accepted() []weights.Order {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return slices.Clone(engines.taken)
}

// Order implements weights.Replicas.
func (engines *engines) Order(ctx context.Context, replica *catalog.Replica, order weights.Order) (weights.Reply, error) {
	engines.mu.Lock()
	engine := engines.byID[replica.ID]
	if engine.loseNext > 0 {
		engine.loseNext--
		if engine.late > 0 {
			time.AfterFunc(engine.late, func() { engines.take(replica.ID, order) })
		}
		engines.mu.Unlock()
		<-ctx.Done()
		return weights.Rejected, weights.ErrOrderUnanswered
	}
	silent := time.Now().Before(engine.silentUntil)
	engines.mu.Unlock()
	if silent {
		<-ctx.Done()
		return weights.Rejected, weights.ErrOrderUnanswered
	}
	return engines.take(replica.ID, order), nil
}

func (engines *engines) take(id string, order weights.Order) weights.Reply {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	engine := engines.byID[id]
	engines.received[id] = append(engines.received[id], receivedOrder{order, time.Now()})
	if engine.loading || order.ExpectedOrders != engine.orders {
		return weights.Conflicting
	}
	engine.orders++
	engine.loading = true
	engines.taken = append(engines.taken, order)
	time.AfterFunc(900*time.Millisecond, func() {
		engines.mu.Lock()
		defer engines.mu.Unlock()
		engine.version, engine.loading = order.Version, false
		engines.register()
	})
	return weights.Started
}

func (engines *engines) Report(_ context.Context, replica *catalog.Replica) (weights.Report, error) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	engine := engines.byID[replica.ID]
	if time.Now().Before(engine.silentUntil) {
		return weights.Report{}, context.DeadlineExceeded
	}
	return weights.Report{Busy: engine.loading, Orders: engine.orders, Models: []catalog.ModelVersion{{Model: engine.model, Version: engine.version}}}, nil
}

func (engines *engines) countAt(version int64) int {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	count := 0
	for _, engine := range engines.byID {
		if engine.version == version {
			count++
		}
	}
	return count
}

// withOrderer runs an orderer with four replicas during a term.
func withOrderer(t *testing.T, run func(t *testing.T, engines *engines, orderer *weights.Orderer)) {
	withOrdererOf(t, 4, 0.5, run)
}

// withOrdererOf runs an orderer during a term.
func withOrdererOf(t *testing.T, replicas int, loadShare float64, run func(t *testing.T, engines *engines, orderer *weights.Orderer)) {
	synctest.Test(t, func(t *testing.T) {
		engines := newEngines(replicas)
		ctx, cancel := context.WithCancel(t.Context())
		store := memstore.New()
		orderer := weights.NewOrderer("node", store, engines.table, engines, loadShare, log.New(io.Discard))
		election := weights.NewElection(store, "node", electionSettings, log.New(io.Discard))
		go election.Run(ctx, orderer.RunTerm)
		time.Sleep(2 * time.Second)
		run(t, engines, orderer)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
}

// Half of the replicas load a version first. The rest follow when a job requires it.
func TestOrdersFollowDemand(t *testing.T) {
	withOrderer(t, func(t *testing.T, engines *engines, orderer *weights.Orderer) {
		orderer.SetTarget("m", 2)
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, engines.countAt(2))
		orderer.RecordDemand(weights.Demand{Model: "m", Minimum: 2})
		time.Sleep(3 * time.Second)
		must.Eq(t, 4, engines.countAt(2))
	})
}

// Lost orders are sent again; delayed orders have no effect.
func TestLostAndLateOrders(t *testing.T) {
	withOrderer(t, func(t *testing.T, engines *engines, orderer *weights.Orderer) {
		for _, engine := range engines.byID {
			engine.loseNext, engine.late = 1, 5*time.Second
		}
		for version := int64(2); version < 6; version++ {
			orderer.SetTarget("m", version)
			orderer.RecordDemand(weights.Demand{Model: "m", Minimum: version})
			time.Sleep(4 * time.Second)
		}
		time.Sleep(8 * time.Second)
		must.Eq(t, 4, engines.countAt(5))
		for _, engine := range engines.byID {
			must.LessEq(t, 4, engine.orders)
		}
		for _, order := range engines.accepted() {
			must.Eq(t, "node", order.Holder)
			must.Eq(t, engines.accepted()[0].Fence, order.Fence)
		}
	})
}

// The number of concurrent loads grows with the service.
func TestLoadsAtOnceGrowWithService(t *testing.T) {
	for _, row := range []struct{ replicas, loading int }{{1, 1}, {8, 2}, {9, 2}, {35, 7}} {
		withOrdererOf(t, row.replicas, 0.2, func(t *testing.T, engines *engines, orderer *weights.Orderer) {
			orderer.SetTarget("m", 2)
			orderer.RecordDemand(weights.Demand{Model: "m", Minimum: 2})
			time.Sleep(500 * time.Millisecond)
			must.Eq(t, row.loading, engines.loading())
		})
	}
}

// Two services with models are planned independently: the assignments of one must not replace those of the other.
func TestServicesArePlannedApart(t *testing.T) {
	withOrderer(t, func(t *testing.T, engines *engines, orderer *weights.Orderer) {
		engines.addService("other", "n", 4)
		orderer.SetTarget("m", 2)
		orderer.SetTarget("n", 2)
		orderer.RecordDemand(weights.Demand{Model: "m", Minimum: 2})
		orderer.RecordDemand(weights.Demand{Model: "n", Minimum: 2})
		time.Sleep(6 * time.Second)
		must.Eq(t, 8, engines.countAt(2))
		must.Eq(t, 8, len(engines.accepted()))
	})
}

// Versions that arrive in a burst after an outage do not make a model lose its replicas.
func TestBurstOfVersionsKeepsReplicas(t *testing.T) {
	withOrdererOf(t, 20, 0.2, func(t *testing.T, engines *engines, orderer *weights.Orderer) {
		orderer.SetTarget("m", 2)
		time.Sleep(200 * time.Millisecond)
		orderer.SetTarget("m", 3)
		orderer.RecordDemand(weights.Demand{Model: "m", Minimum: 2})
		time.Sleep(8 * time.Second)
		must.GreaterEq(t, 10, engines.countAt(2)+engines.countAt(3))
	})
}
