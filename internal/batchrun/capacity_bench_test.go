package batchrun

import (
	"fmt"
	"testing"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// benchScheduler returns a scheduler over replicas of three models, with loads reported by other nodes.
func benchScheduler(replicas, nodes int) *scheduler {
	table := catalog.NewTable()
	var list []catalog.Replica
	for index := range replicas {
		model := catalog.ModelVersion{Model: fmt.Sprint("m", index%3), Version: 5}
		list = append(list, catalog.Replica{ID: fmt.Sprint("r", index), Service: "s", Slots: 6, Models: []catalog.ModelVersion{model}})
	}
	table.SetReplicas(list, 1)
	loads := backend.NewLoads()
	now := time.Now()
	for node := range nodes {
		loads.SetRemote(fmt.Sprint("n", node), map[string]int{fmt.Sprint("r", node): 3}, now)
	}
	runner := &Runner{Options: Options{Catalog: table, Loads: loads, Zone: "z"}}
	scheduler := newScheduler(runner)
	for index := range replicas {
		scheduler.latencies.observe(fmt.Sprint("r", index), 40*time.Millisecond, now)
	}
	return scheduler
}

// BenchmarkPlaceStep measures one dispatch round that places a job of 150 items.
func BenchmarkPlaceStep(b *testing.B) {
	for _, replicas := range []int{35, 750, 3000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			scheduler := benchScheduler(replicas, 20)
			definition := &batchv1.Job{Id: "job", Model: "m1", MinimumVersion: 4}
			for index := range 150 {
				definition.Items = append(definition.Items, &batchv1.Item{Id: fmt.Sprint("i", index), Model: "m1", Group: fmt.Sprint("g", index/8), OutputTokens: 100})
			}
			owned := newJob(b.Context(), definition, time.Second)
			for b.Loop() {
				capacity := newCapacity(scheduler, time.Now())
				for _, item := range definition.GetItems() {
					waiting := &task{job: owned, item: item, service: "s"}
					if replica := capacity.pick(waiting); replica != nil {
						capacity.reserve(replica.ID)
					}
				}
			}
		})
	}
}
