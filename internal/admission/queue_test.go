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
	call.ticket = &ticket{class: call.class, useful: call.first + call.useful, deadline: call.first + call.deadline, size: 1}
	play.waiting[call.ticket] = call
	play.queue.add(call.ticket, call.flow, call.priority, ample, now)
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
	must.Eq(play.t, 0, play.queue.bytes+play.queue.scoringBytes+int64(play.queue.small))
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

// ample is memory without a bound.
func ample(_, _ int64) bool { return true }

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

// A step that can only be scored in time with most of the places gets them, although callers alone would take all.
func TestUrgentStep(t *testing.T) {
	var own *play
	own = newPlay(t, places(4), around(func() *play { return own }, 25*time.Millisecond, 25*time.Millisecond))
	calls := own.poisson(call{class: Interactive, flow: "a", useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond}, 300, 0, 6*time.Second)
	var step []*call
	for range 90 {
		step = append(step, &call{class: Scoring, flow: "m", arrives: 3 * time.Second, useful: time.Second, deadline: 3 * time.Second})
	}
	own.run(append(calls, step...))
	onTime := meanWorth(step, func(*call) bool { return true })
	t.Logf("worth of the step %.2f", onTime)
	must.GreaterEq(t, 0.9, onTime)
}

// Long scoring requests with time to spare leave one place to interactive ones while such arrive, which then wait for nothing. Urgent ones
// do not.
func TestLongScoringLeavesAPlace(t *testing.T) {
	queue := newQueue(func() float64 { return 0.5 })
	for class, took := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		grant, _ := queue.takeAtOnce(Class(class), 3, 0)
		queue.release(&grant, Outcome{ServiceTime: took}, 0)
	}
	now := time.Second
	add := func(useful time.Duration) {
		if _, ok := queue.takeAtOnce(Scoring, 3, now); !ok {
			queue.add(&ticket{class: Scoring, useful: useful, deadline: time.Hour}, "m", 0, ample, now)
			queue.dispatch(3, now)
		}
	}
	for range 4 {
		add(time.Minute)
	}
	must.Eq(t, []int{2, 2}, []int{queue.inFlight[Scoring], queue.waiting})
	grant, ok := queue.takeAtOnce(Interactive, 3, now)
	must.True(t, ok)
	_, ok = queue.takeAtOnce(Interactive, 3, now)
	must.False(t, ok)
	queue.release(&grant, Outcome{ServiceTime: 20 * time.Millisecond}, now)
	queue.dispatch(3, now)
	must.Eq(t, 2, queue.inFlight[Scoring])
	add(now + 300*time.Millisecond)
	must.Eq(t, 3, queue.inFlight[Scoring], must.Sprint("an urgent request takes the last place"))
	queue.inFlight[Scoring]--
	queue.dispatch(3, now+interactiveMemory)
	must.Eq(t, 3, queue.inFlight[Scoring], must.Sprint("no interactive request arrives any more"))
}

// Only scoring with time to spare leaves the last place idle: a step that is late, or about to be, takes it.
func TestLateScoringTakesTheLastPlace(t *testing.T) {
	for _, check := range []struct {
		name   string
		useful time.Duration
		taken  int
	}{{"late", 100 * time.Millisecond, 2}, {"critical", 600 * time.Millisecond, 2}, {"time to spare", time.Minute, 1}} {
		queue := newQueue(func() float64 { return 0.5 })
		for class, took := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
			grant, _ := queue.takeAtOnce(Class(class), 2, 0)
			queue.release(&grant, Outcome{ServiceTime: took}, 0)
		}
		_, ok := queue.takeAtOnce(Scoring, 2, 0)
		must.True(t, ok)
		_, ok = queue.takeAtOnce(Scoring, 2, 0)
		must.False(t, ok)
		queue.add(&ticket{class: Scoring, useful: check.useful, deadline: time.Hour}, "m", 0, ample, 0)
		queue.dispatch(2, 0)
		must.Eq(t, check.taken, queue.inFlight[Scoring], must.Sprint(check.name))
	}
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

// Flows share slot time, not requests: one whose requests take four times as long gets a quarter as many.
func TestFlowsShareSlotTime(t *testing.T) {
	took := map[string]time.Duration{"long": 40 * time.Millisecond, "short": 10 * time.Millisecond}
	own := newPlay(t, places(2), func(call *call, _ time.Duration) time.Duration { return took[call.flow] })
	var calls []*call
	for range 1000 {
		for name := range took {
			calls = append(calls, &call{class: Interactive, flow: name, useful: time.Minute, deadline: time.Minute})
		}
	}
	own.run(calls)
	used := make(map[string]time.Duration)
	for _, call := range calls {
		if call.served > 0 && call.served < 8*time.Second {
			used[call.flow] += took[call.flow]
		}
	}
	t.Log(used)
	must.Between(t, 0.45, used["long"].Seconds()/(used["long"]+used["short"]).Seconds(), 0.55)
}

