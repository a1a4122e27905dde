package dissemination

import (
	"slices"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// process is one life of a node.
type process struct {
	node string
	life int64
}

func processOf(record *clusterv1.NodeRecord) process {
	return process{record.GetName(), record.GetLife()}
}

// receiver is what the publisher knows of a process that it serves itself.
type receiver struct {
	record *clusterv1.NodeRecord
	// known is the revision that the process has of the prefix of each topic that it follows, as it told; nil before it has.
	known map[string]metadata.Revision
	// unread says that the process could not read an update in the form that it has registered: it is sent plain ones from then on.
	unread bool
	// lanes are the pushes to the process.
	lanes [lanes]laneState
	relay relayState
}

// laneState is what the publisher knows of the pushes to a process in one lane.
type laneState struct {
	pushing bool
	// pushed is when the last push began, failed whether the last that ended did.
	pushed time.Time
	failed bool
}

// failed reports whether the process was not brought up to date by the last push of a lane.
func (state *receiver) failed() bool {
	return slices.ContainsFunc(state.lanes[:], func(lane laneState) bool { return lane.failed })
}

// learn takes what the process tells after a push in a lane. Pushes of a lane follow each other, so that it is the newest word on the lane's own
// topics; on the others a push beside it may have brought more since. A process that has less than it had is another one at the same address, and
// has lost the others as well.
func (state *receiver) learn(topics []Topic, lane lane, told []*clusterv1.PrefixRevision) {
	revisions := make(map[string]metadata.Revision, len(told))
	for _, known := range told {
		revisions[known.GetPrefix()] = metadata.Revision(known.GetRevision())
	}
	if state.known == nil || state.isAnother(topics, lane, revisions) {
		state.known = revisions
		return
	}
	for _, topic := range topics {
		if revision, follows := revisions[topic.Prefix()]; follows && topic.lane() == lane {
			state.known[topic.Prefix()] = revision
		}
	}
}

// isAnother reports whether less is known of a lane's topics than before.
func (state *receiver) isAnother(topics []Topic, lane lane, told map[string]metadata.Revision) bool {
	return slices.ContainsFunc(topics, func(topic Topic) bool {
		return topic.lane() == lane && told[topic.Prefix()] < state.known[topic.Prefix()]
	})
}

// lacks reports whether the process follows a topic and has not reached a revision of it. One of a build that does not have the topic never does.
func (state *receiver) lacks(topic Topic, wanted metadata.Revision) bool {
	known, follows := state.known[topic.Prefix()]
	return follows && known < wanted
}

// form returns the form in which the process is sent updates.
func (state *receiver) form() form {
	if state.unread {
		return plain
	}
	return formFor(state.record)
}

// relayState is what the publisher knows of a process as a relay.
type relayState struct {
	// wanted is what the process is to relay to, sent the number of the assignment that it has taken; zero for none.
	wanted *clusterv1.Assignment
	sent   int64
	// since is when it was first to relay anything; zero for a process that has nothing to.
	since time.Time
	// reported is when it last answered a beacon, and taken the newest assignment that it has told of.
	reported  time.Time
	taken     int64
	unreached []string
}

const (
	// relayBegins is how long a process may take to begin to relay: two calls of a push, each within its limit, bring it up to date first.
	relayBegins = 1200 * time.Millisecond
	// relaySilence is how long a relay may leave beacons without an answer: it is found at the third beacon, when two in a row were lost or not
	// answered. The nodes that it serves have another relay 1.2 s after the last beacon then, and read the store 1.5 s after it at the earliest,
	// but for the first reader of the zone. A link that loses one datagram changes nothing.
	relaySilence = time.Second
	// aloneFor is how long a process that was found not to relay, or not to be reached by its relay, is served directly and relays nothing: ten
	// beacons, so that one that is cut off moves its nodes once in that time and not at each beacon.
	aloneFor = 4 * time.Second
)

// assign sets the nodes that the process is to relay to, and reports whether these are others than before.
func (state *relayState) assign(nodes []*clusterv1.NodeRecord, now time.Time) (changed bool) {
	if sameNodes(state.wanted.GetNodes(), nodes) {
		return false
	}
	if state.since.IsZero() {
		state.since = now
	}
	if len(nodes) == 0 {
		state.since, state.reported, state.taken = time.Time{}, time.Time{}, 0
	}
	state.wanted = &clusterv1.Assignment{Number: state.wanted.GetNumber() + 1, Nodes: nodes}
	return true
}

func sameNodes(a, b []*clusterv1.NodeRecord) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[process]bool, len(a))
	for _, node := range a {
		known[processOf(node)] = true
	}
	for _, node := range b {
		if !known[processOf(node)] {
			return false
		}
	}
	return true
}

// relays reports whether the process has told that it relays to somebody.
func (state *relayState) relays() bool { return state.taken > 0 }

// silent reports whether the process relays nothing although it is to.
func (state *relayState) silent(now time.Time) bool {
	switch {
	case state.since.IsZero():
		return false
	case !state.relays():
		return now.Sub(state.since) > relayBegins
	}
	return now.Sub(state.reported) > relaySilence
}

// unsent reports whether the process has to be told what it is to relay to.
func (state *relayState) unsent() bool {
	return state.wanted != nil && state.sent != state.wanted.GetNumber()
}
