package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// call is one request of a load that is played against a queue.
type call struct {
	class    Class
	flow     string
	priority int
	arrives  time.Duration
	// useful and deadline count from the caller's first attempt.
	useful, deadline time.Duration
	returns          int // how often the caller still returns after a refusal
	first            time.Duration

	ticket   *ticket
	served   time.Duration // when it ended; zero if it was not served
	refusals []*RefusedError
}

// worth is what the answer is worth: 1 by the time of full value, a quarter later, and the mean of the two after a refusal.
func (call *call) worth() float64 {
	switch {
	case call.served == 0 || call.served > call.first+call.deadline:
		return 0
	case call.served > call.first+call.useful:
		return 0.25
	case len(call.refusals) > 0:
		return 0.625
	}
	return 1
}

type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (list events) Len() int           { return len(list) }
func (list events) Less(i, j int) bool { return list[i].at < list[j].at }
func (list events) Swap(i, j int)      { list[i], list[j] = list[j], list[i] }
func (list *events) Push(item any)     { *list = append(*list, item.(event)) }
func (list *events) Pop() any {
	last := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	return last
}

// play is a queue with simulated time, callers and replicas.
type play struct {
	t       *testing.T
	queue   *queue
	random  *rand.Rand
	limit   func(now time.Duration) int
	took    func(call *call, now time.Duration) time.Duration
	pending events
	waiting map[*ticket]*call
	longest int
}

func newPlay(t *testing.T, limit func(time.Duration) int, took func(*call, time.Duration) time.Duration) *play {
	random := rand.New(rand.NewPCG(1, 2))
	return &play{t: t, queue: newQueue(random.Float64), random: random, limit: limit, took: took, waiting: make(map[*ticket]*call)}
}

func (play *play) at(when time.Duration, do func(now time.Duration)) {
	heap.Push(&play.pending, event{when, do})
}

func (play *play) arrive(call *call, now time.Duration) {
	limit := play.limit(now)
	if grant, ok := play.queue.takeAtOnce(call.class, limit, now); ok {
		play.send(call, grant, now)
		return
	}
	// The node does not know of the first attempt: full value counts from this arrival, the deadline is what the caller has left.
	call.ticket = &ticket{class: call.class, useful: now + call.useful, deadline: call.first + call.deadline, size: 1}
	if call.class == Scoring {
		call.ticket.useful = call.first + call.useful
	}
	play.waiting[call.ticket] = call
	play.queue.add(call.ticket, call.flow, call.priority, func(int64) bool { return true }, now)
	play.queue.dispatch(limit, now)
	play.settle(now)
}

func (play *play) send(call *call, grant Grant, now time.Duration) {
	took := play.took(call, now)
	play.at(now+took, func(now time.Duration) {
		call.served = now
		play.queue.release(&grant, Outcome{ServiceTime: took}, now)
		play.queue.dispatch(play.limit(now), now)
		play.settle(now)
	})
}

func (play *play) settle(now time.Duration) {
	decided := play.queue.decided
	play.queue.decided = nil
	for _, ticket := range decided {
		call := play.waiting[ticket]
		delete(play.waiting, ticket)
		if ticket.refusal == nil {
			play.send(call, ticket.grant, now)
			continue
		}
		left := call.first + call.deadline - now
		must.Less(play.t, call.deadline, now-call.first, must.Sprint("a refused request was held to its deadline"))
		must.LessEq(play.t, max(minRetryAfter, left/3), ticket.refusal.RetryAfter)
		call.refusals = append(call.refusals, ticket.refusal)
		if call.returns > 0 {
			call.returns--
			play.at(now+ticket.refusal.RetryAfter, func(now time.Duration) { play.arrive(call, now) })
		}
	}
	play.longest = max(play.longest, play.queue.waiting)
}

// run plays the calls to the end of the last one.
func (play *play) run(calls []*call) {
	until := time.Duration(0)
	for _, call := range calls {
		call.first = call.arrives
		until = max(until, call.arrives+call.deadline+time.Second)
		play.at(call.arrives, func(now time.Duration) { play.arrive(call, now) })
	}
	for now := time.Duration(0); now < until; now += sweepInterval {
		play.at(now, func(now time.Duration) {
			play.queue.sweep(play.limit(now), now)
			play.queue.dispatch(play.limit(now), now)
			play.settle(now)
		})
	}
	for len(play.pending) > 0 {
		next := heap.Pop(&play.pending).(event)
		next.do(next.at)
	}
	must.Eq(play.t, 0, play.queue.waiting)
	must.Eq(play.t, 0, play.queue.bytes)
	must.Eq(play.t, 0, play.queue.busy())
	must.MapEmpty(play.t, play.waiting)
}

// poisson returns calls like the given one at random times with the given rate a second.
func (play *play) poisson(like call, rate float64, from, to time.Duration) []*call {
	var calls []*call
	for at := from; ; {
		at += time.Duration(play.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return calls
		}
		one := like
		one.arrives = at
		calls = append(calls, &one)
	}
}

func meanWorth(calls []*call, selected func(*call) bool) float64 {
	total, count := 0.0, 0
	for _, call := range calls {
		if selected(call) {
			total += call.worth()
			count++
		}
	}
	return total / float64(max(count, 1))
}

func places(count int) func(time.Duration) int { return func(time.Duration) int { return count } }

// around returns service times that vary by half around the mean of the class.
func around(play func() *play, interactive, scoring time.Duration) func(*call, time.Duration) time.Duration {
	return func(call *call, _ time.Duration) time.Duration {
		mean := interactive
		if call.class == Scoring {
			mean = scoring
		}
		return time.Duration((0.5 + play().random.Float64()) * float64(mean))
	}
}

