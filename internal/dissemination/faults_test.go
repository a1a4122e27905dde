package dissemination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// heavyFault is a fault, or two at a time, of a large fleet.
type heavyFault struct {
	name string
	// play begins and ends it, and returns the publisher from then on.
	play func(fleet *fleet, publisher *node, nodes int) *node
	// replicas are registered from the start.
	replicas int
	// calls is how many calls it may cost for each node of the fleet, and readers how many beyond those for a fleet of any size.
	calls   float64
	readers int64
}

const (
	// callsOfRestart are a registration that finds the record of the process before, and the one that replaces it.
	callsOfRestart = 2
	// callRefused is the one by which a node finds out that the store is lost.
	callRefused = 1
	// callsOfReading is what a node asks that reads the store from its start until the reader of its zone is heard: the configuration and four pages
	// of the registry. The replicas, ten pages here, come from a neighbour: with these 600 nodes asked 2,845 times, more than this allows.
	callsOfReading = 1 + 4
	// callsOfCut is what a node asks that is cut off from all others for some seven seconds: four calls in 1.5 s.
	callsOfCut = 27
	// callsOfReaders is what three nodes of each of three zones that read the store for ten seconds ask, four calls in 1.5 s each, beside the
	// publisher: three watches in 1.5 s.
	callsOfReaders = 3*3*27 + 60
)

var heavyFaults = []heavyFault{
	{name: "a third refused as the publisher is killed", readers: callsOfReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		fleet.refuse(nodes, 3, true)
		publisher.stop()
		time.Sleep(3 * time.Second)
		publisher = fleet.startPublisher()
		time.Sleep(3 * time.Second)
		fleet.refuse(nodes, 3, false)
		return publisher
	}},
	{name: "half of the processes killed at once", calls: 0.5 * callsOfRestart, readers: callsOfReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		fleet.restart(nodes, 2, 500*time.Millisecond)
		return publisher
	}},
	{name: "half killed, the publisher with them", replicas: 10 * itemsOfPage, calls: 0.5 * (callsOfRestart + callsOfReading), readers: callsOfReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		publisher.stop()
		fleet.restart(nodes, 2, 500*time.Millisecond)
		time.Sleep(2500 * time.Millisecond)
		return fleet.startPublisher()
	}},
	{name: "half killed in an outage of the store", calls: 0.5 * (callsOfRestart + callRefused), readers: callsOfReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		fleet.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Second)
		fleet.restart(nodes, 2, 500*time.Millisecond)
		time.Sleep(4 * time.Second)
		fleet.store.SetFaults(memstore.Faults{})
		return publisher
	}},
	{name: "all rolled while configurations change", calls: callsOfRestart, readers: callsOfReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		for index := range nodes {
			fleet.at(address(index)).stop()
			fleet.start(index, false)
			time.Sleep(8 * time.Second / time.Duration(nodes))
			if index%(nodes/15) == 0 {
				fleet.configure()
			}
		}
		return publisher
	}},
	{name: "a sixth deaf while configurations change and the history is forgotten", calls: callsOfCut / 6.0, readers: callsOfReaders, play: func(fleet *fleet, publisher *node, nodes int) *node {
		for index := range nodes {
			fleet.at(address(index)).set(index%6 == 0, false)
		}
		for range 12 {
			fleet.configure()
			time.Sleep(500 * time.Millisecond)
		}
		fleet.store.Compact()
		for index := range nodes {
			fleet.at(address(index)).set(false, false)
		}
		return publisher
	}},
}

// register registers replicas.
func (fleet *fleet) register(replicas int) {
	for index := range max(1, replicas) {
		_, _ = fleet.store.CommitDirectly(registration(fmt.Sprint("servers/", index)))
	}
}

// registration is what a replica writes.
func registration(key string) metadata.Txn {
	return metadata.Txn{Puts: []metadata.Put{{Key: key, Value: make([]byte, 100)}}}
}

