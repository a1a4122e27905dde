// Package dissemination spreads what one node reads of the metadata store to the others, so that these need not each read it: the
// publisher pushes the changes of some topics to some nodes, which relay them to others, and a beacon tells how new its knowledge is. A node
// that hears no beacon, or lacks for long what one tells of, reads the store itself.
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

// beaconInterval is the time between two beacons without a change: short enough that the silence that a node puts up with holds two.
const beaconInterval = 400 * time.Millisecond

// Publisher pushes topics to nodes and sends beacons: to a bounded number of nodes itself, and to the others by relays, which are
// publishers to their groups.
type Publisher struct {
	// Node and Life are the process that reads what is published: this one, or that whose topics a relay passes on.
	Node string
	Life int64
	// Clock orders the beacons of this process, and tells when one was sent, also after the machine was suspended; nil for a steady one.
	Clock    clock.Clock
	Topics   []Topic
	Registry *cluster.Registry
	// Nodes returns the nodes to publish to, the same list until they change; nil for all others.
	Nodes func() []*clusterv1.NodeRecord
	// Tree returns when the origin last changed who serves whom, by its clock, in microseconds; nil for a publisher that is the origin.
	Tree func() int64
	// Relay says that this node stands in for the publisher, and orders no replicas.
	Relay bool
	// Term is the fence of the term in which this node orders replicas and collects tallies of usage; zero for a relay.
	Term int64
	// Address is where this node's datagrams come from.
	Address   string
	Datagrams *cluster.Datagrams
	Health    *metadata.Health
	Logger    *log.Logger
	Metrics   *telemetry.Metrics
	// FanOut bounds the nodes that are served directly; zero for a default.
	FanOut int

	updates updates
	wake    chan struct{}
	pushes  [lanes]chan struct{}
	retries [lanes]chan struct{}

	mu       sync.Mutex
	receiver map[process]*receiver
	// announced are the revisions of the newest beacon, by prefix.
	announced map[string]metadata.Revision
	// spoke is when the last beacon was sent, and sent the same by the Clock, in microseconds.
	spoke time.Time
	sent  int64
	// alone are processes that are served directly and relay nothing, until when.
	alone map[process]time.Time
	// begun is when processes were first to be served.
	begun map[process]time.Time
	// arranged is who serves whom, as it was worked out for a list of nodes; outdated says that relays have changed since.
	arranged    arrangement
	arrangedFor []*clusterv1.NodeRecord
	outdated    bool
}

// prepare makes the publisher ready for rounds.
func (publisher *Publisher) prepare() {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.receiver, publisher.alone, publisher.begun = make(map[process]*receiver), make(map[process]time.Time), make(map[process]time.Time)
	publisher.wake = make(chan struct{}, 1)
	for lane := range lanes {
		publisher.pushes[lane], publisher.retries[lane] = make(chan struct{}, pushesAtOnce), make(chan struct{}, retriesAtOnce)
	}
	publisher.Clock = clock.OrSteady(publisher.Clock)
	if publisher.FanOut <= 0 {
		publisher.FanOut = defaultFanOut
	}
}

// Run publishes until the context ends. It says nothing while the metadata store does not answer.
func (publisher *Publisher) Run(ctx context.Context) {
	publisher.prepare()
	publisher.follow(ctx)
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		if publisher.Health.Good() && complete(publisher.Topics) {
			publisher.round(ctx, publisher.beacon())
		}
		select {
		case <-ctx.Done():
			return
		case <-publisher.wake:
		case <-ticker.C:
		}
	}
}

// follow has a round begin, until the context ends, whenever nodes are to know more of a topic than before.
func (publisher *Publisher) follow(ctx context.Context) {
	for _, topic := range publisher.Topics {
		go publisher.followTopic(ctx, topic)
	}
}

