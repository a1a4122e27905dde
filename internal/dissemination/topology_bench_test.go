package dissemination

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
)

// testNodes returns nodes in six zones.
func testNodes(count int) []*clusterv1.NodeRecord {
	nodes := make([]*clusterv1.NodeRecord, count)
	for index := range nodes {
		nodes[index] = &clusterv1.NodeRecord{Name: fmt.Sprint("node-", index), Zone: fmt.Sprint("zone-", index%6), Life: 1, Cores: 0.4, Capabilities: capability.Own()}
	}
	return nodes
}

// unlistedRegistry returns a registry that lists no node.
func unlistedRegistry() *cluster.Registry {
	return cluster.NewRegistry(&clusterv1.NodeRecord{}, nil, nil, log.New(io.Discard))
}

// BenchmarkArrange measures rounds without changes of nodes or relays.
func BenchmarkArrange(b *testing.B) {
	for _, count := range []int{100, 985, 1970} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			publisher, nodes := &Publisher{Logger: log.New(io.Discard), Registry: unlistedRegistry()}, testNodes(count)
			publisher.initialize()
			for b.Loop() {
				publisher.currentTopology(nodes, time.Now())
				for _, state := range publisher.receivers {
					state.relay.acknowledged, state.relay.lastReport = 1, time.Now()
				}
			}
		})
	}
}
