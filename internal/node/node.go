// Package node puts the parts of a node together and runs their life: start, planned stop and crash.
package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/actors"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/claim"
	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/delivery"
	"github.com/thistlewalk/thistlewalk/internal/engine"
	"github.com/thistlewalk/thistlewalk/internal/execution"
	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/home"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/loads"
	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/ownership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/peers"
	"github.com/thistlewalk/thistlewalk/internal/samplestore"
	"github.com/thistlewalk/thistlewalk/internal/scoring"
	"github.com/thistlewalk/thistlewalk/internal/security"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// Networks that a node uses. They may be the same.
type Networks struct {
	// Control carries messages between nodes.
	Control network.Network
	// Data carries callers, back ends and the platform.
	Data network.Network
}

// Options of a node beside its settings.
type Options struct {
	Settings settings.Settings
	Networks Networks
	Logger   *log.Logger
	// Life must be greater than in any earlier life of the same node identifier; the start time in milliseconds does.
	Life uint64
	// Seed starts the random choices of probing.
	Seed uint64
	// ProcessMetrics adds the figures of the process; nodes that share a process leave it off.
	ProcessMetrics bool
}

// Node is one running node.
type Node struct {
	settings      settings.Settings
	networks      Networks
	logger        *log.Logger
	processNumber uint64

	follower      *configuration.Follower
	committer     *configuration.Committer
	service       keyvalue.Client
	source        machines.Source
	relay         *configuration.Relay
	directory     *peers.Directory
	members       *membership.Table
	prober        *membership.Prober
	loads         *loads.Table
	homes         *home.Home
	store         *samplestore.Store // nil without a data folder
	localReplicas *ownership.LocalReplicas
	manager       *ownership.Manager
	steps         *delivery.Service
	executor      *delivery.Executor
	claims        *claim.Service
	runner        *execution.Runner
	gateway       *gateway.Gateway
	limiter       *admission.Limiter
	security      *security.Reloader // nil for plain HTTP

	system       *actors.System
	synchronizer *synchronizer
	clients      []*http.Client
	controlHTTP  *http.Server
	apiHTTP      *http.Server
	listeners    []net.Listener
	serving      sync.WaitGroup
	// controlCalls counts the control calls answered.
	controlCalls atomic.Int64
	closeOnce    sync.Once
}

// Connections kept: control messages are few and mostly to a zone's some fifty nodes, streams to a replica many.
var (
	controlConnections = network.Connections{PerHost: 2, Total: 72}
	dataConnections    = network.Connections{PerHost: 256, Total: 8192}
)

const (
	idleTime      = 90 * time.Second
	ownerWait     = 20 * time.Second
	headerTimeout = 10 * time.Second
)

// New puts a node together and opens its listeners and data folder. Start runs it.
func New(options Options) (*Node, error) {
	node := &Node{
		settings: options.Settings, networks: options.Networks, processNumber: options.Life,
		logger:   options.Logger.With("node", options.Settings.Node.ID),
		follower: configuration.NewFollower(), loads: loads.NewTable(),
	}
	if err := node.secure(); err != nil {
		return nil, err
	}
	if err := node.openStore(); err != nil {
		return nil, err
	}
	node.buildControl(options.Seed)
	node.buildData(options.ProcessMetrics)
	if err := node.listen(); err != nil {
		node.Kill()
		return nil, err
	}
	return node, nil
}

// secure reads the key files, and refuses to serve others than this machine without tokens and TLS unless told to.
func (node *Node) secure() error {
	config := node.settings
	files := security.Files{Certificate: config.Security.Certificate, Key: config.Security.Key, Authority: config.Security.Authority}
	if files.Enabled() {
		reloader, err := security.NewReloader(files)
		if err != nil {
			return err
		}
		node.security = reloader
	}
	guarded := files.Enabled() && len(config.Security.OperatorTokens) > 0 && len(config.Security.CallerTokens) > 0
	if guarded || security.OnLoopback(config.Node.API) && security.OnLoopback(config.Node.Control) {
		return nil
	}
	if !config.Security.AllowPlain {
		return errors.Newf("addresses %s and %s are open to other machines: set security.certificate, security.key, security.operator_tokens and security.caller_tokens, or security.allow_plain",
			config.Node.API, config.Node.Control)
	}
	node.logger.Warn("other machines are served without TLS or tokens, as security.allow_plain says")
	return nil
}

