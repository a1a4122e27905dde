// Package node assembles the components of a node and runs it from start to planned stop or crash.
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
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/ownership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/peers"
	"github.com/thistlewalk/thistlewalk/internal/replicacontrol"
	"github.com/thistlewalk/thistlewalk/internal/replicaload"
	"github.com/thistlewalk/thistlewalk/internal/samplestore"
	"github.com/thistlewalk/thistlewalk/internal/scoring"
	"github.com/thistlewalk/thistlewalk/internal/security"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// Networks holds the networks that a node uses. Both may be the same.
type Networks struct {
	// Control carries traffic between nodes.
	Control network.Network
	// Data carries traffic with callers, replicas and the platform.
	Data network.Network
}

// Options holds the settings of a node and what else New needs.
type Options struct {
	Settings settings.Settings
	Networks Networks
	Logger   *log.Logger
	// ProcessIncarnation numbers the incarnation of the process. It must be greater than in every earlier process with the same node
	// identifier; the start time in milliseconds meets this.
	ProcessIncarnation uint64
	// Seed seeds the random number generator of the failure detector.
	Seed uint64
	// ProcessMetrics registers the metrics of the process. It must be false for nodes that share a process.
	ProcessMetrics bool
}

// Node is one running node.
type Node struct {
	settings           settings.Settings
	networks           Networks
	logger             *log.Logger
	processIncarnation uint64

	follower      *configuration.Follower
	committer     *configuration.Committer
	keyValue      keyvalue.Client
	machineSource machines.Source
	relay         *configuration.Relay
	directory     *peers.Directory
	members       *membership.Table
	prober        *membership.Prober
	loads         *replicaload.Table
	controller    *replicacontrol.Controller
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
	// controlCalls counts the calls received from other nodes.
	controlCalls atomic.Int64
	closeOnce    sync.Once
}

// Limits of pooled connections. A node sends few control messages, mostly to the about 50 nodes of its zone, but opens many
// concurrent streams to a replica.
var (
	controlConnections = network.Connections{PerHost: 2, Total: 72}
	dataConnections    = network.Connections{PerHost: 256, Total: 8192}
)

const (
	idleTimeout   = 90 * time.Second
	ownerWait     = 20 * time.Second
	headerTimeout = 10 * time.Second
)

