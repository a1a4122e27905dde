package main

import (
	"cmp"
	"net/http"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
	"github.com/thistlewalk/thistlewalk/internal/role"
	"github.com/thistlewalk/thistlewalk/platform"
)

// Limits in force until the configuration is known.
const (
	firstHeaderBytes   = 64 << 10
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 15 * time.Second
	// firstWaitSlack is how much longer than for a publisher a front waits for a configuration before it serves with the limits above:
	// what reading the store takes.
	firstWaitSlack = 400 * time.Millisecond
	peerIdleConns  = 4
	// standbyPort is the internal port of the orderer that a front may have to be.
	standbyPort = 1
)

func runFront(process *process) error {
	front, callers, err := startFront(process)
	if err != nil {
		return err
	}
	process.awaitStop()
	front.Stop(process.settings.Grace(), callers)
	return nil
}

// startFront puts a front together and starts it. The server is the one for callers.
func startFront(process *process) (*role.Front, *http.Server, error) {
	settings := process.settings
	table := catalog.NewTable()
	replicas := platform.NewReplicas(dialer())
	patience := dissemination.LimitsFor(settings.ConfigurationDeadline(), settings.FirstStart)
	front := role.NewFront(role.FrontOptions{
		Node: settings.Node, Zone: settings.Zone, Role: settings.Role, Incarnation: process.life, Cores: settings.ProcessorCores(), PeerAddress: settings.PeerAddress(0),
		Store: process.measuredStore(), Sender: replicas, Prober: replicas, Decoder: platform.EventDecoder{},
		PeerClient: peerClient(), Logger: process.logger, Metrics: process.metrics, Catalog: table,
		ConfigurationPrefix: platform.KeyConfiguration, ReplicaPrefix: platform.PrefixReplicas,
		ConfigurationHandler: process.operator(table),
		ReplicaHandler:       &platform.ReplicaHandler{Logger: process.logger, Catalog: table, Metrics: process.metrics},
		Limits:               patience,
		StartOrderer:         process.standby(),
		UsageWindow:          settings.UsageWindow(),
		Clock:                process.clock,
	})
	ingress := &platform.Ingress{
		Catalog: table, Forwarder: front.Forwarder, Runner: front.Runner, BodyReader: forwarding.NewBodyReader(), Logger: process.logger,
		Stopping: front.Stopping, UpToDate: front.UpToDate,
	}
	if err := front.Start(); err != nil {
		return nil, nil, err
	}
	callers := platform.NewServer(front.CountCalls(ingress), firstLimits(table, patience.StartTimeout+firstWaitSlack))
	if err := process.serve("callers", settings.Listen["front"], callers); err != nil {
		return nil, nil, err
	}
	if err := process.serve("ready", settings.Listen["ready"], &http.Server{Handler: platform.ReadyHandler(front.Ready)}); err != nil {
		return nil, nil, err
	}
	return front, callers, nil
}

// standby returns how this process starts a candidate for giving orders; nil if it has no port for one.
func (process *process) standby() func() (*role.Orderer, error) {
	if process.settings.Ports[0]+standbyPort > process.settings.Ports[1] {
		return nil
	}
	return func() (*role.Orderer, error) { return startOrderer(process, standbyPort) }
}

// firstLimits returns the limits of the operator's configuration, or those in force without one if it does not come in time.
func firstLimits(table *catalog.Table, wait time.Duration) catalog.Limits {
	limits := catalog.Limits{HeaderBytes: firstHeaderBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout}
	timeout := time.After(wait)
	for {
		changed := table.Changed()
		if configuration := table.Configuration(); configuration != nil {
			known := configuration.Limits
			limits.HeaderBytes = cmp.Or(known.HeaderBytes, limits.HeaderBytes)
			limits.HeaderTimeout = cmp.Or(known.HeaderTimeout, limits.HeaderTimeout)
			limits.IdleTimeout = cmp.Or(known.IdleTimeout, limits.IdleTimeout)
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

// operator is the handler of the operator's configuration.
func (process *process) operator(table *catalog.Table) *platform.OperatorHandler {
	return &platform.OperatorHandler{Logger: process.logger, OnConfiguration: func(configuration *catalog.Configuration) {
		if table.SetConfiguration(configuration) {
			process.logger.Info("configuration in force", "version", configuration.Version, "routes", len(configuration.Routes))
		}
	}}
}
