package dissemination

import (
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
)

// arrange decides who serves whom, tells relays what they are to relay to, and forgets processes that it does not serve any more. It does so
// when nodes or relays have changed only: each change of a replica begins a round.
func (publisher *Publisher) arrange(nodes []*clusterv1.NodeRecord, now time.Time) arrangement {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.findAlone(now)
	if publisher.outdated || !sameList(publisher.arrangedFor, nodes) {
		publisher.rearrange(nodes, now)
	}
	return publisher.arranged
}

// sameList reports whether two lists are one and the same: those who return nodes make a new list when they change.
func sameList(a, b []*clusterv1.NodeRecord) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rearrange must be called with mu held.
func (publisher *Publisher) rearrange(nodes []*clusterv1.NodeRecord, now time.Time) {
	publisher.noteBegun(nodes, now)
	arranged := arrange(nodes, publisher.FanOut, publisher.isAlone, func(node *clusterv1.NodeRecord) bool {
		return now.Sub(publisher.begun[processOf(node)]) < justBegun
	})
	receivers := make(map[process]*receiver, len(arranged.direct))
	for _, node := range arranged.direct {
		key := processOf(node)
		state := publisher.receiver[key]
		if state == nil {
			state = &receiver{record: node}
		}
		receivers[key] = state
	}
	publisher.receiver = receivers
	publisher.assign(arranged.groups, now)
	publisher.arranged, publisher.arrangedFor, publisher.outdated = arranged, nodes, false
}

// justBegun is how long a process that has just begun relays nothing, where others can: it has to take all replicas first, and has nothing to pass on to the
// nodes behind it until then.
const justBegun = 3 * time.Second

// noteBegun must be called with mu held.
func (publisher *Publisher) noteBegun(nodes []*clusterv1.NodeRecord, now time.Time) {
	begun := make(map[process]time.Time, len(nodes))
	for _, node := range nodes {
		key := processOf(node)
		if at, known := publisher.begun[key]; known {
			begun[key] = at
			continue
		}
		begun[key] = now
	}
	publisher.begun = begun
}

// isAlone reports whether a node is served directly and relays nothing: one that was found not to, or of a build that knows no relays. Such a build
// also takes the sender of a beacon for the publisher, which it tells of its jobs. It must be called with mu held.
func (publisher *Publisher) isAlone(node *clusterv1.NodeRecord) bool {
	_, alone := publisher.alone[processOf(node)]
	return alone || !capability.Has(node, clusterv1.Capability_CAPABILITY_RELAYS)
}

// assign has the relays be told of their nodes. It must be called with mu held.
func (publisher *Publisher) assign(groups []group, now time.Time) {
	served := make(map[process][]*clusterv1.NodeRecord, len(groups))
	for _, group := range groups {
		served[processOf(group.relay)] = group.nodes
	}
	tree := publisher.tree()
	for key, state := range publisher.receiver {
		if !state.relay.assign(served[key], now) {
			continue
		}
		state.relay.wanted.Sender, state.relay.wanted.TreeUs = publisher.Address, tree
		state.relay.wanted.Origin = &clusterv1.Origin{Name: publisher.Node, Life: publisher.Life}
		publisher.Logger.Info("relay assigned", "node", key.node, "life", key.life, "assignment", state.relay.wanted.GetNumber(), "nodes", len(served[key]))
	}
}

// tree returns the version of the tree by which assignments are ordered. In each tree a node has one sender; a change that gives it another has
// both senders assigned anew, so that an assignment of the former one has an older version than that of the new one.
func (publisher *Publisher) tree() int64 {
	if publisher.Tree != nil {
		return publisher.Tree()
	}
	return publisher.Clock.Elapsed().Microseconds()
}

// findAlone notes relays that do not relay, and nodes that their relays do not reach: these are served directly for a while. It must be called
// with mu held.
func (publisher *Publisher) findAlone(now time.Time) {
	for key, until := range publisher.alone {
		if now.After(until) {
			delete(publisher.alone, key)
			publisher.outdated = true
		}
	}
	for key, state := range publisher.receiver {
		if relay := &state.relay; relay.silent(now) || (!relay.since.IsZero() && state.failed()) {
			publisher.Logger.Warn("relay silent", "node", key.node, "life", key.life, "took", relay.taken, "push_failed", state.failed(), "nodes", len(relay.wanted.GetNodes()))
			publisher.Metrics.RelayLost()
			publisher.setAlone(key, now)
		}
		for _, name := range state.relay.unreached {
			for _, node := range state.relay.wanted.GetNodes() {
				if node.GetName() == name {
					publisher.setAlone(processOf(node), now)
				}
			}
		}
		state.relay.unreached = nil
	}
}

// setAlone must be called with mu held.
func (publisher *Publisher) setAlone(key process, now time.Time) {
	if _, already := publisher.alone[key]; !already {
		publisher.outdated = true
	}
	publisher.alone[key] = now.Add(aloneFor)
}

// listeners returns the nodes that the beacon goes to: those that are served directly, and those whose relay has not told yet that it relays.
func (publisher *Publisher) listeners(arranged arrangement) []*clusterv1.NodeRecord {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	list := arranged.direct
	for _, group := range arranged.groups {
		if !publisher.receiver[processOf(group.relay)].relay.relays() {
			list = append(list[:len(list):len(list)], group.nodes...)
		}
	}
	return list
}