// New assembles a node and opens its listeners and data folder. Start runs it.
func New(options Options) (*Node, error) {
	node := &Node{
		settings: options.Settings, networks: options.Networks, processIncarnation: options.ProcessIncarnation,
		logger:   options.Logger.With("node", options.Settings.Node.ID),
		follower: configuration.NewFollower(), loads: replicaload.NewTable(),
	}
	if err := node.configureSecurity(); err != nil {
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

// configureSecurity reads the key files, if any are set. It returns an error if an address is not a loopback address and TLS
// or tokens are missing, unless the settings allow that.
func (node *Node) configureSecurity() error {
	config := node.settings
	files := security.Files{Certificate: config.Security.Certificate, Key: config.Security.Key, Authority: config.Security.Authority}
	if files.Enabled() {
		reloader, err := security.NewReloader(files)
		if err != nil {
			return err
		}
		node.security = reloader
	}
	protected := files.Enabled() && len(config.Security.OperatorTokens) > 0 && len(config.Security.CallerTokens) > 0
	if protected || security.OnLoopback(config.Node.API) && security.OnLoopback(config.Node.Control) {
		return nil
	}
	if !config.Security.AllowPlain {
		return errors.Newf("addresses %s and %s are open to other machines: set security.certificate, security.key, security.operator_tokens and security.caller_tokens, or security.allow_plain",
			config.Node.API, config.Node.Control)
	}
	node.logger.Warn("serving other machines without TLS or tokens: security.allow_plain is set")
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
		node.logger.Error("sample store was unreadable; rebuilding it from the other copies", "moved", store.UnreadablePath, "store", store.Identity())
	}
	node.store = store
	return nil
}

// client returns an HTTP client that Kill closes.
func (node *Node) client(transport network.Network, connections network.Connections) *http.Client {
	client := network.NewClient(transport, idleTimeout, connections)
	node.clients = append(node.clients, client)
	return client
}

// buildControl builds the components that communicate with other nodes and the platform.
func (node *Node) buildControl(seed uint64) {
	config := node.settings
	node.system = actors.NewSystem(logging.Structured(node.logger))
	scheme, connections := "http", controlConnections
	if node.security != nil {
		scheme, connections.TLS = "https", node.security.Client()
	}
	node.directory = peers.NewDirectory(node.client(node.networks.Control, connections), scheme)
	platform := node.client(node.networks.Data, controlConnections)
	node.keyValue = keyvalue.NewHTTP(config.Platform.KeyValue, platform, config.Platform.Timeout)
	node.machineSource = machines.NewHTTP(config.Platform.Machines, platform, config.Platform.Timeout)
	node.relay = configuration.NewRelay(node.keyValue, node.follower)
	node.committer = configuration.NewCommitter(node.keyValue, node.follower)

	self := membership.Member{NodeID: config.Node.ID, Address: config.Node.Control, Zone: config.Node.Zone, Region: config.Node.Region,
		Incarnation: node.processIncarnation * ownership.IncarnationsPerProcess}
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
	// rejoinProbes is the number of probe intervals between two attempts to reach a seed that is not a member.
	rejoinProbes = 2
)

// seeds returns the configured addresses and those of the nodes on the machine list that are not leaving.
func (node *Node) seeds() []string {
	seeds := append([]string(nil), node.settings.Node.Seeds...)
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role == machines.RoleNode && !machine.Leaving {
			seeds = append(seeds, machine.Address)
		}
	}
	return seeds
}

