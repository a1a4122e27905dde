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

// Guards against a start without a publisher that lists all replicas from the store although a neighbour has them.
func TestSnapshotsOfNeighbours(t *testing.T) {
	const nodes, replicas = 9, 10 * itemsPerPage
	for _, isolated := range []bool{false, true} {
		failure := runFleet(t, func(fleet *fleet) {
			publisher := fleet.startPublisher()
			fleet.configure()
			fleet.registerReplicas(replicas)
			fleet.startAll(nodes)
			time.Sleep(4 * time.Second)
			publisher.stop()
			for index := range nodes {
				fleet.nodeAt(address(index)).setFaults(isolated, false)
			}
			fleet.nodeAt(address(0)).stop()
			fleet.start(0, false)
			time.Sleep(2500 * time.Millisecond)
			restarted := fleet.nodeAt(address(0))
			must.Eq(t, replicas, restarted.subscriber.Topics[1].Count())
			must.Eq(t, isolated, restarted.sent.storeCalls.Load() > replicas/itemsPerPage, must.Sprint(restarted.sent.storeCalls.Load(), " calls"))
			_, _ = fleet.store.CommitIgnoringFaults(registration("servers/new"))
			time.Sleep(time.Second)
			must.Eq(t, replicas+1, restarted.subscriber.Topics[1].Count(), must.Sprint("later changes follow"))
		})
		must.Eq(t, "", failure)
	}
}

// Guards against unresponsive neighbours that delay a start for longer than the total limit of 0.8 s.
func TestDarkNeighboursHoldUpAStartForALimitedTime(t *testing.T) {
	failure := runFleet(t, func(fleet *fleet) {
		fleet.startPublisher()
		fleet.configure()
		fleet.registerReplicas(1)
		fleet.startAll(15) // five in each zone
		time.Sleep(4 * time.Second)
		for index := range 15 {
			fleet.nodeAt(address(index)).setFaults(index != 0, false)
		}
		requester := fleet.nodeAt(address(0))
		unknown := dissemination.Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}
		fetcher := &dissemination.SnapshotFetcher{Topic: unknown, Nodes: requester.subscriber.Topics[2], Registry: requester.registry, Logger: log.New(io.Discard)}
		must.Eq(t, cluster.Prefix, fetcher.Nodes.Prefix())
		started := time.Now()
		must.False(t, fetcher.Fetch(context.Background()))
		must.LessEq(t, 810*time.Millisecond, time.Since(started))
		must.GreaterEq(t, 400*time.Millisecond, time.Since(started))
	})
	must.Eq(t, "", failure)
}
