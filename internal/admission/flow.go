package admission

import (
	"slices"
	"time"
)

// maxIdleFlows bounds the flows kept for the slot time that they used.
const maxIdleFlows = 1024

// ticket is a request that waits for a place. Times are measured from the start of the controller.
type ticket struct {
	class            Class
	flow             *flow
	useful, deadline time.Duration
	arrived          time.Duration
	size             int64
	isLate           bool
	waiting          bool
	// position is the number of requests that were expected to be served before it when it arrived.
	position int
	// Set when the wait ends: either grant or refusal.
	grant   Grant
	refusal *RefusedError
	decided chan struct{}
}

// scoringSize is what the request counts towards scoringMemory.
func (request *ticket) scoringSize() int64 {
	if request.class == Scoring {
		return request.size
	}
	return 0
}

// flow is a tenant's or a model's requests of one class and priority. inTime holds requests that can still be useful in full, late the
// others; both are sorted.
type flow struct {
	name     string
	level    *level
	inTime   []*ticket
	late     []*ticket
	inFlight int
	// finish is the flow's virtual finish time: where its next request starts if the flow is backlogged.
	finish float64
}

func (flow *flow) waiting() int { return len(flow.inTime) + len(flow.late) }

// level is the requests of one class and priority. Its flows share slot time by start-time fair queuing.
type level struct {
	class    Class
	priority int
	// virtual is the start tag of the request admitted last. A flow that was idle starts there, so that it gathers no credit.
	virtual     float64
	flows       map[string]*flow
	active      []*flow // those with waiting requests
	inTimeCount int
	lateCount   int
}

func (flow *flow) list(isLate bool) []*ticket {
	if isLate {
		return flow.late
	}
	return flow.inTime
}

// compareTickets orders the requests of a flow: by the time until which they are useful, late interactive ones by deadline.
func compareTickets(a, b *ticket) int {
	if a.useful != b.useful && (a.class == Scoring || !a.isLate) {
		return compareDurations(a.useful, b.useful)
	}
	if a.deadline != b.deadline {
		return compareDurations(a.deadline, b.deadline)
	}
	return compareDurations(a.arrived, b.arrived)
}

func compareDurations(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// levelOf returns the level of a class and priority, and adds it if there is none.
func (queue *queue) levelOf(class Class, priority int) *level {
	index, found := slices.BinarySearchFunc(queue.levels, priority, func(other *level, priority int) int {
		if other.class != class {
			return int(other.class) - int(class)
		}
		return other.priority - priority
	})
	if !found {
		queue.levels = slices.Insert(queue.levels, index, &level{class: class, priority: priority, flows: make(map[string]*flow)})
	}
	return queue.levels[index]
}

func (level *level) flowOf(name string) *flow {
	own := level.flows[name]
	if own == nil {
		if len(level.flows) >= maxIdleFlows {
			for name, other := range level.flows {
				if other.inFlight == 0 && other.waiting() == 0 {
					delete(level.flows, name)
				}
			}
		}
		own = &flow{name: name, level: level}
		level.flows[name] = own
	}
	return own
}

// forget removes a flow that has nothing waiting or in flight and used no more than its share.
func (level *level) forget(flow *flow) {
	if flow.inFlight == 0 && flow.waiting() == 0 && flow.finish <= level.virtual && level.flows[flow.name] == flow {
		delete(level.flows, flow.name)
	}
}

func insertSorted(list []*ticket, request *ticket) []*ticket {
	index, _ := slices.BinarySearchFunc(list, request, compareTickets)
	for index < len(list) && compareTickets(list[index], request) == 0 {
		index++
	}
	return slices.Insert(list, index, request)
}

func removeSorted(list []*ticket, request *ticket) []*ticket {
	index, _ := slices.BinarySearchFunc(list, request, compareTickets)
	for list[index] != request {
		index++
	}
	return slices.Delete(list, index, index+1)
}
