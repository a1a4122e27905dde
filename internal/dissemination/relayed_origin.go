package dissemination

import (
	"context"
	"sync"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// originOf returns the process that an origin names.
func originOf(origin *clusterv1.Origin) process { return process{origin.GetName(), origin.GetLife()} }

// beaconOrigin returns the process that issued a beacon, whichever relay forwarded it.
func beaconOrigin(beacon *clusterv1.Beacon) process {
	return process{beacon.GetName(), beacon.GetLife()}
}

// relayedOrigin is what this node relays for one origin. It has one sender at a time, although a node can briefly be a relay of both its
// former and its new sender while the topology changes. With a publisher for each sender, both publishers would assign nodes to the same
// lower relays, replace each other's assignments and leave nodes unserved.
type relayedOrigin struct {
	publisher *Publisher
	stop      context.CancelFunc

	mu         sync.Mutex
	assignment *clusterv1.Assignment
	// lastContact is when the sender last sent a beacon or an assignment.
	lastContact time.Time
	// beacon is the newest beacon; beaconPending is true until it has been forwarded.
	beacon        *clusterv1.Beacon
	beaconPending bool
}

// accepts reports whether an assignment replaces the current one. It rejects an empty assignment of another sender, and an assignment of
// another sender with an older tree while the current sender is active.
func (relayed *relayedOrigin) accepts(assignment *clusterv1.Assignment, now time.Time) bool {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	if assignment.GetSender() == relayed.assignment.GetSender() {
		return true
	}
	older := assignment.GetTreeUs() < relayed.assignment.GetTreeUs() && now.Sub(relayed.lastContact) <= assignmentExpiry
	return len(assignment.GetNodes()) > 0 && !older
}

// assign stores an assignment that has nodes.
func (relayed *relayedOrigin) assign(assignment *clusterv1.Assignment, now time.Time) {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	relayed.assignment, relayed.lastContact = assignment, now
	relayed.beaconPending = relayed.beacon != nil
}

// receiveBeacon records a beacon and returns the current assignment; nil if it is not from the sender of the beacon. Only a beacon that is
// newer than all before is forwarded: while the topology changes, two relays can be each other's sender, and would forward a beacon to each
// other without end.
func (relayed *relayedOrigin) receiveBeacon(beacon *clusterv1.Beacon, sender string, now time.Time) *clusterv1.Assignment {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	if relayed.assignment.GetSender() != sender {
		return nil
	}
	relayed.lastContact = now
	if beacon.GetSentUs() > relayed.beacon.GetSentUs() {
		relayed.beacon, relayed.beaconPending = beacon, true
	}
	return relayed.assignment
}

// senderActive reports whether a beacon or an assignment of the sender has arrived within assignmentExpiry.
func (relayed *relayedOrigin) senderActive(now time.Time) bool {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	return now.Sub(relayed.lastContact) <= assignmentExpiry
}

func (relayed *relayedOrigin) currentAssignment() *clusterv1.Assignment {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	return relayed.assignment
}

func (relayed *relayedOrigin) nodes() []*clusterv1.NodeRecord {
	return relayed.currentAssignment().GetNodes()
}

func (relayed *relayedOrigin) treeVersion() int64 { return relayed.currentAssignment().GetTreeUs() }

// takePendingBeacon returns the beacon to forward; nil for none.
func (relayed *relayedOrigin) takePendingBeacon() *clusterv1.Beacon {
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	if !relayed.beaconPending {
		return nil
	}
	relayed.beaconPending = false
	return relayed.beacon
}
