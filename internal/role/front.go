// Package role assembles the components of a node, by the node's role. It is independent of wire formats: adapters are
// passed in as options.
package role

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
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

// FrontOptions are the settings and dependencies of a front.
type FrontOptions struct {
	Node, Zone, Role string
	Incarnation      int64
	// Cores is the CPU time, in cores, that the processes of the machine may use together; zero if unknown.
	Cores float64
	// PeerAddress is the address on which other nodes reach this front, by TCP and UDP.
	PeerAddress string
	Store       metadata.Store
	Sender      backend.Sender
	// Prober checks whether the process of a replica has ended.
	Prober     quarantine.Prober
	Decoder    batchrun.Decoder
	PeerClient *http.Client
	Logger     *log.Logger
	Metrics    *telemetry.Metrics
	// ConfigurationPrefix and ReplicaPrefix are the key prefixes that the handlers follow. The handlers fill the
	// catalog.
	ConfigurationPrefix, ReplicaPrefix string
	Catalog                            *catalog.Table
	ConfigurationHandler               metadata.Handler
	ReplicaHandler                     metadata.Handler
	// Limits bound how long this front tolerates missing beacons and updates of a publisher.
	Limits dissemination.Limits
	// StartOrderer starts a candidate orderer in this process; nil if this front never stands for election.
	StartOrderer func() (*Orderer, error)
	// UsageWindow is the length of the windows for usage reports; zero disables them.
	UsageWindow time.Duration
	// OverloadControl makes requests wait for room at their service, and shares the room among callers, trainers and nodes.
	OverloadControl bool
	// Clock keeps running while the machine is suspended; nil means the process's monotonic clock.
	Clock clock.Clock
	// Retention is how long ended jobs are kept at least; zero means for ever.
	Retention time.Duration
	// Network opens the front's sockets; nil means the network of the machine.
	Network Network
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
	// zonePublisher publishes to this front's zone while this front reads the store on behalf of the zone; nil
	// otherwise.
	zonePublisher atomic.Pointer[dissemination.Publisher]
	topics        topics
	loads         *backend.Loads
	owners        *owners
	ctx           context.Context
	cancel        context.CancelFunc
	stopping      atomic.Bool
	// plannedStop is nil before a planned stop.
	plannedStop atomic.Pointer[plannedStop]
	// waitingTakeovers is the number of takeovers that wait for the metadata store.
	waitingTakeovers atomic.Int64
	activeCalls      atomic.Int64
	// usage is nil if usage is not reported.
	usage *usage
	// guard sends the requests of callers to replicas and withholds those that are quarantined; recordStore stores the
	// quarantined requests, so that they outlast this process. Items and their scores are owed whatever crashed while they
	// ran, and do not pass the guard.
	guard       *quarantine.Guard
	recordStore *quarantine.RecordStore
	// loadExchange is nil if requests are not held back by the room of their service.
	loadExchange *loadExchange
}

// Parameters of batch.FlushPolicy.
const (
	flushInterval      = 250 * time.Millisecond
	flushMaxDelay      = 800 * time.Millisecond
	flushFinalInterval = 60 * time.Millisecond
)

// NewFront returns a front. It does nothing until Start is called.
func NewFront(options FrontOptions) *Front {
	options.Clock = clock.OrMonotonic(options.Clock)
	ctx, cancel := context.WithCancel(context.Background())
	loads := backend.NewLoads()
	self := &clusterv1.NodeRecord{Name: options.Node, Address: options.PeerAddress, Zone: options.Zone, Role: options.Role, Life: options.Incarnation, Cores: options.Cores, Capabilities: options.capabilities()}
	front := &Front{FrontOptions: options, loads: loads, owners: newOwners(), health: metadata.NewHealth(options.Store, options.Logger), ctx: ctx, cancel: cancel}
	front.Registry = cluster.NewRegistry(self, options.Store, options.PeerClient, options.Logger)
	front.guard, front.recordStore = front.newGuard()
	var admitted *admission.Controller
	if options.OverloadControl {
		front.loadExchange = front.newLoadExchange()
		admitted = front.loadExchange.admission
	}
	front.Forwarder = &forwarding.Forwarder{Catalog: options.Catalog, Loads: loads, Sender: front.guard, Zone: options.Zone, Logger: options.Logger, Metrics: options.Metrics, Admission: admitted, Clock: options.Clock}
	front.Runner = batchrun.New(batchrun.Options{
		Node: options.Node, Incarnation: options.Incarnation, Zone: options.Zone, Catalog: options.Catalog, Loads: loads, Sender: options.Sender,
		Decoder: options.Decoder, Log: &batchlog.Log{Store: options.Store, Health: front.health, Node: options.Node, Incarnation: options.Incarnation, Registration: front.Registry}, Peers: peers{front}, Logger: options.Logger, Metrics: options.Metrics,
		Flush: batch.FlushPolicy{MinInterval: flushInterval, MaxWait: flushMaxDelay, FinalMinInterval: flushFinalInterval}, Admission: admitted, Retention: options.Retention,
	})
	if options.OverloadControl {
		balancer := backend.NewBalancer(options.Zone, options.Logger, options.Metrics)
		loads.Balance(balancer)
		front.Forwarder.Sender = balancer.Sender(front.guard)
		front.Runner.Sender = balancer.Sender(options.Sender)
	}
	front.health.Nodes = front.Registry.Count
	front.health.OnRecovered = front.announceStoreAnswers
	front.topics = newTopics(options.ConfigurationPrefix, options.ConfigurationHandler, options.ReplicaPrefix, options.ReplicaHandler, front.Registry, front.recordStore)
	front.subscriber = front.newSubscriber()
	front.health.ProbeNeeded, front.health.Urgent = front.storeNeeded, front.storeUrgent
	front.Registry.LeftoverWorkKey, front.Registry.Health = batchlog.LeftoverWorkKey, front.health
	if options.UsageWindow > 0 {
		front.usage = front.newUsage(options.UsageWindow)
		front.Forwarder.Meter = front.usage.meter
	}
	front.Registry.OnExpelled = func() { go front.Runner.Recheck(ctx) }
	return front
}

