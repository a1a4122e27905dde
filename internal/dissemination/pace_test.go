package dissemination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against relays that apply the minimum interval of the registry again: delays would add up along the tree, and nodes would read the
// store.
func TestPaceDoesNotAddUpAlongTheTree(t *testing.T) {
	const nodes = 300
	for _, fanOut := range []int{4, 8, 16} {
		t.Run(fmt.Sprint("fan-out ", fanOut), func(t *testing.T) {
			failure := runFleet(t, func(fleet *fleet) {
				fleet.fanOut = fanOut
				fleet.startPublisher()
				fleet.configure()
				fleet.registerReplicas(1)
				fleet.startAll(nodes)
				time.Sleep(8 * time.Second)
				before := fleet.storeCalls()
				fleet.rollingRestart(nodes, 8*time.Second)
				time.Sleep(4 * time.Second)
				calls := fleet.storeCalls() - before
				t.Logf("%d calls", calls)
				if limit := int64(nodes*callsPerRestart + callsOfPublisher); calls > limit {
					fleet.fail("%d calls, %d are allowed", calls, limit)
				}
			})
			must.Eq(t, "", failure)
		})
	}
}

// callsOfPublisher counts the publisher's calls: watches of the registry at registryMinInterval in twelve seconds and one more, and watches
// of the two other topics, which end after metadata.ShortWatchTimeout without a change.
const callsOfPublisher = 12*4 + 1 + 2*8

// rollingRestart restarts all nodes one after the other within a given time.
func (fleet *fleet) rollingRestart(nodes int, within time.Duration) {
	for index := range nodes {
		fleet.nodeAt(address(index)).stop()
		fleet.start(index, false)
		time.Sleep(within / time.Duration(nodes))
	}
}
