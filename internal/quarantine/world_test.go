package quarantine_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

const (
	// service is the service of all replicas.
	service = "app"
	// crashingBody is the body of the request that crashes a replica crashDelay after its run begins. Other requests take
	// workTime.
	crashingBody = "ends its replica"
	crashDelay   = 60 * time.Millisecond
	workTime     = 20 * time.Millisecond
	// restartDelay and deregisterDelay are how long after a crash a new replica starts and the old registration expires.
	restartDelay, deregisterDelay = 3300 * time.Millisecond, 3600 * time.Millisecond
	// delay is the latency of a datagram or of a change of the list of replicas.
	delay = 2 * time.Millisecond
	// undisturbedTime is how long a node must have run without faults of its links or the store for the bound on late runs
	// to apply to it.
	undisturbedTime = 3 * time.Second
)

// world simulates nodes and replicas over one metadata store, in simulated time. Its checks use only what the replicas
// see.
type world struct {
	table *catalog.Table
	store *memstore.Store

	mu       sync.Mutex
	random   *rand.Rand
	revision int64
	replicas map[string]*replica // running or registered
	nodes    []*node
	created  int // the number of replicas created
	// work is how long a request that crashes no replica takes.
	work  time.Duration
	lossy bool
	// cut is true while no datagram arrives.
	cut bool
	// disturbed is the time until which runs of no node count as late.
	disturbed time.Time
	// runs are the start times of runs that crash a replica, by nodes to which the bound on late runs applies; crashes are
	// the times of all such crashes.
	runs, crashes []time.Time
}

// replica is one incarnation of a replica. The channel exited is closed when it exits, and reset when it interrupts all
// requests.
type replica struct {
	id     string
	exited chan struct{}
	reset  chan struct{}
	gone   bool
	// draining is true once the replica has announced its exit.
	draining bool
}

// node is one process of a node.
type node struct {
	world   *world
	name    string
	guard   *quarantine.Guard
	started time.Time
	cancel  context.CancelFunc
	ctx     context.Context
}

func newWorld(seed uint64, replicas, nodes int) *world {
	world := &world{table: catalog.NewTable(), store: memstore.New(), work: workTime, random: rand.New(rand.NewPCG(seed, 7)), replicas: make(map[string]*replica)}
	for range replicas {
		world.addReplica()
	}
	for index := range nodes {
		world.nodes = append(world.nodes, nil)
		world.start(index)
	}
	return world
}

// start starts a new process of a node.
func (world *world) start(index int) {
	name := fmt.Sprint("node-", index)
	ctx, cancel := context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	tracker := quarantine.NewTracker(name)
	health := metadata.NewHealth(world.store, logger)
	recordStore := quarantine.NewRecordStore(ctx, world.store, health, tracker, name, logger)
	recordStore.IsDeputy = func(fingerprint quarantine.Fingerprint) bool { return world.isDeputy(fingerprint, name) }
	started := &node{world: world, name: name, started: time.Now(), ctx: ctx, cancel: cancel}
	started.guard = &quarantine.Guard{Sender: started, Prober: world, Tracker: tracker, Catalog: world.table, Broadcaster: started, Persister: recordStore, IsDeputy: recordStore.IsDeputy, Node: name, Logger: logger}
	follower := &metadata.Follower{Store: world.store, Prefix: quarantine.Prefix, Handler: recordStore, Logger: logger, Health: health}
	go health.Run(ctx)
	go follower.Run(ctx)
	go started.guard.Run(ctx)
	world.mu.Lock()
	defer world.mu.Unlock()
	world.nodes[index] = started
}

// isDeputy reports whether a node ranks first for a request among the running nodes.
func (world *world) isDeputy(fingerprint quarantine.Fingerprint, name string) bool {
	running := world.running()
	return len(running) > 0 && running[int(fingerprint[0])%len(running)].name == name
}

// kill ends the process of a node; a new one starts 500 ms later.
func (world *world) kill(index int) {
	world.mu.Lock()
	killed := world.nodes[index]
	world.nodes[index] = nil
	world.mu.Unlock()
	if killed == nil {
		return
	}
	killed.cancel()
	time.AfterFunc(500*time.Millisecond, func() { world.start(index) })
}

func (world *world) close() {
	for _, node := range world.running() {
		node.cancel()
	}
}

func (world *world) running() []*node {
	world.mu.Lock()
	defer world.mu.Unlock()
	var list []*node
	for _, node := range world.nodes {
		if node != nil {
			list = append(list, node)
		}
	}
	return list
}

// disturb exempts the runs of all nodes from the bound until undisturbedTime after the given duration.
func (world *world) disturb(duration time.Duration) {
	world.mu.Lock()
	defer world.mu.Unlock()
	if until := time.Now().Add(duration + undisturbedTime); until.After(world.disturbed) {
		world.disturbed = until
	}
}

// register must be called with mu held.
func (world *world) register() {
	var list []catalog.Replica
	for _, replica := range world.replicas {
		list = append(list, catalog.Replica{ID: replica.id, Service: service, Slots: 6, Draining: replica.draining})
	}
	world.revision++
	revision := world.revision
	time.AfterFunc(delay, func() { world.table.SetReplicas(list, revision) })
}

func (world *world) addReplica() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.created++
	id := fmt.Sprint("r", world.created)
	world.replicas[id] = &replica{id: id, exited: make(chan struct{}), reset: make(chan struct{})}
	world.register()
}