// capabilities returns what this process registers. It handles reports of loads only with OverloadControl.
func (options FrontOptions) capabilities() []clusterv1.Capability {
	return slices.DeleteFunc(capability.Own(), func(own clusterv1.Capability) bool {
		return own == clusterv1.Capability_CAPABILITY_SERVICE_LOADS && !options.OverloadControl
	})
}

// Start opens the front's sockets, and starts to follow the deployment, monitor other nodes and run jobs.
func (front *Front) Start() error {
	network := orMachine(front.Network)
	packets, err := network.ListenPacket(front.PeerAddress)
	if err != nil {
		return err
	}
	listener, err := network.Listen(front.PeerAddress)
	if err != nil {
		return err
	}
	front.datagrams = &cluster.Datagrams{Conn: packets}
	subscriber := front.subscriber
	front.startRelays()
	front.servePeers(listener, subscriber)
	go front.health.Run(front.ctx)
	go front.join()
	monitor := &cluster.Monitor{Registry: front.Registry, Datagrams: front.datagrams, Logger: front.Logger, OnDead: front.takeOver, AwaitStore: front.awaitStore}
	handlers := cluster.Handlers{
		Any:       func() { front.Registry.RecordContact(time.Now()) },
		Heartbeat: monitor.HandleHeartbeat, Beacon: front.handleBeacon, RelayReport: front.handleRelayReport, Loads: front.handleLoads,
		StoreAnswers: func(*clusterv1.StoreAnswers) { front.health.NotifyRecovered() },
		Suspicions:   func(suspicions *clusterv1.Suspicions) { front.guard.HandleNotice(decodeNotice(suspicions)) },
		JobOwner:     front.handleJobOwner,
	}
	if front.loadExchange != nil {
		handlers.ServiceReport, handlers.ServiceTotals = front.loadExchange.handleReport, front.loadExchange.handleTotals
		go front.loadExchange.Run(front.ctx)
	}
	go front.datagrams.Receive(front.ctx, handlers)
	go monitor.Run(front.ctx)
	go front.guard.Run(front.ctx)
	go (&clock.SuspensionDetector{Clock: front.Clock, Logger: front.Logger, Metrics: front.Metrics, OnResume: front.handleResume}).Run(front.ctx)
	go subscriber.Run(front.ctx)
	if front.StartOrderer != nil {
		go front.standBy(front.ctx)
	}
	if front.usage != nil {
		go front.usage.tallySender.Run(front.ctx)
	}
	front.Runner.Start()
	return nil
}

// takeOver takes over the jobs of a dead node.
func (front *Front) takeOver(ctx context.Context, dead cluster.DeadNode) error {
	return front.Runner.TakeOverNode(ctx, dead.Name, dead.Incarnation, dead.Registration)
}

// handleResume runs after the machine was suspended. Other nodes may have taken over this front's jobs in the meantime,
// and its connections may be dead.
func (front *Front) handleResume(time.Duration) {
	front.health.RequestProbe()
	front.health.RestartWatches()
	go front.Runner.Recheck(front.ctx)
}

// servePeers answers calls of other nodes until the process ends.
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

// handleJobOwner records another node's announcement that it runs a job.
func (front *Front) handleJobOwner(owner *clusterv1.JobOwner) {
	front.owners.record(owner.GetNode(), time.Now())
	if owner.Tenant != nil {
		front.Runner.RememberTenant(owner.GetJobId(), owner.GetTenant())
	}
	front.Runner.JobAnnounced(owner.GetJobId(), owner.GetNode())
}

// handleLoads records the requests that another node has in flight. It matches replicas by name, because nodes of other
// versions may not distinguish the incarnations of a replica.
func (front *Front) handleLoads(loads *clusterv1.Loads) {
	replicas := front.Catalog.Replicas()
	inFlight := make(map[string]int, len(loads.GetReplicas()))
	for _, load := range loads.GetReplicas() {
		if replica := replicas.FindByName(load.GetId()); replica != nil {
			inFlight[replica.ID] = int(load.GetInFlight())
		}
	}
	front.loads.SetRemote(loads.GetNode(), inFlight, time.Now())
}

