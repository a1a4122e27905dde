// Package role puts the parts of a node together, a file for each role. It knows no wire format: adapters are handed in.
package role

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/capability"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// FrontOptions are what a front is made of.
type FrontOptions struct {
	Node, Zone, Role string
	Life             int64
	// Cores is the processor time that the machine's processes may use together; zero if that is not known.
	Cores float64
	// PeerAddress is where other nodes reach this one, by TCP and UDP.
	PeerAddress string
	Store       metadata.Store
	Sender      backend.Sender
	// Prober finds out whether the process of a replica is gone.
	Prober     quarantine.Prober
	Decoder    batchrun.Decoder
	PeerClient *http.Client
	Logger     *log.Logger
	Metrics    *telemetry.Metrics
	// ConfigurationPrefix and ReplicaPrefix are the keys that the handlers follow; the handlers fill the catalog.
	ConfigurationPrefix, ReplicaPrefix string
	Catalog                            *catalog.Table
	ConfigurationHandler               metadata.Handler
	ReplicaHandler                     metadata.Handler
	// Limits are how long this front puts up with what it misses of a publisher.
	Limits dissemination.Limits
	// StartOrderer starts a candidate for giving orders in this process; nil for none.
	StartOrderer func() (*Orderer, error)
	// UsageWindow is the length of the windows of which usage is reported; zero for no reports.
	UsageWindow time.Duration
	// Clock goes on while the machine is suspended; nil for a steady one.
	Clock clock.Clock
}

// Front serves callers and runs batch jobs.
type Front struct {
	FrontOptions
	Forwarder  *forwarding.Forwarder
	Runner     *batchrun.Runner
	Registry   *cluster.Registry
	health     *metadata.Health
	datagrams  *cluster.Datagrams
	subscriber *dissemination.Subscriber
	relays     *dissemination.Relays
	// reader publishes to this front's zone while it reads the store for that; nil otherwise.
	reader   atomic.Pointer[dissemination.Publisher]
	topics   topics
	loads    *backend.Loads
	owners   *owners
	ctx      context.Context
	cancel   context.CancelFunc
	stopping atomic.Bool
	// waiting is how many take-overs wait for the metadata store.
	waiting atomic.Int64
	calls   atomic.Int64
	// usage is nil where none is reported.
	usage *usage
	// guard sends all requests to replicas; archive has those that it sends no more outlive this process.
	guard   *quarantine.Guard
	archive *quarantine.Archive
}

// Times of a front.
const (
	flushSpacing = 250 * time.Millisecond
	flushLongest = 800 * time.Millisecond
	flushFinal   = 60 * time.Millisecond
)

// NewFront returns a front that does not work yet.
func NewFront(options FrontOptions) *Front {
	options.Clock = clock.OrSteady(options.Clock)
	ctx, cancel := context.WithCancel(context.Background())
	loads := backend.NewLoads()
	self := &clusterv1.NodeRecord{Name: options.Node, Address: options.PeerAddress, Zone: options.Zone, Role: options.Role, Life: options.Life, Cores: options.Cores, Capabilities: capability.Own()}
	front := &Front{FrontOptions: options, loads: loads, owners: newOwners(), health: metadata.NewHealth(options.Store, options.Logger), ctx: ctx, cancel: cancel}
	front.Registry = cluster.NewRegistry(self, options.Store, options.PeerClient, options.Logger)
	front.guard, front.archive = front.newGuard()
	front.Forwarder = &forwarding.Forwarder{Catalog: options.Catalog, Loads: loads, Sender: front.guard, Zone: options.Zone, Logger: options.Logger, Metrics: options.Metrics, Clock: options.Clock}
	front.Runner = batchrun.New(batchrun.Options{
		Node: options.Node, Life: options.Life, Zone: options.Zone, Catalog: options.Catalog, Loads: loads, Sender: front.guard,
		Decoder: options.Decoder, Log: &batchlog.Log{Store: options.Store, Health: front.health, Node: options.Node, Life: options.Life}, Peers: peers{front}, Logger: options.Logger, Metrics: options.Metrics,
		Flush: batch.FlushPolicy{Spacing: flushSpacing, Longest: flushLongest, FinalSpacing: flushFinal},
	})
	front.health.Nodes = front.Registry.Count
	front.health.OnRegained = front.tellStoreAnswers
	front.topics = newTopics(options.ConfigurationPrefix, options.ConfigurationHandler, options.ReplicaPrefix, options.ReplicaHandler, front.Registry, front.archive)
	front.subscriber = front.newSubscriber()
	front.health.Needed, front.health.Urgent = front.needsStore, front.waitsForStore
	front.Registry.LeftKey, front.Registry.Health = batchlog.LeftKey, front.health
	if options.UsageWindow > 0 {
		front.usage = front.newUsage(options.UsageWindow)
		front.Forwarder.Meter = front.usage.meter
	}
	front.Registry.OnExpelled = func() { go front.Runner.Recheck(ctx) }
	return front
}

