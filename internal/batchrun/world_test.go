package batchrun_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// noTenant is the tenant of callers in a deployment without tenants.
const noTenant = ""

// world simulates nodes that share one metadata store, under a simulated clock.
type world struct {
	store   *memstore.Store
	engines *engines
	catalog *catalog.Table

	mu              sync.Mutex
	nodes           map[string]*batchrun.Runner
	lastIncarnation int64
	// preferred is the node that runs all jobs. If it is empty, the node that gets the call runs the job. It is set before the first
	// job.
	preferred, alternate string
	// preferredAt overrides preferred at nodes whose view of the membership differs.
	preferredAt map[string]string
	stopHealth  map[string]context.CancelFunc
	isolated    map[string]bool // nodes that receive nothing from their peers
	refused     map[string]bool // nodes whose calls the store rejects
	lines       logLines
	// takeOverDelay delays the responses to TakeOver, keptDelay the calls of Kept.
	takeOverDelay, keptDelay time.Duration
	// refusesTakeOver is the node that rejects takeovers, as a stopping node does.
	refusesTakeOver string
	// room is the room of each node at the services; nil if scoring is not admitted.
	room admission.Room
	// silentUntil is the time before which announcements of jobs are lost.
	silentUntil time.Time
}

// slowClient calls a node with delayed responses or rejected takeovers.
type slowClient struct {
	batchv1.Batches
	world *world
	node  string
}

// TakeOver implements batchv1.Batches.
func (client slowClient) TakeOver(ctx context.Context, request *batchv1.TakeOverRequest) (*batchv1.TakeOverResponse, error) {
	if client.node != "" && client.node == client.world.refusesTakeOver {
		return nil, batchrun.ErrStopping
	}
	response, err := client.Batches.TakeOver(ctx, request)
	time.Sleep(client.world.takeOverDelay)
	return response, err
}

// Kept implements batchv1.Batches.
func (client slowClient) Kept(ctx context.Context, request *batchv1.KeptRequest) (*batchv1.KeptResponse, error) {
	time.Sleep(client.world.keptDelay)
	return client.Batches.Kept(ctx, request)
}

func newWorld(seed uint64) *world {
	table := catalog.NewTable()
	configuration := &catalog.Configuration{Version: 1, Routes: []catalog.Route{
		{Name: "jobs", Host: "h", Prefix: "/jobs/", Kind: catalog.Batch, MaxAttempts: 3, Targets: []catalog.RouteTarget{{Service: "engine", Weight: 1}}},
		{Name: "score", Host: "h", Prefix: "/score/", MaxAttempts: 3, Targets: []catalog.RouteTarget{{Service: "scorer", Weight: 1}}},
	}}
	configuration.Index()
	table.SetConfiguration(configuration)
	held := []catalog.ModelVersion{{Model: "m", Version: 1}}
	table.SetReplicas([]catalog.Replica{
		{ID: "e1", Service: "engine", Slots: 4, Models: held}, {ID: "e2", Service: "engine", Slots: 4, Models: held}, {ID: "s1", Service: "scorer", Slots: 9},
	}, 1)
	return &world{
		store: memstore.New(), catalog: table, nodes: make(map[string]*batchrun.Runner), stopHealth: make(map[string]context.CancelFunc), isolated: make(map[string]bool), refused: make(map[string]bool),
		engines: &engines{random: rand.New(rand.NewPCG(seed, 1)), versions: map[string]int64{"e1": 1, "e2": 1}, running: map[string]int{}, starts: map[string]int{}, startsAt: map[string]int{}, resumed: map[string]int64{}, gaps: map[string]time.Duration{}},
	}
}

