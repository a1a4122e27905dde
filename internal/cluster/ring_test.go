package cluster

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// Predecessors must be the inverse of Successors, with the same ranks.
func TestPredecessorsAreWhoIsSucceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 12).Draw(t, "nodes")
		records := make([]*clusterv1.NodeRecord, 0, count)
		for index := range count {
			records = append(records, &clusterv1.NodeRecord{Name: fmt.Sprint("node-", index)})
		}
		ring := NewRing(records)
		for index := range count + 1 { // the last name is not on the ring
			self := fmt.Sprint("node-", index)
			want := make(map[string]int)
			for _, record := range records {
				if rank := ring.Rank(self, record.GetName()); rank >= 0 && index < count {
					want[record.GetName()] = rank
				}
			}
			got := make(map[string]int)
			for rank, record := range ring.Predecessors(self, monitorsPerNode) {
				got[record.GetName()] = rank
			}
			must.Eq(t, want, got)
		}
	})
}

// Measures the work that every node does once per checkPeriod.
func BenchmarkWatched(b *testing.B) {
	for _, count := range []int{100, 985, 1970} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			registry := NewRegistry(&clusterv1.NodeRecord{Name: "node-0"}, nil, nil, nil)
			for index := range count {
				name := fmt.Sprint("node-", index)
				registry.nodes[name] = &clusterv1.NodeRecord{Name: name}
			}
			registry.rebuild(1)
			for b.Loop() {
				registry.watched()
			}
		})
	}
}

// Measures the lookup of a job's directory node, for one key and for a new key each time.
func BenchmarkPreferredAnywhere(b *testing.B) {
	for _, count := range []int{100, 985, 1970} {
		registry := NewRegistry(&clusterv1.NodeRecord{Name: "node-0"}, nil, nil, nil)
		for index := range count {
			name := fmt.Sprint("node-", index)
			registry.nodes[name] = &clusterv1.NodeRecord{Name: name}
		}
		registry.rebuild(1)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				registry.PreferredAnywhere("job")
			}
		})
		b.Run(fmt.Sprint(count, "/other jobs"), func(b *testing.B) {
			job := 0
			for b.Loop() {
				job++
				registry.PreferredAnywhere(fmt.Sprint(job))
			}
		})
	}
}
