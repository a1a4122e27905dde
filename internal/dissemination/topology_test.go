package dissemination

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Guards against a topology that is rebuilt in rounds without changes of nodes or relays, and against one that misses such changes.
func TestArrangementsFollowChanges(t *testing.T) {
	publisher, nodes, now := &Publisher{Logger: log.New(io.Discard), Registry: unlistedRegistry()}, testNodes(300), time.Now()
	publisher.initialize()
	first := publisher.currentTopology(nodes, now)
	must.Greater(t, 0, len(first.groups))
	must.True(t, sameGroups(first, publisher.currentTopology(nodes, now)))
	must.Eq(t, 0.0, testing.AllocsPerRun(10, func() { publisher.currentTopology(nodes, now) }))

	fewer := slices.Clone(nodes)[:299]
	changed := publisher.currentTopology(fewer, now)
	must.False(t, sameGroups(first, changed), must.Sprint("a node has left"))

	relay := changed.groups[0].relay
	publisher.receivers[processOf(relay)].lanes[prompt].failed = true
	excluded := publisher.currentTopology(fewer, now)
	must.False(t, sameGroups(changed, excluded), must.Sprint("a relay is not reached"))
	must.False(t, slices.ContainsFunc(excluded.groups, func(group group) bool { return group.relay == relay }))
	must.True(t, slices.Contains(excluded.direct, relay))

	later := now.Add(exclusionPeriod + time.Millisecond)
	for _, state := range publisher.receivers {
		state.lanes[prompt].failed, state.relay.acknowledged, state.relay.lastReport = false, 1, later
	}
	again := publisher.currentTopology(fewer, later)
	must.True(t, slices.ContainsFunc(again.groups, func(group group) bool { return group.relay == relay }), must.Sprint("it relays again"))
}

func sameGroups(a, b topology) bool { return &a.groups[0] == &b.groups[0] }

// Guards against assignments to nodes of a build without relays, which would leave their groups unserved until they are found silent.
func TestNodesWithoutRelaysAreServedDirectly(t *testing.T) {
	publisher, nodes := &Publisher{Logger: log.New(io.Discard), Registry: unlistedRegistry()}, testNodes(300)
	publisher.initialize()
	for index := range 150 {
		nodes[2*index].Capabilities = nil
	}
	current := publisher.currentTopology(nodes, time.Now())
	must.Positive(t, len(current.groups))
	for index, node := range nodes {
		former := index%2 == 0
		must.Eq(t, former, former && slices.Contains(current.direct, node))
		must.False(t, former && slices.ContainsFunc(current.groups, func(group group) bool { return group.relay == node }))
	}
}

// list has a registry list nodes at a revision.
func list(t *testing.T, publisher *Publisher, nodes []*clusterv1.NodeRecord, revision metadata.Revision) {
	items := make([]metadata.Item, len(nodes))
	for index, node := range nodes {
		value, err := proto.Marshal(node)
		must.NoError(t, err)
		items[index] = metadata.Item{Key: cluster.Prefix + node.GetName(), Value: value, Revision: revision}
	}
	publisher.Registry.Reset(items, revision)
}

// restartSome returns nodes, every fifth of them as a new process. These are the same number in each of the six zones.
func restartSome(nodes []*clusterv1.NodeRecord) []*clusterv1.NodeRecord {
	restarted := slices.Clone(nodes)
	for index := 0; index < len(nodes); index += 5 {
		restarted[index] = proto.CloneOf(nodes[index])
		restarted[index].Life++
	}
	return restarted
}

// Guards against a new relay that takes all its nodes for processes of the same age, and passes them on through one that has just started
// and has loaded nothing yet.
func TestNewRelayPassesOverRecentProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher, nodes := &Publisher{Logger: log.New(io.Discard), Registry: unlistedRegistry()}, testNodes(300)
		list(t, publisher, nodes, 1)
		time.Sleep(time.Minute)
		restarted := restartSome(nodes)
		list(t, publisher, restarted, 2)
		publisher.initialize()
		for _, group := range publisher.currentTopology(restarted, time.Now()).groups {
			must.Eq(t, 1, group.relay.GetLife(), must.Sprint(group.relay.GetName()))
		}
		time.Sleep(relayWarmUp)
		publisher.topologyStale = true
		relays := publisher.currentTopology(restarted, time.Now()).groups
		must.True(t, slices.ContainsFunc(relays, func(group group) bool { return group.relay.GetLife() == 2 }), must.Sprint("they relay once they are older"))
	})
}
