package site

import (
	"sync"
	"time"
)

// Execution is one execution of a request on a replica, as recorded by the replica.
type Execution struct {
	Request, Replica string
	Started          time.Time
	// Ended is when the replica stopped working on the request; zero while it works.
	Ended  time.Time
	Caller Caller
	// ResumedAfter is the ID of the last event before this execution; zero if it started from the beginning.
	ResumedAfter int64
	// Events holds the events that this execution generated, by event ID.
	Events map[int64]ProducedEvent
}

// ProducedEvent records the version of the weights that generated an event, and the time.
type ProducedEvent struct {
	Version int64
	At      time.Time
}

// ReceivedOrder is an order that a replica accepted.
type ReceivedOrder struct {
	Replica, Holder string
	Fence           int64
	At              time.Time
}

// Executions is a log of the executions and orders of all replicas of a site. It is safe for concurrent use. Recording into
// a nil log does nothing.
type Executions struct {
	mu     sync.Mutex
	byID   map[string][]*Execution
	orders []ReceivedOrder
}

// NewExecutions returns an empty log.
func NewExecutions() *Executions { return &Executions{byID: make(map[string][]*Execution)} }

// recordStart records that a replica has started to execute a request.
func (log *Executions) recordStart(request, replica string, caller Caller, resumed int64) *Execution {
	if log == nil {
		return nil
	}
	execution := &Execution{Request: request, Replica: replica, Caller: caller, Started: time.Now(), ResumedAfter: resumed, Events: make(map[int64]ProducedEvent)}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.byID[request] = append(log.byID[request], execution)
	return execution
}

// recordEnd records that a replica has stopped working on a request.
func (log *Executions) recordEnd(execution *Execution) {
	if log == nil {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	execution.Ended = time.Now()
}

// recordEvent records an event of an execution.
func (log *Executions) recordEvent(execution *Execution, event, version int64) {
	if log == nil {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	execution.Events[event] = ProducedEvent{Version: version, At: time.Now()}
}

// recordOrder records an accepted order.
func (log *Executions) recordOrder(order ReceivedOrder) {
	if log == nil {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	order.At = time.Now()
	log.orders = append(log.orders, order)
}

// Of returns copies of the executions of a request.
func (log *Executions) Of(request string) []Execution {
	log.mu.Lock()
	defer log.mu.Unlock()
	var list []Execution
	for _, execution := range log.byID[request] {
		copied := *execution
		copied.Events = make(map[int64]ProducedEvent, len(execution.Events))
		for event, record := range execution.Events {
			copied.Events[event] = record
		}
		list = append(list, copied)
	}
	return list
}

// All returns copies of all executions, without their events.
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

// Orders returns the accepted orders, oldest first.
func (log *Executions) Orders() []ReceivedOrder {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]ReceivedOrder(nil), log.orders...)
}
