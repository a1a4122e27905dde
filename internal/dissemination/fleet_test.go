package dissemination_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/lab/former"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// inForce is the time in which a change has to take effect in these histories.
const inForce = 2 * time.Second

// fleet is a publisher and nodes that share one store, in simulated time.
type fleet struct {
	store *memstore.Store
	ctx   context.Context
	// clock orders the beacons of a process, also when it publishes again later.
	clock clock.Clock

	mu    sync.Mutex
	nodes map[string]*node // by address
	// allNodes holds every process that was ever started.
	allNodes        []*node
	failure         string
	written         []version // that the operator wrote
	lastIncarnation int64
	// loadTime is how long a node takes to load a snapshot of all replicas.
	loadTime time.Duration
	// fanOut bounds the nodes that publishers and relays serve themselves.
	fanOut int
	// padding is the width in bytes to which a written configuration is padded.
	padding int
	// formerBuild is the build that runs the nodes for which runsFormer returns true; nil for none.
	formerBuild *former.Schema
	runsFormer  func(index int) bool
	// publishesFormer reports whether the next publisher runs that build; nil for no.
	publishesFormer func() bool
}

type version struct {
	number int64
	at     time.Time
}

// node is one process of a machine.
type node struct {
	fleet      *fleet
	name       string
	stop       context.CancelFunc
	handler    http.Handler
	subscriber *dissemination.Subscriber
	relays     *dissemination.Relays
	publisher  atomic.Pointer[dissemination.Publisher]
	address    string
	sent       sentCounts
	registry   *cluster.Registry
	replicas   *metadata.Mirror
	// former is true if the node runs the former build.
	former bool

	mu      sync.Mutex
	version int64 // of the configuration in effect
	// isolated and storeRefused are faults: no traffic passes between the node and other nodes; the store refuses the node.
	isolated, storeRefused bool
	faultFreeSince         time.Time
	lastAssignment         *clusterv1.Assignment
}

// sentCounts counts what a node has sent: calls, their bytes and datagrams to other nodes, and probes and other calls to the store.
type sentCounts struct{ calls, bytes, datagrams, probes, storeCalls atomic.Int64 }

func (fleet *fleet) fail(format string, arguments ...any) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.failure == "" {
		fleet.failure = fmt.Sprintf(format, arguments...)
	}
}

// Reset implements metadata.Handler for the configuration.
func (node *node) Reset(items []metadata.Item, _ metadata.Revision) {
	for _, item := range items {
		node.applyItem(item)
	}
}

// Apply implements metadata.Handler.
func (node *node) Apply(events []metadata.Event, _ metadata.Revision) {
	for _, event := range events {
		node.applyItem(event.Item)
	}
}

func (node *node) applyItem(item metadata.Item) {
	number, _ := strconv.ParseInt(strings.TrimSpace(string(item.Value)), 10, 64)
	node.mu.Lock()
	defer node.mu.Unlock()
	if number < node.version {
		node.fleet.fail("%s reverts from version %d to %d", node.name, node.version, number)
	}
	node.version = number
}

func (node *node) setFaults(isolated, storeRefused bool) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.isolated || node.storeRefused || isolated || storeRefused {
		node.faultFreeSince = time.Now()
	}
	node.isolated, node.storeRefused = isolated, storeRefused
}

// assign records an assignment and passes it to the relays.
func (node *node) assign(assignment *clusterv1.Assignment) {
	node.mu.Lock()
	node.lastAssignment = assignment
	node.mu.Unlock()
	node.relays.Assign(assignment)
}

// lastAssigned returns the newest assignment if it has nodes, otherwise nil.
func (node *node) lastAssigned() *clusterv1.Assignment {
	node.mu.Lock()
	defer node.mu.Unlock()
	if len(node.lastAssignment.GetNodes()) == 0 {
		return nil
	}
	return node.lastAssignment
}

// handleReport passes on the report of a relay of this node.
func (node *node) handleReport(report *clusterv1.RelayReport) {
	if publisher := node.publisher.Load(); publisher != nil {
		publisher.HandleReport(report)
	}
	if node.relays != nil {
		node.relays.HandleReport(report)
	}
}

func (node *node) isIsolated() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.isolated
}

func (fleet *fleet) nodeAt(address string) *node {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.nodes[address]
}

func (fleet *fleet) newNode(name, address string, former bool) (*node, *cluster.Registry, nodeStore, context.Context) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.lastIncarnation++
	created := &node{fleet: fleet, name: name, address: address, former: former, faultFreeSince: time.Now()}
	store := nodeStore{fleet.store, created}
	record := &clusterv1.NodeRecord{Name: name, Address: address, Zone: "z" + name[len(name)-1:], Role: "front", Life: fleet.lastIncarnation}
	if !former {
		record.Capabilities = capability.Own()
	}
	registry := cluster.NewRegistry(record, store, &http.Client{Transport: link{from: created}}, log.New(io.Discard))
	ctx, stop := context.WithCancel(fleet.ctx)
	created.stop = stop
	return created, registry, store, ctx
}

