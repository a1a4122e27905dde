package admission

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/telemetry"
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

// String implements fmt.Stringer.
func (class Class) String() string {
	if class == Scoring {
		return "scoring"
	}
	return "interactive"
}

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
	// Size is the number of bytes that the request holds while it waits.
	Size int
	// Repeated is true for a further attempt at a request. Only first attempts earn retries and hedges.
	Repeated bool
}

// Outcome is how an admitted request ended, as far as it tells about the service.
type Outcome struct {
	// ServiceTime is how long the replica took to serve the request; zero if it did not, or if that is unknown.
	ServiceTime time.Duration
	// AtLeast is how long a request had its place that may have run but was cut off or failed. It raises the mean service time but never
	// lowers it.
	AtLeast time.Duration
	// Full is true if a replica refused the request because it had no room.
	Full bool
}

// RefusedError means that a request was not admitted. It has not run, and its caller may return after RetryAfter.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// Waited is how long the request waited, Position how many requests were expected to be served before it.
	Waited   time.Duration
	Position int
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

const (
	// waitingMemory bounds what the requests that wait on a node hold, in bytes. It is a small part of the smallest node's memory.
	waitingMemory = 24 << 20
	// scoringMemory is the part of waitingMemory that scoring requests may hold. They wait for longer than interactive ones.
	scoringMemory = waitingMemory / 2
	// interactiveOverhead is what an interactive request holds beside its body: a connection and goroutines. A scoring request has a goroutine
	// only.
	interactiveOverhead, scoringOverhead = 16 << 10, 6 << 10
	// smallRequest is the size, with the overhead, up to which a request is taken in by a short queue whatever others hold.
	smallRequest = 32 << 10
	// maxServices bounds the services whose state is kept. Beyond it those without requests are forgotten.
	maxServices = 1024
	// retryShare and retryReserve limit the retries of requests that may have run, hedgeShare and hedgeReserve the hedges, as a share of
	// first attempts and a number that can be saved up. A crash of every third replica is covered; a failure of all is not multiplied.
	retryShare, retryReserve = 0.3, 20
	hedgeShare, hedgeReserve = 0.2, 10
)

// Controller admits requests to services. A request is sent at once while the node's room at its service has a free place, and waits
// otherwise. It is safe for concurrent use.
type Controller struct {
	// Logger and Metrics may be nil. They must be set before the first use.
	Logger  *log.Logger
	Metrics *telemetry.Metrics

	room  Room
	start time.Time
	// held is the memory that waiting requests hold at all services, scoringHeld the part of scoring requests.
	held, scoringHeld atomic.Int64

	// services is replaced whole under mu, and read without a lock.
	services atomic.Pointer[map[string]*service]
	mu       sync.Mutex
}

// service is the state of one service. Room is asked outside of mu.
type service struct {
	name            string
	retries, hedges *RetryBudget

	mu    sync.Mutex
	queue *queue
	// counted and scoringCounted are the queue's part of the controller's held and scoringHeld.
	counted, scoringCounted int64

	timer *time.Timer
	armed bool
	// rush describes the time since requests began to wait, for the log. It ends with the first sweep that finds none waiting.
	rush struct {
		began             time.Duration
		admitted, refused int
		longest           time.Duration
	}
	loggedAt time.Duration
	// releasedTwice is true once a grant was released twice.
	releasedTwice bool
}

// NewController returns a controller for the given room.
func NewController(room Room) *Controller {
	controller := &Controller{room: room, start: time.Now()}
	controller.services.Store(&map[string]*service{})
	return controller
}

// Grant is the admission of one request. Release must be called exactly once, when the request has ended.
type Grant struct {
	controller *Controller
	service    *service
	flow       *flow
	class      Class
	kind       kind
	charged    float64
	since      time.Duration
	place      placeID
	waited     time.Duration
	position   int
}

// Waited returns how long the request waited, and how many requests were expected to be served before it when it arrived.
func (grant Grant) Waited() (waited time.Duration, position int) {
	return grant.waited, grant.position
}

