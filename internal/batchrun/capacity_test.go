package batchrun

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// A step ends with its slowest item. Of replicas that differ in speed, the fastest must get the longest items, so that the step takes little
// more than with each item in the best place.
func TestLongestItemsGetTheFastestReplicas(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 2))
		table, pace, now := catalog.NewTable(), make(map[string]float64), time.Now()
		runner := &Runner{Options: Options{Catalog: table, Loads: backend.NewLoads(), Zone: "z"}}
		scheduler := newScheduler(runner)
		var list []catalog.Replica
		var best []float64 // seconds per event of each slot, the fastest first
		for index := range 16 {
			id, seconds := fmt.Sprint("r", index), 0.03*math.Exp(0.3*random.NormFloat64())
			list = append(list, catalog.Replica{ID: id, Service: "s", Slots: 8, Models: []catalog.ModelVersion{{Model: "m", Version: 5}}})
			best = append(best, slices.Repeat([]float64{seconds}, 8)...)
			pace[id] = seconds
			scheduler.latencies.observe(id, time.Duration(seconds*float64(time.Second)), now)
		}
		slices.Sort(best)
		table.SetReplicas(list, 1)
		scheduler.lengths.observe(100, 100)
		definition := &batchv1.Job{Id: "job", Model: "m", MinimumVersion: 4}
		for index := range 80 {
			tokens := int64(min(141, 30*math.Exp(0.7*random.NormFloat64())))
			definition.Items = append(definition.Items, &batchv1.Item{Id: fmt.Sprint("i", index), Model: "m", Group: fmt.Sprint("g", index/16), OutputTokens: tokens})
		}
		owned := newJob(t.Context(), definition, time.Second)
		tasks := make([]*task, 0, len(definition.GetItems()))
		for _, item := range definition.GetItems() {
			tasks = append(tasks, &task{job: owned, item: item, service: "s"})
			scheduler.rank(tasks[len(tasks)-1], now)
		}
		slices.SortStableFunc(tasks, compareTasks)
		capacity := newCapacity(scheduler, now)
		end, bestEnd := 0.0, 0.0
		for index, waiting := range tasks {
			replica := capacity.pick(waiting)
			must.NotNil(t, replica)
			capacity.reserve(replica.ID)
			scheduler.groupReplica[waiting.item.GetGroup()] = replica.ID
			end = max(end, float64(waiting.estimate())*pace[replica.ID])
			bestEnd = max(bestEnd, float64(waiting.estimate())*best[index])
		}
		must.LessEq(t, 1.1*bestEnd, end, must.Sprint("seed ", seed))
	}
}
