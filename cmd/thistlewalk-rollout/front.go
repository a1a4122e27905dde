package main

import (
	"cmp"
	"net/http"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/role"
	"github.com/thistlewalk/thistlewalk/platform"
)

const (
	// The default limits of the callers' server apply where the operator's configuration sets none.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// storeReadSlack is how long a front waits for the configuration after the wait for a publisher has ended. In that time the front
	// reads the metadata store itself.
	storeReadSlack = 400 * time.Millisecond
	peerIdleConns  = 4
	// standbyPortOffset is the offset, from the node's first internal port, of the port for a standby orderer in a front's process.
	standbyPortOffset = 1
)

func runFront(process *process) error {
	front, callerServer, err := startFront(process)
	if err != nil {
		return err
	}
	process.awaitStop()
	front.Stop(process.settings.Grace(), callerServer)
	return nil
}

// startFront creates and starts a front. It returns the front and the server for callers.
func startFront(process *process) (*role.Front, role.Server, error) {
	settings := process.settings
	table := catalog.NewTable()
	replicas := platform.NewReplicas(dialer())
	replicas.Metrics = process.metrics
	limits := dissemination.LimitsFor(settings.ConfigurationDeadline(), settings.FirstStart)
	front := role.NewFront(role.FrontOptions{
		Node: settings.Node, Zone: settings.Zone, Role: settings.Role, Incarnation: process.incarnation, Cores: settings.ProcessorCores(), PeerAddress: settings.PeerAddress(0),
		Store: process.instrumentedStore(), Sender: replicas, Prober: replicas, Decoder: platform.EventDecoder{},
		PeerClient: peerClient(), Logger: process.logger, Metrics: process.metrics, Catalog: table,
		ConfigurationPrefix: platform.KeyConfiguration, ReplicaPrefix: platform.PrefixReplicas,
		ConfigurationHandler: process.operatorHandler(table),
		ReplicaHandler:       &platform.ReplicaHandler{Logger: process.logger, Catalog: table, Metrics: process.metrics},
		Limits:               limits,
		StartOrderer:         process.standbyStarter(),
		UsageWindow:          settings.UsageWindow(),
		OverloadControl:      settings.OverloadControl(),
		Retention:            settings.Retention(),
		Clock:                process.clock,
	})
	ingress := &platform.Ingress{
		Catalog: table, Forwarder: front.Forwarder, Runner: front.Runner, BodyReader: forwarding.NewBodyReader(), Logger: process.logger,
		Stopping: front.Stopping, MayBeCut: front.MayBeCut, UpToDate: front.UpToDate,
	}
	if err := front.Start(); err != nil {
		return nil, role.Server{}, err
	}
	callerServer := platform.NewServer(front.CountCalls(ingress), awaitServerLimits(table, limits.StartTimeout+storeReadSlack))
	network.ServeCalls(callerServer, func(request *http.Request) {
		process.logger.Info("call not begun", "reason", "connection closed", "method", request.Method, "target", request.RequestURI, "caller", request.RemoteAddr)
	})
	listener, err := process.serve("callers", settings.Listen["front"], callerServer)
	if err != nil {
		return nil, role.Server{}, err
	}
	if _, err := process.serve("ready", settings.Listen["ready"], &http.Server{Handler: platform.ReadyHandler(front.Ready)}); err != nil {
		return nil, role.Server{}, err
	}
	return front, role.Server{Server: callerServer, Listener: listener}, nil
}

// standbyStarter returns a function that starts a standby orderer in this process, or nil if the node has no internal port for it.
func (process *process) standbyStarter() func() (*role.Orderer, error) {
	if process.settings.Ports[0]+standbyPortOffset > process.settings.Ports[1] {
		return nil
	}
	return func() (*role.Orderer, error) { return startOrderer(process, standbyPortOffset) }
}

// awaitServerLimits waits for the operator's configuration and returns its limits. Limits that it does not set have their default
// values. If no configuration arrives in time, all limits have their default values.
func awaitServerLimits(table *catalog.Table, wait time.Duration) catalog.Limits {
	limits := catalog.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	timeout := time.After(wait)
	for {
		changed := table.Changed()
		if configuration := table.Configuration(); configuration != nil {
			configured := configuration.Limits
			limits.HeaderBytes = cmp.Or(configured.HeaderBytes, limits.HeaderBytes)
			limits.HeaderTimeout = cmp.Or(configured.HeaderTimeout, limits.HeaderTimeout)
			limits.IdleTimeout = cmp.Or(configured.IdleTimeout, limits.IdleTimeout)
			return limits
		}
		select {
		case <-changed:
		case <-timeout:
			return limits
		}
	}
}

func peerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dialer(), MaxIdleConnsPerHost: peerIdleConns, DisableCompression: true}}
}

// operatorHandler returns the handler that puts the operator's configuration into force.
func (process *process) operatorHandler(table *catalog.Table) *platform.OperatorHandler {
	return &platform.OperatorHandler{Logger: process.logger, OnConfiguration: func(configuration *catalog.Configuration) {
		if table.SetConfiguration(configuration) {
			process.logger.Info("configuration in force", "version", configuration.Version, "routes", len(configuration.Routes))
		}
	}}
}