// followTopic begins rounds for a topic. A relay may be told of a revision, by a beacon, before it has reached it: when it does, it has something to push
// although nothing may have changed.
func (publisher *Publisher) followTopic(ctx context.Context, topic Topic) {
	revision := metadata.Revision(0)
	for {
		advanced := topic.Advanced()
		if wanted := publisher.wantedNow(topic); wanted > revision {
			revision = wanted
			publisher.nudge()
		}
		select {
		case <-ctx.Done():
			return
		case <-advanced:
		}
	}
}

// nudge has the next round begin at once.
func (publisher *Publisher) nudge() {
	select {
	case publisher.wake <- struct{}{}:
	default:
	}
}

// complete reports whether all topics have been read.
func complete(topics []Topic) bool {
	for _, topic := range topics {
		if topic.Revision() == 0 {
			return false
		}
	}
	return true
}

// beacon returns a beacon that is newer than all before, so that relays pass each on once. Only Run calls it.
func (publisher *Publisher) beacon() *clusterv1.Beacon {
	publisher.sent = max(publisher.sent+1, publisher.Clock.Elapsed().Microseconds())
	return &clusterv1.Beacon{
		Name: publisher.Node, Life: publisher.Life, Relay: publisher.Relay, Term: publisher.Term, Address: publisher.Address, Changed: changedAt(publisher.Topics),
		SentUs: publisher.sent,
	}
}

// origin is the process that reads what is published.
func (publisher *Publisher) origin() process { return process{publisher.Node, publisher.Life} }

// round pushes to whoever lacks something, and sends the beacon, if there is one.
func (publisher *Publisher) round(ctx context.Context, beacon *clusterv1.Beacon) {
	now := time.Now()
	publisher.announce(beacon, now)
	arranged := publisher.arrange(publisher.nodes(), now)
	for _, due := range publisher.due(arranged.direct, now) {
		go publisher.push(ctx, due.to, due.lane)
	}
	if beacon != nil {
		publisher.Datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Beacon{Beacon: beacon}}, publisher.listeners(arranged))
	}
}

// announce notes what a beacon tells of.
func (publisher *Publisher) announce(beacon *clusterv1.Beacon, now time.Time) {
	if beacon == nil {
		return
	}
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if now.Sub(publisher.spoke) > relaySilence {
		publisher.resume(now)
	}
	publisher.spoke = now
	publisher.announced = make(map[string]metadata.Revision, len(beacon.GetChanged()))
	for _, changed := range beacon.GetChanged() {
		publisher.announced[changed.GetPrefix()] = metadata.Revision(changed.GetRevision())
	}
}

// resume has relays begin anew after a time without beacons, as an outage of the store is: they may have ended by themselves, and had nothing to
// answer. It must be called with mu held.
func (publisher *Publisher) resume(now time.Time) {
	for _, state := range publisher.receiver {
		if relay := &state.relay; !relay.since.IsZero() {
			relay.since, relay.taken, relay.sent = now, 0, 0
		}
	}
}

// wanted returns up to which revision nodes are to know a topic: that of the newest change here, or the one that the beacon tells of if it is
// known here. A new publisher tells of the revision at which it read all, at which a relay may know of no change. It must be called with mu held.
func (publisher *Publisher) wanted(topic Topic) metadata.Revision {
	return max(topic.ChangedAt(), min(topic.Revision(), publisher.announced[topic.Prefix()]))
}

func (publisher *Publisher) wantedNow(topic Topic) metadata.Revision {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	return publisher.wanted(topic)
}

func (publisher *Publisher) nodes() []*clusterv1.NodeRecord {
	if publisher.Nodes != nil {
		return publisher.Nodes()
	}
	return publisher.Registry.Others()
}

// Reported takes a relay's answer to a beacon; one to a beacon of another process is not meant.
func (publisher *Publisher) Reported(report *clusterv1.RelayReport) {
	if originOf(report.GetOrigin()) != publisher.origin() {
		return
	}
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state := publisher.receiver[process{report.GetNode(), report.GetLife()}]
	if state == nil || state.relay.since.IsZero() {
		return
	}
	state.relay.reported, state.relay.taken = time.Now(), max(state.relay.taken, report.GetAssignment())
	state.relay.unreached = append(state.relay.unreached, report.GetUnreached()...)
}
