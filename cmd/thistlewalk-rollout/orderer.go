package main

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/role"
	"github.com/thistlewalk/thistlewalk/internal/weights"
	"github.com/thistlewalk/thistlewalk/platform"
)

// Times of the election of the orderer.
const (
	ordererLease  = 1300 * time.Millisecond
	ordererRenew  = 300 * time.Millisecond
	handoverSlack = 300 * time.Millisecond
	// callOverhang is less than that by what a call may still be under way after it was given up.
	callOverhang = 200 * time.Millisecond
	// retentionSlack covers clocks that differ between machines.
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

// startOrderer puts a candidate together and starts it, at one of the node's internal ports.
func startOrderer(process *process, port int) (*role.Orderer, error) {
	settings := process.settings
	table := catalog.NewTable()
	orderer := role.NewOrderer(role.OrdererOptions{
		Node: settings.Node, Role: settings.Role, Incarnation: process.life, PeerAddress: settings.PeerAddress(port), PeerClient: peerClient(),
		Store: process.measuredStore(), Replicas: platform.NewReplicas(dialer()), Retire: process.store, Logger: process.logger, Metrics: process.metrics, Catalog: table,
		OperatorPrefix: platform.PrefixOperator, ConfigurationPrefix: platform.KeyConfiguration, ReplicaPrefix: platform.PrefixReplicas,
		ReplicaHandler: &platform.ReplicaHandler{Logger: process.logger, Catalog: table, Metrics: process.metrics},
		Retention:      settings.Retention() + retentionSlack,
		UsageWindow:    settings.UsageWindow(), UsageSink: platform.NewCloud(settings.Cloud.Address, dialer()), CallGrace: callOverhang, Clock: process.clock,
		Election: weights.ElectionSettings{
			Lease: max(ordererLease, settings.MinLease()), Renew: ordererRenew, HandoverWait: settings.HandoverWait() + handoverSlack,
		},
	})
	operator := process.operator(table)
	operator.OnVersion = orderer.Weights.SetTarget
	operator.OnRetire = orderer.ConfirmRetired
	return orderer, orderer.Start(operator)
}
