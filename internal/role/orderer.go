package role

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metering"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

// RetireReporter notifies the operator that a machine is empty.
type RetireReporter interface {
	ReportRetired(ctx context.Context, node string) error
}

// OrdererOptions are the settings and dependencies of an orderer.
type OrdererOptions struct {
	Node, Role  string
	Incarnation int64
	PeerAddress string
	Store       metadata.Store
	Replicas    weights.Replicas
	Retire      RetireReporter
	PeerClient  *http.Client
	Logger      *log.Logger
	Metrics     *telemetry.Metrics
	Catalog     *catalog.Table
	// OperatorPrefix and ReplicaPrefix are the key prefixes that the handlers follow while this node holds the lease.
	// ConfigurationPrefix is the part of OperatorPrefix that is published.
	OperatorPrefix, ConfigurationPrefix, ReplicaPrefix string
	ReplicaHandler                                     metadata.Handler
	Election                                           weights.ElectionSettings
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// UsageWindow is the length of the windows for usage reports to UsageSink; zero disables them.
	UsageWindow time.Duration
	UsageSink   metering.Sink
	// ReplicaSink takes orders for the replicas of services that the configuration lets scale; nil disables them.
	ReplicaSink provisioning.Sink
	// CallGrace is how long a call to the cloud may continue after the end of a term.
	CallGrace time.Duration
	// Clock keeps running while the machine is suspended, as the leases do; nil means the process's monotonic clock.
	Clock clock.Clock
	// Network opens the orderer's sockets; nil means the network of the machine.
	Network Network
}

