// Package dissemination distributes what one node reads from the metadata store to the other nodes, so that they need not read it
// themselves. A publisher pushes changes of topics to a bounded number of nodes, some of which relay them to others, and sends beacons that
// announce its revisions. A node that receives no beacons, or lacks an announced revision for too long, reads the store itself.
package dissemination

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// beaconInterval is the time between two beacons when nothing changes. It is short enough that Limits.BeaconTimeout spans two beacons.
const beaconInterval = 400 * time.Millisecond

// Publisher pushes topics to nodes and sends beacons. It serves a bounded number of nodes directly; the others are served by relays, each
// of which runs a Publisher for its group.
type Publisher struct {
	// Node and Incarnation identify the process that reads the published topics from the store: this process, or the origin whose topics a
	// relay passes on.
	Node        string
	Incarnation int64
	// Clock orders and timestamps the beacons of this process, also after the machine was suspended; nil for a steady clock.
	Clock    clock.Clock
	Topics   []Topic
	Registry *cluster.Registry
	// Nodes returns the nodes to publish to, as the same slice until they change; nil for all other nodes of the registry.
	Nodes func() []*clusterv1.NodeRecord
	// TreeVersion returns when the origin last changed the topology, by its clock, in microseconds; nil if this publisher is the origin.
	TreeVersion func() int64
	// IsZoneReader is true for the reader of a zone, which publishes to the zone while the orderer does not, and for an orderer that
	// publishes before its term. Neither gives orders to replicas.
	IsZoneReader bool
	// Term is the fence of the term in which this node is the orderer and collects usage tallies; zero for a relay.
	Term int64
	// Address is the address from which this node sends datagrams.
	Address   string
	Datagrams *cluster.Datagrams
	Health    *metadata.Health
	Logger    *log.Logger
	Metrics   *telemetry.Metrics
	// FanOut bounds the nodes that are served directly; zero for the default.
	FanOut int

	updates updateCache
	wake    chan struct{}
	pushes  [laneCount]chan struct{}
	retries [laneCount]chan struct{}

	mu        sync.Mutex
	receivers map[process]*receiver
	// announced holds the revisions of the newest beacon, by prefix.
	announced map[string]metadata.Revision
	// lastBeaconAt is when the last beacon was sent, and lastSentUs its timestamp by Clock, in microseconds.
	lastBeaconAt time.Time
	lastSentUs   int64
	// excludedUntil holds the processes that are served directly and do not relay, and when their exclusion ends.
	excludedUntil map[process]time.Time
	// topology was built for topologyNodes; topologyStale is true if relays have changed since.
	topology      topology
	topologyNodes []*clusterv1.NodeRecord
	topologyStale bool
}

// initialize prepares the publisher for rounds.
func (publisher *Publisher) initialize() {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.receivers, publisher.excludedUntil = make(map[process]*receiver), make(map[process]time.Time)
	publisher.wake = make(chan struct{}, 1)
	for lane := range laneCount {
		publisher.pushes[lane], publisher.retries[lane] = make(chan struct{}, maxConcurrentPushes), make(chan struct{}, maxConcurrentRetries)
	}
	publisher.Clock = clock.OrMonotonic(publisher.Clock)
	if publisher.FanOut <= 0 {
		publisher.FanOut = defaultFanOut
	}
}

// Run publishes until the context ends. It sends nothing while the metadata store does not answer.
func (publisher *Publisher) Run(ctx context.Context) {
	publisher.initialize()
	publisher.watchTopics(ctx)
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		if publisher.Health.Good() && allRead(publisher.Topics) {
			publisher.round(ctx, publisher.nextBeacon())
		}
		select {
		case <-ctx.Done():
			return
		case <-publisher.wake:
		case <-ticker.C:
		}
	}
}

// watchTopics requests a round whenever the target revision of a topic advances, until the context ends.
func (publisher *Publisher) watchTopics(ctx context.Context) {
	for _, topic := range publisher.Topics {
		go publisher.watchTopic(ctx, topic)
	}
}

// watchTopic requests rounds for one topic. A relay may receive a beacon that announces a revision before it reaches that revision. When it
// does, it has something to push even if nothing has changed.
func (publisher *Publisher) watchTopic(ctx context.Context, topic Topic) {
	revision := metadata.Revision(0)
	for {
		advanced := topic.Advanced()
		if wanted := publisher.targetRevision(topic); wanted > revision {
			revision = wanted
			publisher.requestRound()
		}
		select {
		case <-ctx.Done():
			return
		case <-advanced:
		}
	}
}

