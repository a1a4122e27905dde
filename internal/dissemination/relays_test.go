package dissemination_test

import (
	"slices"
	"testing"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// stackedRelays returns a relay of the publisher and a relay below it.
func (fleet *fleet) stackedRelays(nodes int) (upper, lower *node) {
	for index := range nodes {
		below := fleet.nodeAt(address(index)).lastAssigned()
		if below == nil || below.GetSender() == address(publisherIndex) {
			continue
		}
		above := fleet.nodeAt(below.GetSender())
		if assigned := above.lastAssigned(); assigned != nil && assigned.GetSender() == address(publisherIndex) {
			return above, fleet.nodeAt(address(index))
		}
	}
	return nil, nil
}

// withoutFirst returns nodes without the first of others.
func withoutFirst(nodes, others []*clusterv1.NodeRecord) []*clusterv1.NodeRecord {
	return slices.DeleteFunc(slices.Clone(nodes), func(node *clusterv1.NodeRecord) bool { return node.GetName() == others[0].GetName() })
}

// Guards against a relay that serves its former and its new sender at the same time: lower relays would receive conflicting assignments,
// and nodes would be left unserved.
func TestRelayOfTwoSenders(t *testing.T) {
	for _, treeChange := range []int64{-1, 0, 1} { // the new sender has an older, the same or a newer tree
		testTwoSenders(t, treeChange)
	}
}

func testTwoSenders(t *testing.T, treeChange int64) {
	const nodes = 40
	failure := runFleet(t, func(fleet *fleet) {
		fleet.startPublisher()
		fleet.configure()
		_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "servers/1"}}})
		fleet.startAll(nodes)
		time.Sleep(8 * time.Second)
		upper, lower := fleet.stackedRelays(nodes)
		if upper == nil {
			fleet.fail("no relay below another one")
			return
		}
		assigned := upper.lastAssigned()
		upper.relays.Assign(&clusterv1.Assignment{
			Number: 1, Sender: address(publisherIndex + 5), Origin: assigned.GetOrigin(), TreeUs: assigned.GetTreeUs() + treeChange, Nodes: withoutFirst(assigned.GetNodes(), lower.lastAssigned().GetNodes()),
		})
		time.Sleep(8 * time.Second)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for index := range nodes {
				if fleet.nodeAt(address(index)).subscriber.NeedsProbe(time.Now()) {
					fleet.fail("node %d receives no beacon after an assignment with a tree version changed by %+d", index, treeChange)
				}
			}
		}
	})
	if failure != "" {
		t.Fatal(failure)
	}
}