func (node *Node) openStore() error {
	folder := node.settings.Node.DataFolder
	if folder == "" {
		return nil
	}
	store, err := samplestore.Open(folder)
	if err != nil {
		return err
	}
	if store.UnreadablePath != "" {
		node.logger.Error("sample store was unreadable and is filled anew from the other copies", "moved", store.UnreadablePath, "store", store.Identity())
	}
	node.store = store
	return nil
}

// client returns an HTTP client that Kill closes.
func (node *Node) client(through network.Network, connections network.Connections) *http.Client {
	client := network.NewClient(through, idleTime, connections)
	node.clients = append(node.clients, client)
	return client
}

// buildControl makes what nodes do among themselves.
func (node *Node) buildControl(seed uint64) {
	config := node.settings
	node.system = actors.NewSystem(logging.Structured(node.logger))
	scheme, connections := "http", controlConnections
	if node.security != nil {
		scheme, connections.TLS = "https", node.security.Client()
	}
	node.directory = peers.NewDirectory(node.client(node.networks.Control, connections), scheme)
	platform := node.client(node.networks.Data, controlConnections)
	node.service = keyvalue.NewHTTP(config.Platform.KeyValue, platform, config.Platform.Timeout)
	node.source = machines.NewHTTP(config.Platform.Machines, platform, config.Platform.Timeout)
	node.relay = configuration.NewRelay(node.service, node.follower)
	node.committer = configuration.NewCommitter(node.service, node.follower)

	self := membership.Member{NodeID: config.Node.ID, Address: config.Node.Control, Zone: config.Node.Zone, Region: config.Node.Region,
		Incarnation: node.processNumber * ownership.IncarnationsPerProcess}
	if node.store != nil {
		self.StoreID = node.store.Identity()
	}
	node.members = membership.NewTable(self, membership.Settings{
		SuspicionTime: config.Membership.SuspicionTime, ForgetTime: config.Membership.ForgetTime,
		RetransmitFactor: retransmitFactor, ChangesPerMessage: changesPerMessage,
	}, time.Now())
	node.synchronizer = newSynchronizer(node)
	node.prober = membership.NewProber(membership.ProberSettings{
		ProbeTimeout: config.Membership.ProbeTimeout, IndirectTimeout: config.Membership.ProbeTimeout,
		IndirectProbes: config.Membership.IndirectProbes, SyncInterval: syncInterval, RejoinInterval: rejoinProbes * config.Membership.ProbeInterval,
	}, node.members, node.directory, node.synchronizer, node.seeds, seed, node.logger)
}

const (
	retransmitFactor  = 3
	changesPerMessage = 12
	syncInterval      = 10 * time.Second
	// rejoinProbes is how many probe intervals pass between two tries to reach a seed that is no member.
	rejoinProbes = 2
)

// seeds are the configured addresses and the nodes of the machine list.
func (node *Node) seeds() []string {
	seeds := append([]string(nil), node.settings.Node.Seeds...)
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role == machines.RoleNode && !machine.Leaving {
			seeds = append(seeds, machine.Address)
		}
	}
	return seeds
}

