package admission

import (
	"slices"
	"time"
)

const (
	// guaranteedShare is the share of a service's slot time that interactive requests in time and critical scoring requests each keep while
	// the other presses. What one of them leaves unused goes to the other.
	guaranteedShare = 0.25
	// leastLateRate is the least rate, as a part of the places, at which late requests are assumed to be served.
	leastLateRate = 0.02
	// waitUncertainty is the part of the time of full value by which an estimated wait may be off.
	waitUncertainty = 0.15
	// lateCaution is the factor by which a late request must be expected to make its deadline, since more urgent ones go on arriving.
	lateCaution = 2
	// stallIntervals is after how many mean intervals without a freed place, beyond a service time, the places are taken to be slower than
	// measured.
	stallIntervals = 4
	// criticalMargin covers the time between two looks at the queue.
	criticalMargin = 2 * sweepInterval
	// criticalRefresh is how long the result of refreshCritical holds.
	criticalRefresh = 5 * time.Millisecond
	// interactiveMemory is how long after an interactive request the next one is expected.
	interactiveMemory = 10 * time.Second
	// forgetUsageAfter is the time without waiting requests after which flows are equal again.
	forgetUsageAfter = time.Second
	// never is later than every time in use.
	never = time.Duration(1 << 62)
)

// Reasons of refusals.
const (
	reasonBacklog   = "backlog"    // the backlog ahead takes longer than the request has left
	reasonExpired   = "expired"    // it waited, and can't be served by its deadline any more
	reasonEvicted   = "evicted"    // it gave way to a more urgent request
	reasonQueueFull = "queue_full" // as many wait as can be served, and it is the least urgent
)

// placeID tells the places of all grants of a service apart: a place has a new turn for each grant.
type placeID struct {
	index int
	turn  uint64
}

// placeTable tells which grants are in use, so that one that is released twice frees no place of another. It grows to the greatest number of
// requests in flight.
type placeTable struct {
	turns []uint64 // by index; odd while in use
	free  []int
}

func (places *placeTable) take() placeID {
	if len(places.free) == 0 {
		places.free = append(places.free, len(places.turns))
		places.turns = append(places.turns, 0)
	}
	last := len(places.free) - 1
	index := places.free[last]
	places.free = places.free[:last]
	places.turns[index]++
	return placeID{index: index, turn: places.turns[index]}
}

// release reports whether the place was in use.
func (places *placeTable) release(place placeID) bool {
	if place.turn == 0 || places.turns[place.index] != place.turn {
		return false
	}
	places.turns[place.index]++
	places.free = append(places.free, place.index)
	return true
}

// queue decides which requests get the places of one service: which is sent at once, which waits, which of those that wait is next, and
// which is refused. It answers the load of a service with less room than demand: places go to the requests that are worth most, and what
// can't be served by its deadline learns so early enough to go elsewhere. It is a plain value without locks, timers or I/O; its caller
// passes the time and chance in, and passes the decisions on.
type queue struct {
	limit    int
	inFlight [2]int // by class
	places   placeTable
	waiting  int
	small    int // waiting requests of at most smallRequest
	// bytes is what waiting requests hold, scoringBytes the part of scoring requests.
	bytes, scoringBytes int64
	refused             int64
	levels              []*level  // by class, then priority
	due                 []*ticket // scoring requests in time by useful
	times               [2]serviceTime
	usage               usage
	// progressed is when a place was last taken or freed, moved forward by pauses of the process since.
	progressed time.Duration
	// sweptAt is when the queue was last swept, or began to hold requests.
	sweptAt time.Duration
	// waitedUntil is about when a request last waited.
	waitedUntil time.Duration
	// interactiveAt is when an interactive request last arrived.
	interactiveAt time.Duration
	// longest is the longest time that a request lately had until its deadline.
	longest time.Duration
	// criticalUntil and urgentUntil are the values of useful up to which scoring requests have to be served now: critical ones get the
	// guaranteed share, urgent ones all but the share of the others.
	criticalUntil, urgentUntil time.Duration
	criticalCount              int
	criticalAt                 time.Duration
	chance                     func() float64
	decided                    []*ticket // to be told their decisions
}

