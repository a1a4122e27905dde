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

// formerNode is a node of the former build as seen by other nodes.
type formerNode struct {
	*dissemination.Subscriber
	build *former.Schema
}

func (nodes formerNode) Publish(ctx context.Context, request *clusterv1.PublishRequest) (*clusterv1.PublishResponse, error) {
	if err := nodes.build.Downgrade(request); err != nil {
		return nil, err
	}
	return nodes.Subscriber.Publish(ctx, request)
}

// Snapshot is a call that the former build does not have.
func (nodes formerNode) Snapshot(context.Context, *clusterv1.SnapshotRequest) (*clusterv1.SnapshotResponse, error) {
	return nil, twirp.NewError(twirp.BadRoute, "no handler for path")
}

// useFormerBuild makes a node decode messages as the former build does, and relay nothing.
func (node *node) useFormerBuild() {
	node.subscriber.Assign = nil
	node.handler = clusterv1.NewNodesServer(formerNode{node.subscriber, node.fleet.formerBuild})
}

// receiveAsFormer handles a datagram as the former build does.
func (node *node) receiveAsFormer(datagram *clusterv1.Datagram, from net.Addr) error {
	if err := node.fleet.formerBuild.Downgrade(datagram); err != nil {
		return err
	}
	if beacon := datagram.GetBeacon(); beacon != nil {
		node.subscriber.HandleBeacon(beacon, from)
	}
	return nil
}

// sendAsFormer unpacks the updates of a call, because the former build does not pack them.
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

// runFormerBuild makes some nodes of the fleet run the former build, with configurations of a realistic size.
func (fleet *fleet) runFormerBuild(t *testing.T, runsFormer func(index int) bool) {
	build, err := former.Load()
	must.NoError(t, err)
	fleet.formerBuild, fleet.runsFormer, fleet.padding = build, runsFormer, 4<<10
}

// checkKnown fails for each node that lacks replicas or nodes.
func (fleet *fleet) checkKnown(nodes, replicas int) {
	for index := range nodes {
		node := fleet.nodeAt(address(index))
		if known := node.replicas.Count(); known != replicas {
			fleet.fail("%s knows %d replicas of %d", node.name, known, replicas)
		}
		if known := node.registry.Count(); known != nodes {
			fleet.fail("%s knows %d nodes of %d", node.name, known, nodes)
		}
	}
}

// Guards against packed updates for nodes of the former build: it ignores the unknown field, takes the update for an empty snapshot, drops
// all replicas and nodes, and applies no later configuration.
func TestNodesOfTheBuildInProductionAreServed(t *testing.T) {
	const nodes, replicas = 9, 20
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut = 0
		fleet.runFormerBuild(t, func(index int) bool { return index%3 != 0 })
		publisher := fleet.startPublisherOf(true)
		fleet.configure()
		fleet.registerReplicas(replicas)
		fleet.startAll(nodes)
		time.Sleep(5 * time.Second)
		fleet.checkKnown(nodes, replicas)
		publisher.stop()
		fleet.configure()
		time.Sleep(500 * time.Millisecond)
		fleet.startPublisher()
		time.Sleep(500 * time.Millisecond)
		fleet.checkKnown(nodes, replicas)
		_, _ = fleet.store.CommitIgnoringFaults(metadata.Txn{Deletes: []string{"servers/0"}})
		fleet.configure()
		time.Sleep(inForce + 100*time.Millisecond)
		fleet.check(nodes, time.Now().Add(-time.Minute))
		fleet.checkKnown(nodes, replicas-1)
	})
	must.Eq(t, "", failure)
}

// drawnBuilds holds the drawn build of each process: an upgrade that advances, is rolled back or halts.
type drawnBuilds struct{ former []bool }

// next reports whether the next process runs the former build.
func (builds *drawnBuilds) next() bool {
	if len(builds.former) == 0 {
		return false
	}
	first := builds.former[0]
	builds.former = builds.former[1:]
	return first
}

// Guards against nodes that receive a configuration late or return to an older one while two builds run side by side.
func TestChangesReachEveryNodeOfTwoBuilds(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		nodes := rapid.IntRange(3, 12).Draw(drawn, "nodes")
		steps := drawSteps(drawn, nodes)
		processes := &drawnBuilds{rapid.SliceOfN(rapid.Bool(), nodes, 2*nodes).Draw(drawn, "former processes")}
		publishers := &drawnBuilds{rapid.SliceOfN(rapid.Bool(), 1, 6).Draw(drawn, "former publishers")}
		failure := runFleet(t, func(fleet *fleet) {
			fleet.runFormerBuild(t, func(int) bool { return processes.next() })
			fleet.publishesFormer = publishers.next
			fleet.play(nodes, steps)
		})
		if failure != "" {
			drawn.Fatal(failure)
		}
	})
}
