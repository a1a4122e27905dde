package dissemination

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
)

// fleetOf returns nodes of six zones.
func fleetOf(count int) []*clusterv1.NodeRecord {
	nodes := make([]*clusterv1.NodeRecord, count)
	for index := range nodes {
		nodes[index] = &clusterv1.NodeRecord{Name: fmt.Sprint("node-", index), Zone: fmt.Sprint("zone-", index%6), Life: 1, Cores: 0.4, Capabilities: capability.Own()}
	}
	return nodes
}

// Who serves whom, in a round in which neither nodes nor relays have changed: each change of a replica begins one.
func BenchmarkArrange(b *testing.B) {
	for _, count := range []int{100, 985, 1970} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			publisher, nodes := &Publisher{Logger: log.New(io.Discard)}, fleetOf(count)
			publisher.prepare()
			for b.Loop() {
				publisher.arrange(nodes, time.Now())
				for _, state := range publisher.receiver {
					state.relay.taken, state.relay.reported = 1, time.Now()
				}
			}
		})
	}
}