// buildData builds the components that serve callers and trainers and communicate with replicas.
func (node *Node) buildData(processMetrics bool) {
	config := node.settings
	streamClient := engine.NewHTTP(node.client(node.networks.Data, dataConnections))
	orderClient := engine.NewHTTP(node.client(node.networks.Data, controlConnections))
	node.controller = replicacontrol.New(replicacontrol.Settings{
		SettleTime:  config.Ownership.SettleTime,
		CallTimeout: config.Replicas.CallTimeout, FailedAfter: config.Replicas.FailedAfter,
		OrderRetry: config.Replicas.OrderRetry, OrderAttempts: config.Replicas.OrderAttempts,
	}, config.Node.ID, config.Node.Zone, orderClient, node.loads, node.members, node.follower.Machines, node.follower.Document, node.synchronizer.pushLoads, node.joining, node.logger)
	node.runner = execution.NewRunner(execution.Settings{
		RouteWait: config.Rollout.RouteWait, StallTime: config.Rollout.StallTime,
		CancelTimeout: config.Replicas.CallTimeout, MaximumAttempts: config.Rollout.MaximumAttempts,
	}, config.Node.Zone, streamClient, node.loads, newRouter(config, node.follower), admission.NewRetryBudget(config.Admission.RetryShare, config.Admission.RetryReserve), node.follower.Document)

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

// adoptRenewals is the number of renewal intervals that a new owner of steps waits before it dispatches, so that executors
// can report the slots that they are running.
const adoptRenewals = 2

func (node *Node) buildOwnership() {
	config := node.settings
	storeID := ""
	var storage partition.Storage
	if node.store != nil {
		storeID = node.store.Identity()
		storage = node.store
	}
	node.localReplicas = ownership.NewLocalReplicas(storage, storeID, ownership.MemoryReplicaID(config.Node.ID, node.processIncarnation*ownership.IncarnationsPerProcess))
	self := partition.Holder{NodeID: config.Node.ID, Address: config.Node.Control, Zone: config.Node.Zone}
	handlers := map[partition.Kind]ownership.Handler{partition.KindSteps: node.steps, partition.KindClaims: node.claims}
	node.manager = ownership.NewManager(ownership.Settings{
		SettleTime: config.Ownership.SettleTime, WriteTimeout: config.Ownership.WriteTimeout, ReplaceAfter: config.Ownership.ReplaceAfter,
		LeaseTime: config.Ownership.LeaseTime, HistoryRecoveryTimeout: config.Ownership.HistoryRecoveryTimeout,
	}, self, node.localReplicas, node.members, node.follower, node.keyValue, node.directory, handlers, node.removedFromMachineList, node.isolated, node.logger)
}

// removedFromMachineList reports whether the node is missing from a machine list that contains other nodes. An empty list
// does not count as removal.
func (node *Node) removedFromMachineList(nodeID string) bool {
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

// isolated reports whether this node sees fewer than half of the nodes on the machine list as live members. It then has not
// joined yet, or is on the minority side of a network partition, and must not take over partitions.
func (node *Node) isolated() bool {
	listed := 0
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role == machines.RoleNode {
			listed++
		}
	}
	return 2*len(node.members.View().Live) < listed
}

// joining reports whether this node sees fewer than half of the listed nodes of its own zone as live members.
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

// listen opens both listeners and creates their HTTP servers.
func (node *Node) listen() error {
	control := http.NewServeMux()
	for _, server := range []interface {
		http.Handler
		PathPrefix() string
	}{
		controlv1.NewMembershipServer(node.prober), controlv1.NewConfigurationServer(node.synchronizer), controlv1.NewLoadServer(node.synchronizer),
		controlv1.NewPartitionServer(node.localReplicas), controlv1.NewStepsServer(node.steps), controlv1.NewExecutorServer(node.executor),
		controlv1.NewClaimsServer(node.claims),
	} {
		control.Handle(server.PathPrefix(), server)
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

// Start starts serving requests and starts the periodic tasks.
func (node *Node) Start() {
	for index, server := range []*http.Server{node.controlHTTP, node.apiHTTP} {
		listener := node.listeners[index]
		node.serving.Go(func() { _ = server.Serve(listener) })
	}
	node.startActors()
	node.logger.Info("node started", "zone", node.settings.Node.Zone, "api", node.settings.Node.API, "control", node.settings.Node.Control,
		"store", node.store != nil)
}

// startActors starts the periodic tasks.
func (node *Node) startActors() {
	config := node.settings
	node.system.Every("prober", actors.Fixed(config.Membership.ProbeInterval), node.prober.Tick)
	controller := node.system.Every("home", actors.Fixed(config.Replicas.PollInterval), node.controller.Tick)
	node.system.Every("exchange", actors.Fixed(config.Replicas.PollInterval), node.synchronizer.exchange)
	node.system.Every("machines", actors.Fixed(machinesInterval), node.synchronizer.pollMachines)
	node.system.Every("service", actors.Fixed(relayPollInterval), node.synchronizer.pollKeyValue)
	manager := node.system.Every("ownership", actors.Fixed(config.Ownership.TickInterval), node.manager.Tick)
	node.system.Every("steps", actors.Fixed(config.Steps.TickInterval), node.steps.Tick)
	node.system.Every("renewals", actors.Fixed(config.Steps.RenewInterval), node.executor.Tick)
	node.system.Every("claims", actors.Fixed(time.Minute), node.claims.Tick)
	node.system.Every("automatic", actors.Fixed(automaticInterval), node.swapAutomatic)
	node.synchronizer.run(func() {
		controller.Wake()
		manager.Wake()
	})
}

const (
	machinesInterval  = 2 * time.Second
	relayPollInterval = 100 * time.Millisecond
)

// holderAlive reports whether the process that made a claim may still be running.
func (node *Node) holderAlive(nodeID string, processIncarnation uint64) bool {
	for _, member := range node.members.View().All {
		if member.NodeID == nodeID {
			// A member in the state left still finishes its requests.
			return ownership.ProcessNumber(member.Incarnation) == processIncarnation && member.State != membership.StateDead
		}
	}
	return false
}