// join makes a process reachable for others.
func (fleet *fleet) join(created *node) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.nodes[created.address] = created
	fleet.allNodes = append(fleet.allNodes, created)
}

func address(index int) string { return fmt.Sprint("127.0.0.1:", 1000+index) }

// startAll starts the first process of each node.
func (fleet *fleet) startAll(nodes int) {
	for index := range nodes {
		fleet.start(index, true)
	}
}

// start starts a process of a node, with the parts that the front role runs.
func (fleet *fleet) start(index int, first bool) {
	former := fleet.runsFormer != nil && fleet.runsFormer(index)
	created, registry, store, ctx := fleet.newNode(fmt.Sprint("front-", index, "-", index%3), address(index), former)
	logger := log.New(io.Discard)
	health := metadata.NewHealth(store, logger)
	topics := []dissemination.Topic{
		{Mirror: metadata.NewMirror("op/config", created)},
		{Mirror: metadata.NewMirror("servers/", &keys{}), Bulk: true},
		{Mirror: metadata.NewMirror(cluster.Prefix, registry), MinInterval: time.Second, Bulk: true},
	}
	subscriber := &dissemination.Subscriber{
		Node: created.name, Topics: topics, Limits: dissemination.LimitsFor(inForce, first), Health: health, Logger: logger,
		ReaderRank: func() int { return registry.Rank("reader") },
		Follow: func(ctx context.Context) {
			follow(ctx, store, health, []dissemination.Topic{topics[0], topics[2]})
			if topics[1].Revision() == 0 {
				(&dissemination.SnapshotFetcher{Topic: topics[1], Nodes: topics[2], Registry: registry, Logger: logger}).Fetch(ctx)
			}
			follow(ctx, store, health, topics[1:2])
		},
		Relay: func(ctx context.Context) {
			publish(ctx, created, registry, health, topics, registry.Neighbours)
		},
	}
	health.ProbeNeeded = func() bool { return subscriber.NeedsProbe(time.Now()) }
	health.Urgent = func() bool { return registry.Rank("reader") == 0 }
	health.Nodes = registry.Count
	registry.Health = health
	created.relays = &dissemination.Relays{
		Node: created.name, Incarnation: registry.Incarnation(), Address: created.address, Topics: topics, Registry: registry,
		Datagrams: &cluster.Datagrams{Conn: link{from: created}}, Logger: logger, FanOut: fleet.fanOut,
	}
	created.relays.Start(ctx)
	subscriber.Assign = created.assign
	created.subscriber, created.registry, created.replicas = subscriber, registry, topics[1].Mirror
	created.handler = clusterv1.NewNodesServer(subscriber)
	if former {
		created.useFormerBuild()
	}
	fleet.join(created)
	go health.Run(ctx)
	go subscriber.Run(ctx)
	go registry.Register(ctx)
}

// registryMinInterval is the minimum time between two watches of the registry by the publisher.
const registryMinInterval = 250 * time.Millisecond

func follow(ctx context.Context, store metadata.Store, health *metadata.Health, topics []dissemination.Topic) {
	followAt(ctx, store, health, topics, 0)
}

func followAt(ctx context.Context, store metadata.Store, health *metadata.Health, topics []dissemination.Topic, minInterval time.Duration) {
	for _, topic := range topics {
		follower := &metadata.Follower{
			Store: store, Prefix: topic.Prefix(), Handler: topic.Mirror, StartRevision: topic.Revision, Logger: log.New(io.Discard), Health: health,
			Wait: func() time.Duration { return metadata.ShortWatchTimeout },
		}
		if topic.Prefix() == cluster.Prefix {
			follower.MinInterval = minInterval
		}
		go follower.Run(ctx)
	}
}

func publish(ctx context.Context, from *node, registry *cluster.Registry, health *metadata.Health, topics []dissemination.Topic, to func() []*clusterv1.NodeRecord) {
	publisher := &dissemination.Publisher{
		Node: from.name, Incarnation: registry.Incarnation(), Clock: from.fleet.clock, Topics: topics, Registry: registry, Nodes: to, IsZoneReader: to != nil, Address: from.address,
		Datagrams: &cluster.Datagrams{Conn: link{from: from}}, Health: health, Logger: log.New(io.Discard), FanOut: from.fleet.fanOut,
	}
	if from.former {
		publisher.FanOut = math.MaxInt // the former build has no relays
	}
	from.publisher.Store(publisher)
	publisher.Run(ctx)
}

// publisherIndex is the index of the publisher's address.
const publisherIndex = 9000