// buildData makes what serves callers, trainers and back ends.
func (node *Node) buildData(processMetrics bool) {
	config := node.settings
	streams := engine.NewHTTP(node.client(node.networks.Data, dataConnections))
	orders := engine.NewHTTP(node.client(node.networks.Data, controlConnections))
	node.homes = home.New(home.Settings{
		SettleTime:  config.Ownership.SettleTime,
		CallTimeout: config.Replicas.CallTimeout, FailedAfter: config.Replicas.FailedAfter,
		OrderRetry: config.Replicas.OrderRetry, OrderAttempts: config.Replicas.OrderAttempts,
	}, config.Node.ID, config.Node.Zone, orders, node.loads, node.members, node.follower.Machines, node.follower.Document, node.synchronizer.pushLoads, node.joining, node.logger)
	node.runner = execution.NewRunner(execution.Settings{
		RouteWait: config.Rollout.RouteWait, StallTime: config.Rollout.StallTime,
		CancelTimeout: config.Replicas.CallTimeout, MaximumAttempts: config.Rollout.MaximumAttempts,
	}, config.Node.Zone, streams, node.loads, newRouter(config, node.follower), admission.NewRetryBudget(config.Admission.RetryShare, config.Admission.RetryReserve), node.follower.Document)

	node.claims = claim.NewService(node.holderAlive)
	node.steps = delivery.NewService(delivery.Settings{
		AttemptTimeout: config.Steps.AttemptSilence, AdoptTime: adoptRenewals * config.Steps.RenewInterval,
		OutstandingSlots: config.Steps.OutstandingSlots, SlotsPerDispatch: config.Steps.SlotsPerDispatch,
		StragglerShare: config.Steps.StragglerShare, StragglerTime: config.Steps.StragglerTime,
		ClosedRetention: config.Steps.ClosedRetention, DispatchTimeout: config.Platform.Timeout,
	}, config.Node.ID, node.follower.Document, dispatcher{node}, node.logger)
	scorer := scoring.NewHTTP(config.Platform.Scorer, node.client(node.networks.Data, controlConnections), config.Platform.Timeout)
	node.executor = delivery.NewExecutor(delivery.ExecutorSettings{
		MaximumSlots: config.Steps.MaximumSlots, RenewInterval: config.Steps.RenewInterval, CallTimeout: config.Platform.Timeout,
		SwapWaitTimeout: config.Steps.SwapWaitTimeout, MaxBatchFill: config.Steps.RoomShare, AheadMaxBatchFill: config.Steps.AheadShare,
	}, config.Node.ID, node.runner, scorer, node, node.follower.Document, node.logger)
	node.buildOwnership()
	node.buildGateway(processMetrics)
}

// adoptRenewals is how many renewals of executors a new owner of steps waits for before it dispatches.
const adoptRenewals = 2

func (node *Node) buildOwnership() {
	config := node.settings
	storeID := ""
	var storage partition.Storage
	if node.store != nil {
		storeID = node.store.Identity()
		storage = node.store
	}
	node.localReplicas = ownership.NewLocalReplicas(storage, storeID, ownership.MemoryReplicaID(config.Node.ID, node.processNumber*ownership.IncarnationsPerProcess))
	self := partition.Holder{NodeID: config.Node.ID, Address: config.Node.Control, Zone: config.Node.Zone}
	handlers := map[partition.Kind]ownership.Handler{partition.KindSteps: node.steps, partition.KindClaims: node.claims}
	node.manager = ownership.NewManager(ownership.Settings{
		SettleTime: config.Ownership.SettleTime, WriteTimeout: config.Ownership.WriteTimeout, ReplaceAfter: config.Ownership.ReplaceAfter,
		LeaseTime: config.Ownership.LeaseTime, HistoryRecoveryTimeout: config.Ownership.HistoryRecoveryTimeout,
	}, self, node.localReplicas, node.members, node.follower, node.service, node.directory, handlers, node.listedGone, node.isolated, node.logger)
}

// listedGone reports whether the machine list has nodes, and not this one.
func (node *Node) listedGone(nodeID string) bool {
	listsNodes := false
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role != machines.RoleNode {
			continue
		}
		if machine.ID == nodeID {
			return false
		}
		listsNodes = true
	}
	return listsNodes
}

// isolated reports whether this node sees fewer than half of the nodes on the machine list: it has not joined yet, or it is
// on the smaller side of a cut. Taking partitions over is then left to the others.
func (node *Node) isolated() bool {
	listed := 0
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role == machines.RoleNode {
			listed++
		}
	}
	return 2*len(node.members.View().Live) < listed
}

// joining reports whether this node has yet to see half of the listed nodes of its own zone.
func (node *Node) joining() bool {
	listed, seen := 0, 0
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role == machines.RoleNode && machine.Zone == node.settings.Node.Zone {
			listed++
		}
	}
	for _, member := range node.members.View().Live {
		if member.Zone == node.settings.Node.Zone {
			seen++
		}
	}
	return 2*seen < listed
}

func (node *Node) buildGateway(processMetrics bool) {
	config := node.settings
	metrics := gateway.NewMetrics()
	if processMetrics {
		metrics.RegisterProcess()
	}
	node.registerMetrics(metrics)
	node.limiter = admission.NewLimiter(config.Admission.Concurrency, config.Admission.Queue)
	node.gateway = gateway.New(gateway.Settings{
		MaximumBody: config.Admission.MaximumBody, DefaultDeadline: config.Rollout.DefaultDeadline, OwnerWait: ownerWait,
		OperatorTokens: config.Security.OperatorTokens, CallerTokens: config.Security.CallerTokens,
	}, gateway.Dependencies{
		Cluster: node, Follower: node.follower, Committer: node.committer, Runner: node.runner, Limiter: node.limiter,
		Callers: admission.NewCallerLimits(config.Admission.CallerPerSecond, config.Admission.CallerBurst),
		Metrics: metrics, Logger: node.logger,
		Ready: func() bool { return node.follower.Document().Revision > 0 },
	})
}

