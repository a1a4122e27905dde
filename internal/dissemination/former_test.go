package dissemination_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/lab/former"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// formerNodes is a node of the build in production as others reach it.
type formerNodes struct {
	*dissemination.Subscriber
	build *former.Build
}

func (nodes formerNodes) Publish(ctx context.Context, request *clusterv1.PublishRequest) (*clusterv1.PublishResponse, error) {
	if err := nodes.build.Read(request); err != nil {
		return nil, err
	}
	return nodes.Subscriber.Publish(ctx, request)
}

// Snapshot is a call that the build in production does not have.
func (nodes formerNodes) Snapshot(context.Context, *clusterv1.SnapshotRequest) (*clusterv1.SnapshotResponse, error) {
	return nil, twirp.NewError(twirp.BadRoute, "no handler for path")
}

// becomeFormer has a node read what it is sent as the build in production does, and relay nothing.
func (node *node) becomeFormer() {
	node.subscriber.Assign = nil
	node.handler = clusterv1.NewNodesServer(formerNodes{node.subscriber, node.fleet.production})
}

// hearAsFormer takes a datagram.
func (node *node) hearAsFormer(datagram *clusterv1.Datagram, from net.Addr) error {
	if err := node.fleet.production.Read(datagram); err != nil {
		return err
	}
	if beacon := datagram.GetBeacon(); beacon != nil {
		node.subscriber.Heard(beacon, from)
	}
	return nil
}

// sendAsFormer has a call be sent as a node of the build in production sends it: nothing is packed.
func sendAsFormer(request *http.Request) error {
	if !strings.HasSuffix(request.URL.Path, "/Publish") {
		return nil
	}
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	publish := &clusterv1.PublishRequest{}
	if err := proto.Unmarshal(content, publish); err != nil {
		return err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return err
	}
	defer decoder.Close()
	for _, update := range publish.GetUpdates() {
		plain, err := decoder.DecodeAll(update.GetPacked(), nil)
		if err != nil {
			return err
		}
		unpacked := &clusterv1.PackedUpdate{}
		if err := proto.Unmarshal(plain, unpacked); err != nil {
			return err
		}
		update.Packed = nil
		update.Items = append(update.GetItems(), unpacked.GetItems()...)
		update.Removals = append(update.GetRemovals(), unpacked.GetRemovals()...)
	}
	content, err = proto.Marshal(publish)
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(content)), int64(len(content))
	return err
}

// mix has some nodes of the fleet run the build in production, with entries of the size that a deployment has: a configuration of 15 routes has
// some 4 KB.
func (fleet *fleet) mix(t *testing.T, runsFormer func(index int) bool) {
	build, err := former.Load()
	must.NoError(t, err)
	fleet.production, fleet.runsFormer, fleet.padding = build, runsFormer, 4<<10
}

// checkKnown reports nodes that lack replicas or nodes.
func (fleet *fleet) checkKnown(nodes, replicas int) {
	for index := range nodes {
		node := fleet.at(address(index))
		if known := node.replicas.Count(); known != replicas {
			fleet.fail("%s knows %d replicas of %d", node.name, known, replicas)
		}
		if known := node.registry.Count(); known != nodes {
			fleet.fail("%s knows %d nodes of %d", node.name, known, nodes)
		}
	}
}

// What users saw: while machines were started again on a newer build, one after the other, nodes that still ran the one in production went on
// refusing a route with 404 that had been added 3.7 s before, and refused or failed everything else, since they knew no replica.
//
// The order of events: the publisher is the first to be started again, on the newer build. It sends every node all that it has read. Each node of
// the build in production loses all replicas and all nodes with that, tells the publisher that it has reached its revision, and takes no
// configuration from then on, but takes the change of a single replica.
//
// The cause: the newer publisher packs what has more than 1,024 bytes into a field that the build in production does not know, which passes
// over it, and takes the update for one that says that there is nothing.
//
// The evidence: of nine nodes of the build in production each said "replicas read count=0" within 3 ms of the first push of the newer build, as
// was recorded; nodes of the newer build said count=10 in the same second. Here, without the mend: no replica and no further version at the six
// nodes of the build in production, where the three of this build have all.
func TestNodesOfTheBuildInProductionAreServed(t *testing.T) {
	const nodes, replicas = 9, 20
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut = 0
		fleet.mix(t, func(index int) bool { return index%3 != 0 })
		publisher := fleet.beginPublisher(true)
		fleet.configure()
		fleet.register(replicas)
		fleet.startAll(nodes)
		time.Sleep(5 * time.Second)
		fleet.checkKnown(nodes, replicas)
		publisher.stop()
		fleet.configure()
		time.Sleep(500 * time.Millisecond)
		fleet.startPublisher()
		time.Sleep(500 * time.Millisecond)
		fleet.checkKnown(nodes, replicas)
		_, _ = fleet.store.CommitDirectly(metadata.Txn{Deletes: []string{"servers/0"}})
		fleet.configure()
		time.Sleep(inForce + 100*time.Millisecond)
		fleet.check(nodes, time.Now().Add(-time.Minute))
		fleet.checkKnown(nodes, replicas-1)
	})
	must.Eq(t, "", failure)
}

// drawnBuilds draws the build of each life of each node: an upgrade that goes forth, back, or halts.
type drawnBuilds struct{ former []bool }

// next returns whether the next life runs the build in production.
func (builds *drawnBuilds) next() bool {
	if len(builds.former) == 0 {
		return false
	}
	first := builds.former[0]
	builds.former = builds.former[1:]
	return first
}

// Whichever nodes run which build, and whichever build the publisher runs, a node that the store answers has each configuration in time, and none
// goes back.
func TestChangesReachEveryNodeOfTwoBuilds(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		nodes := rapid.IntRange(3, 12).Draw(drawn, "nodes")
		steps := drawSteps(drawn, nodes)
		lives := &drawnBuilds{rapid.SliceOfN(rapid.Bool(), nodes, 2*nodes).Draw(drawn, "former lives")}
		publishers := &drawnBuilds{rapid.SliceOfN(rapid.Bool(), 1, 6).Draw(drawn, "former publishers")}
		failure := runFleet(t, func(fleet *fleet) {
			fleet.mix(t, func(int) bool { return lives.next() })
			fleet.publishesFormer = publishers.next
			fleet.play(nodes, steps)
		})
		if failure != "" {
			drawn.Fatal(failure)
		}
	})
}
