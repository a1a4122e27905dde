package dissemination

import (
	"slices"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// process identifies one incarnation of a node.
type process struct {
	node        string
	incarnation int64
}

func processOf(record *clusterv1.NodeRecord) process {
	return process{record.GetName(), record.GetLife()}
}

// receiver is the publisher's state of a process that it serves directly.
type receiver struct {
	record *clusterv1.NodeRecord
	// known holds the revision of each prefix that the process follows, as it reported; nil before its first response.
	known map[string]metadata.Revision
	// plainOnly is true if the process could not read an update in the encoding that it registered. It is sent plain updates from then on.
	plainOnly bool
	// unconfirmed is true if the last response did not list the capability to decode packed updates. Another process may have started at the
	// address, so it is sent plain updates.
	unconfirmed bool
	lanes       [laneCount]laneState
	relay       relayState
}

// laneState is the state of the pushes to a process in one lane.
type laneState struct {
	inProgress bool
	// lastPush is when the last push began; failed is true if the last push that ended has failed.
	lastPush time.Time
	failed   bool
}

// failed reports whether the last push failed in any lane.
func (state *receiver) failed() bool {
	return slices.ContainsFunc(state.lanes[:], func(lane laneState) bool { return lane.failed })
}

// recordKnown stores the revisions that a process reports after a push in a lane. Pushes in a lane are sequential, so the report is current
// for the topics of the lane; for other topics, a concurrent push may have delivered more. A process that reports less than before is a new
// process at the same address, and has lost the other topics as well.
func (state *receiver) recordKnown(topics []Topic, lane lane, reported []*clusterv1.PrefixRevision) {
	revisions := make(map[string]metadata.Revision, len(reported))
	for _, known := range reported {
		revisions[known.GetPrefix()] = metadata.Revision(known.GetRevision())
	}
	if state.known == nil || state.restarted(topics, lane, revisions) {
		state.known = revisions
		return
	}
	for _, topic := range topics {
		if revision, follows := revisions[topic.Prefix()]; follows && topic.lane() == lane {
			state.known[topic.Prefix()] = revision
		}
	}
}

// restarted reports whether the reported revisions of a lane's topics are lower than before.
func (state *receiver) restarted(topics []Topic, lane lane, reported map[string]metadata.Revision) bool {
	return slices.ContainsFunc(topics, func(topic Topic) bool {
		return topic.lane() == lane && reported[topic.Prefix()] < state.known[topic.Prefix()]
	})
}

// isBehind reports whether the process follows a topic and has not reached a revision of it. A process whose build lacks the topic does not
// follow it.
func (state *receiver) isBehind(topic Topic, wanted metadata.Revision) bool {
	known, follows := state.known[topic.Prefix()]
	return follows && known < wanted
}

// encoding returns the encoding of updates that are sent to the process.
func (state *receiver) encoding() encoding {
	if state.plainOnly || state.unconfirmed {
		return plain
	}
	return encodingFor(state.record)
}

// relayState is the publisher's state of a process as a relay.
type relayState struct {
	// assignment lists the nodes that the process has to serve; sentNumber is the number of the last delivered assignment, zero for none.
	assignment *clusterv1.Assignment
	sentNumber int64
	// assignedSince is when the process was first assigned nodes; zero if it has none.
	assignedSince time.Time
	// lastReport is when the process last answered a beacon; acknowledged is the newest assignment number in its answers.
	lastReport   time.Time
	acknowledged int64
	unreached    []string
}

const (
	// relayStartTimeout is how long a process may take to start relaying. It covers the calls of the push that first brings the process up
	// to date.
	relayStartTimeout = 1200 * time.Millisecond
	// relayReportTimeout is how long a relay may leave beacons unanswered. It expires at the third beacon when two in a row were lost or
	// not answered, so that a single lost datagram has no effect. The nodes behind the relay are then assigned another one before any of
	// them reads the store, except for the first reader of a zone. They have it 1.2 s after the last beacon, and would read the
	// store 1.5 s after it at the earliest.
	relayReportTimeout = time.Second
	// exclusionPeriod is how long a process that did not relay, or that its relay did not reach, is served directly and does not relay. It
	// spans ten beacons, so that an unreachable process moves its nodes once in that time and not at each beacon.
	exclusionPeriod = 4 * time.Second
)

// assign sets the nodes that the process has to serve, and reports whether they differ from the previous ones.
func (state *relayState) assign(nodes []*clusterv1.NodeRecord, now time.Time) (changed bool) {
	if sameNodes(state.assignment.GetNodes(), nodes) {
		return false
	}
	if state.assignedSince.IsZero() {
		state.assignedSince = now
	}
	if len(nodes) == 0 {
		state.assignedSince, state.lastReport, state.acknowledged = time.Time{}, time.Time{}, 0
	}
	state.assignment = &clusterv1.Assignment{Number: state.assignment.GetNumber() + 1, Nodes: nodes}
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

// active reports whether the process has acknowledged an assignment.
func (state *relayState) active() bool { return state.acknowledged > 0 }

// unresponsive reports whether the process has nodes assigned but does not relay.
func (state *relayState) unresponsive(now time.Time) bool {
	switch {
	case state.assignedSince.IsZero():
		return false
	case !state.active():
		return now.Sub(state.assignedSince) > relayStartTimeout
	}
	return now.Sub(state.lastReport) > relayReportTimeout
}

// unsent reports whether the current assignment has not been delivered yet.
func (state *relayState) unsent() bool {
	return state.assignment != nil && state.sentNumber != state.assignment.GetNumber()
}
