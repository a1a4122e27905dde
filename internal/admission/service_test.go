package admission

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// fixedRoom is a Room that a test sets.
type fixedRoom struct{ limit atomic.Int64 }

func roomOf(limit int64) *fixedRoom {
	room := &fixedRoom{}
	room.limit.Store(limit)
	return room
}

func (room *fixedRoom) Limit(string) int             { return int(room.limit.Load()) }
func (room *fixedRoom) Observe(string, Outcome, int) {}

func demandFor(left time.Duration) Demand {
	now := time.Now()
	return Demand{Service: "s", Flow: "a", Useful: now.Add(left / 4), Deadline: now.Add(left)}
}

// train gives the controller a service time.
func train(t *testing.T, controller *Controller, took time.Duration) {
	t.Helper()
	for range 30 {
		grant, err := controller.Admit(t.Context(), demandFor(time.Second))
		must.NoError(t, err)
		time.Sleep(took)
		grant.Release(Outcome{ServiceTime: took})
	}
}

// A caller that leaves while its request waits frees its place in the queue at once, and a place that it was given meanwhile goes to the
// next request.
func TestCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := NewController(roomOf(1))
		held, err := controller.Admit(t.Context(), demandFor(time.Hour))
		must.NoError(t, err)
		ctx, leave := context.WithCancel(t.Context())
		var waits sync.WaitGroup
		waits.Go(func() {
			_, err := controller.Admit(ctx, demandFor(time.Hour))
			must.ErrorIs(t, err, context.Canceled)
		})
		synctest.Wait()
		must.Eq(t, 1, controller.Loads()[0].Waiting)
		must.False(t, controller.HasRoom("s"))
		leave()
		waits.Wait()
		must.Eq(t, 0, controller.Loads()[0].Waiting)
		must.Eq(t, 0, controller.held.Load())
		// The same at the moment at which the place is given.
		ctx, leave = context.WithCancel(t.Context())
		waits.Go(func() {
			if grant, err := controller.Admit(ctx, demandFor(time.Hour)); err == nil {
				grant.Release(Outcome{})
			}
		})
		synctest.Wait()
		held.Release(Outcome{})
		leave()
		waits.Wait()
		must.Eq(t, nil, controller.Loads())
		must.True(t, controller.HasRoom("s"))
	})
}

// Requests that wait when the room shrinks to one place are refused as soon as they can't be served any more, not at their deadlines.
func TestRoomShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		room := roomOf(10)
		controller := NewController(room)
		train(t, controller, 50*time.Millisecond)
		var refused, served atomic.Int64
		var waits sync.WaitGroup
		for range 40 {
			waits.Go(func() {
				began := time.Now()
				demand := demandFor(600 * time.Millisecond)
				demand.Useful = demand.Deadline
				grant, err := controller.Admit(t.Context(), demand)
				if refusal := IsRefused(err); refusal != nil {
					refused.Add(1)
					must.Less(t, 150*time.Millisecond, time.Since(began))
					must.Positive(t, refusal.RetryAfter)
					return
				}
				must.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
				grant.Release(Outcome{ServiceTime: 50 * time.Millisecond})
				served.Add(1)
				must.LessEq(t, 600*time.Millisecond, time.Since(began))
			})
		}
		time.Sleep(20 * time.Millisecond)
		must.Eq(t, 0, refused.Load())
		room.limit.Store(1)
		controller.RoomChanged()
		waits.Wait()
		t.Logf("%d served, %d refused", served.Load(), refused.Load())
		must.Between(t, 15, served.Load(), 21)
		must.Eq(t, 40, served.Load()+refused.Load())
		must.Eq(t, refused.Load(), controller.Loads()[0].Refused)
	})
}

