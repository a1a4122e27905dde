package dissemination

import (
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
)

// currentTopology returns which nodes are served directly and which by relays. It rebuilds the topology only when nodes or relays have
// changed, because every change of a replica starts a round.
func (publisher *Publisher) currentTopology(nodes []*clusterv1.NodeRecord, now time.Time) topology {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.updateExclusions(now)
	if publisher.topologyStale || !sameSlice(publisher.topologyNodes, nodes) {
		publisher.rebuildTopology(nodes, now)
	}
	return publisher.topology
}

// sameSlice reports whether two slices share their backing array. Callers that return nodes allocate a new slice for each change.
func sameSlice(a, b []*clusterv1.NodeRecord) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rebuildTopology builds the topology for nodes, drops the state of processes that are no longer served directly, and assigns nodes to the
// relays. The caller holds mu.
func (publisher *Publisher) rebuildTopology(nodes []*clusterv1.NodeRecord, now time.Time) {
	built := buildTopology(nodes, publisher.FanOut, publisher.isExcluded, func(node *clusterv1.NodeRecord) bool {
		return publisher.Registry.ListedWithin(node, relayWarmUp, now)
	})
	receivers := make(map[process]*receiver, len(built.direct))
	for _, node := range built.direct {
		key := processOf(node)
		state := publisher.receivers[key]
		if state == nil {
			state = &receiver{record: node}
		}
		receivers[key] = state
	}
	publisher.receivers = receivers
	publisher.assignRelays(built.groups, now)
	publisher.topology, publisher.topologyNodes, publisher.topologyStale = built, nodes, false
}

// relayWarmUp is how long a new process is not chosen as a relay while enough others are available. It has to load the snapshot of all
// replicas before it has anything to pass on. The age is that in the registry: a publisher that was just created, such as that of a new
// relay, sees all processes for the first time.
const relayWarmUp = 3 * time.Second

// isExcluded reports whether a node is served directly and is not used as a relay: it failed as a relay lately, its relay did not reach it,
// or its build does not support relays. A build without relays also takes the sender of a beacon for the publisher, and reports its jobs to
// that sender. The caller holds mu.
func (publisher *Publisher) isExcluded(node *clusterv1.NodeRecord) bool {
	_, excluded := publisher.excludedUntil[processOf(node)]
	return excluded || !capability.Has(node, clusterv1.Capability_CAPABILITY_RELAYS)
}

// assignRelays updates the assignment of each relay. The caller holds mu.
func (publisher *Publisher) assignRelays(groups []group, now time.Time) {
	served := make(map[process][]*clusterv1.NodeRecord, len(groups))
	for _, group := range groups {
		served[processOf(group.relay)] = group.nodes
	}
	version := publisher.treeVersion()
	for key, state := range publisher.receivers {
		if !state.relay.assign(served[key], now) {
			continue
		}
		state.relay.assignment.Sender, state.relay.assignment.TreeUs = publisher.Address, version
		state.relay.assignment.Origin = &clusterv1.Origin{Name: publisher.Node, Life: publisher.Incarnation}
		publisher.Logger.Info("relay assigned", "node", key.node, "life", key.incarnation, "assignment", state.relay.assignment.GetNumber(), "nodes", len(served[key]))
	}
}

// treeVersion returns the version of the tree that orders assignments. In each tree a node has one sender. When a node changes its sender,
// both the former and the new sender are reassigned, so that an assignment of the former has an older version than one of the new.
func (publisher *Publisher) treeVersion() int64 {
	if publisher.TreeVersion != nil {
		return publisher.TreeVersion()
	}
	return publisher.Clock.Elapsed().Microseconds()
}

// updateExclusions excludes relays that do not relay and nodes that their relays do not reach: they are served directly for
// exclusionPeriod. It also ends expired exclusions. The caller holds mu.
func (publisher *Publisher) updateExclusions(now time.Time) {
	for key, until := range publisher.excludedUntil {
		if now.After(until) {
			delete(publisher.excludedUntil, key)
			publisher.topologyStale = true
		}
	}
	for key, state := range publisher.receivers {
		if relay := &state.relay; relay.unresponsive(now) || (!relay.assignedSince.IsZero() && state.failed()) {
			publisher.Logger.Warn("relay silent", "node", key.node, "life", key.incarnation, "took", relay.acknowledged, "push_failed", state.failed(), "nodes", len(relay.assignment.GetNodes()))
			publisher.Metrics.RelayLost()
			publisher.exclude(key, now)
		}
		for _, name := range state.relay.unreached {
			for _, node := range state.relay.assignment.GetNodes() {
				if node.GetName() == name {
					publisher.exclude(processOf(node), now)
				}
			}
		}
		state.relay.unreached = nil
	}
}

// exclude has a process served directly for exclusionPeriod. The caller holds mu.
func (publisher *Publisher) exclude(key process, now time.Time) {
	if _, already := publisher.excludedUntil[key]; !already {
		publisher.topologyStale = true
	}
	publisher.excludedUntil[key] = now.Add(exclusionPeriod)
}

// beaconRecipients returns the nodes to which the publisher sends the beacon itself: those that are served directly, and the groups of
// relays that have not acknowledged an assignment yet.
func (publisher *Publisher) beaconRecipients(current topology) []*clusterv1.NodeRecord {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	list := current.direct
	for _, group := range current.groups {
		if !publisher.receivers[processOf(group.relay)].relay.active() {
			list = append(list[:len(list):len(list)], group.nodes...)
		}
	}
	return list
}
