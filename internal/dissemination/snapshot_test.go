package dissemination_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// A node that begins while nobody publishes takes the replicas from a neighbour; one that reaches no other reads them from the store.
func TestSnapshotsOfNeighbours(t *testing.T) {
	const nodes, replicas = 9, 10 * itemsOfPage
	for _, alone := range []bool{false, true} {
		failure := runFleet(t, func(fleet *fleet) {
			publisher := fleet.startPublisher()
			fleet.configure()
			fleet.register(replicas)
			fleet.startAll(nodes)
			time.Sleep(4 * time.Second)
			publisher.stop()
			for index := range nodes {
				fleet.at(address(index)).set(alone, false)
			}
			fleet.at(address(0)).stop()
			fleet.start(0, false)
			time.Sleep(2500 * time.Millisecond)
			begun := fleet.at(address(0))
			must.Eq(t, replicas, begun.subscriber.Topics[1].Count())
			must.Eq(t, alone, begun.sent.asked.Load() > replicas/itemsOfPage, must.Sprint(begun.sent.asked.Load(), " calls"))
			_, _ = fleet.store.CommitDirectly(registration("servers/new"))
			time.Sleep(time.Second)
			must.Eq(t, replicas+1, begun.subscriber.Topics[1].Count(), must.Sprint("it goes on from there"))
		})
		must.Eq(t, "", failure)
	}
}

// Neighbours that are dark hold up a start for 0.8 s at most, all together; asking four of them took 1.6 s.
func TestDarkNeighboursHoldUpAStartForALimitedTime(t *testing.T) {
	failure := runFleet(t, func(fleet *fleet) {
		fleet.startPublisher()
		fleet.configure()
		fleet.register(1)
		fleet.startAll(15) // five of each zone
		time.Sleep(4 * time.Second)
		for index := range 15 {
			fleet.at(address(index)).set(index != 0, false)
		}
		begun := fleet.at(address(0))
		unknown := dissemination.Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}
		snapshots := &dissemination.Snapshots{Topic: unknown, Nodes: begun.subscriber.Topics[2], Registry: begun.registry, Logger: log.New(io.Discard)}
		must.Eq(t, cluster.Prefix, snapshots.Nodes.Prefix())
		started := time.Now()
		must.False(t, snapshots.Take(context.Background()))
		must.LessEq(t, 810*time.Millisecond, time.Since(started))
		must.GreaterEq(t, 400*time.Millisecond, time.Since(started))
	})
	must.Eq(t, "", failure)
}
