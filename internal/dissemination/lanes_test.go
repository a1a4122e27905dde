package dissemination

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

func topicsOfTwoLanes() []Topic {
	return []Topic{{Mirror: metadata.NewMirror("op/config", metadata.Handlers{})}, {Mirror: metadata.NewMirror("servers/", metadata.Handlers{}), Bulk: true}}
}

func revisionsOf(configuration, replicas int64) []*clusterv1.PrefixRevision {
	return []*clusterv1.PrefixRevision{{Prefix: "op/config", Revision: configuration}, {Prefix: "servers/", Revision: replicas}}
}

// Guards against reports that are out of date for the other lane, and against keeping the other lane's revisions when the process behind an
// address was replaced.
func TestWhatAProcessTellsInALane(t *testing.T) {
	topics := topicsOfTwoLanes()
	for _, check := range []struct {
		name          string
		known         map[string]metadata.Revision
		lane          lane
		reported      []*clusterv1.PrefixRevision
		configuration metadata.Revision
		replicas      metadata.Revision
	}{
		{"first response", nil, prompt, revisionsOf(3, 4), 3, 4},
		{"the bulk lane has brought more", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, prompt, revisionsOf(10, 5), 10, 9},
		{"the prompt lane has brought more", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, bulk, revisionsOf(7, 11), 8, 11},
		{"another process, prompt lane", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, prompt, revisionsOf(0, 0), 0, 0},
		{"another process, bulk lane", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, bulk, revisionsOf(2, 0), 2, 0},
	} {
		state := &receiver{known: check.known}
		state.recordKnown(topics, check.lane, check.reported)
		must.Eq(t, check.configuration, state.known["op/config"], must.Sprint(check.name))
		must.Eq(t, check.replicas, state.known["servers/"], must.Sprint(check.name))
	}
}

// Guards against configuration changes that wait while a process loads all replicas.
func TestLanesDoNotWaitForEachOther(t *testing.T) {
	topics := topicsOfTwoLanes()
	for _, topic := range topics {
		topic.Reset(replicaItems(3), 5)
	}
	publisher, node := &Publisher{Node: "publisher", Topics: topics}, &clusterv1.NodeRecord{Name: "node"}
	publisher.initialize()
	state := &receiver{record: node, known: map[string]metadata.Revision{"op/config": 5, "servers/": 0}}
	publisher.receivers[processOf(node)] = state
	now := time.Now()
	must.Eq(t, []pendingPush{{processOf(node), bulk}}, publisher.startDuePushes([]*clusterv1.NodeRecord{node}, now))
	state.known["op/config"] = 1
	must.Eq(t, []pendingPush{{processOf(node), prompt}}, publisher.startDuePushes([]*clusterv1.NodeRecord{node}, now))
	must.SliceEmpty(t, publisher.startDuePushes([]*clusterv1.NodeRecord{node}, now))
}

// Guards against new processes as relays while enough others are available.
func TestProcessesThatHaveJustBegunRelayNothing(t *testing.T) {
	nodes := testNodes(300)
	excluded := func(*clusterv1.NodeRecord) bool { return false }
	recent := func(node *clusterv1.NodeRecord) bool { return node.GetLife()%5 < 2 }
	for index, node := range nodes {
		node.Life = int64(index)
	}
	for _, group := range buildTopology(nodes, 32, excluded, recent).groups {
		must.False(t, recent(group.relay))
	}
	allRecent := buildTopology(nodes, 32, excluded, func(*clusterv1.NodeRecord) bool { return true })
	must.Positive(t, len(allRecent.groups))
}

// Guards against a relay that reaches an announced revision without any change and waits for the next beacon before it pushes: the nodes
// behind it would read the store.
func TestRelayPushesWhenItReachesWhatItWasToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{}), Bulk: true}
		topic.Reset(nil, 2)
		publisher := &Publisher{Node: "relay", Topics: []Topic{topic}}
		publisher.initialize()
		publisher.announced = map[string]metadata.Revision{"servers/": 7}
		publisher.watchTopics(t.Context())
		synctest.Wait()
		<-publisher.wake // for the initial revision
		topic.ApplyDelta(&metadata.Delta{Prefix: "servers/", Base: 2, Revision: 7})
		synctest.Wait()
		must.Eq(t, 1, len(publisher.wake))
		<-publisher.wake
		topic.ApplyDelta(&metadata.Delta{Prefix: "servers/", Base: 7, Revision: 9})
		synctest.Wait()
		must.Eq(t, 0, len(publisher.wake), must.Sprint("no higher revision was announced"))
	})
}
