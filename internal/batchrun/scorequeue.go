package batchrun

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// listingMargin is the time that an append of results takes, beyond the time that it waits for other results.
	listingMargin = 200 * time.Millisecond
	// minRefusedPause is the shortest pause after a refusal of admission that names no time.
	minRefusedPause = 100 * time.Millisecond
	// spareInterval is how often room that nobody waits for is sought for spare texts, and the longest time that such a request waits.
	spareInterval = 50 * time.Millisecond
	// spareUseful is the time in which the score of a spare text is asked for. It is long enough to rank after all others.
	spareUseful = 10 * time.Second
	// maxAsks bounds the requests for a place of one flow, whose memory counts against all requests that wait on the node.
	maxAsks = 512
	// maxScoringServices bounds the services of which times are kept.
	maxScoringServices = 256
	// scoringLogInterval bounds the log lines on refusals, for each service.
	scoringLogInterval = time.Second
)

// scoringQueue holds the texts that wait for their score, by service. Each of them asks admission for a place. A granted place goes to the
// text that is first in order at that moment, and not to the one that asked. It is safe for concurrent use.
//
// Its mu is locked before the mu of a job.
type scoringQueue struct {
	runner   *Runner
	admitter admitter

	mu       sync.Mutex
	services map[string]*scoringService
}

// admitter grants places. *admission.Controller implements it.
type admitter interface {
	Admit(ctx context.Context, demand admission.Demand) (admission.Grant, error)
	HasRoom(service string) bool
}

type scoringService struct {
	name    string
	waiting []*scoringCall
	order   scoringOrder
	// asks holds the requests for a place that are under way. For each flow there are as many as texts that wait and are not spare, up to
	// maxAsks.
	asks        map[scoringFlow][]*scoringAsk
	waitingOf   map[scoringFlow]int
	inFlight    int
	seeksSpare  bool // seekSpareRoom runs
	times       scoreTimes
	loggedLimit time.Duration
	loggedAt    time.Time // when a refusal was last logged
	// ranked and textsOf are buffers of ranks.
	ranked  []scoringText
	textsOf map[*job][]int
}

// scoringFlow is what requests for a place have in common, so that one of them can stand for another.
type scoringFlow struct {
	job      *job
	priority int
}

type scoringAsk struct{ cancel context.CancelFunc }

func newScoringQueue(runner *Runner) *scoringQueue {
	return &scoringQueue{runner: runner, admitter: runner.Admission, services: make(map[string]*scoringService)}
}

// service must be called with mu held.
func (queue *scoringQueue) service(name string) *scoringService {
	service := queue.services[name]
	if service == nil {
		if len(queue.services) >= maxScoringServices {
			maps.DeleteFunc(queue.services, func(_ string, other *scoringService) bool { return other.idle() })
		}
		service = &scoringService{name: name, asks: make(map[scoringFlow][]*scoringAsk), waitingOf: make(map[scoringFlow]int), loggedLimit: scoreTimeout, textsOf: make(map[*job][]int)}
		queue.services[name] = service
	}
	return service
}

func (service *scoringService) idle() bool {
	return len(service.waiting) == 0 && len(service.asks) == 0 && service.inFlight == 0 && !service.seeksSpare
}

// add queues a text.
func (queue *scoringQueue) add(call *scoringCall) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	service := queue.service(call.target)
	call.service = service
	service.waiting = append(service.waiting, call)
	service.waitingOf[call.flow]++
	queue.adjustAsks(service, call.flow)
}

// remove takes a text out of the queue. It returns false if the text has got a place already.
func (queue *scoringQueue) remove(call *scoringCall) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	service := call.service
	index := slices.Index(service.waiting, call)
	if index < 0 {
		return false
	}
	service.take(index)
	queue.adjustAsks(service, call.flow)
	return true
}

// take removes and returns a waiting text.
func (service *scoringService) take(index int) *scoringCall {
	call := service.waiting[index]
	service.waiting = slices.Delete(service.waiting, index, index+1)
	service.waitingOf[call.flow]--
	if service.waitingOf[call.flow] == 0 {
		delete(service.waitingOf, call.flow)
	}
	return call
}

// adjustAsks starts or cancels requests for a place until a flow has as many as it should; a flow of spare texts has none.
// It must be called with mu held.
func (queue *scoringQueue) adjustAsks(service *scoringService, flow scoringFlow) {
	wanted := min(service.waitingOf[flow], maxAsks)
	if wanted > 0 && queue.isSpare(flow.job, time.Now()) {
		wanted = 0
		if len(service.asks[flow]) > 0 {
			queue.runner.Logger.Info("scores give way", "job", flow.job.id(), "service", service.name, "texts", service.waitingOf[flow], "enough", flow.job.hasEnough())
		}
		if !service.seeksSpare {
			service.seeksSpare = true
			go queue.seekSpareRoom(service)
		}
	}
	for len(service.asks[flow]) < wanted {
		ctx, cancel := context.WithCancel(flow.job.ctx)
		ask := &scoringAsk{cancel: cancel}
		service.asks[flow] = append(service.asks[flow], ask)
		go queue.ask(ctx, service, flow, ask)
	}
	for surplus := service.asks[flow]; len(surplus) > wanted; surplus = service.asks[flow] {
		surplus[len(surplus)-1].cancel()
		service.setAsks(flow, surplus[:len(surplus)-1])
	}
}

