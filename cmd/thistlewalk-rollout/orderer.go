package main

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/role"
	"github.com/thistlewalk/thistlewalk/internal/weights"
	"github.com/thistlewalk/thistlewalk/platform"
)

const (
	minElectionLease      = 1300 * time.Millisecond
	electionRenewInterval = 300 * time.Millisecond
	// handoverSlack is how much longer a successor waits than the pause that the platform requires between two orderers.
	handoverSlack = 300 * time.Millisecond
	// callGrace is how long a call may outlast the term in which it began. The difference from handoverSlack covers the time for
	// which a canceled call can still be in flight.
	callGrace = 200 * time.Millisecond
	// retentionSlack covers clock skew between machines.
	retentionSlack = time.Minute
)

func runOrderer(process *process) error {
	orderer, err := startOrderer(process, 0)
	if err != nil {
		return err
	}
	process.awaitStop()
	orderer.Stop()
	return nil
}

// startOrderer creates and starts a candidate for the election of the orderer. Its peer port is the first internal port of the node
// plus portOffset.
func startOrderer(process *process, portOffset int) (*role.Orderer, error) {
	settings := process.settings
	table := catalog.NewTable()
	cloud := platform.NewCloud(settings.Cloud.Address, holderDialer())
	options := role.OrdererOptions{
		Node: settings.Node, Role: settings.Role, Incarnation: process.incarnation, PeerAddress: settings.PeerAddress(portOffset), PeerClient: peerClient(),
		Store: process.instrumentedStore(), Replicas: platform.NewReplicas(holderDialer()), Retire: process.store, Logger: process.logger, Metrics: process.metrics, Catalog: table,
		OperatorPrefix: platform.PrefixOperator, ConfigurationPrefix: platform.KeyConfiguration, ReplicaPrefix: platform.PrefixReplicas,
		ReplicaHandler: &platform.ReplicaHandler{Logger: process.logger, Catalog: table, Metrics: process.metrics},
		Retention:      settings.Retention() + retentionSlack,
		UsageWindow:    settings.UsageWindow(), UsageSink: cloud, CallGrace: callGrace, Clock: process.clock,
		Election: weights.ElectionSettings{
			Lease: max(minElectionLease, settings.MinLease()), Renew: electionRenewInterval, HandoverWait: settings.HandoverWait() + handoverSlack,
		},
	}
	if settings.OrdersReplicas() {
		options.ReplicaSink = cloud
	}
	orderer := role.NewOrderer(options)
	handler := process.operatorHandler(table)
	handler.OnVersion = orderer.Weights.SetTarget
	handler.OnRetire = orderer.ConfirmRetired
	return orderer, orderer.Start(handler)
}
