package dissemination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// faultScenario is a combination of faults in a large fleet.
type faultScenario struct {
	name string
	// play runs the faults and returns the publisher that is active afterwards.
	play func(fleet *fleet, publisher *node, nodes int) *node
	// replicas are registered from the start.
	replicas int
	// calls bounds the store calls per node of the fleet, and readers the calls in addition, independent of the fleet's size.
	calls   float64
	readers int64
}

const (
	// callsPerRestart counts a registration that conflicts with the previous process's record, and the one that replaces the record.
	callsPerRestart = 2
	// callsPerRefusal is the call by which a node detects that the store does not answer.
	callsPerRefusal = 1
	// callsPerStoreRead counts the calls of a node that reads the store from its start until the reader of its zone is heard: the
	// configuration and four pages of the registry. The replicas come from a neighbour.
	callsPerStoreRead = 1 + 4
	// callsPerIsolatedNode counts the calls of a node that is isolated for some seven seconds, at four calls in 1.5 s.
	callsPerIsolatedNode = 27
	// callsOfZoneReaders counts the calls of three nodes in each of three zones that read the store for ten seconds, at four calls in 1.5
	// s, and the publisher's watches.
	callsOfZoneReaders = 3*3*27 + 60
)

var faultScenarios = []faultScenario{
	{name: "a third refused by the store while the publisher is killed", readers: callsOfZoneReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		fleet.setStoreRefused(nodes, 3, true)
		publisher.stop()
		time.Sleep(3 * time.Second)
		publisher = fleet.startPublisher()
		time.Sleep(3 * time.Second)
		fleet.setStoreRefused(nodes, 3, false)
		return publisher
	}},
	{name: "half of the processes killed at once", calls: 0.5 * callsPerRestart, readers: callsOfZoneReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		fleet.restartEach(nodes, 2, 500*time.Millisecond)
		return publisher
	}},
	{name: "half killed, the publisher with them", replicas: 10 * itemsPerPage, calls: 0.5 * (callsPerRestart + callsPerStoreRead), readers: callsOfZoneReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		publisher.stop()
		fleet.restartEach(nodes, 2, 500*time.Millisecond)
		time.Sleep(2500 * time.Millisecond)
		return fleet.startPublisher()
	}},
	{name: "half killed in an outage of the store", calls: 0.5 * (callsPerRestart + callsPerRefusal), readers: callsOfZoneReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		fleet.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Second)
		fleet.restartEach(nodes, 2, 500*time.Millisecond)
		time.Sleep(4 * time.Second)
		fleet.store.SetFaults(memstore.Faults{})
		return publisher
	}},
	{name: "rolling restart while configurations change", calls: callsPerRestart, readers: callsOfZoneReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		for index := range nodes {
			fleet.nodeAt(address(index)).stop()
			fleet.start(index, false)
			time.Sleep(8 * time.Second / time.Duration(nodes))
			if index%(nodes/15) == 0 {
				fleet.configure()
			}
		}
		return publisher
	}},
	{name: "a sixth isolated while configurations change and the store is compacted", calls: callsPerIsolatedNode / 6.0, readers: callsOfZoneReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		for index := range nodes {
			fleet.nodeAt(address(index)).setFaults(index%6 == 0, false)
		}
		for range 12 {
			fleet.configure()
			time.Sleep(500 * time.Millisecond)
		}
		fleet.store.Compact()
		for index := range nodes {
			fleet.nodeAt(address(index)).setFaults(false, false)
		}
		return publisher
	}},
}

func (fleet *fleet) registerReplicas(replicas int) {
	for index := range max(1, replicas) {
		_, _ = fleet.store.CommitIgnoringFaults(registration(fmt.Sprint("servers/", index)))
	}
}

// registration is the transaction by which a replica registers.
func registration(key string) metadata.Txn {
	return metadata.Txn{Puts: []metadata.Put{{Key: key, Value: make([]byte, 100)}}}
}

