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
	served := &relayedOrigin{}
	served.assign(assignmentOf("a", 1, "x"), now)
	first, second := &clusterv1.Beacon{SentUs: 1}, &clusterv1.Beacon{SentUs: 2}
	must.Nil(t, served.receiveBeacon(first, "stranger", now))
	must.Nil(t, served.takePendingBeacon())
	must.Eq(t, "a", served.receiveBeacon(first, "a", now).GetSender())
	must.True(t, served.takePendingBeacon() == first)
	must.Eq(t, "a", served.receiveBeacon(first, "a", now).GetSender(), must.Sprint("it is answered all the same"))
	must.Nil(t, served.takePendingBeacon())
	served.receiveBeacon(second, "a", now)
	must.True(t, served.takePendingBeacon() == second)
	served.receiveBeacon(first, "a", now)
	must.Nil(t, served.takePendingBeacon())
	served.assign(assignmentOf("a", 1, "x", "z"), now)
	must.True(t, served.takePendingBeacon() == second, must.Sprint("a node that is new to this relay hears the newest"))
}

// Guards against a late assignment of a former sender that replaces one of a newer tree, unless the current sender has been silent for
// long.
func TestAssignmentsOfTwoSenders(t *testing.T) {
	now := time.Now()
	served := &relayedOrigin{}
	served.assign(assignmentOf("b", 2, "x"), now)
	for _, row := range []struct {
		name       string
		assignment *clusterv1.Assignment
		later      time.Duration
		accepted   bool
	}{
		{name: "a former sender, late", assignment: assignmentOf("a", 1, "x")},
		{name: "one that is silent is replaced", assignment: assignmentOf("a", 1, "x"), later: assignmentExpiry + time.Millisecond, accepted: true},
		{name: "the same tree, in which its relay was found silent", assignment: assignmentOf("a", 2, "x"), accepted: true},
		{name: "a newer tree", assignment: assignmentOf("a", 3, "x"), accepted: true},
		{name: "its own sender, of which an assignment may be older than the tree", assignment: assignmentOf("b", 1, "y"), accepted: true},
		{name: "its own sender takes it back", assignment: assignmentOf("b", 3), accepted: true},
		{name: "a former sender takes back what it had assigned", assignment: assignmentOf("a", 3)},
	} {
		must.Eq(t, row.accepted, served.accepts(row.assignment, now.Add(row.later)), must.Sprint(row.name))
	}
	must.True(t, served.senderActive(now.Add(assignmentExpiry)))
	must.False(t, served.senderActive(now.Add(assignmentExpiry+time.Millisecond)))
}