func newQueue(chance func() float64) *queue {
	return &queue{chance: chance, limit: 1, criticalUntil: -1, urgentUntil: -1, criticalAt: -never, interactiveAt: -never}
}

func (queue *queue) busy() int { return queue.inFlight[Interactive] + queue.inFlight[Scoring] }

// hasRoom reports whether a request of the class would be admitted at once. Scoring requests that are held back leave room for others.
func (queue *queue) hasRoom(class Class, limit int, now time.Duration) bool {
	switch {
	case queue.busy() >= limit:
		return false
	case class == Interactive:
		return queue.waiting == 0 || queue.holdsBack(limit, now) && queue.count(Interactive, false)+queue.count(Interactive, true) == 0
	}
	return queue.waiting == 0 && !queue.holdsBack(limit, now)
}

// holdsBack reports whether scoring requests with time to spare have to leave the last place to interactive ones. It answers the load of
// few places and scoring that takes long: an interactive request that finds all places taken by it would wait for longer than it takes
// itself.
func (queue *queue) holdsBack(limit int, now time.Duration) bool {
	return limit > 1 && queue.inFlight[Scoring] >= limit-1 && now-queue.interactiveAt < interactiveMemory &&
		queue.meanOf(Scoring) > queue.meanOf(Interactive)*float64(limit)
}

// take admits a request. flow is nil if it did not wait.
func (queue *queue) take(class Class, kind kind, flow *flow, now time.Duration) Grant {
	charged := queue.meanOf(class)
	queue.inFlight[class]++
	queue.progressed = now
	queue.usage.add(kind, charged, now)
	if flow != nil {
		flow.inFlight++
		start := max(flow.level.virtual, flow.finish)
		flow.level.virtual = start
		flow.finish = start + charged
	}
	return Grant{class: class, kind: kind, flow: flow, charged: charged, since: now, place: queue.places.take()}
}

// takeAtOnce admits a request if there is room, and reports whether it did.
func (queue *queue) takeAtOnce(class Class, limit int, now time.Duration) (Grant, bool) {
	queue.limit = max(limit, 1)
	if class == Interactive {
		queue.interactiveAt = now
	}
	if !queue.hasRoom(class, queue.limit, now) {
		return Grant{}, false
	}
	kind := kindInTime
	if class == Scoring {
		kind = kindSpare
	}
	return queue.take(class, kind, nil, now), true
}

// release frees the place of an admitted request. It returns the number of requests in flight until then, and false if the place was freed
// before.
func (queue *queue) release(grant *Grant, outcome Outcome, now time.Duration) (before int, ok bool) {
	before = queue.busy()
	if !queue.places.release(grant.place) {
		return before, false
	}
	queue.inFlight[grant.class]--
	queue.progressed = now
	held := now - grant.since
	switch {
	case outcome.ServiceTime > 0:
		queue.times[grant.class].observe(outcome.ServiceTime)
	case outcome.AtLeast > 0:
		queue.times[grant.class].observeAtLeast(outcome.AtLeast)
	}
	correction := float64(held) - grant.charged
	queue.usage.add(grant.kind, correction, now)
	if flow := grant.flow; flow != nil {
		flow.inFlight--
		flow.finish += correction
		flow.level.forget(flow)
	}
	return before, true
}

// count returns the number of waiting requests of a class that are late, or are not.
func (queue *queue) count(class Class, isLate bool) int {
	total := 0
	for _, level := range queue.levels {
		if level.class != class {
			continue
		}
		if isLate {
			total += level.lateCount
		} else {
			total += level.inTimeCount
		}
	}
	return total
}

// ahead returns how many requests of the same class, late or not like it, are expected to be served before a request. Flows of its level
// take turns, so that each has as many served before it as the request's own flow, and one more.
func (queue *queue) ahead(request *ticket, isLate bool) int {
	own := request.flow
	index, _ := slices.BinarySearchFunc(own.list(isLate), request, compareTickets)
	total := index
	for _, level := range queue.levels {
		if level.class != request.class || level.priority > own.level.priority {
			continue
		}
		if level.priority < own.level.priority {
			if isLate {
				total += level.lateCount
			} else {
				total += level.inTimeCount
			}
			continue
		}
		for _, other := range level.active {
			if other != own {
				total += min(len(other.list(isLate)), index+1)
			}
		}
	}
	return total
}