// A flow that runs empty each time owes the slot time that it used all the same: a tenant with one request at a time gets no more than one
// with many waiting.
func TestFlowsThatRunEmptyShareSlotTime(t *testing.T) {
	for _, together := range []int{1, 2} {
		took := map[string]time.Duration{"many": 50 * time.Millisecond, "few": 500 * time.Millisecond}
		queue := newQueue(func() float64 { return 0.5 })
		used := make(map[string]time.Duration)
		add := func(flow string, now time.Duration) {
			queue.add(&ticket{useful: time.Hour, deadline: time.Hour}, flow, 0, ample, now)
		}
		grant, _ := queue.takeAtOnce(Interactive, 1, 0)
		for range 30 {
			add("many", 0)
		}
		for range together {
			add("few", 0)
		}
		for now := time.Duration(0); now < 55*time.Second; {
			served := 50 * time.Millisecond
			if grant.flow != nil {
				served = took[grant.flow.name]
				used[grant.flow.name] += served
			}
			now += served
			queue.release(&grant, Outcome{ServiceTime: served}, now)
			queue.dispatch(1, now)
			last := grant.flow
			grant, queue.decided = queue.decided[0].grant, nil
			if last != nil {
				add(last.name, now)
			}
		}
		t.Log(used)
		must.Between(t, 0.45, used["few"].Seconds()/(used["few"]+used["many"]).Seconds(), 0.55)
		must.Eq(t, 2, len(queue.levels[0].flows))
	}
}

// A flow owes what it used while others waited, and owes nothing once none has waited for a while.
func TestDebtOfAFlowEndsWithTheRush(t *testing.T) {
	for _, check := range []struct {
		quiet time.Duration
		first string
	}{{100 * time.Millisecond, "new"}, {2 * forgetUsageAfter, "old"}} {
		queue := newQueue(func() float64 { return 0.5 })
		grant, _ := queue.takeAtOnce(Interactive, 1, 0)
		now := time.Duration(0)
		step := func() string {
			now += 10 * time.Millisecond
			queue.release(&grant, Outcome{ServiceTime: 10 * time.Millisecond}, now)
			queue.dispatch(1, now)
			decided := queue.decided[0]
			queue.decided, grant = nil, decided.grant
			return decided.flow.name
		}
		add := func(flow string, useful time.Duration) {
			queue.add(&ticket{useful: now + useful, deadline: time.Hour}, flow, 0, ample, now)
		}
		for range 20 {
			add("old", time.Minute)
		}
		for range 20 {
			step()
		}
		now += check.quiet
		queue.release(&grant, Outcome{}, now)
		grant, _ = queue.takeAtOnce(Interactive, 1, now)
		add("new", time.Minute)
		add("old", 30*time.Second)
		must.Eq(t, check.first, step())
	}
}

// In an overload of three times the room, refused requests learn so at once, and what is served is served in time.
func TestRefusalsAreEarly(t *testing.T) {
	var own *play
	own = newPlay(t, places(4), around(func() *play { return own }, 25*time.Millisecond, 25*time.Millisecond))
	like := call{class: Interactive, flow: "a", useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond}
	calls := own.poisson(like, 480, 0, 10*time.Second)
	own.run(calls)
	refused, early := 0, 0
	for _, call := range calls {
		if len(call.refusals) == 0 {
			continue
		}
		refused++
		if call.refusals[0].Waited <= call.useful/4 {
			early++
		}
	}
	inTime := meanWorth(calls, func(call *call) bool { return call.served > 0 })
	t.Logf("%d of %d refused, %d early, worth of the served %.3f, of all %.3f", refused, len(calls), early, inTime, meanWorth(calls, func(*call) bool { return true }))
	must.Greater(t, len(calls)/2, refused)
	must.GreaterEq(t, 0.9, float64(early)/float64(refused))
	must.GreaterEq(t, 0.85, inTime)
}