// Orderer is a candidate for the orderer's lease. While it holds the lease, it brings replicas to the versions that
// trainers request, and publishes to the fronts what it reads from the metadata store. An orderer stores nothing on its
// machine, so it confirms a request to empty the machine at once.
type Orderer struct {
	OrdererOptions
	Weights  *weights.Orderer
	operator metadata.Handler
	registry *cluster.Registry
	// topics are kept across terms, so that a later term publishes only what has changed.
	topics    topics
	datagrams *cluster.Datagrams
	// publisher is the publisher of the current term.
	publisher atomic.Pointer[dissemination.Publisher]
	// reporter reports usage while this node holds the lease; nil if usage is not reported.
	reporter *metering.Reporter
	// provisioner orders replicas while this node holds the lease; nil if their numbers are fixed.
	provisioner *provisioning.Provisioner
	ctx         context.Context
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// loadShare is the fraction of a service's replicas that may load weights at the same time without slowing each other
// down.
const loadShare = 0.2

// Timing of the lease holder's watches: the minimum intervals between two watches, and the duration of one watch.
const (
	ordererReplicaInterval  = 150 * time.Millisecond
	ordererRegistryInterval = 250 * time.Millisecond
	// replicaWait bounds how long a change of replicas can go unnoticed if a compaction removed it from the store's
	// history.
	replicaWait = 3 * time.Second
	// nodesWait is the same bound for nodes. A node that starts while its record is missed reads the store itself.
	nodesWait = 5 * time.Second
	// quarantineWait is the same bound for quarantined requests, which fronts also send to each other.
	quarantineWait = 15 * time.Second
)

// NewOrderer returns a candidate. It does nothing until Start is called.
func NewOrderer(options OrdererOptions) *Orderer {
	options.Clock = clock.OrMonotonic(options.Clock)
	ctx, cancel := context.WithCancel(context.Background())
	self := &clusterv1.NodeRecord{Name: options.Node, Address: options.PeerAddress, Role: options.Role, Life: options.Incarnation}
	weightsOrderer := weights.NewOrderer(options.Node, options.Store, options.Catalog, options.Replicas, loadShare, options.Logger)
	weightsOrderer.Metrics = options.Metrics
	registry := cluster.NewRegistry(self, options.Store, options.PeerClient, options.Logger)
	orderer := &Orderer{
		OrdererOptions: options, ctx: ctx, cancel: cancel, Weights: weightsOrderer, registry: registry,
		topics: newTopics(options.ConfigurationPrefix, metadata.Handlers{}, options.ReplicaPrefix, options.ReplicaHandler, registry, metadata.Handlers{}),
	}
	if options.UsageWindow > 0 {
		windows, clock := metering.Windows{Length: options.UsageWindow}, metering.NewClock(options.Clock)
		orderer.reporter = &metering.Reporter{
			Node: options.Node, Windows: windows, Clock: clock, Ledger: metering.NewLedger(windows, clock), Store: options.Store,
			Sink: options.UsageSink, Logger: options.Logger, Metrics: options.Metrics, CallGrace: options.CallGrace,
		}
	}
	if options.ReplicaSink != nil {
		orderer.provisioner = &provisioning.Provisioner{
			Node: options.Node, Store: options.Store, Sink: options.ReplicaSink, Catalog: options.Catalog, Loads: provisioning.NewLoads(),
			Logger: options.Logger, Metrics: options.Metrics, CallGrace: options.CallGrace, ReplicasRevision: orderer.topics.replicas.Revision,
		}
	}
	return orderer
}

// Start opens the orderer's sockets and stands for election. The handler receives the operator's keys while this node
// holds the lease.
func (orderer *Orderer) Start(operator metadata.Handler) error {
	packets, err := orMachine(orderer.Network).ListenPacket(orderer.PeerAddress)
	if err != nil {
		return err
	}
	if err := orderer.servePeers(); err != nil {
		return err
	}
	orderer.datagrams = &cluster.Datagrams{Conn: packets}
	go orderer.datagrams.Receive(orderer.ctx, cluster.Handlers{
		RelayReport: func(report *clusterv1.RelayReport) {
			if publisher := orderer.publisher.Load(); publisher != nil {
				publisher.HandleReport(report)
			}
		},
		Demand: func(demand *clusterv1.Demand) {
			orderer.Weights.RecordDemand(weights.Demand{
				Job: demand.GetJobId(), Model: demand.GetModel(), Minimum: demand.GetMinimumVersion(), Work: demand.GetWork(), Items: int(demand.GetItems()),
			})
			if orderer.provisioner != nil {
				orderer.provisioner.Loads.RecordDemand(demand, time.Now())
			}
		},
		ServiceTotals: func(totals *clusterv1.ServiceTotals, _ net.Addr) {
			if orderer.provisioner != nil {
				orderer.provisioner.Loads.RecordTotals(totals, time.Now())
			}
		},
	})
	orderer.operator = operator
	election := weights.NewElection(orderer.Store, orderer.Node, orderer.Election, orderer.Logger)
	election.OnEarlierIncarnation, election.Clock = orderer.publishBeforeTerm, orderer.Clock
	orderer.done.Add(1)
	go func() {
		defer orderer.done.Done()
		election.Run(orderer.ctx, orderer.lead)
	}()
	return nil
}

// servePeers accepts the usage tallies of other nodes until this candidate stops. It does nothing if usage is not
// reported.
func (orderer *Orderer) servePeers() error {
	if orderer.reporter == nil {
		return nil
	}
	listener, err := orMachine(orderer.Network).Listen(orderer.PeerAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(collectorHandler(orderer.reporter.Ledger))
	server := &http.Server{Handler: mux}
	context.AfterFunc(orderer.ctx, func() {
		_ = server.Close() // senders learn of the next collector from its beacons
	})
	go func() {
		err := server.Serve(listener)
		orderer.Logger.Warn("server ended", "server", "peers", "error", err)
	}()
	return nil
}

// lead runs one term: it returns when this node loses the lease or stops.
func (orderer *Orderer) lead(ctx context.Context, term *weights.Term) {
	orderer.publish(ctx, term.Fence)
	go orderer.collectGarbage(ctx)
	var calling sync.WaitGroup
	if orderer.reporter != nil {
		calling.Go(func() { orderer.reporter.Run(ctx, term.Fence, term) })
	}
	if orderer.provisioner != nil {
		calling.Go(func() { orderer.provisioner.Run(ctx, term.Fence, term) })
	}
	orderer.Weights.RunTerm(ctx, term)
	calling.Wait() // the next term must not begin before the calls of this one have ended
}

// publishBeforeTerm publishes before this node holds the lease, while the lease of its earlier process has not yet
// expired. After a restart of all machines, fronts therefore need not wait for the lease to read the deployment's
// state.
func (orderer *Orderer) publishBeforeTerm(ctx context.Context) {
	orderer.Logger.Info("publishing ahead of the lease", "node", orderer.Node)
	orderer.publish(ctx, noTerm)
}

// noTerm is the fence of a node that holds no lease.
const noTerm = 0

// publish follows the topics in the store and publishes them until the context ends. The fence is that of this node's
// term, or noTerm.
func (orderer *Orderer) publish(ctx context.Context, fence int64) {
	health := metadata.NewHealth(orderer.Store, orderer.Logger)
	follow := func(follower metadata.Follower, wait time.Duration) {
		follower.Store, follower.Logger, follower.Health = orderer.Store, orderer.Logger, health
		follower.Wait = func() time.Duration { return wait }
		go follower.Run(ctx)
	}
	topics := orderer.topics
	go health.Run(ctx)
	follow(metadata.Follower{Prefix: orderer.OperatorPrefix, Handler: metadata.Handlers{orderer.operator, topics.configuration}}, metadata.ShortWatchTimeout)
	follow(metadata.Follower{Prefix: topics.replicas.Prefix(), Handler: topics.replicas, StartRevision: topics.replicas.Revision, MinInterval: ordererReplicaInterval}, replicaWait)
	follow(metadata.Follower{Prefix: topics.nodes.Prefix(), Handler: topics.nodes, StartRevision: topics.nodes.Revision, MinInterval: ordererRegistryInterval}, nodesWait)
	follow(metadata.Follower{Prefix: topics.quarantine.Prefix(), Handler: topics.quarantine, StartRevision: topics.quarantine.Revision}, quarantineWait)
	publisher := &dissemination.Publisher{
		Node: orderer.Node, Incarnation: orderer.Incarnation, Clock: orderer.Clock, Topics: topics.published(), Registry: orderer.registry, IsZoneReader: fence == noTerm, Term: fence, Address: orderer.PeerAddress,
		Datagrams: orderer.datagrams, Health: health, Logger: orderer.Logger, Metrics: orderer.Metrics,
	}
	orderer.publisher.Store(publisher)
	go publisher.Run(ctx)
}

const (
	collectInterval = 30 * time.Second
	collectTimeout  = 20 * time.Second
)

// collectGarbage periodically removes jobs that ended longer than Retention ago, and quarantined requests that have
// expired.
func (orderer *Orderer) collectGarbage(ctx context.Context) {
	jobs := &batchlog.Log{Store: orderer.Store, Node: orderer.Node, Incarnation: orderer.Incarnation}
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, collectTimeout)
		collection, err := jobs.Collect(callCtx, time.Now().Add(-orderer.Retention))
		if collection != (batchlog.Collection{}) || err != nil {
			orderer.Logger.Info("jobs collected", "count", collection.Removed, "outdated", collection.Outdated, "error", err)
		}
		count, err := quarantine.RemoveExpired(callCtx, orderer.Store, orderer.topics.quarantine.Delta(0).Items, time.Now())
		if count > 0 || err != nil {
			orderer.Logger.Info("quarantines over", "count", count, "error", err)
		}
		cancel()
	}
}

const retireBackoff = 300 * time.Millisecond

// ConfirmRetired confirms a request to empty a machine, and retries until the confirmation succeeds.
func (orderer *Orderer) ConfirmRetired(node string) {
	go func() {
		for orderer.ctx.Err() == nil {
			err := orderer.Retire.ReportRetired(orderer.ctx, node)
			orderer.Logger.Info("retire", "node", node, "error", err)
			if err == nil {
				return
			}
			time.Sleep(retireBackoff)
		}
	}()
}

// Stop releases the lease and waits until the election has ended.
func (orderer *Orderer) Stop() {
	orderer.cancel()
	orderer.done.Wait()
	orderer.Logger.Info("stopped")
}
