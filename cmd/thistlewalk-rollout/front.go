package main

import (
	"net/http"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/role"
	"github.com/thistlewalk/thistlewalk/platform"
)

// Limits in force until the configuration is known.
const (
	firstHeaderBytes   = 64 << 10
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 15 * time.Second
	peerIdleConns      = 4
)

func runFront(process *process) error {
	settings := process.settings
	table := catalog.NewTable()
	replicas := platform.NewReplicas(dialer())
	front := role.NewFront(role.FrontOptions{
		Node: settings.Node, Zone: settings.Zone, Role: settings.Role, Life: process.life, PeerAddress: settings.PeerAddress(0),
		Store: process.measuredStore(), Sender: replicas, Decoder: platform.EventDecoder{},
		PeerClient: peerClient(), Logger: process.logger, Metrics: process.metrics, Catalog: table,
		ConfigurationPrefix: platform.KeyConfiguration, ReplicaPrefix: platform.PrefixReplicas,
		ConfigurationHandler: process.operator(table),
		ReplicaHandler:       &platform.ReplicaHandler{Logger: process.logger, Catalog: table},
	})
	ingress := &platform.Ingress{
		Catalog: table, Forwarder: front.Forwarder, Runner: front.Runner, Logger: process.logger, Stopping: front.Stopping,
	}
	limits := catalog.Limits{HeaderBytes: firstHeaderBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout}
	if err := front.Start(); err != nil {
		return err
	}
	callers := platform.NewServer(front.Counted(ingress), limits)
	if err := process.serve("callers", settings.Listen["front"], callers); err != nil {
		return err
	}
	if err := process.serve("ready", settings.Listen["ready"], &http.Server{Handler: platform.ReadyHandler(front.Ready)}); err != nil {
		return err
	}
	process.awaitStop()
	front.Stop(settings.Grace(), callers)
	return nil
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