// Room that has grown unannounced is used by those that wait and by the next to arrive, which is not refused for a backlog that is gone.
func TestRoomGrowsUnannounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		room := roomOf(1)
		controller := NewController(room)
		train(t, controller, 50*time.Millisecond)
		_, err := controller.Admit(t.Context(), demandFor(time.Second))
		must.NoError(t, err)
		var waits sync.WaitGroup
		for range 5 {
			waits.Go(func() {
				_, err := controller.Admit(t.Context(), demandFor(time.Hour))
				must.NoError(t, err)
			})
		}
		synctest.Wait()
		room.limit.Store(20)
		began := time.Now()
		_, err = controller.Admit(t.Context(), demandFor(60*time.Millisecond))
		must.NoError(t, err)
		waits.Wait()
		must.Eq(t, 0, time.Since(began))
	})
}

// When replicas suddenly take ten times as long, those that wait in vain learn so before their deadlines, although no request has ended yet.
func TestServiceTimesJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := NewController(roomOf(2))
		train(t, controller, 20*time.Millisecond)
		var waits sync.WaitGroup
		var refusedAfter []time.Duration
		var mu sync.Mutex
		for range 40 {
			waits.Go(func() {
				began := time.Now()
				grant, err := controller.Admit(t.Context(), demandFor(800*time.Millisecond))
				if err != nil {
					must.NotNil(t, IsRefused(err))
					mu.Lock()
					defer mu.Unlock()
					refusedAfter = append(refusedAfter, time.Since(began))
					return
				}
				time.Sleep(200 * time.Millisecond)
				grant.Release(Outcome{ServiceTime: 200 * time.Millisecond})
			})
		}
		waits.Wait()
		slices.Sort(refusedAfter)
		t.Log(len(refusedAfter), refusedAfter[0], refusedAfter[len(refusedAfter)/2], refusedAfter[len(refusedAfter)-1])
		must.GreaterEq(t, 30, len(refusedAfter))
		must.Less(t, 300*time.Millisecond, refusedAfter[len(refusedAfter)/2])
		must.Less(t, 800*time.Millisecond, refusedAfter[len(refusedAfter)-1])
	})
}

// A grant that is never released costs one place, and never holds a request to its deadline.
func TestGrantHeldForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := NewController(roomOf(1))
		train(t, controller, 20*time.Millisecond)
		_, err := controller.Admit(t.Context(), demandFor(time.Second))
		must.NoError(t, err)
		for turn := range 5 {
			began := time.Now()
			_, err := controller.Admit(t.Context(), demandFor(500*time.Millisecond))
			must.NotNil(t, IsRefused(err))
			must.Less(t, 490*time.Millisecond, time.Since(began))
			if turn > 1 {
				must.Less(t, 10*time.Millisecond, time.Since(began), must.Sprint("the place is known to be stuck"))
			}
		}
	})
}

// A request of an unknown service time waits rather than being refused, and a queue holds no more than its bounds.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := NewController(roomOf(1))
		ctx, end := context.WithCancel(t.Context())
		var waits sync.WaitGroup
		demand := demandFor(time.Hour)
		grant, err := controller.Admit(ctx, demand)
		must.NoError(t, err)
		for range maxWaiting + 50 {
			waits.Go(func() { _, _ = controller.Admit(ctx, demand) })
		}
		synctest.Wait()
		load := controller.Loads()[0]
		must.Eq(t, waitingMemory/interactiveOverhead, load.Waiting)
		must.LessEq(t, waitingMemory, controller.held.Load())
		// A small flow's request is taken in, a large body is not.
		demand.Flow = "b"
		waits.Go(func() { _, _ = controller.Admit(ctx, demand) })
		synctest.Wait()
		must.Eq(t, load.Refused+1, controller.Loads()[0].Refused)
		must.Eq(t, 1, len(controller.find("s").queue.levels[0].flows["b"].inTime))
		demand.Size = waitingMemory
		_, err = controller.Admit(ctx, demand)
		must.NotNil(t, IsRefused(err))
		must.Eq(t, load.Waiting, controller.Loads()[0].Waiting, must.Sprint("a body that does not fit evicts nothing"))
		end()
		waits.Wait()
		grant.Release(Outcome{})
		must.Eq(t, 0, controller.held.Load())
		must.Eq(t, 0, controller.find("s").queue.waiting)
	})
}

