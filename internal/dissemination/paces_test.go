package dissemination_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Nodes start again one after the other, so that the registry changes all the time, and nothing else does. It is pushed once a second, and a node is given
// that second, and the time of a push, before it reads the store. Relays kept the pace too, each by its own clock: behind two of them an entry came up to
// three seconds after it was told of, and nodes read the store that the next push would have served ("reading the store" with the reason "behind on
// cluster/nodes/"; 90 to 180 fronts at a time on a day of the whole fleet). The figures, of 300 nodes in modelled time: 1,068 to 2,045 calls to the store
// with 4, 8 or 16 nodes served by each, where 651 are made by the registrations and the publisher.
func TestPaceDoesNotAddUpAlongTheTree(t *testing.T) {
	const nodes = 300
	for _, fanOut := range []int{4, 8, 16} {
		t.Run(fmt.Sprint("fan-out ", fanOut), func(t *testing.T) {
			failure := runFleet(t, func(fleet *fleet) {
				fleet.fanOut = fanOut
				fleet.startPublisher()
				fleet.configure()
				fleet.register(1)
				fleet.startAll(nodes)
				time.Sleep(8 * time.Second)
				before := fleet.asked()
				fleet.roll(nodes, 8*time.Second)
				time.Sleep(4 * time.Second)
				asked := fleet.asked() - before
				t.Logf("%d calls", asked)
				if most := int64(nodes*callsOfRestart + callsOfPublisher); asked > most {
					fleet.fail("%d calls, %d are allowed", asked, most)
				}
			})
			must.Eq(t, "", failure)
		})
	}
}

// callsOfPublisher are its watches of the registry, at the pace of registryPace in twelve seconds and once more, and of the two other topics, which end after
// metadata.ShortWait without a change.
const callsOfPublisher = 12*4 + 1 + 2*8

// roll has all nodes start again one after the other, within a time.
func (fleet *fleet) roll(nodes int, within time.Duration) {
	for index := range nodes {
		fleet.at(address(index)).stop()
		fleet.start(index, false)
		time.Sleep(within / time.Duration(nodes))
	}
}
