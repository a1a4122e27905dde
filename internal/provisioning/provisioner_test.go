package provisioning_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	provisioningv1 "github.com/thistlewalk/thistlewalk/api/provisioning/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
)

// play runs a test with interactive requests, or with batch jobs that are due after the span, at replicas that are there from the start.
func play(t *testing.T, perZone int, span time.Duration, scenario func(*testing.T, *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(newCloud(perZone, deskConfiguration(span)))
		defer cluster.end()
		scenario(t, cluster)
		must.SliceEmpty(t, cluster.cloud.violations)
	})
}

// Callers that the present replicas can't serve must wait for no longer than it takes to confirm the load and to boot. Two replicas in each of three
// zones serve 120 requests a second, and 200 come.
func TestLoadAboveTheReplicas(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		refused, _ := cluster.call(80, 30*time.Second)
		must.Zero(t, refused)
		must.SliceEmpty(t, cluster.cloud.given(), must.Sprint("the replicas are adequate"))
		refused, last := cluster.call(200, time.Minute)
		must.Less(t, 8*time.Second, last)
		must.Less(t, 80*8.0, refused, must.Sprint("without orders 80 a second are refused"))
		must.Eq(t, []string{"a5", "b5", "c5"}, cluster.cloud.given(), must.Sprint("200 a second need 100 slots, which are 70%"))
	})
}

// Load that comes and goes must not order and give up replicas by turns. Load that is gone must give them up.
func TestLoadThatComesAndGoes(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		refused := 0.0
		for range 10 {
			first, _ := cluster.call(200, 20*time.Second)
			second, _ := cluster.call(20, 20*time.Second)
			refused += first + second
		}
		must.Less(t, 80*12.0, refused, must.Sprint("only the first peak finds too few"))
		must.Len(t, 3, cluster.cloud.given())
		cluster.call(20, 50*time.Second)
		must.Eq(t, []string{"c1", "b1", "a1"}, sortedBackwards(cluster.cloud.given()[3:]))
		refused, _ = cluster.call(20, time.Minute)
		must.Zero(t, refused)
		must.Len(t, 6, cluster.cloud.given())
	})
}

func sortedBackwards(list []string) []string {
	slices.Sort(list)
	slices.Reverse(list)
	return list
}

// A burst that is over before a replica boots must order nothing.
func TestBurst(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		cluster.call(200, 1500*time.Millisecond)
		cluster.call(80, 15*time.Second)
		must.SliceEmpty(t, cluster.cloud.given())
	})
}

// A job that the present replicas would complete late must be complete in time. Its 300 items of 2 s take 30 slots 20 s, and are due after 15 s.
func TestJobAboveTheReplicas(t *testing.T) {
	play(t, 1, 15*time.Second, func(t *testing.T, cluster *cluster) {
		time.Sleep(10 * time.Second)
		took := cluster.work("job", 300, 2*time.Second)
		must.Less(t, 15*time.Second, took)
		spot := slices.ContainsFunc(cluster.cloud.given(), func(order string) bool { return strings.HasPrefix(order, "spot") })
		must.True(t, spot, must.Sprint("items can move"))
	})
}

// Items that must run at a single version can't move, so no spot replicas may be ordered for them.
func TestItemsThatCannotMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configuration := deskConfiguration(15 * time.Second)
		configuration.Routes[0].SingleVersion = true
		cluster := newCluster(newCloud(1, configuration))
		defer cluster.end()
		time.Sleep(10 * time.Second)
		cluster.work("job", 300, 2*time.Second)
		must.Positive(t, len(cluster.cloud.given()))
		spot := slices.ContainsFunc(cluster.cloud.given(), func(order string) bool { return strings.HasPrefix(order, "spot") })
		must.False(t, spot, must.Sprint(cluster.cloud.given()))
	})
}

// A zone that has none to give must not be asked again at once, and others must give in its place.
func TestNoneAvailable(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.cloud.none[subject{"a", false}] = true
		cluster.call(80, 15*time.Second)
		_, last := cluster.call(250, 30*time.Second)
		must.Less(t, 10*time.Second, last)
		must.Eq(t, []string{"a6", "b6", "c6", "b8", "c8"}, cluster.cloud.given())
	})
}