// What waits at one service does not shut the queue of another: scoring requests hold at most half of the memory, and a queue with few small
// requests takes one in whatever others hold.
func TestQueuesShareMemory(t *testing.T) {
	for _, class := range []Class{Scoring, Interactive} {
		synctest.Test(t, func(t *testing.T) {
			controller := NewController(roomOf(1))
			ctx, end := context.WithCancel(t.Context())
			var waits sync.WaitGroup
			admit := func(service string, class Class, size, count int) int64 {
				demand := demandFor(time.Hour)
				demand.Service, demand.Class, demand.Size = service, class, size
				before := controller.refusals(service)
				for range count {
					waits.Go(func() { _, _ = controller.Admit(ctx, demand) })
				}
				synctest.Wait()
				return controller.refusals(service) - before
			}
			const large = 1 << 20
			must.Positive(t, admit("flooded", class, large, 40))
			must.LessEq(t, waitingMemory, controller.held.Load())
			must.LessEq(t, scoringMemory, controller.scoringHeld.Load())
			if class == Scoring {
				must.Eq(t, 0, admit("other", Interactive, large, 1+scoringMemory/large*9/10), must.Sprint("scoring leaves half"))
				must.Positive(t, admit("other", Scoring, large, 1))
			} else {
				must.Positive(t, admit("other", Interactive, large, 2))
			}
			must.Eq(t, 0, admit("third", Interactive, 0, 1+minQueueBound), must.Sprint("one is in flight, the others wait"))
			must.Eq(t, 0, admit("fourth", Scoring, 0, 1+minQueueBound))
			end()
			waits.Wait()
			must.Eq(t, 0, controller.held.Load()+controller.scoringHeld.Load())
		})
	}
}

// A scoring request that has no body counts less than a caller's connection, so that a step of many texts can wait.
func TestScoringRequestsCountWhatTheyHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := NewController(roomOf(1))
		ctx, end := context.WithCancel(t.Context())
		demand := demandFor(time.Hour)
		demand.Class = Scoring
		var waits sync.WaitGroup
		for range 1500 {
			waits.Go(func() { _, _ = controller.Admit(ctx, demand) })
		}
		synctest.Wait()
		must.Eq(t, 0, controller.refusals("s"))
		end()
		waits.Wait()
	})
}

func (controller *Controller) refusals(service string) int64 {
	if own := controller.find(service); own != nil {
		return own.queue.refused
	}
	return 0
}

// Retries and hedges are a share of first attempts, and need room. A request that has not run may always be sent again.
func TestRetriesAndHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		room := roomOf(1000)
		controller := NewController(room)
		retries, hedges := 0, 0
		for range 1000 {
			grant, err := controller.Admit(t.Context(), demandFor(time.Second))
			must.NoError(t, err)
			if hedge, ok := controller.AdmitHedge(demandFor(time.Second)); ok {
				hedges++
				hedge.Release(Outcome{})
			}
			grant.Release(Outcome{})
			if controller.AllowRetry("s", true) {
				retries++
			}
		}
		must.Between(t, 300, retries, 320)
		must.Between(t, 200, hedges, 210)
		for range 100 {
			_, _ = controller.Admit(t.Context(), demandFor(time.Second))
		}
		room.limit.Store(1)
		must.False(t, controller.AllowRetry("s", true))
		must.True(t, controller.AllowRetry("s", false))
		_, ok := controller.AdmitHedge(demandFor(time.Second))
		must.False(t, ok)
	})
}

// A grant that is released twice frees one place, also while others are in flight, and is logged once.
func TestGrantReleasedTwice(t *testing.T) {
	var lines bytes.Buffer
	controller := NewController(roomOf(2))
	controller.Logger = log.New(&lines)
	first, err := controller.Admit(t.Context(), demandFor(time.Hour))
	must.NoError(t, err)
	first.Release(Outcome{})
	second, err := controller.Admit(t.Context(), demandFor(time.Hour))
	must.NoError(t, err)
	for range 3 {
		first.Release(Outcome{ServiceTime: time.Second})
	}
	must.Eq(t, ServiceLoad{Service: "s", InFlight: 1}, controller.Loads()[0])
	second.Release(Outcome{})
	second.Release(Outcome{})
	must.Eq(t, 0, controller.find("s").queue.busy())
	must.Eq(t, 1, strings.Count(lines.String(), "place released twice"))
}