// start starts a process of a node.
func (world *world) start(name string) *batchrun.Runner {
	world.mu.Lock()
	world.lastIncarnation++
	store := nodeStore{Store: world.store, world: world, node: name}
	health := metadata.NewHealth(store, log.New(io.Discard))
	var admitted *admission.Controller
	if world.room != nil {
		admitted = admission.NewController(world.room)
	}
	runner := batchrun.New(batchrun.Options{
		Admission: admitted,
		Node:      name, Incarnation: world.lastIncarnation, Catalog: world.catalog, Loads: backend.NewLoads(), Sender: world.engines, Decoder: lineDecoder{},
		Log: &batchlog.Log{Store: store, Health: health, Node: name, Incarnation: world.lastIncarnation}, Peers: &worldPeers{world, name}, Logger: log.New(&world.lines),
		Flush: batch.FlushPolicy{MinInterval: 50 * time.Millisecond, MaxWait: 200 * time.Millisecond},
	})
	world.nodes[name] = runner
	healthCtx, stop := context.WithCancel(context.Background())
	world.stopHealth[name] = stop
	world.mu.Unlock()
	health.ProbeNeeded = func() bool { return runner.Busy(time.Now()) }
	go health.Run(healthCtx)
	runner.Start()
	if world.mayOwnJobs(name) {
		runner.Sweep()
	}
	return runner
}

// mayOwnJobs reports whether an earlier process of a node may have left jobs behind, as a node finds out when it registers.
func (world *world) mayOwnJobs(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, found, err := world.store.Get(ctx, batchlog.LeftoverWorkKey(name))
	return found || err != nil // a node registers only once the store responds
}

// clearLeftoverWorkKey removes the key that marks a node as possibly owning jobs. This is done after a complete handover and
// after a takeover.
func (world *world) clearLeftoverWorkKey(name string) {
	_, _ = world.store.CommitIgnoringFaults(metadata.Txn{Deletes: []string{batchlog.LeftoverWorkKey(name)}})
}

// kill ends a node's process without notice and returns its incarnation.
func (world *world) kill(name string) int64 {
	world.mu.Lock()
	runner := world.nodes[name]
	delete(world.nodes, name)
	if stop := world.stopHealth[name]; stop != nil {
		stop()
	}
	world.mu.Unlock()
	if runner == nil {
		return 0
	}
	runner.Close()
	return runner.Incarnation
}

func (world *world) node(name string) *batchrun.Runner {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.nodes[name]
}

func (world *world) close() {
	for _, name := range []string{"a", "b", "c"} {
		world.kill(name)
	}
}

// worldPeers calls the other nodes within the process.
type worldPeers struct {
	world *world
	self  string
}

// Client implements batchrun.Peers.
func (peers *worldPeers) Client(node string) batchv1.Batches {
	if runner := peers.world.node(node); runner != nil {
		return slowClient{batchrun.Service{Runner: runner}, peers.world, node}
	}
	return nil
}

// Nearest implements batchrun.Peers.
func (peers *worldPeers) Nearest() []string {
	peers.world.mu.Lock()
	defer peers.world.mu.Unlock()
	var names []string
	for _, name := range []string{"a", "b", "c"} {
		if name != peers.self && peers.world.nodes[name] != nil {
			names = append(names, name)
		}
	}
	return names
}

// Candidates implements batchrun.Peers.
func (peers *worldPeers) Candidates() []string { return peers.Nearest() }

// Preferred implements batchrun.Peers.
func (peers *worldPeers) Preferred(string) string {
	if name := peers.world.preferredAt[peers.self]; name != "" {
		return name
	}
	return peers.world.preferred
}

// Alternate implements batchrun.Peers.
func (peers *worldPeers) Alternate(string) string { return peers.world.alternate }

// Directory implements batchrun.Peers. It returns one of the three nodes, whether that node runs or not.
func (peers *worldPeers) Directory(job string) string {
	return string("abc"[len(job)%2+int(job[len(job)-1])%2])
}

// Isolated implements batchrun.Peers.
func (peers *worldPeers) Isolated() bool {
	peers.world.mu.Lock()
	defer peers.world.mu.Unlock()
	return peers.world.isolated[peers.self]
}