// A service loses two thirds of its places while callers rush to it and steps are scored beside. There is just enough room for both: neither
// class may push the other out.
func TestRushBesideScoring(t *testing.T) {
	for _, scoringTime := range []time.Duration{25 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond} {
		var own *play
		own = newPlay(t, func(now time.Duration) int {
			if now < 10*time.Second {
				return 12
			}
			return 4
		}, around(func() *play { return own }, 25*time.Millisecond, scoringTime))
		interactive := call{class: Interactive, flow: "a", useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond, returns: 1}
		calls := own.poisson(interactive, 50, 0, 40*time.Second)
		calls = append(calls, own.poisson(interactive, 50, 20*time.Second, 24*time.Second)...)
		// Each burst is the work of one place for three of its four seconds.
		texts := int(3 * time.Second / scoringTime)
		steps := make(map[time.Duration][]*call)
		for at := 2 * time.Second; at < 36*time.Second; at += 4 * time.Second {
			for range texts {
				text := &call{class: Scoring, flow: "m", arrives: at, useful: 5 * time.Second, deadline: 12 * time.Second, returns: 5}
				steps[at] = append(steps[at], text)
				calls = append(calls, text)
			}
		}
		own.run(calls)
		worth := meanWorth(calls, func(call *call) bool { return call.class == Interactive })
		onTime := 0
		for _, texts := range steps {
			done := 0
			for _, text := range texts {
				if text.served > 0 && text.served <= text.first+text.useful {
					done++
				}
			}
			if float64(done) >= 0.9*float64(len(texts)) {
				onTime++
			}
		}
		t.Logf("scoring %v: interactive %.3f, steps on time %d of %d, at most %d waited", scoringTime, worth, onTime, len(steps), own.longest)
		must.GreaterEq(t, 0.85, worth)
		must.GreaterEq(t, 0.85, float64(onTime)/float64(len(steps)))
	}
}

// Interactive requests alone would take all places for long, and scoring requests alone would too: each keeps its guaranteed share.
func TestGuaranteedShares(t *testing.T) {
	var own *play
	own = newPlay(t, places(4), around(func() *play { return own }, 25*time.Millisecond, 25*time.Millisecond))
	calls := own.poisson(call{class: Interactive, flow: "a", useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond}, 400, 0, 10*time.Second)
	calls = append(calls, own.poisson(call{class: Scoring, flow: "m", useful: 400 * time.Millisecond, deadline: 2 * time.Second}, 400, 0, 10*time.Second)...)
	own.run(calls)
	served := make(map[Class]float64)
	for _, call := range calls {
		if call.served > 0 && call.served < 10*time.Second {
			served[call.class]++
		}
	}
	share := served[Scoring] / (served[Scoring] + served[Interactive])
	t.Logf("scoring has %.2f of the places", share)
	must.Between(t, guaranteedShare-0.05, share, 1-guaranteedShare+0.05)
}

// A tenant that floods a service takes nothing from the others.
func TestFloodOfOneTenant(t *testing.T) {
	others := func(flood float64) float64 {
		var own *play
		own = newPlay(t, places(4), around(func() *play { return own }, 25*time.Millisecond, 25*time.Millisecond))
		like := call{class: Interactive, useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond, returns: 1}
		var calls []*call
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			like.flow = name
			calls = append(calls, own.poisson(like, 10, 0, 20*time.Second)...)
		}
		if flood > 0 {
			like.flow = "flood"
			calls = append(calls, own.poisson(like, flood, 2*time.Second, 18*time.Second)...)
		}
		own.run(calls)
		t.Logf("flood of %v: others %.3f, flood %.3f", flood, meanWorth(calls, func(call *call) bool { return call.flow != "flood" }), meanWorth(calls, func(call *call) bool { return call.flow == "flood" }))
		return meanWorth(calls, func(call *call) bool { return call.flow != "flood" })
	}
	alone := others(0)
	for _, flood := range []float64{200, 1000, 5000} {
		must.GreaterEq(t, alone-0.03, others(flood))
	}
}

// In an overload of three times the room, refused requests learn so at once, and those that were refused together come back apart.
func TestRefusalsAreEarlyAndSpread(t *testing.T) {
	var own *play
	own = newPlay(t, places(4), around(func() *play { return own }, 25*time.Millisecond, 25*time.Millisecond))
	like := call{class: Interactive, flow: "a", useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond}
	calls := own.poisson(like, 480, 0, 10*time.Second)
	own.run(calls)
	refused, early := 0, 0
	var spread [10]int
	for _, call := range calls {
		if len(call.refusals) == 0 {
			continue
		}
		refused++
		if call.refusals[0].Waited <= call.useful/4 {
			early++
		}
		spread[min(9, int(10*call.refusals[0].RetryAfter/(call.deadline/3+1)))]++
	}
	inTime := meanWorth(calls, func(call *call) bool { return call.served > 0 })
	reasons, waits := map[string]int{}, map[time.Duration]int{}
	for _, call := range calls {
		for _, r := range call.refusals {
			reasons[r.Reason]++
			waits[r.Waited.Truncate(20*time.Millisecond)]++
		}
	}
	t.Log(reasons, waits)
	t.Logf("%d of %d refused, %d early, spread %v, worth of the served %.3f, of all %.3f", refused, len(calls), early, spread, inTime, meanWorth(calls, func(*call) bool { return true }))
	must.Greater(t, len(calls)/2, refused)
	must.GreaterEq(t, 0.9, float64(early)/float64(refused))
	must.GreaterEq(t, 0.85, inTime)
}