// In a lasting overload, callers that come back after a refusal, and are too late for the full value, do not crowd out new ones: the room
// is used for answers in time.
func TestReturningCallersDoNotCrowdOutNewOnes(t *testing.T) {
	for _, overload := range []float64{1.1, 1.3, 2} {
		var own *play
		own = newPlay(t, places(4), around(func() *play { return own }, 25*time.Millisecond, 25*time.Millisecond))
		like := call{class: Interactive, flow: "a", useful: 150 * time.Millisecond, deadline: 800 * time.Millisecond, returns: 1}
		calls := own.poisson(like, 160*overload, 0, 20*time.Second)
		own.run(calls)
		worth := meanWorth(calls, func(*call) bool { return true })
		t.Logf("overload %.1f: worth %.3f, at most %.3f", overload, worth, 1/overload)
		must.GreaterEq(t, 0.85/overload, worth)
	}
}

// Callers that are refused at one time come back spread over at least half of the time that the backlog takes to drain, and no caller is
// told more than it would heed.
func TestRefusedTogetherReturnApart(t *testing.T) {
	queue := newQueue(rand.New(rand.NewPCG(1, 2)).Float64)
	grant, _ := queue.takeAtOnce(Interactive, 1, 0)
	queue.release(&grant, Outcome{ServiceTime: 50 * time.Millisecond}, 0)
	queue.takeAtOnce(Interactive, 1, 0)
	const left = 900 * time.Millisecond
	var returns []time.Duration
	for range 500 {
		request := &ticket{useful: left, deadline: left}
		queue.add(request, "a", 0, ample, 0)
		if request.refusal != nil {
			returns = append(returns, request.refusal.RetryAfter)
		}
	}
	must.Greater(t, 400, len(returns))
	var tenths [10]int
	for _, after := range returns {
		must.Between(t, left/6, after, left/3)
		tenths[min(9, int(10*(after-left/6)/(left/6)))]++
	}
	for _, count := range tenths {
		must.Between(t, len(returns)/20, count, len(returns)/5)
	}
	// A refusal close to the deadline does not send the caller beyond it.
	request := &ticket{useful: 40 * time.Millisecond, deadline: 60 * time.Millisecond}
	queue.add(request, "b", 0, ample, 0)
	must.LessEq(t, minRetryAfter, request.refusal.RetryAfter)
}

// The order in which waiting requests are served, apart from shares: by urgency, priority, used slot time and deadline.
func TestOrder(t *testing.T) {
	queue := newQueue(func() float64 { return 0.5 })
	grant, _ := queue.takeAtOnce(Interactive, 1, 0)
	queue.release(&grant, Outcome{ServiceTime: 10 * time.Millisecond}, 0)
	grant, _ = queue.takeAtOnce(Interactive, 1, 0)
	names := make(map[*ticket]string)
	add := func(name string, class Class, flow string, priority int, useful, deadline time.Duration) {
		request := &ticket{class: class, useful: useful, deadline: deadline}
		names[request] = name
		queue.add(request, flow, priority, ample, 0)
		must.Nil(t, request.refusal, must.Sprint(name))
	}
	const second = time.Second
	add("spare scoring", Scoring, "m", 0, 100*second, 200*second)
	add("late", Interactive, "c", 0, time.Millisecond, 60*second)
	add("lower priority", Interactive, "a", 1, 10*second, 60*second)
	add("first of b", Interactive, "b", 0, 10*second, 30*second)
	add("second of b", Interactive, "b", 0, 10*second, 31*second)
	add("first of a", Interactive, "a", 0, 10*second, 60*second)
	add("came back to a", Interactive, "a", 0, 10*second, 40*second)
	add("critical scoring", Scoring, "m", 0, 60*time.Millisecond, 200*second)
	var order []string
	for now := 10 * time.Millisecond; queue.waiting > 0; now += 10 * time.Millisecond {
		queue.release(&grant, Outcome{ServiceTime: 10 * time.Millisecond}, now)
		queue.dispatch(1, now)
		must.Len(t, 1, queue.decided)
		order = append(order, names[queue.decided[0]])
		grant = queue.decided[0].grant
		queue.decided = nil
	}
	must.Eq(t, []string{"critical scoring", "first of b", "came back to a", "second of b", "first of a", "lower priority", "late", "spare scoring"}, order)
}

// stalled returns a queue of the given places, all taken at time 0 with a mean of 25 ms, and as many waiting interactive requests.
func stalled(places int) (*queue, []*ticket) {
	queue := newQueue(func() float64 { return 0.5 })
	grant, _ := queue.takeAtOnce(Interactive, places, 0)
	queue.release(&grant, Outcome{ServiceTime: 25 * time.Millisecond}, 0)
	for range places {
		queue.takeAtOnce(Interactive, places, 0)
	}
	var waiting []*ticket
	for range places {
		request := &ticket{useful: 150 * time.Millisecond, deadline: 400 * time.Millisecond}
		queue.add(request, "a", 0, ample, 0)
		waiting = append(waiting, request)
	}
	return queue, waiting
}