// An order whose answer was lost must be sent again with the same number, and not on top of the first.
func TestLostAnswer(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		cluster.cloud.set(func() { cluster.cloud.lost = true })
		cluster.call(200, 9*time.Second)
		cluster.cloud.set(func() { cluster.cloud.lost = false })
		cluster.call(200, 30*time.Second)
		given := cluster.cloud.given()
		must.Greater(t, 3, len(given))
		slices.Sort(given)
		must.Eq(t, []string{"a5", "b5", "c5"}, slices.Compact(given))
		must.Eq(t, 150, cluster.cloud.slots())
	})
}

// killAtTheCall has the holder killed when it first calls the platform, under a load that needs more replicas. The order is stored then.
func (cluster *cluster) killAtTheCall() {
	cluster.call(80, 15*time.Second)
	cluster.cloud.set(func() {
		cluster.cloud.onCall = func() {
			cluster.cloud.set(func() { cluster.cloud.onCall = nil })
			cluster.kill(cluster.holder())
		}
	})
	cluster.call(200, 3*time.Second)
}

// A holder that is killed after an order was stored must be followed by one that sends this order, and nothing else, also if it would decide
// differently.
func TestHolderKilledBeforeTheCall(t *testing.T) {
	for _, rate := range []float64{200, 80} {
		play(t, 2, 0, func(t *testing.T, cluster *cluster) {
			cluster.killAtTheCall()
			must.SliceEmpty(t, cluster.cloud.given(), must.Sprint("the call was not made"))
			_, last := cluster.call(rate, 30*time.Second)
			must.Less(t, 14*time.Second, last, must.Sprint("election, wait for the former holder, and boot time"))
			given := cluster.cloud.given()
			slices.Sort(given)
			must.Eq(t, []string{"a5", "b5", "c5"}, given)
		})
	}
}

// A stored order that the bounds do not allow any more must not be sent.
func TestBoundsChangedBeforeTheCall(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.killAtTheCall()
		narrower := deskConfiguration(0)
		narrower.Version = 2
		narrower.Services[service].Scaling.Maximum = 4
		narrower.Index()
		cluster.cloud.table.SetConfiguration(narrower)
		cluster.call(200, 30*time.Second)
		given := cluster.cloud.given()
		slices.Sort(given)
		must.Eq(t, []string{"a4", "b4", "c4"}, given)
	})
}

// A service that gets bounds while its replicas don't change must be counted.
func TestServiceThatGetsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixed, scaled := deskConfiguration(0), deskConfiguration(0)
		fixed.Services[service] = catalog.Service{Name: service}
		cluster := newCluster(newCloud(2, fixed))
		defer cluster.end()
		cluster.call(200, 15*time.Second)
		must.SliceEmpty(t, cluster.cloud.given())
		scaled.Version = 2
		scaled.Index()
		cluster.cloud.table.SetConfiguration(scaled)
		cluster.call(200, 15*time.Second)
		must.Eq(t, []string{"a5", "b5", "c5"}, cluster.cloud.given())
	})
}

// putOrder stores an unanswered order for zone b, where two replicas are.
func (cluster *cluster) putOrder(t *testing.T, count int32, age time.Duration) {
	t.Helper()
	order := &provisioningv1.ReplicaOrder{Service: service, Zone: "b", Count: count, Previous: 2, OrderedUnixMs: time.Now().Add(-age).UnixMilli()}
	content, err := proto.Marshal(order)
	must.NoError(t, err)
	_, err = cluster.store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "provisioning/desk/b/on-demand", Value: content}}})
	must.NoError(t, err)
}

// An unanswered order must be sent by the next holder, but not after the load that it was decided on is long gone, and never if it is for fewer
// replicas than there are.
func TestAgeOfUnansweredOrders(t *testing.T) {
	for _, test := range []struct {
		count int32
		age   time.Duration
		want  []string
	}{
		{5, time.Minute, []string{"b5"}},
		{5, time.Hour, []string{}},
		{1, time.Second, []string{}},
		{1, time.Minute, []string{}},
	} {
		play(t, 2, 0, func(t *testing.T, cluster *cluster) {
			cluster.putOrder(t, test.count, test.age)
			cluster.call(80, 20*time.Second)
			must.Eq(t, test.want, cluster.cloud.given(), must.Sprint(test))
		})
	}
}