// add queues a request or refuses it. room reports whether size more bytes may be held, of them the given ones by scoring requests.
func (queue *queue) add(request *ticket, flowName string, priority int, room func(size, scoring int64) bool, now time.Duration) {
	queue.endRush(now)
	queue.refreshCritical(now)
	level := queue.levelOf(request.class, priority)
	request.flow = level.flowOf(flowName)
	request.arrived = now
	request.isLate = now+queue.likelyOf(request.class) > request.useful
	request.position = queue.ahead(request, request.isLate)
	if queue.timesKnown() && now+queue.expected(request, now) > request.deadline || now >= request.deadline {
		queue.refuse(request, reasonBacklog, now)
		level.forget(request.flow)
		return
	}
	queue.longest = max(queue.longest, min(request.deadline-now, longestWait))
	fits := queue.small < minQueueBound && request.size <= smallRequest || room(request.size, request.scoringSize())
	if queue.waiting >= queue.bound() || !fits {
		// Only a scoring request makes room for another one if scoring requests hold all that they may.
		victim := queue.leastUrgent(!fits && room(request.size, 0))
		if victim == nil || !queue.givesWay(victim, request) ||
			!fits && !room(request.size-victim.size, request.scoringSize()-victim.scoringSize()) {
			queue.refuse(request, reasonQueueFull, now)
			level.forget(request.flow)
			return
		}
		queue.remove(victim)
		queue.refuse(victim, reasonEvicted, now)
	}
	queue.insert(request)
}

// endRush forgets the slot time that flows used once no request has waited for a while, so that a flow owes nothing for what it used while
// the others went without waiting.
func (queue *queue) endRush(now time.Duration) {
	if queue.waiting > 0 || now-queue.waitedUntil < forgetUsageAfter {
		return
	}
	for _, level := range queue.levels {
		for _, flow := range level.flows {
			level.virtual = max(level.virtual, flow.finish)
		}
		for _, flow := range level.flows {
			level.forget(flow)
		}
	}
}

// expected returns the time until a newly arrived request is expected to have been served. A request that would wait beyond the time of
// its full value becomes late at once, so that the next one finds it among the late ones.
func (queue *queue) expected(request *ticket, now time.Duration) time.Duration {
	service := queue.likelyOf(request.class)
	total := queue.wait(request.class, request.isLate, request.position, now) + service
	if request.class == Interactive && !request.isLate && now+total+queue.uncertainty(request) > request.useful {
		request.isLate = true
		request.position = queue.count(Interactive, false) + queue.ahead(request, true)
		total = lateCaution*queue.wait(Interactive, true, queue.ahead(request, true), now) + service
	}
	return total
}

func (queue *queue) kindOf(request *ticket) kind {
	switch {
	case request.isLate:
		return kindLate
	case request.class == Interactive:
		return kindInTime
	case request.useful <= queue.criticalUntil:
		return kindCritical
	}
	return kindSpare
}

func (queue *queue) insert(request *ticket) {
	flow := request.flow
	if flow.waiting() == 0 {
		flow.level.active = append(flow.level.active, flow)
	}
	if request.isLate {
		flow.late = insertSorted(flow.late, request)
		flow.level.lateCount++
	} else {
		flow.inTime = insertSorted(flow.inTime, request)
		flow.level.inTimeCount++
		if request.class == Scoring {
			queue.due = insertSorted(queue.due, request)
			queue.criticalAt = -never
		}
	}
	if queue.waiting == 0 {
		queue.sweptAt = request.arrived
	}
	request.waiting = true
	queue.waiting++
	queue.hold(request, 1)
}

