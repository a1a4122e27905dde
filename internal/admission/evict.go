package admission

import "time"

const (
	// maxWaiting and minQueueBound limit the bound on the queue's length.
	maxWaiting    = 2048
	minQueueBound = 16
	// longestWait is the longest deadline for which the queue makes room.
	longestWait = time.Minute
)

// bound returns how many requests may wait: as many as can be served in the longest time that one of them has.
func (queue *queue) bound() int {
	if !queue.timesKnown() {
		return maxWaiting
	}
	shortest := queue.meanOf(Interactive)
	if queue.times[Scoring].known {
		shortest = min(shortest, queue.times[Scoring].mean)
	}
	return int(min(maxWaiting, max(minQueueBound, float64(queue.limit)*float64(queue.longest)/max(shortest, 1))))
}

// leastUrgent returns the waiting request to evict first: of the least urgent kind and priority the one served last of the longest flow.
// Neither class loses its guaranteed share of the queue to the other. If scoringOnly, only scoring requests are considered.
func (queue *queue) leastUrgent(scoringOnly bool) *ticket {
	var worst *ticket
	for _, level := range queue.levels {
		if scoringOnly && level.class != Scoring || !queue.evictable(level) {
			continue
		}
		for _, flow := range level.active {
			for _, list := range [][]*ticket{flow.inTime, flow.late} {
				if len(list) == 0 {
					continue
				}
				if last := list[len(list)-1]; worst == nil || queue.givesWay(last, worst) {
					worst = last
				}
			}
		}
	}
	return worst
}

func (queue *queue) evictable(level *level) bool {
	return float64(queue.count(level.class, false)+queue.count(level.class, true)) > guaranteedShare*float64(queue.waiting) ||
		queue.count(1-level.class, false)+queue.count(1-level.class, true) == 0
}

// givesWay reports whether request is less urgent than other.
func (queue *queue) givesWay(request, other *ticket) bool {
	if own, others := queue.kindOf(request), queue.kindOf(other); own != others {
		return own > others
	}
	if request.flow.level.priority != other.flow.level.priority {
		return request.flow.level.priority > other.flow.level.priority
	}
	if request.flow != other.flow {
		own, others := request.flow.waiting(), other.flow.waiting()
		if !other.waiting {
			others++
		}
		if own != others {
			return own > others
		}
	}
	return compareTickets(request, other) > 0
}