// requestRound starts the next round immediately.
func (publisher *Publisher) requestRound() {
	select {
	case publisher.wake <- struct{}{}:
	default:
	}
}

// allRead reports whether every topic has been read.
func allRead(topics []Topic) bool {
	for _, topic := range topics {
		if topic.Revision() == 0 {
			return false
		}
	}
	return true
}

// nextBeacon returns a beacon with a higher timestamp than all before, so that relays pass each beacon on once. Only Run calls it.
func (publisher *Publisher) nextBeacon() *clusterv1.Beacon {
	publisher.lastSentUs = max(publisher.lastSentUs+1, publisher.Clock.Elapsed().Microseconds())
	return &clusterv1.Beacon{
		Name: publisher.Node, Life: publisher.Incarnation, Relay: publisher.IsZoneReader, Term: publisher.Term, Address: publisher.Address, Changed: changedRevisions(publisher.Topics),
		SentUs: publisher.lastSentUs,
	}
}

// origin returns the process that reads the published topics from the store.
func (publisher *Publisher) origin() process { return process{publisher.Node, publisher.Incarnation} }

// round starts the pushes that are due and sends the beacon, if there is one.
func (publisher *Publisher) round(ctx context.Context, beacon *clusterv1.Beacon) {
	now := time.Now()
	publisher.recordAnnounced(beacon, now)
	current := publisher.currentTopology(publisher.recipients(), now)
	for _, due := range publisher.startDuePushes(current.direct, now) {
		go publisher.push(ctx, due.to, due.lane)
	}
	if beacon != nil {
		publisher.Datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Beacon{Beacon: beacon}}, publisher.beaconRecipients(current))
	}
}

// recordAnnounced records the revisions that a beacon announces.
func (publisher *Publisher) recordAnnounced(beacon *clusterv1.Beacon, now time.Time) {
	if beacon == nil {
		return
	}
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if now.Sub(publisher.lastBeaconAt) > relayReportTimeout {
		publisher.resetRelays(now)
	}
	publisher.lastBeaconAt = now
	publisher.announced = make(map[string]metadata.Revision, len(beacon.GetChanged()))
	for _, changed := range beacon.GetChanged() {
		publisher.announced[changed.GetPrefix()] = metadata.Revision(changed.GetRevision())
	}
}

// resetRelays restarts the timeouts of all relays after a period without beacons, such as an outage of the store. Without beacons, relays
// had nothing to answer, and their assignments may have expired. The caller holds mu.
func (publisher *Publisher) resetRelays(now time.Time) {
	for _, state := range publisher.receivers {
		if relay := &state.relay; !relay.assignedSince.IsZero() {
			relay.assignedSince, relay.acknowledged, relay.sentNumber = now, 0, 0
		}
	}
}

// targetRevisionLocked returns the revision of a topic that nodes have to reach: that of the newest change in this process, or the
// announced one if this process has reached it. A new publisher announces the revision at which it read the store, and a relay may know of
// no change at that revision. The caller holds mu.
func (publisher *Publisher) targetRevisionLocked(topic Topic) metadata.Revision {
	return max(topic.ChangedAt(), min(topic.Revision(), publisher.announced[topic.Prefix()]))
}

func (publisher *Publisher) targetRevision(topic Topic) metadata.Revision {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	return publisher.targetRevisionLocked(topic)
}

func (publisher *Publisher) recipients() []*clusterv1.NodeRecord {
	if publisher.Nodes != nil {
		return publisher.Nodes()
	}
	return publisher.Registry.Others()
}

// HandleReport handles a relay's answer to a beacon. It ignores answers to beacons of other origins.
func (publisher *Publisher) HandleReport(report *clusterv1.RelayReport) {
	if originOf(report.GetOrigin()) != publisher.origin() {
		return
	}
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state := publisher.receivers[process{report.GetNode(), report.GetLife()}]
	if state == nil || state.relay.assignedSince.IsZero() {
		return
	}
	state.relay.lastReport, state.relay.acknowledged = time.Now(), max(state.relay.acknowledged, report.GetAssignment())
	state.relay.unreached = append(state.relay.unreached, report.GetUnreached()...)
}
