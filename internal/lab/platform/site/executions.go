package site

import (
	"sync"
	"time"
)

// Execution is one run of a request at a replica, as the replica saw it.
type Execution struct {
	Request, Replica string
	Started          time.Time
	Caller           Caller
	// Resumed is the event after which the run went on; zero for a run from the start.
	Resumed int64
	// Events are the versions under which the run made its events, and when, by event.
	Events map[int64]EventMade
}

// EventMade says how one event was made.
type EventMade struct {
	Version int64
	At      time.Time
}

// OrderTaken is an order that a replica took.
type OrderTaken struct {
	Replica, Holder string
	Fence           int64
	At              time.Time
}

// Executions is what all replicas of a site did. It is safe for concurrent use; a nil log takes nothing.
type Executions struct {
	mu     sync.Mutex
	byID   map[string][]*Execution
	orders []OrderTaken
}

// NewExecutions returns an empty log.
func NewExecutions() *Executions { return &Executions{byID: make(map[string][]*Execution)} }

// begin notes that a replica has begun work on a request.
func (log *Executions) begin(request, replica string, caller Caller, resumed int64) *Execution {
	if log == nil {
		return nil
	}
	execution := &Execution{Request: request, Replica: replica, Caller: caller, Started: time.Now(), Resumed: resumed, Events: make(map[int64]EventMade)}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.byID[request] = append(log.byID[request], execution)
	return execution
}

// made notes an event of a run.
func (log *Executions) made(execution *Execution, event, version int64) {
	if log == nil {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	execution.Events[event] = EventMade{Version: version, At: time.Now()}
}

// ordered notes an order that was taken.
func (log *Executions) ordered(order OrderTaken) {
	if log == nil {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	order.At = time.Now()
	log.orders = append(log.orders, order)
}

// Of returns copies of the runs of a request.
func (log *Executions) Of(request string) []Execution {
	log.mu.Lock()
	defer log.mu.Unlock()
	var list []Execution
	for _, execution := range log.byID[request] {
		copied := *execution
		copied.Events = make(map[int64]EventMade, len(execution.Events))
		for event, made := range execution.Events {
			copied.Events[event] = made
		}
		list = append(list, copied)
	}
	return list
}

// All returns copies of all runs, without their events.
func (log *Executions) All() []Execution {
	log.mu.Lock()
	defer log.mu.Unlock()
	var list []Execution
	for _, executions := range log.byID {
		for _, execution := range executions {
			copied := *execution
			copied.Events = nil
			list = append(list, copied)
		}
	}
	return list
}

// Orders returns the orders in the sequence in which they were taken.
func (log *Executions) Orders() []OrderTaken {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]OrderTaken(nil), log.orders...)
}