// An order for fewer replicas that the platform has not answered must not be sent once the load may have risen: neither later in the same term, nor
// after the store was away.
func TestReductionThatWaits(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		play(t, 4, 0, func(t *testing.T, cluster *cluster) {
			cluster.cloud.set(func() { cluster.cloud.down = true })
			for len(cluster.cloud.given()) == 0 {
				cluster.call(20, time.Second)
			}
			if storeAway {
				cluster.store.SetFaults(memstore.Faults{Down: true})
			}
			cluster.call(20, 18*time.Second)
			before := len(cluster.cloud.given())
			cluster.store.SetFaults(memstore.Faults{})
			cluster.cloud.set(func() { cluster.cloud.down = false })
			refused, _ := cluster.call(200, 10*time.Second)
			must.Zero(t, refused, must.Sprint("four replicas in each zone serve 240 a second"))
			must.Eq(t, before, len(cluster.cloud.given()), must.Sprint(cluster.cloud.given()))
		})
	}
}

// While no node reports any load, as when the holder is cut off from all of them, no replicas may be given up.
func TestSilence(t *testing.T) {
	play(t, 6, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(60, 20*time.Second)
		time.Sleep(5 * time.Minute)
		must.SliceEmpty(t, cluster.cloud.given())
		cluster.call(60, time.Minute)
		must.Len(t, 3, cluster.cloud.given(), must.Sprint("the load is known again"))
	})
}

// At the start of a term, and when the store answers again, replicas that have not registered yet must not be taken for missing: an order for the
// minimum would take away what is there.
func TestReplicasThatRegisterLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configuration := deskConfiguration(0)
		configuration.Services[service].Scaling.Minimum = 2
		cloud := newCloud(3, configuration)
		late := cloud.replicas[subject{"b", false}]
		cloud.resize(subject{"b", false}, 1)
		cluster := newCluster(cloud)
		defer cluster.end()
		cluster.call(80, 2500*time.Millisecond)
		cloud.set(func() {
			cloud.replicas[subject{"b", false}] = late
			cloud.register()
		})
		cluster.call(80, 10*time.Second)
		must.SliceEmpty(t, cloud.given())
	})
}

// A stored order that can't be decoded must not keep the service from being scaled: the next order replaces it.
func TestUndecodableOrder(t *testing.T) {
	for _, before := range []bool{true, false} {
		play(t, 2, 0, func(t *testing.T, cluster *cluster) {
			put := func() {
				_, err := cluster.store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "provisioning/desk/b/on-demand", Value: []byte("\xff")}}})
				must.NoError(t, err)
			}
			if before {
				put()
			}
			cluster.call(80, 15*time.Second)
			if !before {
				put()
			}
			_, last := cluster.call(200, 30*time.Second)
			must.Less(t, 10*time.Second, last)
			must.Eq(t, []string{"a5", "b5", "c5"}, cluster.cloud.given())
		})
	}
}

// While orders can't be stored although the lease is renewed, attempts must become rarer.
func TestOrdersThatCannotBeStored(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		cluster.refuseOrders(true)
		cluster.call(200, time.Minute)
		must.SliceEmpty(t, cluster.cloud.given())
		must.Between(t, 3, cluster.refusedOrders, 12)
		cluster.refuseOrders(false)
		_, last := cluster.call(200, 30*time.Second)
		must.Less(t, 8*time.Second+8*time.Second, last)
	})
}

// A successor that begins while replicas restart must not take those that are left for all: an order for more would name fewer than there were.
func TestHolderKilledWhileReplicasRestart(t *testing.T) {
	play(t, 6, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(230, 15*time.Second)
		cluster.kill(cluster.holder())
		cluster.cloud.set(func() { cluster.cloud.resize(subject{"b", false}, 1) })
		cluster.call(230, 12*time.Second)
		must.SliceNotContains(t, cluster.cloud.given(), "b5", must.Sprint("six were there"))
	})
}

