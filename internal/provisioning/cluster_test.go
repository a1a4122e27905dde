package provisioning_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

const (
	// minHolderGap is the least time that the platform requires between the calls of two holders.
	minHolderGap = 3 * time.Second
	slots        = 10
	service      = "desk"
	model        = "model"
)

var errNoResponse = errors.New("no response")

type subject struct {
	zone string
	spot bool
}

// cloud simulates the platform: it takes orders, boots replicas and registers them in the catalog. It records violations of the platform's rules.
type cloud struct {
	mu         sync.Mutex
	table      *catalog.Table
	revision   int64
	replicas   map[subject][]catalog.Replica
	numbers    int
	orders     []string
	accepted   int
	lastAt     time.Time
	lastHolder string
	fence      int64
	violations []string
	// none makes orders for a zone and kind fail with ErrRefused. lost makes calls fail after the order was accepted, down before.
	none       map[subject]bool
	lost, down bool
	// unread makes the replicas known as of the start of the store only.
	unread bool
	// onCall is called before each order is handled.
	onCall func()
}

func newCloud(perZone int, configuration *catalog.Configuration) *cloud {
	created := &cloud{table: catalog.NewTable(), replicas: make(map[subject][]catalog.Replica), none: make(map[subject]bool)}
	configuration.Index()
	created.table.SetConfiguration(configuration)
	for _, zone := range []string{"a", "b", "c"} {
		created.resize(subject{zone, false}, perZone)
	}
	return created
}

// deskConfiguration has a service for interactive requests, or for items of batch jobs that are due after the span.
func deskConfiguration(span time.Duration) *catalog.Configuration {
	bounds := scaling
	configuration := &catalog.Configuration{Version: 1, Services: map[string]catalog.Service{service: {Name: service, Scaling: &bounds}}}
	route := catalog.Route{Kind: catalog.Safe, Timeout: 1500 * time.Millisecond, Targets: []catalog.RouteTarget{{Service: service, Weight: 1}}}
	if span > 0 {
		route.Kind, route.JobObjective = catalog.Batch, span
		configuration.Services[service] = catalog.Service{Name: service, Scaling: &bounds, Models: []string{model}}
	}
	configuration.Routes = []catalog.Route{route}
	return configuration
}

// set changes the state.
func (cloud *cloud) set(change func()) {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	change()
}

// resize registers or removes replicas of a subject. It must be called with mu held, or before the cloud is shared.
func (cloud *cloud) resize(subject subject, count int) {
	list := cloud.replicas[subject]
	for len(list) < count {
		cloud.numbers++
		list = append(list, catalog.Replica{ID: fmt.Sprint("replica-", cloud.numbers), Service: service, Zone: subject.zone, Spot: subject.spot, Slots: slots})
	}
	cloud.replicas[subject] = list[:count]
	cloud.register()
}

// register writes the replicas to the catalog. It must be called with mu held.
func (cloud *cloud) register() {
	var all []catalog.Replica
	for _, list := range cloud.replicas {
		all = append(all, list...)
	}
	cloud.revision++
	cloud.table.SetReplicas(all, cloud.revision)
}

// readAt returns the revision of the store as of which the replicas are known: later than any term, unless they are unread.
func (cloud *cloud) readAt() metadata.Revision {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if cloud.unread {
		return 0
	}
	return math.MaxInt64
}

// reclaim announces the end of all spot replicas of a zone, which follows after two seconds.
func (cloud *cloud) reclaim(zone string) {
	cloud.set(func() {
		for index := range cloud.replicas[subject{zone, true}] {
			cloud.replicas[subject{zone, true}][index].Draining = true
			cloud.replicas[subject{zone, true}][index].LeavesAfter = 2 * time.Second
		}
		cloud.register()
	})
	time.AfterFunc(2*time.Second, func() { cloud.set(func() { cloud.resize(subject{zone, true}, 0) }) })
}

// Order implements provisioning.Sink.
func (cloud *cloud) Order(ctx context.Context, holder string, fence int64, order provisioning.Order) error {
	cloud.mu.Lock()
	hook := cloud.onCall
	cloud.mu.Unlock()
	if hook != nil {
		hook()
	}
	time.Sleep(20 * time.Millisecond)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	subject := subject{order.Zone, order.Spot}
	cloud.check(holder, fence, order)
	switch {
	case cloud.down:
		return errNoResponse
	case cloud.none[subject]:
		return provisioning.ErrRefused
	}
	cloud.accepted++
	if order.Count < len(cloud.replicas[subject]) {
		cloud.resize(subject, order.Count)
	} else {
		time.AfterFunc(scaling.BootTime, func() {
			cloud.set(func() { cloud.resize(subject, max(order.Count, len(cloud.replicas[subject]))) })
		})
	}
	if cloud.lost {
		return errNoResponse
	}
	return nil
}