// startPublisher starts a process that publishes, as the holder of the lease does.
func (fleet *fleet) startPublisher() *node {
	return fleet.startPublisherOf(fleet.publishesFormer != nil && fleet.publishesFormer())
}

// startPublisherOf starts a publisher of the current or the former build.
func (fleet *fleet) startPublisherOf(former bool) *node {
	created, registry, store, ctx := fleet.newNode("orderer-9", address(publisherIndex), former)
	health := metadata.NewHealth(store, log.New(io.Discard))
	topics := []dissemination.Topic{
		{Mirror: metadata.NewMirror("op/config", created)},
		{Mirror: metadata.NewMirror("servers/", &keys{}), Bulk: true},
		{Mirror: metadata.NewMirror(cluster.Prefix, registry), MinInterval: time.Second, Bulk: true},
	}
	fleet.join(created)
	go health.Run(ctx)
	followAt(ctx, store, health, topics, registryMinInterval)
	go publish(ctx, created, registry, health, topics, nil)
	return created
}

// configure writes a new version as the operator does.
func (fleet *fleet) configure() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	number := int64(len(fleet.written) + 1)
	fleet.written = append(fleet.written, version{number, time.Now()})
	_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "op/config", Value: fmt.Appendf(nil, "%*d", fleet.padding, number)}}})
}

// dueVersion returns the newest version that has to be in effect.
func (fleet *fleet) dueVersion(now time.Time) int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	number := int64(0)
	for _, written := range fleet.written {
		if now.Sub(written.at) > inForce {
			number = written.number
		}
	}
	return number
}

// check fails for each node that lacks a due version, unless the node or the store had a fault recently.
func (fleet *fleet) check(nodes int, storeHealthySince time.Time) {
	now := time.Now()
	due := fleet.dueVersion(now)
	for index := range nodes {
		node := fleet.nodeAt(address(index))
		node.mu.Lock()
		settled := !node.storeRefused && now.Sub(node.faultFreeSince) > inForce+time.Second && now.Sub(storeHealthySince) > inForce+time.Second
		known := node.version
		node.mu.Unlock()
		if settled && known < due {
			fleet.fail("%s is at version %d, %d is due", node.name, known, due)
		}
	}
}

// step is one event of a history, and the time after it in tenths of a second.
type step struct {
	event, node            int
	isolated, storeRefused bool
	tenths                 int
}

// eventKinds is the number of kinds of events that play handles.
const eventKinds = 11

func drawSteps(t *rapid.T, nodes int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			event: rapid.IntRange(0, eventKinds-1).Draw(t, "event"), node: rapid.IntRange(0, nodes-1).Draw(t, "node"),
			isolated: rapid.Bool().Draw(t, "deaf"), storeRefused: rapid.Bool().Draw(t, "refused"), tenths: rapid.IntRange(1, 40).Draw(t, "tenths"),
		}
	}), 3, 14).Draw(t, "steps")
}

// play runs a history on a fleet and checks the fleet every tenth of a second.
func (fleet *fleet) play(nodes int, steps []step) {
	publisher, storeCalm := fleet.startPublisher(), time.Now()
	fleet.configure()
	_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "servers/1"}}})
	fleet.startAll(nodes)
	time.Sleep(3 * time.Second)
	for _, step := range steps {
		switch step.event {
		case 0, 1, 2:
			fleet.configure()
		case 3:
			publisher.stop()
		case 4:
			publisher.stop()
			publisher = fleet.startPublisher()
		case 5, 6:
			publisher.setFaults(step.isolated, step.storeRefused)
		case 7:
			fleet.nodeAt(address(step.node)).setFaults(step.isolated, step.storeRefused)
		case 8: // a restart, planned or not
			fleet.nodeAt(address(step.node)).stop()
			fleet.start(step.node, false)
		case 9:
			fleet.store.Compact()
		case 10:
			fleet.store.SetFaults(memstore.Faults{Down: true})
			time.Sleep(time.Second)
			fleet.store.SetFaults(memstore.Faults{})
			storeCalm = time.Now()
		}
		for range step.tenths {
			time.Sleep(100 * time.Millisecond)
			fleet.check(nodes, storeCalm)
		}
	}
	for index := range nodes {
		fleet.nodeAt(address(index)).setFaults(false, false)
	}
	fleet.configure()
	time.Sleep(2*inForce + time.Second)
	fleet.check(nodes, storeCalm)
}

// smallFanOut makes the few nodes of a history form a tree of relays.
const smallFanOut = 3

// runFleet runs play in simulated time and returns the first failure.
func runFleet(t *testing.T, play func(fleet *fleet)) string {
	var failure string
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		created := &fleet{store: memstore.New(), ctx: ctx, clock: clock.Monotonic(), nodes: make(map[string]*node), fanOut: smallFanOut}
		defer func() {
			stop()
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}()
		play(created)
		failure = created.failure
	})
	return failure
}