// While the replicas have not been read in this term, an old table must not lead to orders for replacements.
func TestReplicasNotReadInThisTerm(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		all := cluster.cloud.replicas[subject{"b", false}]
		cluster.cloud.set(func() {
			cluster.cloud.unread = true
			cluster.cloud.resize(subject{"b", false}, 0)
		})
		cluster.call(80, 20*time.Second)
		must.SliceEmpty(t, cluster.cloud.given())
		cluster.cloud.set(func() {
			cluster.cloud.unread, cluster.cloud.replicas[subject{"b", false}] = false, all
			cluster.cloud.register()
		})
		cluster.call(80, 10*time.Second)
		must.SliceEmpty(t, cluster.cloud.given())
		_, last := cluster.call(200, 20*time.Second)
		must.Less(t, 10*time.Second, last)
	})
}

// A successor must not take back what was just ordered, even if it sees no load that needs it.
func TestSuccessorRightAfterAnOrder(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		cluster.call(200, 5*time.Second)
		must.Len(t, 3, cluster.cloud.given())
		cluster.kill(cluster.holder())
		cluster.call(20, 44*time.Second)
		must.Len(t, 3, cluster.cloud.given())
		must.Eq(t, 150, cluster.cloud.slots())
		cluster.call(20, 30*time.Second)
		must.Len(t, 6, cluster.cloud.given(), must.Sprint("its own observation allows it"))
	})
}

// While the store does not answer, no order may be given, since none can be stored. Afterwards the need must be met.
func TestStoreAway(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		cluster.store.SetFaults(memstore.Faults{Down: true})
		cluster.call(80, 2*time.Second)
		cluster.call(200, 20*time.Second)
		must.SliceEmpty(t, cluster.cloud.given())
		cluster.store.SetFaults(memstore.Faults{})
		_, last := cluster.call(200, 30*time.Second)
		must.Less(t, 15*time.Second, last)
		must.Len(t, 3, cluster.cloud.given())
	})
}

// An order whose write to the store may have been applied must not be lost, nor written over by a different one.
func TestLostAnswerOfTheStore(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		cluster.call(200, 1900*time.Millisecond)
		cluster.store.SetFaults(memstore.Faults{LoseResponses: 1})
		_, last := cluster.call(200, 30*time.Second)
		must.Less(t, 12*time.Second, last)
		given := cluster.cloud.given()
		slices.Sort(given)
		must.Eq(t, []string{"a5", "b5", "c5"}, slices.Compact(given))
	})
}

// A zone whose spot replicas are all reclaimed must be replaced elsewhere at once, and not be asked for spot replicas again soon.
func TestReclaim(t *testing.T) {
	play(t, 1, 15*time.Second, func(t *testing.T, cluster *cluster) {
		time.Sleep(10 * time.Second)
		cluster.work("first", 300, 2*time.Second)
		time.Sleep(5 * time.Second)
		must.Positive(t, len(cluster.cloud.replicas[subject{"a", true}]))
		var before, soon atomic.Int64
		time.AfterFunc(2*time.Second, func() {
			before.Store(int64(len(cluster.cloud.given())))
			cluster.cloud.reclaim("a")
		})
		time.AfterFunc(3*time.Second, func() { soon.Store(int64(len(cluster.cloud.given()))) })
		took := cluster.work("second", 330, 2*time.Second)
		must.Less(t, 15*time.Second, took)
		must.Greater(t, before.Load(), soon.Load(), must.Sprint("the notice itself leads to an order"))
		after := cluster.cloud.given()[before.Load():]
		must.False(t, slices.ContainsFunc(after, func(order string) bool { return strings.HasPrefix(order, "spot-a") }), must.Sprint(after))
	})
}

// Replicas that crash and return within a few seconds must cause no order, nor must the replacement of replicas one by one.
func TestReplicasThatReturn(t *testing.T) {
	play(t, 2, 0, func(t *testing.T, cluster *cluster) {
		cluster.call(80, 15*time.Second)
		for _, count := range []int{1, 2, 3, 2, 0, 2} {
			cluster.cloud.set(func() { cluster.cloud.resize(subject{"b", false}, count) })
			cluster.call(80, 4*time.Second)
		}
		must.SliceEmpty(t, cluster.cloud.given())
	})
}