// setStoreRefused sets whether the store refuses every each-th node, and ends all other faults.
func (fleet *fleet) setStoreRefused(nodes, each int, refused bool) {
	for index := range nodes {
		fleet.nodeAt(address(index)).setFaults(false, refused && index%each == 0)
	}
}

// restartEach kills every each-th node and starts all of them again after a delay.
func (fleet *fleet) restartEach(nodes, each int, after time.Duration) {
	for index := 0; index < nodes; index += each {
		fleet.nodeAt(address(index)).stop()
	}
	time.Sleep(after)
	for index := 0; index < nodes; index += each {
		fleet.start(index, false)
	}
}

// storeCalls returns the calls of all processes to the store, without probes.
func (fleet *fleet) storeCalls() int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	total := int64(0)
	for _, node := range fleet.allNodes {
		total += node.sent.storeCalls.Load()
	}
	return total
}

// playFault returns the store calls of all nodes from the fault until they have settled, and how long that takes.
func playFault(t *testing.T, fault faultScenario, nodes int) (calls int64, settled time.Duration) {
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut = 0
		publisher := fleet.startPublisher()
		fleet.configure()
		fleet.registerReplicas(fault.replicas)
		fleet.startAll(nodes)
		time.Sleep(5 * time.Second)
		before := fleet.storeCalls()
		fault.play(fleet, publisher, nodes)
		ended := time.Now()
		time.Sleep(2 * time.Second) // until all nodes are registered and the publisher has read them
		for settled = 0; settled < settleTimeout && fleet.anyUnsettled(nodes); settled = time.Since(ended) {
			time.Sleep(100 * time.Millisecond)
		}
		calls = fleet.storeCalls() - before
		if took := fleet.timeChange(nodes); took > 200*time.Millisecond {
			fleet.fail("a change takes %s after the fault", took)
		}
	})
	must.Eq(t, "", failure, must.Sprint(fault.name, ", ", nodes, " nodes"))
	return calls, settled
}

// settleTimeout is how long after a fault nodes may still read the store or miss beacons. A substitute of a reader or relay may stay in use
// for 4 s, and nodes that read the store continue for 1.5 s.
const settleTimeout = 8 * time.Second

// anyUnsettled reports whether any node reads the store or misses beacons.
func (fleet *fleet) anyUnsettled(nodes int) bool {
	for index := range nodes {
		if fleet.nodeAt(address(index)).subscriber.NeedsProbe(time.Now()) {
			return true
		}
	}
	return false
}

// Guards against faults whose load on the store grows with the fleet, apart from the registrations of restarted nodes.
func TestHeavyFaultsCostTheStoreLittle(t *testing.T) {
	for _, fault := range faultScenarios {
		t.Run(fault.name, func(t *testing.T) {
			for _, nodes := range []int{150, 600} {
				calls, settled := playFault(t, fault, nodes)
				t.Logf("%d nodes: %d calls, settled after %s", nodes, calls, settled)
				must.Less(t, settleTimeout, settled)
				must.LessEq(t, fault.readers+int64(fault.calls*float64(nodes)), calls)
			}
		})
	}
}

// Guards against restarted processes that read the store because they receive configuration changes late while they load all replicas.
func TestStartsBesideChangesCostTheStoreLittle(t *testing.T) {
	const nodes, replicas = 600, 1000
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut, fleet.loadTime = 0, 300*time.Millisecond
		fleet.startPublisher()
		fleet.configure()
		fleet.registerReplicas(replicas)
		fleet.startAll(nodes)
		time.Sleep(8 * time.Second)
		before := fleet.storeCalls()
		fleet.restartEach(nodes, 2, 500*time.Millisecond)
		for range 16 {
			fleet.configure()
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		calls := fleet.storeCalls() - before
		t.Logf("%d calls", calls)
		if limit := int64(nodes/2*callsPerRestart + callsOfZoneReaders); calls > limit {
			fleet.fail("%d calls, %d are allowed", calls, limit)
		}
	})
	must.Eq(t, "", failure)
}
