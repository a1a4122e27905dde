package dissemination

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// assignmentExpiry is how long a node serves an assignment without a beacon of its sender. It exceeds the time after which the assigned
// nodes turn to another source (the sum of Limits.BeaconTimeout and Limits.RelayTimeout).
const assignmentExpiry = 3 * time.Second

// Relays serves the nodes that publishers and other relays assign to this node. It forwards the beacons of these senders and pushes updates
// from this node's own topics. It is safe for concurrent use.
type Relays struct {
	Node        string
	Incarnation int64
	Address     string
	Topics      []Topic
	Registry    *cluster.Registry
	Datagrams   *cluster.Datagrams
	Logger      *log.Logger
	Metrics     *telemetry.Metrics
	// FanOut bounds the nodes that are served directly; zero for the default.
	FanOut int

	mu  sync.Mutex
	ctx context.Context
	// origins holds what this node relays, by origin.
	origins map[process]*relayedOrigin
	// lastBeacon is the newest beacon and lastSender the address that it came from. A beacon may arrive before the first assignment of its
	// sender.
	lastBeacon *clusterv1.Beacon
	lastSender string
}

// Start accepts assignments until the context ends.
func (relays *Relays) Start(ctx context.Context) {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	relays.ctx, relays.origins = ctx, make(map[process]*relayedOrigin)
}

// Assign handles an assignment. An assignment without nodes ends the relaying for its sender.
func (relays *Relays) Assign(assignment *clusterv1.Assignment) {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	if relays.ctx == nil {
		return
	}
	origin, sender, now := originOf(assignment.GetOrigin()), assignment.GetSender(), time.Now()
	current := relays.origins[origin]
	if current != nil && !current.accepts(assignment, now) {
		relays.Logger.Info("assignment of a former sender", "origin", origin.node, "sender", sender, "assignment", assignment.GetNumber())
		return
	}
	relays.Logger.Info("relaying", "origin", origin.node, "sender", sender, "assignment", assignment.GetNumber(), "nodes", len(assignment.GetNodes()))
	if len(assignment.GetNodes()) == 0 {
		if current != nil {
			relays.remove(origin, current)
		}
		return
	}
	if current == nil {
		current = relays.addOrigin(origin)
	}
	current.assign(assignment, now)
	if relays.lastBeacon != nil && relays.lastSender == sender && beaconOrigin(relays.lastBeacon) == origin {
		current.receiveBeacon(relays.lastBeacon, sender, now)
	}
	current.publisher.requestRound()
}

// addOrigin starts relaying for an origin. The caller holds mu.
func (relays *Relays) addOrigin(origin process) *relayedOrigin {
	ctx, stop := context.WithCancel(relays.ctx)
	created := &relayedOrigin{stop: stop}
	created.publisher = &Publisher{
		Node: origin.node, Incarnation: origin.incarnation, Topics: withoutMinInterval(relays.Topics), Registry: relays.Registry, Nodes: created.nodes, TreeVersion: created.treeVersion,
		Address: relays.Address, Datagrams: relays.Datagrams, Logger: relays.Logger, Metrics: relays.Metrics, FanOut: relays.FanOut,
	}
	created.publisher.initialize()
	created.publisher.watchTopics(ctx)
	relays.origins[origin] = created
	go relays.run(ctx, origin, created)
	return created
}

// remove stops relaying for an origin. The caller holds mu.
func (relays *Relays) remove(origin process, relayed *relayedOrigin) {
	relayed.stop()
	if relays.origins[origin] == relayed {
		relays.Logger.Info("relaying ended", "origin", origin.node)
		delete(relays.origins, origin)
	}
}

// run pushes to the assigned nodes until the context ends or the assignment expires.
func (relays *Relays) run(ctx context.Context, origin process, relayed *relayedOrigin) {
	ticker := time.NewTicker(assignmentExpiry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-relayed.publisher.wake:
			relayed.publisher.round(ctx, relayed.takePendingBeacon())
		case <-ticker.C:
		}
		if relays.removeExpired(origin, relayed) {
			return
		}
	}
}

// removeExpired removes an origin if nothing has arrived from its sender for assignmentExpiry, and reports whether it did.
func (relays *Relays) removeExpired(origin process, relayed *relayedOrigin) bool {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	if relayed.senderActive(time.Now()) {
		return false
	}
	relays.remove(origin, relayed)
	return true
}

// HandleBeacon handles a beacon. A beacon of a sender for which this node relays is forwarded and answered with a report.
func (relays *Relays) HandleBeacon(beacon *clusterv1.Beacon, from net.Addr) {
	if from == nil {
		return
	}
	relays.mu.Lock()
	relays.lastBeacon, relays.lastSender = beacon, from.String()
	relayed := relays.origins[beaconOrigin(beacon)]
	relays.mu.Unlock()
	if relayed == nil {
		return
	}
	assignment := relayed.receiveBeacon(beacon, from.String(), time.Now())
	if assignment == nil {
		return
	}
	relayed.publisher.requestRound()
	report := &clusterv1.RelayReport{
		Node: relays.Node, Life: relays.Incarnation, Assignment: assignment.GetNumber(), Origin: assignment.GetOrigin(), Unreached: relayed.publisher.unreached(),
	}
	relays.Datagrams.SendTo(&clusterv1.Datagram{Kind: &clusterv1.Datagram_RelayReport{RelayReport: report}}, from)
}

// HandleReport handles the report of a relay to which this node has assigned nodes.
func (relays *Relays) HandleReport(report *clusterv1.RelayReport) {
	relays.mu.Lock()
	relayed := relays.origins[originOf(report.GetOrigin())]
	relays.mu.Unlock()
	if relayed != nil {
		relayed.publisher.HandleReport(report)
	}
}
