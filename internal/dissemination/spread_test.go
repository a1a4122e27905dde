package dissemination_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Guards against nodes that receive a configuration late or return to an older one, whatever happens to the publisher.
func TestChangesReachEveryNodeInTime(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		nodes := rapid.IntRange(3, 12).Draw(drawn, "nodes")
		steps := drawSteps(drawn, nodes)
		if failure := runFleet(t, func(fleet *fleet) { fleet.play(nodes, steps) }); failure != "" {
			drawn.Fatal(failure)
		}
	})
}

// Guards against nodes that watch or list the store although there is a publisher: only their registrations may cost calls.
func TestFleetAsksTheStoreOncePerStart(t *testing.T) {
	calls := func(nodes int) (idle, restarts int) {
		failure := runFleet(t, func(fleet *fleet) {
			fleet.startPublisher()
			fleet.configure()
			_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "servers/1"}}})
			fleet.startAll(nodes)
			time.Sleep(5 * time.Second)
			before := fleet.store.Calls()
			time.Sleep(10 * time.Second)
			idle = fleet.store.Calls() - before
			for index := range nodes {
				fleet.nodeAt(address(index)).stop()
				fleet.start(index, false)
				time.Sleep(50 * time.Millisecond)
			}
			restarts = fleet.store.Calls() - before - idle
			fleet.check(nodes, time.Now().Add(-time.Minute))
		})
		if failure != "" {
			t.Fatal(failure)
		}
		return idle, restarts
	}
	idle, restarts := calls(40)
	idleFew, restartsFew := calls(10)
	if idle > idleFew+callsOfPhase {
		t.Fatalf("%d calls while idle with 40 nodes, %d with 10", idle, idleFew)
	}
	// A restart conflicts with the previous process's record, registers again, and ends the publisher's watch at most twice.
	if grown := restarts - restartsFew; grown > 30*4 {
		t.Fatalf("30 more restarts made %d more calls", grown)
	}
}

// Replays histories that failed before.
func TestFailedFleetHistories(t *testing.T) {
	cases := []struct {
		cause string
		nodes int
		steps []step
	}{
		{"the reader of a zone sent one beacon before it detected that the store refused it, and its neighbours waited for further beacons", 7,
			[]step{{1, 0, true, true, 1}, {7, 1, false, true, 12}, {8, 5, false, true, 39}, {8, 5, true, false, 27}, {2, 6, false, false, 23},
				{4, 4, false, false, 15}, {5, 1, false, true, 2}, {2, 1, true, true, 23}}},
		{"an isolated node detected late that the store answers again", 10,
			[]step{{7, 0, true, false, 39}, {10, 8, true, false, 15}, {2, 6, true, true, 24}}},
	}
	for _, c := range cases {
		for range 20 {
			if failure := runFleet(t, func(fleet *fleet) { fleet.play(c.nodes, c.steps) }); failure != "" {
				t.Fatalf("%s: %s", c.cause, failure)
			}
		}
	}
}

// Guards against nodes that read the store because a superseded publisher, which was cut off from the store, announces a newer revision for
// a moment.
func TestFormerPublisherLeavesNobodyBehind(t *testing.T) {
	failure := runFleet(t, func(fleet *fleet) {
		former := fleet.startPublisher()
		fleet.configure()
		_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "servers/1"}}})
		fleet.startAll(12)
		time.Sleep(3 * time.Second)
		former.setFaults(true, true)
		fleet.mu.Lock()
		fleet.nodes[address(publisherIndex+1)] = former // the successor is started at the former address
		fleet.mu.Unlock()
		fleet.startPublisher()
		fleet.configure()
		time.Sleep(4 * time.Second)
		fleet.store.Compact()
		_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "unrelated"}}})
		former.setFaults(false, false)
		time.Sleep(150 * time.Millisecond)
		former.stop()
		time.Sleep(3 * time.Second)
		for index := range 12 {
			if subscriber := fleet.nodeAt(address(index)).subscriber; subscriber.NeedsProbe(time.Now()) {
				fleet.fail("front %d reads the store", index)
			}
		}
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// callsOfPhase allows for the publisher's watches and probes in ten seconds that start at another moment.
const callsOfPhase = 5