// check records an order and the rules that it violates. It must be called with mu held.
func (cloud *cloud) check(holder string, fence int64, order provisioning.Order) {
	now := time.Now()
	fail := func(format string, arguments ...any) {
		cloud.violations = append(cloud.violations, fmt.Sprintf(format, arguments...))
	}
	other := len(cloud.replicas[subject{order.Zone, !order.Spot}])
	switch {
	case fence < cloud.fence:
		fail("fence decreased to %d from %d", fence, cloud.fence)
	case fence == cloud.fence && holder != cloud.lastHolder:
		fail("fence %d was used by two holders", fence)
	case cloud.lastHolder != "" && holder != cloud.lastHolder && now.Sub(cloud.lastAt) < minHolderGap:
		fail("call of %s only %s after a call of %s", holder, now.Sub(cloud.lastAt), cloud.lastHolder)
	case order.Count < 0 || order.Count+other < scaling.Minimum || order.Count+other > scaling.Maximum:
		fail("%v beside %d of the other kind is out of bounds", order, other)
	}
	cloud.lastHolder, cloud.lastAt, cloud.fence = holder, now, fence
	kind := ""
	if order.Spot {
		kind = "spot-"
	}
	cloud.orders = append(cloud.orders, fmt.Sprint(kind, order.Zone, order.Count))
}

// slots returns how many requests the registered replicas run at a time.
func (cloud *cloud) slots() int {
	total := 0
	for replica := range cloud.table.Replicas().All().Each() {
		if !replica.Draining {
			total += replica.Slots
		}
	}
	return total
}

func (cloud *cloud) given() []string {
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	return append([]string{}, cloud.orders...)
}

// nodeStore is the store of a node, which fails while the node is isolated.
type nodeStore struct {
	metadata.Store
	cluster *cluster
	node    string
}

func (store nodeStore) check() error {
	store.cluster.mu.Lock()
	defer store.cluster.mu.Unlock()
	if store.cluster.isolated[store.node] {
		return metadata.ErrUnavailable
	}
	return nil
}

func (store nodeStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if err := store.check(); err != nil {
		return 0, err
	}
	if err := store.cluster.refuse(txn); err != nil {
		return 0, err
	}
	return store.Store.Commit(ctx, txn)
}

func (store nodeStore) GrantLease(ctx context.Context, ttl time.Duration) (metadata.LeaseID, error) {
	if err := store.check(); err != nil {
		return 0, err
	}
	return store.Store.GrantLease(ctx, ttl)
}

func (store nodeStore) RenewLease(ctx context.Context, lease metadata.LeaseID) error {
	if err := store.check(); err != nil {
		return err
	}
	return store.Store.RenewLease(ctx, lease)
}

// cluster simulates two candidates for the orderer's lease, with a store, a cloud and callers, in simulated time.
type cluster struct {
	store *memstore.Store
	cloud *cloud

	mu       sync.Mutex
	isolated map[string]bool
	loads    map[string]*provisioning.Loads // of running candidates
	fences   map[string]int64
	stops    map[string]context.CancelFunc
	number   int64
	// refusing makes the store refuse orders and nothing else.
	refusing      bool
	refusedOrders int
}

// refuse returns an error and counts the attempt if orders are refused and the transaction has one.
func (cluster *cluster) refuse(txn metadata.Txn) error {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	isOrder := slices.ContainsFunc(txn.Puts, func(put metadata.Put) bool { return strings.HasPrefix(put.Key, "provisioning/") })
	if !isOrder || !cluster.refusing {
		return nil
	}
	cluster.refusedOrders++
	return metadata.ErrUnavailable
}

// refuseOrders makes the store refuse orders, or take them again.
func (cluster *cluster) refuseOrders(refusing bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.refusing = refusing
}