// Start begins to follow the deployment, to watch other nodes and to run jobs.
func (front *Front) Start() error {
	packets, err := net.ListenPacket("udp4", front.PeerAddress)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", front.PeerAddress)
	if err != nil {
		return err
	}
	front.datagrams = &cluster.Datagrams{Conn: packets}
	subscriber := front.subscriber
	front.startRelays()
	front.servePeers(listener, subscriber)
	go front.health.Run(front.ctx)
	go front.join()
	monitor := &cluster.Monitor{Registry: front.Registry, Datagrams: front.datagrams, Logger: front.Logger, OnDead: front.Runner.TakeOverNode, AwaitStore: front.awaitStore}
	go front.datagrams.Receive(front.ctx, cluster.Handlers{
		Any:       func() { front.Registry.RecordContact(time.Now()) },
		Heartbeat: monitor.HandleHeartbeat, Beacon: front.heardBeacon, RelayReport: front.heardReport, Loads: front.heardLoads,
		StoreAnswers: func(*clusterv1.StoreAnswers) { front.health.Told() },
		Suspicions:   func(told *clusterv1.Suspicions) { front.guard.Heard(decodeNotice(told)) },
		JobOwner:     front.heardOwner,
	})
	go monitor.Run(front.ctx)
	go front.guard.Run(front.ctx)
	go (&clock.Watch{Clock: front.Clock, Logger: front.Logger, Metrics: front.Metrics, Woken: front.woken}).Run(front.ctx)
	go subscriber.Run(front.ctx)
	if front.StartOrderer != nil {
		go front.standBy(front.ctx)
	}
	if front.usage != nil {
		go front.usage.teller.Run(front.ctx)
	}
	front.Runner.Start()
	return nil
}

// woken has this front find out what became of it while its machine was suspended: others may have taken its jobs over, and connections that
// it waits on may be dead.
func (front *Front) woken(time.Duration) {
	front.health.Doubt()
	front.health.CutWatches()
	go front.Runner.Recheck(front.ctx)
}

// servePeers answers other nodes until the process ends.
func (front *Front) servePeers(listener net.Listener, subscriber *dissemination.Subscriber) {
	batches := batchv1.NewBatchesServer(batchrun.Service{Runner: front.Runner})
	nodes := clusterv1.NewNodesServer(subscriber)
	mux := http.NewServeMux()
	mux.Handle(batches.PathPrefix(), batches)
	mux.Handle(nodes.PathPrefix(), nodes)
	if front.usage != nil {
		mux.Handle(collectorHandler(front.usage.ledger))
	}
	go func() {
		err := http.Serve(listener, mux)
		front.Logger.Warn("server ended", "server", "peers", "error", err)
	}()
}

// heardOwner takes another node's announcement of a job.
func (front *Front) heardOwner(owner *clusterv1.JobOwner) {
	front.owners.note(owner.GetNode(), time.Now())
	if owner.Tenant != nil {
		front.Runner.RememberTenant(owner.GetJobId(), owner.GetTenant())
	}
	front.Runner.RememberOwner(owner.GetJobId(), owner.GetNode())
}

// heardLoads takes what another node has in flight, by the names of replicas, since nodes of other builds may not tell their lives apart.
func (front *Front) heardLoads(told *clusterv1.Loads) {
	replicas := front.Catalog.Replicas()
	inFlight := make(map[string]int, len(told.GetReplicas()))
	for _, load := range told.GetReplicas() {
		if replica := replicas.FindNamed(load.GetId()); replica != nil {
			inFlight[replica.ID] = int(load.GetInFlight())
		}
	}
	front.loads.SetOthers(told.GetNode(), inFlight, time.Now())
}

// Ready reports whether callers may be sent here.
func (front *Front) Ready() bool {
	return !front.stopping.Load() && front.Catalog.Configuration() != nil && front.Catalog.Replicas().All().Len() > 0
}

// UpToDate reports whether this front may say of a route or a key that the operator has none such.
func (front *Front) UpToDate() bool {
	return front.subscriber.UpToDate(front.ConfigurationPrefix, time.Now())
}

// Stopping reports whether a planned stop has begun.
func (front *Front) Stopping() bool { return front.stopping.Load() }

// Counted counts the calls in progress of a handler.
func (front *Front) Counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		front.calls.Add(1)
		defer front.calls.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

const (
	// quietTime is how long no call may have been in progress before a stopping front ends.
	quietTime  = 600 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
	stopMargin = 2 * time.Second
	// finishTime is kept of the grace to finish calls once no more are taken.
	finishTime = 2 * time.Second
	// stopLeast leaves callers time to notice that the front is not ready.
	stopLeast = 2200 * time.Millisecond
)

// Stop ends the front as planned: it is not ready at once, hands its jobs over, serves until its callers are gone, has the
// servers take no more and finish what they have, and returns well inside the grace.
func (front *Front) Stop(grace time.Duration, servers ...*http.Server) {
	started := time.Now()
	front.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	taken := front.Runner.HandOver(ctx)
	quiet := time.Now()
	last := started.Add(grace - stopMargin - finishTime)
	for time.Now().Before(last) && (time.Since(quiet) < quietTime || time.Since(started) < stopLeast) {
		if front.calls.Load() > 0 {
			quiet = time.Now()
		}
		time.Sleep(stopPoll)
	}
	var leaving sync.WaitGroup
	if taken { // beside the last calls: a store that says nothing takes all the time that there is
		leaving.Go(func() { front.Registry.Leave(ctx) })
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			front.Logger.Warn("calls cut", "calls", front.calls.Load(), "error", err)
		}
	}
	leaving.Wait()
	front.Logger.Info("stopped", "took_ms", time.Since(started).Milliseconds(), "calls_left", front.calls.Load())
	front.Runner.Close()
	front.cancel()
}