// SameZone implements batchrun.Peers. Each node has a zone of its own.
func (peers *worldPeers) SameZone(string) bool { return false }

// AnnounceJob implements batchrun.Peers.
func (peers *worldPeers) AnnounceJob(job *batchv1.Job) {
	if peers.world.isSilent() {
		return
	}
	for _, name := range peers.Nearest() {
		if runner := peers.world.node(name); runner != nil {
			runner.RememberTenant(job.GetId(), job.GetTenant())
			runner.JobAnnounced(job.GetId(), peers.self)
		}
	}
}

// silence makes the announcements of jobs get lost for some time.
func (world *world) silence(duration time.Duration) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.silentUntil = time.Now().Add(duration)
}

func (world *world) isSilent() bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	return time.Now().Before(world.silentUntil)
}

// AnnounceDemand implements batchrun.Peers.
func (peers *worldPeers) AnnounceDemand(*batchv1.Job) {}

// ShareLoads implements batchrun.Peers.
func (peers *worldPeers) ShareLoads(map[string]int) {}

// unregistered returns the registration of a node without a record, which no node of a world has unless a test writes one.
func unregistered(name string) metadata.Condition {
	return metadata.Condition{Key: "cluster/nodes/" + name}
}

func newDefinition(id string, items int, minimum int64) *batchv1.Job {
	job := &batchv1.Job{Id: id, Host: "h", Path: "/jobs/" + id, Model: "m", MinimumVersion: minimum}
	for index := range items {
		name := fmt.Sprint(id, "-", strings.Repeat("x", index%7), index)
		job.Items = append(job.Items, &batchv1.Item{
			Id: name, Path: "/jobs/item", Model: "m", Group: fmt.Sprint("g", index/2), Body: []byte("body of " + name),
			Scorer: &batchv1.Scorer{Id: "s" + name, Host: "h", Path: "/score/"},
		})
	}
	return job
}

// readAll reads all listed results of a job.
func readAll(ctx context.Context, runner *batchrun.Runner, id string) ([]*batchv1.Result, error) {
	var results []*batchv1.Result
	for {
		page, err := runner.Read(ctx, noTenant, id, len(results), 0)
		if err != nil {
			return nil, err
		}
		if len(page.Results) == 0 {
			return results, nil
		}
		results = append(results, page.Results...)
	}
}

// checkResults compares results with the texts and scores that the engines produce for the items.
func checkResults(t testing.TB, results []*batchv1.Result, minimum int64) {
	t.Helper()
	seen := make(map[string]bool)
	for _, result := range results {
		if seen[result.GetItemId()] {
			t.Fatalf("%s is listed twice", result.GetItemId())
		}
		seen[result.GetItemId()] = true
		if result.GetTerminated() {
			continue
		}
		if string(result.GetText()) != expectedText(result.GetItemId()) {
			t.Fatalf("%s has the text %q", result.GetItemId(), result.GetText())
		}
		if result.GetScore() != "score of s"+result.GetItemId() {
			t.Fatalf("%s has the score %q", result.GetItemId(), result.GetScore())
		}
		for _, version := range result.GetVersions() {
			if version < minimum {
				t.Fatalf("%s was made by version %d under the minimum %d", result.GetItemId(), version, minimum)
			}
		}
	}
}

// checkPrefix checks that the results read earlier keep their positions.
func checkPrefix(t testing.TB, before, after []*batchv1.Result) {
	t.Helper()
	for index, result := range before {
		if index >= len(after) {
			t.Fatalf("position %d is missing", index)
		}
		if after[index].GetItemId() != result.GetItemId() || !bytes.Equal(after[index].GetText(), result.GetText()) {
			t.Fatalf("position %d held %s and holds %s", index, result.GetItemId(), after[index].GetItemId())
		}
	}
}