func newCluster(cloud *cloud) *cluster {
	created := &cluster{
		store: memstore.New(), cloud: cloud, isolated: make(map[string]bool), loads: make(map[string]*provisioning.Loads), fences: make(map[string]int64),
		stops: make(map[string]context.CancelFunc),
	}
	created.start("orderer-1")
	created.start("orderer-2")
	return created
}

func (cluster *cluster) start(name string) {
	store := nodeStore{cluster.store, cluster, name}
	ctx, stop := context.WithCancel(context.Background())
	provisioner := &provisioning.Provisioner{
		Node: name, Store: store, Sink: cluster.cloud, Catalog: cluster.cloud.table, Loads: provisioning.NewLoads(), Logger: log.New(io.Discard),
		CallGrace: 200 * time.Millisecond, ReplicasRevision: cluster.cloud.readAt,
	}
	cluster.mu.Lock()
	cluster.stops[name], cluster.loads[name] = stop, provisioner.Loads
	delete(cluster.fences, name)
	cluster.mu.Unlock()
	election := weights.NewElection(store, name, weights.ElectionSettings{
		Lease: 1300 * time.Millisecond, Renew: 300 * time.Millisecond, HandoverWait: minHolderGap + 300*time.Millisecond,
	}, log.New(io.Discard))
	go election.Run(ctx, func(ctx context.Context, term *weights.Term) {
		cluster.mu.Lock()
		cluster.fences[name] = term.Fence
		cluster.mu.Unlock()
		provisioner.Run(ctx, term.Fence, term)
	})
}

// kill stops a candidate at once.
func (cluster *cluster) kill(name string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.stops[name]()
	delete(cluster.loads, name)
}

// holder returns the candidate with the newest term.
func (cluster *cluster) holder() string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	newest := ""
	for name, fence := range cluster.fences {
		if newest == "" || fence > cluster.fences[newest] {
			newest = name
		}
	}
	return newest
}

func (cluster *cluster) isolate(name string, isolated bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.isolated[name] = isolated
}

// report sends the load of the service to the candidates.
func (cluster *cluster) report(load *clusterv1.ServiceLoad, demand *clusterv1.Demand) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.number++
	load.Service = service
	for _, loads := range cluster.loads {
		loads.RecordTotals(&clusterv1.ServiceTotals{
			Node: "front", Number: cluster.number, Zones: []*clusterv1.ZoneLoad{{Zone: "a", Services: []*clusterv1.ServiceLoad{load}}},
		}, time.Now())
		if demand != nil {
			loads.RecordDemand(demand, time.Now())
		}
	}
}

const (
	tick        = 100 * time.Millisecond
	serviceTime = 500 * time.Millisecond
)

// call sends interactive requests at a rate for a time. The replicas serve what fits into their slots; the rest is refused. It returns how many
// requests were refused, and when the last of them was, from the start.
func (cluster *cluster) call(perSecond float64, duration time.Duration) (refused float64, last time.Duration) {
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		inFlight := perSecond * serviceTime.Seconds()
		excess := max(0, inFlight-float64(cluster.cloud.slots())) / serviceTime.Seconds() // a second
		if excess > 0 {
			refused += excess * tick.Seconds()
			last = elapsed
		}
		cluster.report(&clusterv1.ServiceLoad{
			InFlight: int32(inFlight - excess*serviceTime.Seconds()), Refused: int32(excess), ServiceTimeUs: serviceTime.Microseconds(),
		}, nil)
		time.Sleep(tick)
	}
	return refused, last
}

// work runs a job and returns how long it takes. A replica runs items at each slot, one after the other.
func (cluster *cluster) work(id string, items int, itemTime time.Duration) time.Duration {
	begun := time.Now()
	for left := float64(items); left > 0; left -= float64(cluster.cloud.slots()) * tick.Seconds() / itemTime.Seconds() {
		inFlight := min(left, float64(cluster.cloud.slots()))
		cluster.report(&clusterv1.ServiceLoad{InFlight: int32(inFlight), Waiting: int32(left - inFlight), ServiceTimeUs: itemTime.Microseconds()},
			&clusterv1.Demand{JobId: id, Model: model, Items: int32(items)})
		time.Sleep(tick)
	}
	return time.Since(begun)
}

// end stops all candidates and waits until they have ended.
func (cluster *cluster) end() {
	cluster.mu.Lock()
	for _, stop := range cluster.stops {
		stop()
	}
	cluster.mu.Unlock()
	time.Sleep(3 * time.Second)
	synctest.Wait()
}
