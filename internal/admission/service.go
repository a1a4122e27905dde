package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Class says who waits for the answer of a request. It decides which request gives way when a service has too little room.
type Class int

// Classes of requests.
const (
	// Interactive requests are calls of callers, each of which waits for its answer.
	Interactive Class = iota
	// Scoring requests score the texts of a training step. The step waits for all of its own together.
	Scoring
)

// Demand describes a request that needs a slot of a service.
type Demand struct {
	Service string
	Class   Class
	// Flow is the tenant of a caller, or the model whose step is scored. The flows of a class share the slot time of a service equally, as
	// far as they need it.
	Flow string
	// Priority is the rank of the request's route; 0 is highest.
	Priority int
	// Useful is the time until which an answer has its full value, Deadline the time after which it has none.
	Useful, Deadline time.Time
}

// Outcome is how an admitted request ended, as far as it tells about the service.
type Outcome struct {
	// ServiceTime is how long the replica took; zero if no replica is known to have run the request.
	ServiceTime time.Duration
	// Full is true if a replica refused the request because it had no room.
	Full bool
}

// RefusedError means that a request was not admitted. It has not run, and its caller may return after RetryAfter.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (refused *RefusedError) Error() string { return "not admitted: " + refused.Reason }

// IsRefused returns the RefusedError in err, or nil.
func IsRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// Room tells how many requests this node may have in flight at a service.
type Room interface {
	// Limit returns the number of requests that this node may have in flight at the service now, at least 1.
	Limit(service string) int
	// Observe records the end of an admitted request. inFlight is the number of this node's requests at the service until then.
	Observe(service string, outcome Outcome, inFlight int)
}

// ServiceLoad is what this node has in flight and waiting at one service.
type ServiceLoad struct {
	Service           string
	InFlight, Waiting int
	// Refused counts the requests refused since the process started.
	Refused int64
	// ServiceTime is the mean time that replicas took lately; zero if unknown.
	ServiceTime time.Duration
}

// Controller admits requests to services. A request is sent at once while the node's room at its service has a free place, and waits
// otherwise. It is safe for concurrent use.
type Controller struct {
	room Room

	mu       sync.Mutex
	services map[string]*serviceState
}

type serviceState struct {
	name     string
	inFlight int
	waiting  []chan struct{}
}

// NewController returns a controller for the given room.
func NewController(room Room) *Controller {
	return &Controller{room: room, services: make(map[string]*serviceState)}
}

// Grant is the admission of one request. Release must be called exactly once, when the request has ended.
type Grant struct {
	controller *Controller
	service    *serviceState
}

// Admit waits until the request may be sent. It returns a RefusedError if the request can't be served by its deadline, and the context's
// error if the context ends first.
func (controller *Controller) Admit(ctx context.Context, demand Demand) (Grant, error) {
	controller.mu.Lock()
	service := controller.services[demand.Service]
	if service == nil {
		service = &serviceState{name: demand.Service}
		controller.services[demand.Service] = service
	}
	grant := Grant{controller: controller, service: service}
	if service.inFlight < controller.room.Limit(service.name) {
		service.inFlight++
		controller.mu.Unlock()
		return grant, nil
	}
	admitted := make(chan struct{})
	service.waiting = append(service.waiting, admitted)
	controller.mu.Unlock()
	select {
	case <-admitted:
		return grant, nil
	case <-ctx.Done():
		return Grant{}, ctx.Err()
	}
}

// HasRoom reports whether a further request would be admitted at once. Hedges and other optional requests are sent only then.
func (controller *Controller) HasRoom(service string) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	state := controller.services[service]
	return state == nil || (len(state.waiting) == 0 && state.inFlight < controller.room.Limit(service))
}

// RoomChanged admits waiting requests after the room has changed.
func (controller *Controller) RoomChanged() {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	for _, service := range controller.services {
		controller.admitWaiting(service)
	}
}

// Loads returns the load of each service at which this node has requests in flight or waiting, or has refused some.
func (controller *Controller) Loads() []ServiceLoad {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	var loads []ServiceLoad
	for _, service := range controller.services {
		loads = append(loads, ServiceLoad{Service: service.name, InFlight: service.inFlight, Waiting: len(service.waiting)})
	}
	return loads
}

// admitWaiting must be called with mu held.
func (controller *Controller) admitWaiting(service *serviceState) {
	for len(service.waiting) > 0 && service.inFlight < controller.room.Limit(service.name) {
		close(service.waiting[0])
		service.waiting = service.waiting[1:]
		service.inFlight++
	}
}

// Release records the end of the request and admits the next one.
func (grant Grant) Release(outcome Outcome) {
	controller, service := grant.controller, grant.service
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.room.Observe(service.name, outcome, service.inFlight)
	service.inFlight--
	controller.admitWaiting(service)
}