func countTickets(list []*ticket, selected func(*ticket) bool) int {
	count := 0
	for _, request := range list {
		if selected(request) {
			count++
		}
	}
	return count
}

func wasLate(request *ticket) bool   { return request.isLate }
func isRefused(request *ticket) bool { return request.refusal != nil }

// A pause of the node's own process is no stall of the service: neither requests that wait nor the next to arrive are refused or late for
// it. A stall of the same length while the process runs is one.
func TestPauseOfTheProcessIsNoStall(t *testing.T) {
	const pause = 80 * time.Millisecond
	for _, paused := range []bool{true, false} {
		queue, waiting := stalled(2)
		for now := sweepInterval; now <= pause+sweepInterval; now += sweepInterval {
			if !paused {
				queue.sweep(2, now)
			}
		}
		arriving := &ticket{useful: pause + 130*time.Millisecond, deadline: pause + 400*time.Millisecond}
		queue.add(arriving, "b", 0, ample, pause+sweepInterval)
		must.Eq(t, !paused, arriving.isLate || arriving.refusal != nil, must.Sprint("arriving, paused: ", paused))
		queue.sweep(2, pause+sweepInterval)
		must.Eq(t, !paused, countTickets(waiting, wasLate)+countTickets(waiting, isRefused) > 0, must.Sprint("waiting, paused: ", paused))
	}
	// The same while a queue was empty between two sweeps: the time without waiting requests is no pause, nor is it time without progress.
	queue, _ := stalled(2)
	for now := time.Second; queue.waiting > 0; now += sweepInterval {
		queue.sweep(2, now)
	}
	queue.add(&ticket{useful: time.Hour, deadline: time.Hour}, "a", 0, ample, 10*time.Second)
	progressed := queue.progressed
	queue.sweep(2, 10*time.Second+sweepInterval)
	must.Eq(t, progressed, queue.progressed)
}

// Places that were taken together also end together: answers that take somewhat longer than the mean are no stall.
func TestFirstAnswersOfABurstAreNoStall(t *testing.T) {
	queue, waiting := stalled(12)
	for _, now := range []time.Duration{20 * time.Millisecond, 40 * time.Millisecond} {
		queue.sweep(12, now)
	}
	must.Eq(t, 0, countTickets(waiting, wasLate))
	for now := 60 * time.Millisecond; now <= 140*time.Millisecond; now += sweepInterval {
		queue.sweep(12, now)
	}
	must.Positive(t, countTickets(waiting, wasLate), must.Sprint("five means without an answer are a stall"))
}

// The request that is evicted from a full queue: of the least urgent kind, then the lowest priority, of the longest flow the last. A class
// that holds no more than its share of the queue loses nothing to the other one.
func TestEviction(t *testing.T) {
	const second = time.Second
	interactive := func(flow string, priority int, useful time.Duration) *call {
		return &call{class: Interactive, flow: flow, priority: priority, useful: useful}
	}
	scoring := func(useful time.Duration) *call { return &call{class: Scoring, flow: "m", useful: useful} }
	for _, check := range []struct {
		name    string
		waiting []*call
		arrives *call
		evicted int // index in waiting; that of arrives if it is refused
	}{
		{"spare scoring before interactive in time", []*call{interactive("a", 0, 50*second), interactive("a", 0, 60*second), scoring(10 * second), scoring(20 * second)}, interactive("a", 0, 70*second), 3},
		{"late interactive before one in time", []*call{interactive("a", 1, 50*second), interactive("a", 1, 60*second), interactive("b", 0, time.Millisecond), interactive("a", 1, 70*second)}, interactive("a", 1, 80*second), 2},
		{"spare scoring before a late one", []*call{scoring(10 * second), scoring(time.Millisecond), scoring(30 * second), scoring(20 * second)}, scoring(5 * second), 2},
		{"low priority", []*call{interactive("a", 0, 50*second), interactive("a", 0, 60*second), interactive("b", 1, 10*second), interactive("a", 0, 70*second)}, interactive("a", 0, 80*second), 2},
		{"lower priority arrives", []*call{interactive("a", 0, 50*second), interactive("a", 0, 60*second), interactive("a", 0, 70*second), interactive("a", 0, 80*second)}, interactive("b", 1, 10*second), 4},
		{"the longest flow", []*call{interactive("a", 0, 50*second), interactive("b", 0, 60*second), interactive("a", 0, 55*second), interactive("c", 0, 80*second)}, interactive("d", 0, 90*second), 2},
		{"scoring keeps its share", []*call{interactive("a", 0, 50*second), interactive("a", 0, 70*second), interactive("a", 0, 60*second), scoring(10 * second)}, interactive("a", 0, 40*second), 1},
		{"interactive keeps its share", []*call{interactive("a", 0, time.Millisecond), scoring(10 * second), scoring(20 * second), scoring(15 * second)}, scoring(5 * second), 2},
	} {
		queue := newQueue(func() float64 { return 0.5 })
		grant, _ := queue.takeAtOnce(Interactive, 1, 0)
		queue.release(&grant, Outcome{ServiceTime: 10 * time.Millisecond}, 0)
		queue.takeAtOnce(Interactive, 1, 0)
		const size = smallRequest + 1
		all := append(check.waiting, check.arrives)
		for _, call := range all {
			call.ticket = &ticket{class: call.class, useful: call.useful, deadline: 1000 * second, size: size}
			queue.add(call.ticket, call.flow, call.priority, func(more, _ int64) bool { return queue.bytes+more <= int64(len(check.waiting))*size }, 0)
		}
		for index, call := range all {
			must.Eq(t, index == check.evicted, call.ticket.refusal != nil, must.Sprint(check.name, ": ", index))
		}
		if check.evicted < len(check.waiting) {
			must.Eq(t, reasonEvicted, all[check.evicted].ticket.refusal.Reason)
		} else {
			must.Eq(t, reasonQueueFull, check.arrives.ticket.refusal.Reason)
		}
	}
}