// Concurrent use, for the race detector: nothing is lost or held over.
func TestConcurrentUse(t *testing.T) {
	room := roomOf(4)
	controller := NewController(room)
	var running atomic.Int64
	var waits sync.WaitGroup
	for worker := range 32 {
		waits.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(worker)))
			for range 100 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(3000))*time.Microsecond)
				demand := demandFor(time.Duration(1+random.IntN(20)) * time.Millisecond)
				demand.Flow, demand.Class = fmt.Sprint(worker%5), Class(worker%2)
				grant, err := controller.Admit(ctx, demand)
				if err == nil {
					must.LessEq(t, 8, running.Add(1))
					time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
					running.Add(-1)
					grant.Release(Outcome{ServiceTime: 100 * time.Microsecond})
				}
				cancel()
				if random.IntN(20) == 0 {
					room.limit.Store(int64(1 + random.IntN(8)))
					controller.RoomChanged()
				}
			}
		})
	}
	waits.Wait()
	must.Eq(t, 0, controller.held.Load())
	queue := controller.find("s").queue
	must.Eq(t, 0, queue.waiting+queue.busy())
	must.SliceEmpty(t, queue.due)
	must.Eq(t, 0, controller.scoringHeld.Load())
}

// BenchmarkAdmitWithRoom measures the admission of a request that need not wait.
func BenchmarkAdmitWithRoom(b *testing.B) {
	controller := NewController(roomOf(1 << 30))
	demand := demandFor(time.Hour)
	b.Run("serial", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			grant, _ := controller.Admit(b.Context(), demand)
			grant.Release(Outcome{ServiceTime: time.Millisecond})
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				grant, _ := controller.Admit(b.Context(), demand)
				grant.Release(Outcome{ServiceTime: time.Millisecond})
			}
		})
	})
}

// BenchmarkDecision measures one arrival and one end of a request, with requests of many flows waiting.
func BenchmarkDecision(b *testing.B) {
	for _, flows := range []int{1, 70, 1000} {
		b.Run(fmt.Sprintf("waiting=1000/flows=%d", flows), func(b *testing.B) {
			queue := newQueue(rand.Float64)
			now := time.Duration(0)
			var grants []Grant
			for range 8 {
				grant, _ := queue.takeAtOnce(Interactive, 8, now)
				grants = append(grants, grant)
			}
			arrive := func(number int) {
				class, useful := Class(number%2), time.Duration(1+number%7)*time.Second
				queue.add(&ticket{class: class, useful: now + useful, deadline: now + time.Hour, size: 1}, fmt.Sprint(number%flows), number%3, ample, now)
			}
			for number := range 1000 {
				arrive(number)
			}
			var took []time.Duration
			for number := 1000; b.Loop(); number++ {
				began := time.Now()
				now += 3 * time.Millisecond
				arrive(number)
				queue.release(&grants[0], Outcome{ServiceTime: 24 * time.Millisecond}, now)
				queue.dispatch(8, now)
				took = append(took, time.Since(began))
				grants = grants[1:]
				for _, decided := range queue.decided {
					if decided.refusal == nil {
						grants = append(grants, decided.grant)
					}
				}
				queue.decided = queue.decided[:0]
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
			b.ReportMetric(float64(queue.waiting), "waiting")
		})
	}
}

// BenchmarkSweep measures the look at all of 1,000 waiting requests.
func BenchmarkSweep(b *testing.B) {
	queue := newQueue(rand.Float64)
	grant, _ := queue.takeAtOnce(Interactive, 1, 0)
	queue.release(&grant, Outcome{ServiceTime: 20 * time.Millisecond}, 0)
	queue.takeAtOnce(Interactive, 1, 0)
	for number := range 1000 {
		queue.add(&ticket{class: Class(number % 2), useful: time.Hour, deadline: time.Hour, size: 1}, fmt.Sprint(number%70), number%3, ample, 0)
	}
	for b.Loop() {
		queue.sweep(1, 0)
	}
	b.ReportMetric(float64(queue.waiting), "waiting")
}
