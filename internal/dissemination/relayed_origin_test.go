package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

func assignmentOf(sender string, tree int64, names ...string) *clusterv1.Assignment {
	assignment := &clusterv1.Assignment{Sender: sender, TreeUs: tree}
	for _, name := range names {
		assignment.Nodes = append(assignment.Nodes, &clusterv1.NodeRecord{Name: name})
	}
	return assignment
}

// Guards against forwarding a beacon twice: two relays that are each other's sender would do so without end.
func TestBeaconsArePassedOnOnce(t *testing.T) {
	now := time.Now()
	relayed := &relayedOrigin{}
	relayed.assign(assignmentOf("a", 1, "x"), now)
	first, second := &clusterv1.Beacon{SentUs: 1}, &clusterv1.Beacon{SentUs: 2}
	must.Nil(t, relayed.receiveBeacon(first, "stranger", now))
	must.Nil(t, relayed.takePendingBeacon())
	must.Eq(t, "a", relayed.receiveBeacon(first, "a", now).GetSender())
	must.True(t, relayed.takePendingBeacon() == first)
	must.Eq(t, "a", relayed.receiveBeacon(first, "a", now).GetSender(), must.Sprint("answered nevertheless"))
	must.Nil(t, relayed.takePendingBeacon())
	relayed.receiveBeacon(second, "a", now)
	must.True(t, relayed.takePendingBeacon() == second)
	relayed.receiveBeacon(first, "a", now)
	must.Nil(t, relayed.takePendingBeacon())
	relayed.assign(assignmentOf("a", 1, "x", "z"), now)
	must.True(t, relayed.takePendingBeacon() == second, must.Sprint("a newly assigned node receives the newest beacon"))
}

// Guards against a late assignment of a former sender that replaces one of a newer tree, unless the current sender has been silent for
// long.
func TestAssignmentsOfTwoSenders(t *testing.T) {
	now := time.Now()
	relayed := &relayedOrigin{}
	relayed.assign(assignmentOf("b", 2, "x"), now)
	for _, row := range []struct {
		name       string
		assignment *clusterv1.Assignment
		later      time.Duration
		accepted   bool
	}{
		{name: "a former sender, late", assignment: assignmentOf("a", 1, "x")},
		{name: "a former sender, while the current one is silent", assignment: assignmentOf("a", 1, "x"), later: assignmentExpiry + time.Millisecond, accepted: true},
		{name: "another sender with the same tree", assignment: assignmentOf("a", 2, "x"), accepted: true},
		{name: "a newer tree", assignment: assignmentOf("a", 3, "x"), accepted: true},
		{name: "the current sender with an older tree", assignment: assignmentOf("b", 1, "y"), accepted: true},
		{name: "the current sender withdraws the assignment", assignment: assignmentOf("b", 3), accepted: true},
		{name: "a former sender withdraws its assignment", assignment: assignmentOf("a", 3)},
	} {
		must.Eq(t, row.accepted, relayed.accepts(row.assignment, now.Add(row.later)), must.Sprint(row.name))
	}
	must.True(t, relayed.senderActive(now.Add(assignmentExpiry)))
	must.False(t, relayed.senderActive(now.Add(assignmentExpiry+time.Millisecond)))
}