// crash ends the process of a replica. A new replica starts after restartDelay, and the registration expires after
// deregisterDelay.
func (world *world) crash(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	crashed := world.replicas[id]
	if crashed == nil || crashed.gone {
		return
	}
	crashed.gone = true
	close(crashed.exited)
	time.AfterFunc(restartDelay, world.addReplica)
	time.AfterFunc(deregisterDelay, func() { world.deregister(id) })
}

func (world *world) deregister(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	delete(world.replicas, id)
	world.register()
}

// reset makes a replica interrupt all its requests.
func (world *world) reset(id string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	if broken := world.replicas[id]; broken != nil && !broken.gone {
		close(broken.reset)
		broken.reset = make(chan struct{})
	}
}

// drain registers a successor of a replica, marks the replica as draining and ends its process a second later.
func (world *world) drain(id string) {
	world.addReplica()
	world.mu.Lock()
	defer world.mu.Unlock()
	leaving := world.replicas[id]
	if leaving == nil || leaving.gone {
		return
	}
	leaving.draining = true
	world.register()
	time.AfterFunc(time.Second, func() {
		world.mu.Lock()
		defer world.mu.Unlock()
		if !leaving.gone {
			leaving.gone = true
			close(leaving.exited)
		}
		delete(world.replicas, id)
		world.register()
	})
}

// Refuses implements quarantine.Prober.
func (world *world) Refuses(_ context.Context, target *catalog.Replica) bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	known := world.replicas[target.ID]
	return known == nil || known.gone
}

// Broadcast implements quarantine.Broadcaster.
func (node *node) Broadcast(notice quarantine.Notice) {
	for _, other := range node.world.running() {
		if other.name == node.name || node.world.dropsDatagram() {
			continue
		}
		time.AfterFunc(delay, func() { other.guard.HandleNotice(notice) })
	}
}

// dropsDatagram decides at random whether a datagram is lost.
func (world *world) dropsDatagram() bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	share := 0.02
	switch {
	case world.cut:
		return true
	case world.lossy:
		share = 0.7
	}
	return world.random.Float64() < share
}

func (world *world) setCut(cut bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.cut = cut
}

// Send implements backend.Sender. It simulates the network and the replica.
func (node *node) Send(ctx context.Context, target *catalog.Replica, request *backend.Request) (*backend.Response, error) {
	world := node.world
	world.mu.Lock()
	known := world.replicas[target.ID]
	if known == nil || known.gone {
		world.mu.Unlock()
		return nil, errors.Mark(backend.ErrConnectionRefused, backend.ErrNotSent)
	}
	exited, reset := known.exited, known.reset
	crashes, work := string(request.Body) == crashingBody, world.work
	if crashes {
		world.recordRun(node, known.id)
	}
	world.mu.Unlock()
	if crashes {
		work = time.Hour
	}
	select {
	case <-ctx.Done():
	case <-exited:
	case <-reset:
	case <-time.After(work):
		return &backend.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole"))}, nil
	}
	return nil, errors.Mark(errors.New("connection reset"), backend.ErrBroken)
}

// recordRun records a run that will crash its replica. It must be called with mu held.
func (world *world) recordRun(node *node, id string) {
	now := time.Now()
	if now.After(world.disturbed) && now.Sub(node.started) > undisturbedTime {
		world.runs = append(world.runs, now)
	}
	time.AfterFunc(crashDelay, func() {
		world.mu.Lock()
		world.crashes = append(world.crashes, time.Now())
		world.mu.Unlock()
		world.crash(id)
	})
}

// late returns how many recorded runs began later than undisturbedTime after the third crash, and the number of crashes.
func (world *world) late() (late, crashes int) {
	world.mu.Lock()
	defer world.mu.Unlock()
	if len(world.crashes) < 3 {
		return 0, len(world.crashes)
	}
	for _, run := range world.runs {
		if run.Sub(world.crashes[2]) > undisturbedTime {
			late++
		}
	}
	return late, len(world.crashes)
}

var errNoReplica = errors.New("no replica")

// call sends a request as a node does, with up to two attempts at different replicas within the timeout.
func (node *node) call(body string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(node.ctx, timeout)
	defer cancel()
	err := errNoReplica
	tried := ""
	for range 2 {
		target := node.world.pick(tried)
		if target == nil || ctx.Err() != nil {
			return err
		}
		tried = target.ID
		var response *backend.Response
		response, err = node.guard.Send(ctx, target, callOf(body))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil || backend.IsHeld(err) {
			return err
		}
	}
	return err
}

// callOf returns the request of a call.
func callOf(body string) *backend.Request {
	return &backend.Request{ID: "q", Method: http.MethodPost, Target: "/book/1", Body: []byte(body)}
}

func fingerprintOfCall(body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(service, callOf(body))
}

// pick returns a random registered replica other than the excluded one; nil if there is none.
func (world *world) pick(excluded string) *catalog.Replica {
	world.mu.Lock()
	defer world.mu.Unlock()
	var list []*catalog.Replica
	for registered := range world.table.Replicas().Service(service).Each() {
		if registered.ID != excluded && !registered.Draining {
			list = append(list, registered)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[world.random.IntN(len(list))]
}

// anyReplica returns the identifier of a random registered replica; empty if there is none.
func (world *world) anyReplica() string {
	if picked := world.pick(""); picked != nil {
		return picked.ID
	}
	return ""
}
