package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Guards against a replica whose report is wrong by orders of magnitude: it must neither draw most requests nor hide what this node itself has in
// flight at the others.
func TestWrongReportsAreBounded(t *testing.T) {
	for name, load := range map[string]ReportedLoad{
		"running": {Known: true, Running: 1 << 20, Slots: 6, Pace: 1},
		"slots":   {Known: true, Slots: 1 << 20, Pace: 1},
		"pace":    {Known: true, Slots: 6, Pace: 0.001},
	} {
		t.Run(name, func(t *testing.T) {
			balancer, loads, now := NewBalancer("z", log.New(io.Discard), nil), NewLoads(), time.Now()
			loads.Balance(balancer)
			var replicas []*catalog.Replica
			for index := range 10 {
				replicas = append(replicas, &catalog.Replica{ID: string(rune('a' + index)), Service: "app", Slots: 6, Zone: "z"})
			}
			list, picker := catalog.NewReplicaList(replicas...), Picker{Loads: loads, Zone: "z"}
			for range 20 {
				for index, replica := range replicas {
					measured := balancer.begin(replica, &Request{}, now)
					now = now.Add(time.Duration(18+index/2) * time.Millisecond) // paces from 0.9 to 1.1
					if replica.ID == "j" {
						measured.report(load, now)
					}
					measured.end(endServed, 0, now)
				}
			}
			chosen := make(map[string]int)
			for range 40 {
				replica := picker.Pick(list, nil, now)
				chosen[replica.ID]++
				loads.Begin(replica.ID, now)
				balancer.begin(replica, &Request{}, now)
			}
			for id, count := range chosen {
				must.LessEq(t, 12, count, must.Sprint(id, " of ", chosen))
			}
		})
	}
}

// Guards against a hold that answers of other statuses than success never end.
func TestOtherAnswersEndAHold(t *testing.T) {
	bench := newBench()
	bench.call(bench.replica, endFull, time.Millisecond, ReportedLoad{})
	must.False(t, bench.mayTry(0))
	for range 10 {
		bench.now = bench.now.Add(time.Second)
		bench.call(bench.replica, endOther, 10*time.Millisecond, ReportedLoad{})
	}
	must.True(t, bench.mayTry(3))
}

// Requests, answers and choices at the same time must leave no request counted.
func TestBalancerIsSafeForConcurrentUse(t *testing.T) {
	balancer, loads := NewBalancer("z", log.New(io.Discard), nil), NewLoads()
	loads.Balance(balancer)
	sender := balancer.Sender(scripted(func(context.Context) (*Response, error) {
		return &Response{Status: http.StatusOK, Length: 4, Body: io.NopCloser(strings.NewReader("body"))}, nil
	}))
	list := catalog.NewReplicaList(&catalog.Replica{ID: "a", Service: "app", Slots: 6, Zone: "z"}, &catalog.Replica{ID: "b", Service: "app", Slots: 6, Zone: "z"})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			picker := Picker{Loads: loads, Zone: "z"}
			for range 200 {
				response, err := sender.Send(t.Context(), picker.Pick(list, nil, time.Now()), &Request{})
				must.NoError(t, err)
				go func() { _ = response.Body.Close() }()
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
	callers.Wait()
	for _, state := range balancer.service("app").replicas {
		must.Zero(t, state.running)
	}
}