func (service *scoringService) setAsks(flow scoringFlow, asks []*scoringAsk) {
	if len(asks) == 0 {
		delete(service.asks, flow)
		return
	}
	service.asks[flow] = asks
}

// reconsider adjusts the requests of a job after its groups have changed: once the trainer has enough, its other texts are spare.
func (queue *scoringQueue) reconsider(owned *job) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	for _, service := range queue.services {
		for flow := range service.waitingOf {
			if flow.job == owned {
				queue.adjustAsks(service, flow)
			}
		}
	}
}

// ask requests one place and gives it to the text that is first in order when it is granted.
func (queue *scoringQueue) ask(ctx context.Context, service *scoringService, flow scoringFlow, ask *scoringAsk) {
	defer ask.cancel()
	for ctx.Err() == nil {
		grant, err := queue.admitter.Admit(ctx, queue.demand(service, flow))
		if err == nil {
			queue.bindAsked(service, flow, ask, grant)
			return
		}
		pause := minRefusedPause
		if refused := admission.IsRefused(err); refused != nil {
			queue.logRefusal(service, flow, refused)
			pause = max(pause, refused.RetryAfter)
		}
		wait.Pause(ctx, pause)
		queue.mu.Lock()
		queue.adjustAsks(service, flow) // the job may have passed its deadline
		queue.mu.Unlock()
	}
}

// demand returns the request for a place of a text that is not spare.
func (queue *scoringQueue) demand(service *scoringService, flow scoringFlow) admission.Demand {
	return admission.Demand{
		Service: service.name, Class: admission.Scoring, Flow: flow.job.definition.GetModel(), Priority: flow.priority,
		Useful: queue.usefulUntil(flow.job), Deadline: queue.deadline(flow.job),
	}
}

// bindAsked gives the place that a request got to a text. Where that text is of another flow, the requests of both are adjusted.
func (queue *scoringQueue) bindAsked(service *scoringService, flow scoringFlow, ask *scoringAsk, grant admission.Grant) {
	queue.mu.Lock()
	service.setAsks(flow, slices.DeleteFunc(service.asks[flow], func(other *scoringAsk) bool { return other == ask }))
	bound := queue.bind(service, grant, false)
	queue.adjustAsks(service, flow)
	queue.mu.Unlock()
	if !bound {
		grant.Release(admission.Outcome{})
	}
}

// bind gives a place to the text that is first in order, and returns false if none waits. It must be called with mu held.
func (queue *scoringQueue) bind(service *scoringService, grant admission.Grant, spare bool) bool {
	now := time.Now()
	index := service.order.next(queue.ranks(service, now), spare, now)
	if index < 0 {
		return false
	}
	call := service.take(index)
	service.inFlight++
	call.rank, call.besides = index, service.inFlight
	queue.adjustAsks(service, call.flow)
	call.granted <- grant
	return true
}

// ranks returns what the order depends on for each waiting text, in a slice that the next call reuses. It must be called with mu held.
func (queue *scoringQueue) ranks(service *scoringService, now time.Time) []scoringText {
	service.ranked = slices.Grow(service.ranked[:0], len(service.waiting))[:len(service.waiting)]
	for index, call := range service.waiting {
		service.textsOf[call.done.job] = append(service.textsOf[call.done.job], index)
	}
	for owned, indexes := range service.textsOf {
		queue.rankJob(service, owned, indexes, now)
	}
	clear(service.textsOf)
	return service.ranked
}

// rankJob fills in the ranks of one job's waiting texts.
func (queue *scoringQueue) rankJob(service *scoringService, owned *job, indexes []int, now time.Time) {
	isSpare, useful := queue.isSpare(owned, now), queue.usefulUntil(owned)
	owned.mu.Lock()
	defer owned.mu.Unlock()
	for _, index := range indexes {
		call := service.waiting[index]
		text := scoringText{job: owned.id(), useful: useful, since: call.since, spare: isSpare}
		text.required, text.missing = owned.progress.GroupOf(call.done.item.GetId())
		service.ranked[index] = text
	}
}

// release returns the place of a text.
func (queue *scoringQueue) release(call *scoringCall, grant admission.Grant, outcome admission.Outcome) {
	queue.mu.Lock()
	service := call.service
	service.inFlight--
	queue.mu.Unlock()
	grant.Release(outcome)
}

// observe records the time of a call that was served.
func (queue *scoringQueue) observe(service *scoringService, took time.Duration) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	service.times.observe(took, time.Now())
}

