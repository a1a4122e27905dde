package role

import (
	"context"
	"net"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Minimum intervals between two watches while this front reads the store itself; changes in between share a call.
const (
	replicaInterval    = time.Second
	registryInterval   = 800 * time.Millisecond
	quarantineInterval = time.Second
)

// newSubscriber returns the subscriber, which decides whether this front relies on a publisher or reads the store
// itself.
func (front *Front) newSubscriber() *dissemination.Subscriber {
	return &dissemination.Subscriber{
		Node: front.Node, Incarnation: front.Incarnation, Topics: front.topics.published(), Limits: front.Limits, Health: front.health,
		Logger: front.Logger, Metrics: front.Metrics, Follow: front.followStore, Relay: front.publishToZone, Clock: front.Clock,
		ReaderRank: func() int { return front.Registry.Rank(readerKey) },
	}
}

// startRelays lets publishers use this front as a relay.
func (front *Front) startRelays() {
	front.relays = &dissemination.Relays{
		Node: front.Node, Incarnation: front.Incarnation, Address: front.PeerAddress, Topics: front.topics.published(), Registry: front.Registry, Datagrams: front.datagrams,
		Logger: front.Logger, Metrics: front.Metrics,
	}
	front.relays.Start(front.ctx)
	front.subscriber.Assign = front.relays.Assign
}

func (front *Front) handleBeacon(beacon *clusterv1.Beacon, from net.Addr) {
	if front.subscriber.HandleBeacon(beacon, from) {
		front.relays.HandleBeacon(beacon, from)
	}
}

// handleRelayReport handles a report about the nodes that this front assigned to a relay, either as the reader of its
// zone or as a relay itself.
func (front *Front) handleRelayReport(report *clusterv1.RelayReport) {
	if publisher := front.zonePublisher.Load(); publisher != nil {
		publisher.HandleReport(report)
	}
	front.relays.HandleReport(report)
}

// announceStoreAnswers informs all other nodes that the metadata store answers again.
func (front *Front) announceStoreAnswers() {
	announcement := &clusterv1.StoreAnswers{Node: front.Node}
	front.datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_StoreAnswers{StoreAnswers: announcement}}, front.Registry.Others())
}

// join registers this front, and looks for jobs that an earlier process of this front may have left.
func (front *Front) join() {
	if front.Registry.Register(front.ctx) {
		front.Runner.Sweep()
	}
}

// storeNeeded reports whether this front must detect an outage of the store quickly, because work depends on the store
// or the publisher's beacons are late.
func (front *Front) storeNeeded() bool {
	return front.hasStoreWork() || front.subscriber.NeedsProbe(time.Now())
}

// hasStoreWork reports whether this front has work that an unavailable store blocks.
func (front *Front) hasStoreWork() bool {
	return front.waitingTakeovers.Load() > 0 || front.Runner.Busy(time.Now())
}

// awaitStore blocks until the store answers, before the takeover of a dead node.
func (front *Front) awaitStore(ctx context.Context) {
	front.waitingTakeovers.Add(1)
	defer front.waitingTakeovers.Add(-1)
	front.health.AwaitGood(ctx)
}

// followStore starts to follow all topics in the store until the context ends. It is used while no publisher serves this
// front.
func (front *Front) followStore(ctx context.Context) {
	read := func(mirror *metadata.Mirror, interval, wait time.Duration) {
		follower := &metadata.Follower{
			Store: front.Store, Prefix: mirror.Prefix(), Handler: mirror, StartRevision: mirror.Revision, Logger: front.Logger, MinInterval: interval,
			Health: front.health, Wait: func() time.Duration { return wait },
		}
		go follower.Run(ctx)
	}
	read(front.topics.configuration, 0, metadata.ShortWatchTimeout)
	read(front.topics.nodes, registryInterval, metadata.LongWatchTimeout)
	read(front.topics.quarantine, quarantineInterval, metadata.LongWatchTimeout)
	if front.topics.replicas.Revision() == 0 {
		fetcher := &dissemination.SnapshotFetcher{
			Topic: dissemination.Topic{Mirror: front.topics.replicas}, Nodes: dissemination.Topic{Mirror: front.topics.nodes}, Registry: front.Registry,
			Logger: front.Logger, Metrics: front.Metrics,
		}
		fetcher.Fetch(ctx)
	}
	read(front.topics.replicas, replicaInterval, metadata.ShortWatchTimeout)
}

// storeUrgent reports whether this front must detect at once that the store has recovered. Other fronts are notified by
// those that detect it.
func (front *Front) storeUrgent() bool {
	return front.hasStoreWork() || front.Registry.Rank(readerKey) == 0 || front.Registry.Isolated(time.Now())
}

// readerKey is the key by which the fronts of a zone are ranked to choose the zone's reader, which reads the store while
// no publisher is available.
const readerKey = "reader"

// publishToZone publishes what this front reads from the store to the other fronts of its zone.
func (front *Front) publishToZone(ctx context.Context) {
	publisher := &dissemination.Publisher{
		Node: front.Node, Incarnation: front.Incarnation, Clock: front.Clock, Topics: front.topics.published(), Registry: front.Registry, Nodes: front.Registry.Neighbours, IsZoneReader: true,
		Address: front.PeerAddress, Datagrams: front.datagrams, Health: front.health, Logger: front.Logger, Metrics: front.Metrics,
	}
	front.zonePublisher.Store(publisher)
	defer front.zonePublisher.CompareAndSwap(publisher, nil)
	publisher.Run(ctx)
}