// supersededTerm is a term that looks valid to its holder although another term has started.
type supersededTerm struct{}

func (supersededTerm) Valid(time.Duration) bool { return true }

func (supersededTerm) Remaining() time.Duration { return time.Hour }

func (supersededTerm) Condition() metadata.Condition {
	return metadata.Condition{Key: "holder", Revision: 1}
}

// A former holder that does not know that its term has ended must neither store nor send an order.
func TestFormerHolderOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, cloud := memstore.New(), newCloud(2, deskConfiguration(0))
		for _, holder := range []string{"former", "present"} {
			_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "holder", Value: []byte(holder)}}})
			must.NoError(t, err)
		}
		loads := provisioning.NewLoads()
		cluster := &cluster{store: store, cloud: cloud, loads: map[string]*provisioning.Loads{"former": loads}}
		provisioner := &provisioning.Provisioner{Node: "former", Store: store, Sink: cloud, Catalog: cloud.table, Loads: loads, Logger: log.New(io.Discard), ReplicasRevision: cloud.readAt}
		ctx, cancel := context.WithCancel(t.Context())
		go provisioner.Run(ctx, 1, supersededTerm{})
		cluster.call(200, 20*time.Second)
		cancel()
		synctest.Wait()
		must.SliceEmpty(t, cloud.given())
		listing, err := store.List(t.Context(), "")
		must.NoError(t, err)
		must.Len(t, 1, listing.Items)
	})
}

// Under any faults, no fence may decrease, the calls of two holders must be separated by minHolderGap, every order must be within the bounds, and
// once the faults have ended, the replicas must serve the load.
func TestDrawnHistoriesOfOrders(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{
			"calm", "kill holder", "isolate holder", "store down", "store answers lost", "cloud down", "cloud answers lost", "none in a", "reclaim",
		}), 3, 8).Draw(drawn, "faults")
		rates := rapid.SliceOfN(rapid.SampledFrom([]float64{10, 80, 150, 250}), len(faults), len(faults)).Draw(drawn, "rates")
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(newCloud(2, deskConfiguration(0)))
			cluster.call(80, 8*time.Second)
			for index, fault := range faults {
				cluster.inject(fault)
				cluster.call(rates[index], 8*time.Second)
				cluster.repair()
				cluster.call(rates[index], 4*time.Second)
			}
			cluster.call(200, 45*time.Second)
			refused, _ := cluster.call(200, 5*time.Second)
			cluster.end()
			if len(cluster.cloud.violations) > 0 || refused > 0 {
				t.Fatalf("%v %v: %s, %g requests refused", faults, rates, fmt.Sprint(cluster.cloud.violations), refused)
			}
		})
	})
}

func (cluster *cluster) inject(fault string) {
	cloud := cluster.cloud
	switch fault {
	case "kill holder":
		cluster.kill(cluster.holder())
	case "isolate holder":
		cluster.isolate(cluster.holder(), true)
	case "store down":
		cluster.store.SetFaults(memstore.Faults{Down: true})
	case "store answers lost":
		cluster.store.SetFaults(memstore.Faults{LoseResponses: 3})
	case "cloud down":
		cloud.set(func() { cloud.down = true })
	case "cloud answers lost":
		cloud.set(func() { cloud.lost = true })
	case "none in a":
		cloud.set(func() { cloud.none[subject{"a", false}] = true })
	case "reclaim":
		cloud.reclaim("b")
	}
}

// repair ends all faults and starts killed candidates.
func (cluster *cluster) repair() {
	cluster.store.SetFaults(memstore.Faults{})
	cluster.cloud.set(func() {
		cluster.cloud.down, cluster.cloud.lost = false, false
		clear(cluster.cloud.none)
	})
	for _, name := range []string{"orderer-1", "orderer-2"} {
		cluster.isolate(name, false)
		cluster.mu.Lock()
		running := cluster.loads[name] != nil
		cluster.mu.Unlock()
		if !running {
			cluster.start(name)
		}
	}
}