// limit returns the time limit of a text's next call.
func (queue *scoringQueue) limit(call *scoringCall) time.Duration {
	now := time.Now()
	left := queue.usefulUntil(call.done.job).Sub(now)
	if left <= 0 {
		left = queue.deadline(call.done.job).Sub(now)
	}
	if left <= 0 {
		left = spareUseful
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	service := call.service
	usual := service.times.limit(0, spareUseful, now)
	if usual > service.loggedLimit*3/2 || usual < service.loggedLimit*2/3 {
		queue.runner.Logger.Info("scoring time limit", "service", service.name, "limit_ms", usual.Milliseconds(), "before_ms", service.loggedLimit.Milliseconds(),
			"mean_ms", service.times.mean.Milliseconds(), "deviation_ms", service.times.deviation.Milliseconds(), "calls", service.times.count)
		service.loggedLimit = usual
	}
	return service.times.limit(call.timeouts, left, now)
}

// seekSpareRoom scores the spare texts of a service as far as there is room that nobody at this node waits for. It returns when none is left.
func (queue *scoringQueue) seekSpareRoom(service *scoringService) {
	for {
		queue.mu.Lock()
		left, others := service.spareLeft(queue)
		if left == 0 || queue.runner.ctx.Err() != nil {
			service.seeksSpare = false
			if queue.runner.ctx.Err() == nil {
				for flow := range service.waitingOf {
					queue.adjustAsks(service, flow) // the deadline of the others' step has moved
				}
			}
			queue.mu.Unlock()
			return
		}
		queue.mu.Unlock()
		if !others && queue.admitter.HasRoom(service.name) && queue.askSpare(service) {
			continue
		}
		wait.Pause(queue.runner.ctx, spareInterval)
	}
}

// spareLeft returns the number of waiting texts that are spare, and whether others wait. It must be called with queue.mu held.
func (service *scoringService) spareLeft(queue *scoringQueue) (left int, others bool) {
	now := time.Now()
	for flow, count := range service.waitingOf {
		if queue.isSpare(flow.job, now) {
			left += count
		} else {
			others = true
		}
	}
	return left, others
}

// askSpare requests a place for a spare text. It gives up after spareInterval, when the room was taken by others in between.
func (queue *scoringQueue) askSpare(service *scoringService) bool {
	ctx, cancel := context.WithTimeout(queue.runner.ctx, spareInterval)
	defer cancel()
	useful := time.Now().Add(spareUseful)
	queue.mu.Lock()
	flow := scoringFlow{}
	for waiting := range service.waitingOf {
		flow = waiting
	}
	queue.mu.Unlock()
	if flow.job == nil {
		return false
	}
	grant, err := queue.admitter.Admit(ctx, admission.Demand{
		Service: service.name, Class: admission.Scoring, Flow: flow.job.definition.GetModel(), Priority: flow.priority, Useful: useful, Deadline: useful,
	})
	if err != nil {
		return false
	}
	queue.mu.Lock()
	bound := queue.bind(service, grant, true)
	queue.mu.Unlock()
	if !bound {
		grant.Release(admission.Outcome{})
	}
	return bound
}

// usefulUntil returns the time by which a score must be there to be listed by the due time of its job.
func (queue *scoringQueue) usefulUntil(owned *job) time.Time {
	return owned.due.Add(-queue.runner.Flush.MaxWait - listingMargin)
}

// deadline returns the time after which the trainer has given up a job.
func (queue *scoringQueue) deadline(owned *job) time.Time {
	configuration := queue.runner.Catalog.Configuration()
	if configuration == nil {
		return owned.due.Add(defaultObjective)
	}
	route := configuration.FindRoute(owned.definition.GetHost(), owned.definition.GetPath())
	if route == nil || route.MaxQueue <= 0 {
		return owned.due.Add(defaultObjective)
	}
	objective := route.JobObjective
	if objective <= 0 {
		objective = defaultObjective
	}
	return owned.due.Add(max(0, route.MaxQueue-objective))
}

// isSpare reports whether nobody waits for further scores of a job.
func (queue *scoringQueue) isSpare(owned *job, now time.Time) bool {
	return owned.hasEnough() || !now.Before(queue.deadline(owned))
}

func (queue *scoringQueue) logRefusal(service *scoringService, flow scoringFlow, refused *admission.RefusedError) {
	now := time.Now()
	queue.mu.Lock()
	logged := now.Sub(service.loggedAt) < scoringLogInterval
	if !logged {
		service.loggedAt = now
	}
	texts := len(service.waiting)
	queue.mu.Unlock()
	if !logged {
		queue.runner.Logger.Info("scores not admitted", "service", service.name, "job", flow.job.id(), "texts", texts, "reason", refused.Reason,
			"retry_after_ms", refused.RetryAfter.Milliseconds(), "due_in_ms", flow.job.due.Sub(now).Milliseconds())
	}
}
