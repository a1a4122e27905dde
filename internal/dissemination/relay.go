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

// relayLife is how long a node goes on bringing others up to date without a beacon of whoever assigned them to it: longer than it takes until
// these rely on somebody else (Limits.Silence and Relay, 2 s at most).
const relayLife = 3 * time.Second

// Relays has this node relay to others what publishers, or other relays, have it relay: it passes their beacons on at once, and brings the
// nodes up to date from its own topics. It is safe for concurrent use.
type Relays struct {
	Node      string
	Life      int64
	Address   string
	Topics    []Topic
	Registry  *cluster.Registry
	Datagrams *cluster.Datagrams
	Logger    *log.Logger
	Metrics   *telemetry.Metrics
	// FanOut bounds the nodes that are served directly; zero for a default.
	FanOut int

	mu  sync.Mutex
	ctx context.Context
	// relayed is what this node relays, by the process that reads it.
	relayed map[process]*relayed
	// last is the newest beacon, and from whom it came: the one before an assignment may say what its nodes are to know.
	last *clusterv1.Beacon
	from string
}

// Start has the node take assignments until the context ends.
func (relays *Relays) Start(ctx context.Context) {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	relays.ctx, relays.relayed = ctx, make(map[process]*relayed)
}

// Assign takes an assignment. One without nodes ends what this node relays for its sender.
func (relays *Relays) Assign(assignment *clusterv1.Assignment) {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	if relays.ctx == nil {
		return
	}
	origin, sender, now := originOf(assignment.GetOrigin()), assignment.GetSender(), time.Now()
	current := relays.relayed[origin]
	if current != nil && !current.accepts(assignment, now) {
		relays.Logger.Info("assignment of a former sender", "origin", origin.node, "sender", sender, "assignment", assignment.GetNumber())
		return
	}
	relays.Logger.Info("relaying", "origin", origin.node, "sender", sender, "assignment", assignment.GetNumber(), "nodes", len(assignment.GetNodes()))
	if len(assignment.GetNodes()) == 0 {
		if current != nil {
			relays.forget(origin, current)
		}
		return
	}
	if current == nil {
		current = relays.begin(origin)
	}
	current.assign(assignment, now)
	if relays.last != nil && relays.from == sender && beaconOrigin(relays.last) == origin {
		current.hear(relays.last, sender, now)
	}
	current.publisher.nudge()
}

// begin must be called with mu held.
func (relays *Relays) begin(origin process) *relayed {
	ctx, stop := context.WithCancel(relays.ctx)
	created := &relayed{stop: stop}
	created.publisher = &Publisher{
		Node: origin.node, Life: origin.life, Topics: unpaced(relays.Topics), Registry: relays.Registry, Nodes: created.nodes, Tree: created.tree,
		Address: relays.Address, Datagrams: relays.Datagrams, Logger: relays.Logger, Metrics: relays.Metrics, FanOut: relays.FanOut,
	}
	created.publisher.prepare()
	created.publisher.follow(ctx)
	relays.relayed[origin] = created
	go relays.run(ctx, origin, created)
	return created
}

// forget must be called with mu held.
func (relays *Relays) forget(origin process, served *relayed) {
	served.stop()
	if relays.relayed[origin] == served {
		relays.Logger.Info("relaying ended", "origin", origin.node)
		delete(relays.relayed, origin)
	}
}

// run brings nodes up to date until the context ends, or nothing is heard of whoever assigned them.
func (relays *Relays) run(ctx context.Context, origin process, served *relayed) {
	ticker := time.NewTicker(relayLife)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-served.publisher.wake:
			served.publisher.round(ctx, served.takeBeacon())
		case <-ticker.C:
		}
		if relays.ended(origin, served) {
			return
		}
	}
}

// ended forgets what nobody has this node relay any more, and reports whether that is so.
func (relays *Relays) ended(origin process, served *relayed) bool {
	relays.mu.Lock()
	defer relays.mu.Unlock()
	if served.heardLately(time.Now()) {
		return false
	}
	relays.forget(origin, served)
	return true
}

// Heard takes a beacon: one from a sender for whom this node relays is passed on and answered.
func (relays *Relays) Heard(beacon *clusterv1.Beacon, from net.Addr) {
	if from == nil {
		return
	}
	relays.mu.Lock()
	relays.last, relays.from = beacon, from.String()
	served := relays.relayed[beaconOrigin(beacon)]
	relays.mu.Unlock()
	if served == nil {
		return
	}
	assignment := served.hear(beacon, from.String(), time.Now())
	if assignment == nil {
		return
	}
	served.publisher.nudge()
	report := &clusterv1.RelayReport{
		Node: relays.Node, Life: relays.Life, Assignment: assignment.GetNumber(), Origin: assignment.GetOrigin(), Unreached: served.publisher.unreached(),
	}
	relays.Datagrams.SendTo(&clusterv1.Datagram{Kind: &clusterv1.Datagram_RelayReport{RelayReport: report}}, from)
}

// Reported takes the answer of a relay to which this node has given some of its nodes.
func (relays *Relays) Reported(report *clusterv1.RelayReport) {
	relays.mu.Lock()
	served := relays.relayed[originOf(report.GetOrigin())]
	relays.mu.Unlock()
	if served != nil {
		served.publisher.Reported(report)
	}
}