// refuse has the store refuse each so many-th node, or answer all again.
func (fleet *fleet) refuse(nodes, each int, refused bool) {
	for index := range nodes {
		fleet.at(address(index)).set(false, refused && index%each == 0)
	}
}

// restart kills each so many-th node, and starts all of these again a while later.
func (fleet *fleet) restart(nodes, each int, after time.Duration) {
	for index := 0; index < nodes; index += each {
		fleet.at(address(index)).stop()
	}
	time.Sleep(after)
	for index := 0; index < nodes; index += each {
		fleet.start(index, false)
	}
}

// asked returns the calls to the store but for probes, of all nodes that there are.
func (fleet *fleet) asked() int64 {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	total := int64(0)
	for _, node := range fleet.everyNode {
		total += node.sent.asked.Load()
	}
	return total
}

// playHeavyFault returns what all nodes asked of the store from the fault on until they have been calm for a while.
func playHeavyFault(t *testing.T, fault heavyFault, nodes int) (asked int64, settled time.Duration) {
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut = 0
		publisher := fleet.startPublisher()
		fleet.configure()
		fleet.register(fault.replicas)
		fleet.startAll(nodes)
		time.Sleep(5 * time.Second)
		before := fleet.asked()
		fault.play(fleet, publisher, nodes)
		begun := time.Now()
		time.Sleep(2 * time.Second) // all are registered, and the publisher knows
		for settled = 0; settled < settleLimit && fleet.anyDoubts(nodes); settled = time.Since(begun) {
			time.Sleep(100 * time.Millisecond)
		}
		asked = fleet.asked() - before
		if took := fleet.spread(nodes); took > 200*time.Millisecond {
			fleet.fail("a change takes %s once the fault is over", took)
		}
	})
	must.Eq(t, "", failure, must.Sprint(fault.name, ", ", nodes, " nodes"))
	return asked, settled
}

// settleLimit is how long after a fault nodes may still read the store or miss beacons: the stand-in of a reader, or of a relay that was found
// silent, is relied on for up to 4 s, and those who read go on for 1.5 s.
const settleLimit = 8 * time.Second

// anyDoubts reports whether a node reads the store or misses beacons.
func (fleet *fleet) anyDoubts(nodes int) bool {
	for index := range nodes {
		if fleet.at(address(index)).subscriber.Doubts(time.Now()) {
			return true
		}
	}
	return false
}

// What faults cost the store does not grow with the fleet, but for the registrations of the nodes that they start anew.
func TestHeavyFaultsCostTheStoreLittle(t *testing.T) {
	for _, fault := range heavyFaults {
		t.Run(fault.name, func(t *testing.T) {
			for _, nodes := range []int{150, 600} {
				asked, settled := playHeavyFault(t, fault, nodes)
				t.Logf("%d nodes: %d calls, settled after %s", nodes, asked, settled)
				must.Less(t, settleLimit, settled)
				must.LessEq(t, fault.readers+int64(fault.calls*float64(nodes)), asked)
			}
		})
	}
}

// Half of the processes are killed and start again while configurations change. One that has just begun is busy for a while with all replicas,
// and is told of changes meanwhile that nobody brings it: it reads the store, which costs calls and brings nothing sooner.
func TestStartsBesideChangesCostTheStoreLittle(t *testing.T) {
	const nodes, replicas = 600, 1000
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut, fleet.takes = 0, 300*time.Millisecond
		fleet.startPublisher()
		fleet.configure()
		fleet.register(replicas)
		fleet.startAll(nodes)
		time.Sleep(8 * time.Second)
		before := fleet.asked()
		fleet.restart(nodes, 2, 500*time.Millisecond)
		for range 16 {
			fleet.configure()
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		asked := fleet.asked() - before
		t.Logf("%d calls", asked)
		if most := int64(nodes/2*callsOfRestart + callsOfReaders); asked > most {
			fleet.fail("%d calls, %d are allowed", asked, most)
		}
	})
	must.Eq(t, "", failure)
}