// remove takes a request out of the queue.
func (queue *queue) remove(request *ticket) {
	flow := request.flow
	if request.isLate {
		flow.late = removeSorted(flow.late, request)
		flow.level.lateCount--
	} else {
		flow.inTime = removeSorted(flow.inTime, request)
		flow.level.inTimeCount--
		if request.class == Scoring {
			queue.due = removeSorted(queue.due, request)
		}
	}
	request.waiting = false
	queue.waiting--
	queue.waitedUntil = max(queue.waitedUntil, queue.progressed)
	queue.hold(request, -1)
	if flow.waiting() == 0 {
		active := flow.level.active
		index := slices.Index(active, flow)
		active[index] = active[len(active)-1]
		active[len(active)-1] = nil
		flow.level.active = active[:len(active)-1]
		flow.level.forget(flow)
	}
}

// hold counts what a request holds: 1 when it is queued, -1 when it leaves.
func (queue *queue) hold(request *ticket, times int) {
	queue.bytes += int64(times) * request.size
	queue.scoringBytes += int64(times) * request.scoringSize()
	if request.size <= smallRequest {
		queue.small += times
	}
}

// refuse decides that a request that is not in the queue is not admitted.
func (queue *queue) refuse(request *ticket, reason string, now time.Duration) {
	queue.refused++
	request.refusal = &RefusedError{
		Reason: reason, RetryAfter: queue.retryAfter(request.class, 0, request.deadline-now, now), Waited: now - request.arrived, Position: request.position,
	}
	queue.decided = append(queue.decided, request)
}

// dispatch admits waiting requests while there is room.
func (queue *queue) dispatch(limit int, now time.Duration) {
	queue.limit = max(limit, 1)
	for queue.waiting > 0 && queue.busy() < queue.limit {
		request, kind := queue.next(now)
		if request == nil {
			return
		}
		if now >= request.deadline {
			queue.remove(request)
			queue.refuse(request, reasonExpired, now)
			continue
		}
		request.grant = queue.take(request.class, kind, request.flow, now)
		queue.remove(request) // after take, so that a flow that runs empty is kept for what it owes
		request.grant.waited, request.grant.position = now-request.arrived, request.position
		queue.decided = append(queue.decided, request)
	}
}

// next returns the waiting request that is admitted next; nil if all that wait are held back, which only scoring with time to spare is.
func (queue *queue) next(now time.Duration) (*ticket, kind) {
	queue.refreshCritical(now)
	interactive := queue.first(Interactive, false, never, now)
	scoring := queue.first(Scoring, false, queue.criticalUntil, now)
	switch {
	case interactive != nil && scoring != nil:
		queue.usage.decay(now)
		share := queue.usage.scoringShare()
		if share < guaranteedShare || scoring.useful <= queue.urgentUntil && share < 1-guaranteedShare {
			return scoring, kindCritical
		}
		return interactive, kindInTime
	case interactive != nil:
		return interactive, kindInTime
	case scoring != nil:
		return scoring, kindCritical
	}
	interactive = queue.first(Interactive, true, never, now)
	scoring = queue.first(Scoring, true, never, now)
	if interactive != nil && (scoring == nil || queue.usage.scoringShare() >= 0.5) {
		return interactive, kindLate
	}
	if scoring != nil {
		return scoring, kindLate
	}
	if queue.holdsBack(queue.limit, now) {
		return nil, kindSpare
	}
	return queue.first(Scoring, false, never, now), kindSpare
}

// first returns the request of a class to serve first: of the first priority, of the flow that used least, the earliest. Requests whose
// time of full value is over become late. Only requests that are useful at most until the given time are considered.
func (queue *queue) first(class Class, isLate bool, until, now time.Duration) *ticket {
	for _, level := range queue.levels {
		if level.class != class {
			continue
		}
		if !isLate {
			queue.makeLate(level, now)
		}
		var best *ticket
		var bestStart float64
		for _, flow := range level.active {
			list := flow.list(isLate)
			if len(list) == 0 || list[0].useful > until {
				continue
			}
			start := max(level.virtual, flow.finish)
			if best == nil || start < bestStart || start == bestStart && compareTickets(list[0], best) < 0 {
				best, bestStart = list[0], start
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}
