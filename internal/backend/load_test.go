package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

func replicas(count int) catalog.ReplicaList {
	list := make([]*catalog.Replica, 0, count)
	for index := range count {
		list = append(list, &catalog.Replica{ID: fmt.Sprint("replica-", index), Slots: 6, Zone: "z"})
	}
	return catalog.NewReplicaList(list...)
}

// Occasional requests reuse the replica with an idle connection until the connection expires or the replica fails. Concurrent requests
// still go to different replicas.
func TestIdleConnectionsAreUsedFirst(t *testing.T) {
	loads, now, list := backend.NewLoads(), time.Now(), replicas(15)
	picker := backend.Picker{Loads: loads, Zone: "z"}
	call := func(outcome backend.Outcome) string {
		chosen := picker.Pick(list, nil, now)
		loads.Begin(chosen.ID, now)
		now = now.Add(50 * time.Millisecond)
		loads.End(chosen.ID, outcome, now)
		return chosen.ID
	}
	first := call(backend.Served)
	for range 50 {
		now = now.Add(10 * time.Second)
		must.Eq(t, first, call(backend.Served))
	}
	loads.Begin(first, now)
	must.NotEq(t, first, picker.Pick(list, nil, now).ID, must.Sprint("the connection is in use"))
	loads.End(first, backend.Failed, now)
	must.False(t, loads.Read(first, now).Idle, must.Sprint("the connection of a failed request is closed"))
	later := now.Add(time.Minute)
	chosen := make(map[string]bool)
	for range 200 {
		chosen[picker.Pick(list, nil, later).ID] = true
	}
	must.Greater(t, 10, len(chosen), must.Sprint("idle connections expire"))
}

// BenchmarkPick measures the time to pick a replica for one request.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{60, 2142, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := replicas(count)
			picker := backend.Picker{Loads: backend.NewLoads(), Zone: "z"}
			for b.Loop() {
				picker.Pick(list, nil, time.Now())
			}
		})
	}
}