// listen opens both listeners and makes their servers.
func (node *Node) listen() error {
	control := http.NewServeMux()
	for _, service := range []interface {
		http.Handler
		PathPrefix() string
	}{
		controlv1.NewMembershipServer(node.prober), controlv1.NewConfigurationServer(node.synchronizer), controlv1.NewLoadServer(node.synchronizer),
		controlv1.NewPartitionServer(node.localReplicas), controlv1.NewStepsServer(node.steps), controlv1.NewExecutorServer(node.executor),
		controlv1.NewClaimsServer(node.claims),
	} {
		control.Handle(service.PathPrefix(), service)
	}
	counted := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		node.controlCalls.Add(1)
		control.ServeHTTP(writer, request)
	})
	node.controlHTTP = &http.Server{Handler: counted, ReadHeaderTimeout: headerTimeout, ErrorLog: node.logger.StandardLog()}
	node.apiHTTP = &http.Server{Handler: node.gateway.Handler(), ReadHeaderTimeout: headerTimeout, ErrorLog: node.logger.StandardLog()}
	controlListener, err := node.networks.Control.Listen(node.settings.Node.Control)
	if err != nil {
		return errors.Wrapf(err, "control address %s", node.settings.Node.Control)
	}
	if node.security != nil {
		controlListener = security.Listen(controlListener, node.security.Server(true))
	}
	node.listeners = append(node.listeners, controlListener)
	apiListener, err := node.networks.Data.Listen(node.settings.Node.API)
	if err != nil {
		return errors.Wrapf(err, "API address %s", node.settings.Node.API)
	}
	if node.security != nil {
		apiListener = security.Listen(apiListener, node.security.Server(false))
	}
	node.listeners = append(node.listeners, apiListener)
	return nil
}

// Start serves and starts the actors.
func (node *Node) Start() {
	for index, server := range []*http.Server{node.controlHTTP, node.apiHTTP} {
		listener := node.listeners[index]
		node.serving.Go(func() { _ = server.Serve(listener) })
	}
	node.startActors()
	node.logger.Info("node started", "zone", node.settings.Node.Zone, "api", node.settings.Node.API, "control", node.settings.Node.Control,
		"store", node.store != nil)
}

// startActors starts what lives long.
func (node *Node) startActors() {
	config := node.settings
	node.system.Every("prober", actors.Fixed(config.Membership.ProbeInterval), node.prober.Tick)
	homes := node.system.Every("home", actors.Fixed(config.Replicas.PollInterval), node.homes.Tick)
	node.system.Every("exchange", actors.Fixed(config.Replicas.PollInterval), node.synchronizer.exchange)
	node.system.Every("machines", actors.Fixed(machinesInterval), node.synchronizer.pollMachines)
	node.system.Every("service", actors.Fixed(relayPause), node.synchronizer.pollService)
	manager := node.system.Every("ownership", actors.Fixed(config.Ownership.TickInterval), node.manager.Tick)
	node.system.Every("steps", actors.Fixed(config.Steps.TickInterval), node.steps.Tick)
	node.system.Every("renewals", actors.Fixed(config.Steps.RenewInterval), node.executor.Tick)
	node.system.Every("claims", actors.Fixed(time.Minute), node.claims.Tick)
	node.system.Every("automatic", actors.Fixed(automaticInterval), node.swapAutomatic)
	node.synchronizer.run(func() {
		homes.Wake()
		manager.Wake()
	})
}

const (
	machinesInterval = 2 * time.Second
	relayPause       = 100 * time.Millisecond
)

// holderAlive tells whether a process that made a claim still lives.
func (node *Node) holderAlive(nodeID string, processNumber uint64) bool {
	for _, member := range node.members.View().All {
		if member.NodeID == nodeID {
			// A member that left as planned still finishes its requests.
			return ownership.ProcessNumber(member.Incarnation) == processNumber && member.State != membership.StateDead
		}
	}
	return false
}