// Ready reports whether this front can serve callers.
func (front *Front) Ready() bool {
	return !front.stopping.Load() && front.Catalog.Configuration() != nil && front.Catalog.Replicas().All().Len() > 0
}

// UpToDate reports whether the configuration is current enough to reject an unknown route or API key.
func (front *Front) UpToDate() bool {
	return front.subscriber.UpToDate(front.ConfigurationPrefix, time.Now())
}

// Stopping reports whether a planned stop has begun.
func (front *Front) Stopping() bool { return front.stopping.Load() }

// CountCalls wraps a handler so that Stop can wait for its calls in progress.
func (front *Front) CountCalls(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		front.activeCalls.Add(1)
		defer front.activeCalls.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

const (
	// idleTime is how long a stopping front must be without calls before it shuts its servers down.
	idleTime = 600 * time.Millisecond
	stopPoll = 50 * time.Millisecond
	// stopMarginShare is the fraction of the grace period that is left for the end of the process. Calls are cut before it begins; in the
	// sixth before the end of the period callers have to put up with that.
	stopMarginShare = 1.0 / 7
	// shutdownTime is the part of the grace period that is reserved for calls in progress after the servers stop
	// accepting new ones.
	shutdownTime = 2 * time.Second
	// minStopTime gives load balancers time to notice that the front is not ready. New connections go to other nodes by then.
	minStopTime = 2200 * time.Millisecond
)

// plannedStop holds the times of a planned stop.
type plannedStop struct {
	// unusedFrom is when load balancers have noticed the stop. callsCut is when the calls in progress are cut.
	unusedFrom, callsCut time.Time
}

// MayBeCut reports whether a planned stop may cut a call that begins now and takes up to limit, or any time if limit is zero, though another
// node could serve the call in full. Callers that use the front until load balancers have noticed the stop are served in any case.
func (front *Front) MayBeCut(limit time.Duration) bool {
	stop := front.plannedStop.Load()
	now := time.Now()
	return stop != nil && now.After(stop.unusedFrom) && (limit <= 0 || now.Add(limit).After(stop.callsCut))
}

// Stop shuts the front down within the grace period. The front reports itself as not ready, hands its jobs over, and
// serves calls until none arrive any more; then it shuts the servers down gracefully. Connections that have been idle are closed as
// soon as new ones go to other nodes, since a call that arrives on them late would be cut.
func (front *Front) Stop(grace time.Duration, servers ...Server) {
	started := time.Now()
	available := grace - time.Duration(stopMarginShare*float64(grace))
	front.plannedStop.Store(&plannedStop{unusedFrom: started.Add(minStopTime), callsCut: started.Add(available)})
	front.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), available)
	defer cancel()
	defer time.AfterFunc(minStopTime, func() { closeIdleConnections(servers) }).Stop()
	deadline := started.Add(available - shutdownTime)
	handedOver := front.handOver(ctx, deadline)
	lastActive := time.Now()
	for time.Now().Before(deadline) && (time.Since(lastActive) < idleTime || time.Since(started) < minStopTime) {
		if front.activeCalls.Load() > 0 {
			lastActive = time.Now()
		}
		time.Sleep(stopPoll)
	}
	var leaving sync.WaitGroup
	if handedOver { // concurrently, because a store that does not answer would use up the grace period
		leaving.Go(func() { front.Registry.Leave(ctx) })
	}
	closeListeners(ctx, servers)
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			front.Logger.Warn("calls cut", "calls", front.activeCalls.Load(), "error", err)
		}
	}
	leaving.Wait()
	front.Logger.Info("stopped", "took_ms", time.Since(started).Milliseconds(), "calls_left", front.activeCalls.Load())
	front.Close()
}

// Close ends the front's work at once. Nothing is handed over.
func (front *Front) Close() {
	front.Runner.Close()
	front.cancel()
}

// handOver hands the jobs of this front over and reports whether all were. It ends at the deadline, as a takeover that waits for a silent
// store would use up the time of the calls in progress.
func (front *Front) handOver(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return front.Runner.HandOver(ctx)
}

// Server is an HTTP server with the listener that it serves.
type Server struct {
	*http.Server
	Listener net.Listener
}

// closeIdleConnections closes the connections that have no call in progress, and the others after their call.
func closeIdleConnections(servers []Server) {
	for _, server := range servers {
		server.SetKeepAlivesEnabled(false)
	}
}

// acceptSlack is the time within which a server reads the first request of a connection that it has accepted.
const acceptSlack = 150 * time.Millisecond

// closeListeners has the servers accept no further connections, and waits until they have read the requests of those that they have accepted.
// From its shutdown on, http.Server closes a connection unanswered whose first request it then reads.
func closeListeners(ctx context.Context, servers []Server) {
	for _, server := range servers {
		_ = server.Listener.Close() // the shutdown closes it again
	}
	select {
	case <-ctx.Done():
	case <-time.After(acceptSlack):
	}
}
