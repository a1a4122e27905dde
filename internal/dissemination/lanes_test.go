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

func toldOf(configuration, replicas int64) []*clusterv1.PrefixRevision {
	return []*clusterv1.PrefixRevision{{Prefix: "op/config", Revision: configuration}, {Prefix: "servers/", Revision: replicas}}
}

// A push in a lane is answered with all that the process knows, while a push in the other lane may bring more: each lane is believed on its own topics. A
// process that starts again is pushed to under the name of its former life until the registry tells of it: it knows less than before, and was thought to know
// what the other lane had brought (half of 600 nodes killed in an outage of the store: 1,210 to 1,724 calls, 1,203 allowed).
func TestWhatAProcessTellsInALane(t *testing.T) {
	topics := topicsOfTwoLanes()
	for _, check := range []struct {
		name          string
		known         map[string]metadata.Revision
		lane          lane
		told          []*clusterv1.PrefixRevision
		configuration metadata.Revision
		replicas      metadata.Revision
	}{
		{"the first answer", nil, prompt, toldOf(3, 4), 3, 4},
		{"the other lane has brought more", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, prompt, toldOf(10, 5), 10, 9},
		{"the same, the other way", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, bulk, toldOf(7, 11), 8, 11},
		{"another process", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, prompt, toldOf(0, 0), 0, 0},
		{"another process, the other way", map[string]metadata.Revision{"op/config": 8, "servers/": 9}, bulk, toldOf(2, 0), 2, 0},
	} {
		state := &receiver{known: check.known}
		state.learn(topics, check.lane, check.told)
		must.Eq(t, check.configuration, state.known["op/config"], must.Sprint(check.name))
		must.Eq(t, check.replicas, state.known["servers/"], must.Sprint(check.name))
	}
}

// A process that is busy with all replicas is sent the configuration meanwhile.
func TestLanesDoNotWaitForEachOther(t *testing.T) {
	topics := topicsOfTwoLanes()
	for _, topic := range topics {
		topic.Reset(entries(3), 5)
	}
	publisher, node := &Publisher{Node: "publisher", Topics: topics}, &clusterv1.NodeRecord{Name: "node"}
	publisher.prepare()
	state := &receiver{record: node, known: map[string]metadata.Revision{"op/config": 5, "servers/": 0}}
	publisher.receiver[processOf(node)] = state
	now := time.Now()
	must.Eq(t, []pending{{processOf(node), bulk}}, publisher.due([]*clusterv1.NodeRecord{node}, now))
	state.known["op/config"] = 1
	must.Eq(t, []pending{{processOf(node), prompt}}, publisher.due([]*clusterv1.NodeRecord{node}, now))
	must.SliceEmpty(t, publisher.due([]*clusterv1.NodeRecord{node}, now))
}

// A process that has just begun relays nothing, as long as others can.
func TestProcessesThatHaveJustBegunRelayNothing(t *testing.T) {
	nodes := fleetOf(300)
	isAlone := func(*clusterv1.NodeRecord) bool { return false }
	hasBegun := func(node *clusterv1.NodeRecord) bool { return node.GetLife()%5 < 2 }
	for index, node := range nodes {
		node.Life = int64(index)
	}
	for _, group := range arrange(nodes, 32, isAlone, hasBegun).groups {
		must.False(t, hasBegun(group.relay))
	}
	allBegun := arrange(nodes, 32, isAlone, func(*clusterv1.NodeRecord) bool { return true })
	must.Positive(t, len(allBegun.groups))
}

// A relay that is told of a revision before it has reached it pushes as soon as it has, also if nothing has changed on the way: what the beacon of a new
// publisher tells of is the revision at which it has read everything. A relay that waited for the next beacon left the nodes behind two of them without it for
// longer than they may lack it, and each read the store.
func TestRelayPushesWhenItReachesWhatItWasToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{}), Bulk: true}
		topic.Reset(nil, 2)
		publisher := &Publisher{Node: "relay", Topics: []Topic{topic}}
		publisher.prepare()
		publisher.announced = map[string]metadata.Revision{"servers/": 7}
		publisher.follow(t.Context())
		synctest.Wait()
		<-publisher.wake // what it has known from the start
		topic.Take(&metadata.Difference{Prefix: "servers/", Base: 2, Revision: 7})
		synctest.Wait()
		must.Eq(t, 1, len(publisher.wake))
		<-publisher.wake
		topic.Take(&metadata.Difference{Prefix: "servers/", Base: 7, Revision: 9})
		synctest.Wait()
		must.Eq(t, 0, len(publisher.wake), must.Sprint("nobody was told of more"))
	})
}