func (controller *Controller) now() time.Duration { return time.Since(controller.start) }

func (controller *Controller) find(name string) *service { return (*controller.services.Load())[name] }

// serviceOf returns the state of a service, and adds it if there is none.
func (controller *Controller) serviceOf(name string) *service {
	if own := controller.find(name); own != nil {
		return own
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	services := *controller.services.Load()
	if own := services[name]; own != nil {
		return own
	}
	services = maps.Clone(services)
	if len(services) >= maxServices {
		maps.DeleteFunc(services, func(_ string, other *service) bool { return other.idle() })
	}
	own := &service{name: name, retries: NewRetryBudget(retryShare, retryReserve), hedges: NewRetryBudget(hedgeShare, hedgeReserve), queue: newQueue(rand.Float64)}
	services[name] = own
	controller.services.Store(&services)
	return own
}

func (service *service) idle() bool {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.queue.waiting == 0 && service.queue.busy() == 0
}

// Admit waits until the request may be sent. It returns a RefusedError if the request can't be served by its deadline, and the context's
// error if the context ends first.
func (controller *Controller) Admit(ctx context.Context, demand Demand) (Grant, error) {
	own := controller.serviceOf(demand.Service)
	if !demand.Repeated && demand.Class == Interactive {
		own.retries.FirstAttempt()
		own.hedges.FirstAttempt()
	}
	limit := controller.room.Limit(own.name)
	own.mu.Lock()
	now := controller.now()
	grant, ok := own.queue.takeAtOnce(demand.Class, limit, now)
	if !ok && own.queue.busy() < limit { // the room has grown, and those that wait do not know yet
		controller.dispatch(own, limit, now)
		grant, ok = own.queue.takeAtOnce(demand.Class, limit, now)
	}
	if ok {
		own.mu.Unlock()
		grant.controller, grant.service = controller, own
		return grant, nil
	}
	request := controller.enqueue(own, &demand, limit, now)
	own.mu.Unlock()
	return controller.await(ctx, own, request)
}

// enqueue must be called with the service's mu held.
func (controller *Controller) enqueue(own *service, demand *Demand, limit int, now time.Duration) *ticket {
	request := &ticket{class: demand.Class, size: int64(demand.Size) + interactiveOverhead, decided: make(chan struct{}), useful: never, deadline: never}
	if demand.Class == Scoring {
		request.size = int64(demand.Size) + scoringOverhead
	}
	if !demand.Deadline.IsZero() {
		request.deadline = demand.Deadline.Sub(controller.start)
	}
	request.useful = request.deadline
	if !demand.Useful.IsZero() {
		request.useful = min(request.deadline, demand.Useful.Sub(controller.start))
	}
	if own.queue.waiting == 0 && !own.armed {
		own.rush.began, own.rush.admitted, own.rush.refused, own.rush.longest = now, 0, 0, 0
	}
	own.queue.add(request, demand.Flow, demand.Priority, func(size, scoring int64) bool {
		return controller.held.Load()+size <= waitingMemory && (scoring <= 0 || controller.scoringHeld.Load()+scoring <= scoringMemory)
	}, now)
	controller.countHeld(own)
	controller.dispatch(own, limit, now)
	controller.logNoRoom(own, now)
	controller.arm(own)
	return request
}

// await waits for the decision on a request.
func (controller *Controller) await(ctx context.Context, own *service, request *ticket) (Grant, error) {
	select {
	case <-request.decided:
		return controller.decision(own, request)
	case <-ctx.Done():
	}
	limit := controller.room.Limit(own.name)
	own.mu.Lock()
	if request.waiting {
		now := controller.now()
		own.queue.remove(request)
		controller.dispatch(own, limit, now)
		own.mu.Unlock()
		controller.Metrics.AdmissionWaited(request.class.String(), "left", now-request.arrived)
		return Grant{}, ctx.Err()
	}
	own.mu.Unlock()
	if grant, err := controller.decision(own, request); err == nil {
		grant.Release(Outcome{})
	}
	return Grant{}, ctx.Err()
}

// decision returns the decision on a request that does not wait any more.
func (controller *Controller) decision(own *service, request *ticket) (Grant, error) {
	if request.refusal != nil {
		controller.Metrics.AdmissionWaited(request.class.String(), "refused", request.refusal.Waited)
		controller.Metrics.AdmissionRefused(request.class.String(), request.refusal.Reason)
		return Grant{}, request.refusal
	}
	grant := request.grant
	grant.controller, grant.service = controller, own
	controller.Metrics.AdmissionWaited(request.class.String(), "admitted", grant.waited)
	return grant, nil
}

// dispatch admits waiting requests and passes the decisions on. It must be called with the service's mu held.
func (controller *Controller) dispatch(own *service, limit int, now time.Duration) {
	own.queue.dispatch(limit, now)
	controller.countHeld(own)
	controller.announce(own)
}

// countHeld counts what the service's queue holds now. It must be called with the service's mu held, after each change of the queue.
func (controller *Controller) countHeld(own *service) {
	controller.held.Add(own.queue.bytes - own.counted)
	controller.scoringHeld.Add(own.queue.scoringBytes - own.scoringCounted)
	own.counted, own.scoringCounted = own.queue.bytes, own.queue.scoringBytes
}

// announce passes decisions on. It must be called with the service's mu held.
func (controller *Controller) announce(own *service) {
	for index, request := range own.queue.decided {
		if request.refusal != nil {
			own.rush.refused++
		} else {
			own.rush.admitted++
			own.rush.longest = max(own.rush.longest, request.grant.waited)
		}
		close(request.decided)
		own.queue.decided[index] = nil
	}
	own.queue.decided = own.queue.decided[:0]
}

// arm starts the timer of the next sweep while requests wait. It must be called with the service's mu held.
func (controller *Controller) arm(own *service) {
	if own.armed || own.queue.waiting == 0 {
		return
	}
	own.armed = true
	if own.timer == nil {
		own.timer = time.AfterFunc(sweepInterval, func() { controller.sweep(own) })
		return
	}
	own.timer.Reset(sweepInterval)
}

// sweep looks at all waiting requests, and again after sweepInterval while some wait.
func (controller *Controller) sweep(own *service) {
	controller.sweepNow(own)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.armed = false
	controller.arm(own)
}

func (controller *Controller) sweepNow(own *service) {
	limit := controller.room.Limit(own.name)
	own.mu.Lock()
	defer own.mu.Unlock()
	now := controller.now()
	own.queue.sweep(limit, now)
	controller.dispatch(own, limit, now)
	controller.Metrics.AdmissionQueue(own.name, own.queue.waiting)
	controller.logRoomAgain(own, now)
}

// rushLogInterval bounds the log lines about a service's room.
const rushLogInterval = time.Second

// logNoRoom logs that requests began to wait. It must be called with the service's mu held.
func (controller *Controller) logNoRoom(own *service, now time.Duration) {
	if controller.Logger == nil || now != own.rush.began || own.loggedAt > 0 && now-own.loggedAt < rushLogInterval {
		return
	}
	own.loggedAt = now
	controller.Logger.Info("no room at service", "service", own.name, "limit", own.queue.limit, "in_flight", own.queue.busy(), "waiting", own.queue.waiting,
		"service_ms", time.Duration(own.queue.meanOf(Interactive)).Milliseconds(), "scoring_ms", time.Duration(own.queue.meanOf(Scoring)).Milliseconds())
}

// logRoomAgain logs that no request waits any more, for rushes whose beginning was logged. It must be called with the service's mu held.
func (controller *Controller) logRoomAgain(own *service, now time.Duration) {
	if controller.Logger == nil || own.queue.waiting > 0 || own.loggedAt != own.rush.began {
		return
	}
	controller.Logger.Info("room at service again", "service", own.name, "limit", own.queue.limit, "after_ms", (now - own.rush.began).Milliseconds(),
		"admitted", own.rush.admitted, "refused", own.rush.refused, "longest_wait_ms", own.rush.longest.Milliseconds())
}

// logReleasedTwice logs once for a service that a grant was released again. It must be called with the service's mu held.
func (controller *Controller) logReleasedTwice(own *service) {
	if controller.Logger != nil && !own.releasedTwice {
		controller.Logger.Error("place released twice", "service", own.name, "in_flight", own.queue.busy())
	}
	own.releasedTwice = true
}

// HasRoom reports whether a further request would be admitted at once. Hedges and other optional requests are sent only then.
func (controller *Controller) HasRoom(name string) bool {
	own := controller.find(name)
	if own == nil {
		return true
	}
	limit := controller.room.Limit(name)
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.queue.hasRoom(Interactive, max(limit, 1), controller.now())
}

// AdmitHedge admits a second attempt beside a running one if the service has room and its budget of hedges is not exhausted.
func (controller *Controller) AdmitHedge(demand Demand) (Grant, bool) {
	own := controller.serviceOf(demand.Service)
	limit := controller.room.Limit(own.name)
	own.mu.Lock()
	defer own.mu.Unlock()
	if !own.queue.hasRoom(Interactive, max(limit, 1), controller.now()) || !own.hedges.Retry() {
		return Grant{}, false
	}
	grant, ok := own.queue.takeAtOnce(demand.Class, limit, controller.now())
	grant.controller, grant.service = controller, own
	return grant, ok
}

// AllowRetry reports whether a request may be sent again after a failed attempt; its place has to be admitted all the same. A request that
// no replica has run may, since it costs the service nothing. One that may have run takes from the budget of retries, and gives way
// while the service has no room.
func (controller *Controller) AllowRetry(name string, mayHaveRun bool) bool {
	if !mayHaveRun {
		return true
	}
	return controller.HasRoom(name) && controller.serviceOf(name).retries.Retry()
}

// RetryAfter returns when a caller that replicas refused may return, by the backlog of the service and the least time that it takes the
// replicas to have room. left is the time until the caller's deadline.
func (controller *Controller) RetryAfter(name string, least, left time.Duration) time.Duration {
	own := controller.serviceOf(name)
	limit := controller.room.Limit(name)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.queue.limit = max(limit, 1)
	return own.queue.retryAfter(Interactive, least, left, controller.now())
}

// RoomChanged admits waiting requests after the room has changed, and refuses those that can't be served any more.
func (controller *Controller) RoomChanged() {
	for _, own := range *controller.services.Load() {
		own.mu.Lock()
		waiting := own.queue.waiting > 0
		own.mu.Unlock()
		if waiting {
			controller.sweepNow(own)
		}
	}
}

// Loads returns the load of each service at which this node has requests in flight or waiting, or has refused some.
func (controller *Controller) Loads() []ServiceLoad {
	var loads []ServiceLoad
	for _, own := range *controller.services.Load() {
		own.mu.Lock()
		load := ServiceLoad{Service: own.name, InFlight: own.queue.busy(), Waiting: own.queue.waiting, Refused: own.queue.refused}
		if own.queue.timesKnown() {
			load.ServiceTime = own.queue.meanTime()
		}
		own.mu.Unlock()
		if load.InFlight > 0 || load.Waiting > 0 || load.Refused > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// Release records the end of the request and admits the next one. It does nothing for the zero Grant, and nothing but a log line if the grant
// was released before.
func (grant Grant) Release(outcome Outcome) {
	controller, own := grant.controller, grant.service
	if own == nil {
		return
	}
	own.mu.Lock()
	before, ok := own.queue.release(&grant, outcome, controller.now())
	if !ok {
		controller.logReleasedTwice(own)
		own.mu.Unlock()
		return
	}
	waiting := own.queue.waiting > 0
	own.mu.Unlock()
	controller.room.Observe(own.name, outcome, before)
	if !waiting {
		return
	}
	limit := controller.room.Limit(own.name)
	own.mu.Lock()
	defer own.mu.Unlock()
	controller.dispatch(own, limit, controller.now())
}