// A queue that holds as many requests as can be served evicts one of any class, although there is memory.
func TestEvictionByLength(t *testing.T) {
	queue := newQueue(func() float64 { return 0.5 })
	grant, _ := queue.takeAtOnce(Interactive, 1, 0)
	queue.release(&grant, Outcome{ServiceTime: 5 * time.Second}, 0)
	queue.takeAtOnce(Interactive, 1, 0)
	for number := range 4 * minQueueBound {
		request := &ticket{useful: 500*time.Second - time.Duration(number), deadline: 1000 * time.Second, size: 1 + int64(number%2)*smallRequest}
		queue.add(request, "a", 0, ample, 0)
		must.True(t, request.waiting, must.Sprint(number))
		must.LessEq(t, minQueueBound, queue.waiting)
	}
	must.Eq(t, 3*minQueueBound, countTickets(queue.decided, func(request *ticket) bool { return request.refusal.Reason == reasonEvicted }))
}

// Late requests of the two classes share the slot time that is left over: the class that used less goes first.
func TestLateScoringAndLateCallersTakeTurns(t *testing.T) {
	for _, used := range []Class{Interactive, Scoring} {
		queue := newQueue(func() float64 { return 0.5 })
		grant, _ := queue.takeAtOnce(used, 1, 0)
		for _, class := range []Class{Interactive, Scoring} {
			queue.add(&ticket{class: class, useful: time.Millisecond, deadline: time.Hour}, "a", 0, ample, 5*time.Millisecond)
		}
		for range 2 {
			queue.release(&grant, Outcome{}, 10*time.Millisecond)
			queue.dispatch(1, 10*time.Millisecond)
			grant = queue.decided[len(queue.decided)-1].grant
		}
		must.Eq(t, []Class{1 - used, used}, []Class{queue.decided[0].class, queue.decided[1].class})
	}
}

// Requests that are cut off at their deadlines tell that replicas take longer, although none of them ends. Refused and quick ones tell
// nothing.
func TestRequestsCutOffRaiseTheServiceTime(t *testing.T) {
	queue := newQueue(func() float64 { return 0.5 })
	end := func(held time.Duration, outcome Outcome) {
		grant, _ := queue.takeAtOnce(Interactive, 1, 0)
		queue.release(&grant, outcome, held)
	}
	end(time.Millisecond, Outcome{})
	end(time.Second, Outcome{})
	end(time.Second, Outcome{Full: true})
	end(time.Millisecond, Outcome{AtLeast: time.Millisecond})
	must.False(t, queue.timesKnown(), must.Sprint("nothing is known by a request that never ran, or was cut off early"))
	end(20*time.Millisecond, Outcome{ServiceTime: 20 * time.Millisecond})
	end(time.Millisecond, Outcome{AtLeast: time.Millisecond})
	end(time.Second, Outcome{})
	end(time.Second, Outcome{Full: true})
	must.Eq(t, 20*time.Millisecond, time.Duration(queue.meanOf(Interactive)))
	for range 30 {
		end(800*time.Millisecond, Outcome{AtLeast: 800 * time.Millisecond})
	}
	must.Between(t, 700*time.Millisecond, time.Duration(queue.meanOf(Interactive)), 800*time.Millisecond)
}
