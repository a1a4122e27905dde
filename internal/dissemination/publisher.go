// Package dissemination spreads what one node reads of the metadata store to the others, so that these need not each read it: the
// publisher pushes the changes of some topics to every node, and a beacon tells how new its knowledge is. A node that hears no beacon,
// or lacks for long what one tells of, reads the store itself.
package dissemination

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	// beaconInterval is the time between two beacons without a change: short enough that a silenceLimit holds two, and at 300 nodes
	// 750 datagrams a second of some 100 bytes.
	beaconInterval = 400 * time.Millisecond
	// publishLimit bounds one call of a push. A node that is alive answers within some milliseconds, a slow link takes some hundred
	// for a large configuration.
	publishLimit = 500 * time.Millisecond
	// pushesAtOnce bounds the pushes in progress, so that many nodes at once don't choke the publisher's link.
	pushesAtOnce = 32
	// retriesAtOnce bounds those to nodes whose last push failed, which may be cut off and take the whole publishLimit.
	retriesAtOnce = 8
	// pushSteps is how many calls a push may take: one that asks what a node has, and one that brings what it lacks.
	pushSteps = 2
)

// Publisher pushes topics to nodes and sends beacons.
type Publisher struct {
	Node     string
	Topics   []Topic
	Registry *cluster.Registry
	// Nodes returns the nodes to publish to; nil for all others.
	Nodes func() []*clusterv1.NodeRecord
	// Relay says that this node stands in for the publisher, and orders no replicas.
	Relay bool
	// Term is the fence of the term in which this node orders replicas and collects tallies of usage; zero for a relay.
	Term      int64
	Datagrams *cluster.Datagrams
	Health    *metadata.Health
	Logger    *log.Logger
	Metrics   *telemetry.Metrics

	pushes  chan struct{}
	retries chan struct{}

	mu       sync.Mutex
	receiver map[process]*receiver
}

// process is one life of a node.
type process struct {
	node string
	life int64
}

// receiver is what the publisher knows of a process that it publishes to.
type receiver struct {
	// known is the revision that the process has of each topic's prefix, as it told; nil before it has.
	known   map[string]metadata.Revision
	pushing bool
	failed  bool // whether the last push did
	pushed  time.Time
}

// Run publishes until the context ends. It says nothing while the metadata store does not answer.
func (publisher *Publisher) Run(ctx context.Context) {
	publisher.mu.Lock()
	publisher.receiver = make(map[process]*receiver)
	publisher.mu.Unlock()
	publisher.pushes, publisher.retries = make(chan struct{}, pushesAtOnce), make(chan struct{}, retriesAtOnce)
	wake := make(chan struct{}, 1)
	for _, topic := range publisher.Topics {
		go forwardChanges(ctx, topic, wake)
	}
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		if publisher.Health.Good() && publisher.complete() {
			publisher.publish(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-ticker.C:
		}
	}
}

// forwardChanges wakes the publisher at each change of a topic.
func forwardChanges(ctx context.Context, topic Topic, wake chan<- struct{}) {
	revision := metadata.Revision(0)
	for {
		changed := topic.Changed()
		if newest := topic.ChangedAt(); newest > revision {
			revision = newest
			select {
			case wake <- struct{}{}:
			default:
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// complete reports whether all topics have been read.
func (publisher *Publisher) complete() bool {
	for _, topic := range publisher.Topics {
		if topic.Revision() == 0 {
			return false
		}
	}
	return true
}

// publish pushes to whoever lacks something, and sends the beacon.
func (publisher *Publisher) publish(ctx context.Context) {
	nodes := publisher.nodes()
	for _, node := range publisher.due(nodes, time.Now()) {
		go publisher.push(ctx, node)
	}
	beacon := &clusterv1.Beacon{Name: publisher.Node, Relay: publisher.Relay, Term: publisher.Term, Changed: changedAt(publisher.Topics)}
	publisher.Datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Beacon{Beacon: beacon}}, nodes)
}

func (publisher *Publisher) nodes() []*clusterv1.NodeRecord {
	if publisher.Nodes != nil {
		return publisher.Nodes()
	}
	return publisher.Registry.Others()
}

// due returns the processes that a push is to begin to, and forgets those that are registered no more.
func (publisher *Publisher) due(nodes []*clusterv1.NodeRecord, now time.Time) []process {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	var list []process
	receivers := make(map[process]*receiver, len(nodes))
	for _, node := range nodes {
		key := process{node.GetName(), node.GetLife()}
		state := publisher.receiver[key]
		if state == nil {
			state = &receiver{}
		}
		receivers[key] = state
		if !state.pushing && publisher.lacks(state, now) {
			state.pushing, state.pushed = true, now
			list = append(list, key)
		}
	}
	publisher.receiver = receivers
	return list
}

// lacks reports whether a process lacks something that it is to be sent now. It must be called with mu held.
func (publisher *Publisher) lacks(state *receiver, now time.Time) bool {
	if state.known == nil {
		return true
	}
	for _, topic := range publisher.Topics {
		if state.known[topic.Prefix()] < topic.ChangedAt() && now.Sub(state.pushed) >= topic.Pace {
			return true
		}
	}
	return false
}

// push brings a process up to date. One that has not told what it has is asked first.
func (publisher *Publisher) push(ctx context.Context, key process) {
	state, slots := publisher.begin(key)
	if state == nil {
		return
	}
	failed := true
	defer func() { publisher.finish(state, failed) }()
	client := publisher.Registry.NodeClient(key.node)
	if client == nil {
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	for range pushSteps {
		request := publisher.next(state)
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, publishLimit)
		response, err := client.Publish(callCtx, request)
		cancel()
		if err != nil {
			failed = true
			publisher.Metrics.Published("failed", time.Since(started))
			publisher.Logger.Warn("not published", "node", key.node, "life", key.life, "updates", len(request.GetUpdates()), "error", err)
			return
		}
		failed = false
		publisher.Metrics.Published("ok", time.Since(started))
		if publisher.told(state, response.GetKnown()) {
			return
		}
	}
}

// begin returns the state of a process and the slots that bound the pushes to it; nil when it is registered no more.
func (publisher *Publisher) begin(key process) (*receiver, chan struct{}) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state := publisher.receiver[key]
	if state != nil && state.failed {
		return state, publisher.retries
	}
	return state, publisher.pushes
}

// next returns the request that a process is sent next.
func (publisher *Publisher) next(state *receiver) *clusterv1.PublishRequest {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	request := &clusterv1.PublishRequest{}
	if state.known == nil {
		return request
	}
	for _, topic := range publisher.Topics {
		base := state.known[topic.Prefix()]
		if base >= topic.ChangedAt() {
			continue
		}
		difference := topic.Difference(base)
		request.Updates = append(request.Updates, encodeDifference(&difference))
	}
	return request
}

// told notes what a process has, and reports whether that is all.
func (publisher *Publisher) told(state *receiver, revisions []*clusterv1.PrefixRevision) (all bool) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state.known = make(map[string]metadata.Revision, len(revisions))
	for _, revision := range revisions {
		state.known[revision.GetPrefix()] = metadata.Revision(revision.GetRevision())
	}
	for _, topic := range publisher.Topics {
		if state.known[topic.Prefix()] < topic.ChangedAt() {
			return false
		}
	}
	return true
}

func (publisher *Publisher) finish(state *receiver, failed bool) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state.pushing, state.failed = false, failed
}
