package admission

import "time"

// sweepInterval is the time between two looks at all waiting requests.
const sweepInterval = 20 * time.Millisecond

// makeLate moves requests at the head of a level's flows to the late ones if they can't be served in time any more.
func (queue *queue) makeLate(level *level, now time.Duration) {
	inTimeUntil := now + queue.likelyOf(level.class)
	for _, flow := range level.active {
		for len(flow.inTime) > 0 && flow.inTime[0].useful < inTimeUntil {
			queue.moveToLate(flow.inTime[0])
		}
	}
}

func (queue *queue) moveToLate(request *ticket) {
	flow := request.flow
	if request.class == Scoring {
		queue.due = removeSorted(queue.due, request)
	}
	flow.inTime = removeSorted(flow.inTime, request)
	flow.late = insertSorted(flow.late, request)
	flow.level.inTimeCount--
	flow.level.lateCount++
	request.isLate = true
}

// sweep looks at all waiting requests: those that can't be served in time any more become late, and those that can't be served by their
// deadline are refused.
func (queue *queue) sweep(limit int, now time.Duration) {
	queue.limit = max(limit, 1)
	queue.progressed = min(now, queue.progressed+queue.paused(now))
	queue.sweptAt = now
	queue.criticalAt = -never
	queue.refreshCritical(now)
	queue.longest = 0
	var doomed []*ticket
	for _, level := range queue.levels {
		inTimeUntil := now + queue.likelyOf(level.class)
		for _, flow := range level.active {
			for index := 0; index < len(flow.inTime); {
				if request := flow.inTime[index]; request.useful < inTimeUntil {
					queue.moveToLate(request)
				} else {
					index++
				}
			}
		}
	}
	for _, isLate := range []bool{false, true} {
		doomed = queue.appendDoomed(doomed, isLate, now)
	}
	for _, request := range doomed {
		queue.remove(request)
	}
	for _, request := range doomed {
		queue.refuse(request, reasonExpired, now)
	}
}

// appendDoomed appends the waiting requests that are late, or are not, and can't be served by their deadline. A request counts as ahead of
// another only if it isn't doomed itself.
func (queue *queue) appendDoomed(doomed []*ticket, isLate bool, now time.Duration) []*ticket {
	var missing []*ticket
	before, class := 0, Class(-1)
	for _, level := range queue.levels {
		if level.class != class {
			before, class = 0, level.class
		}
		service := queue.likelyOf(class)
		if !queue.timesKnown() {
			service = 0
		}
		// Flows take turns: round r serves the request number r of each flow.
		served := 0
		for round := 0; ; round++ {
			any := false
			for _, flow := range level.active {
				list := flow.list(isLate)
				if round >= len(list) {
					continue
				}
				any = true
				request := list[round]
				queue.longest = max(queue.longest, min(request.deadline-now, longestWait))
				expected := service
				if queue.timesKnown() {
					expected += queue.wait(class, isLate, before+served, now)
					if class == Interactive && !isLate && now+expected-queue.uncertainty(request) > request.useful {
						missing = append(missing, request)
						continue
					}
				}
				if now+expected > request.deadline {
					doomed = append(doomed, request)
				} else {
					served++
				}
			}
			if !any {
				break
			}
		}
		before += served
	}
	for _, request := range missing {
		queue.moveToLate(request)
	}
	return doomed
}
