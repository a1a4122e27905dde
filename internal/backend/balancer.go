package backend

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// Balancer places requests at the replicas of plain services, which have no models, by what their answers show: how long they take, how many
// fail, and what the replicas report of themselves. It is safe for concurrent use. Its state is that of this node, is kept by incarnation,
// and is bounded by the replicas that this node has used within replicaTTL.
type Balancer struct {
	zone    string
	logger  *log.Logger
	metrics *telemetry.Metrics
	// chance returns a random number in [0, 1).
	chance func() float64

	mu       sync.Mutex
	services map[string]*balancedService
	lines    logging.LineLimit
}

// NewBalancer returns a balancer for a node of a zone.
func NewBalancer(zone string, logger *log.Logger, metrics *telemetry.Metrics) *Balancer {
	return &Balancer{zone: zone, logger: logger, metrics: metrics, chance: rand.Float64, services: make(map[string]*balancedService)}
}

const (
	// replicaTTL is how long an unused replica is remembered.
	replicaTTL    = time.Minute
	evictInterval = time.Second
	// maxReplicas bounds the replicas remembered of one service, maxServices the services.
	maxReplicas = 1024
	maxServices = 128
	// typicalTTL is how long the comparison of a service's replicas is valid, maxTypical how many of them are compared.
	typicalTTL = 150 * time.Millisecond
	maxTypical = 256
	// recentUse is how long after its last answer a replica is part of the comparison.
	recentUse = 5 * time.Second
	// slowPace is the pace relative to a replica's peers from which on it is reported as slow, notSlowPace that up to which it no longer is.
	slowPace    = 1.9
	notSlowPace = 1.4
	// someFailing is how much more of a replica's answers fail than those of its peers from which on it is reported, fewFailing that up to
	// which it no longer is.
	someFailing = 0.25
	fewFailing  = 0.05
	// slowAnswers is how many answers are needed to report a replica as slow.
	slowAnswers = 4
	// provenTTL is how long ago a slow replica may have answered to get more than one request at a time.
	provenTTL = 2 * time.Second
	// silenceFactor is the multiple of the usual time without any answer from which on a replica with requests counts as slow by as much.
	silenceFactor = 2.5
	// muteFactor is the multiple of the usual time after which a request that ends without an answer counts as a failure of a replica that
	// has answered nothing in the meantime.
	muteFactor = 4.0
)

// balancedService is the state of one service.
type balancedService struct {
	mu         sync.Mutex
	replicas   map[string]*replicaState
	kinds      [kindSlots]kindMean
	lastAnswer time.Time
	evictedAt  time.Time
	sinceTrial int // requests placed since the last trial of a slow replica
	others     othersMean
	typical    typical
	scratch    [3][]float64 // values of the comparison, reused
}

// typical is what the replicas of a service have in common.
type typical struct {
	// own is the median pace of the replicas in the own zone, foreign that of the others; 1 if unknown.
	own, foreign float64
	failing      float64 // median share of failures
	held         int     // replicas held for failures
	at           time.Time
}

// replicaState is the state of one incarnation.
type replicaState struct {
	local    bool // in the zone of this node
	running  int
	pace     paceAverage
	failures failureShare
	// silentSince is when the replica last answered, or when its first request since then began. expected is the longest usual time, in
	// seconds, of the requests that began since the replica last had none.
	silentSince time.Time
	expected    float64
	lastAnswer  time.Time
	lastUsed    time.Time
	hold        *hold
	// slow and failing are true while the replica is reported as such.
	slow, failing bool
	trials        trialPlan
	report        report
}

func (state *replicaState) evictable(now time.Time) bool {
	return state.running == 0 && now.Sub(state.lastUsed) >= replicaTTL
}

// typicalPace returns the typical pace of the replicas in the zone of a replica.
func (typical *typical) pace(local bool) float64 {
	if local {
		return typical.own
	}
	return typical.foreign
}

// paceAt returns the pace of the replica, including that of requests that it has not answered for long.
func (state *replicaState) paceAt(now time.Time, typical float64) float64 {
	pace := state.pace.at(now, typical)
	if state.running > 0 && state.expected > 0 {
		if silence := now.Sub(state.silentSince).Seconds() / state.expected; silence > silenceFactor {
			pace = max(pace, min(maxPace, silence))
		}
	}
	return pace
}

func (state *replicaState) unproven(now time.Time, typical float64) bool {
	return state.pace.answers == 0 || (now.Sub(state.lastAnswer) > provenTTL && state.pace.slow(typical))
}

// service returns the state of a service.
func (balancer *Balancer) service(name string) *balancedService {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	service := balancer.services[name]
	if service == nil {
		if len(balancer.services) >= maxServices {
			for other := range balancer.services {
				delete(balancer.services, other)
				break
			} // services that come and go; requests in flight keep the state that they began with
		}
		service = &balancedService{replicas: make(map[string]*replicaState), typical: typical{own: 1, foreign: 1}}
		balancer.services[name] = service
	}
	return service
}

// state returns the state of a replica, and adds one if there is none. It must be called with mu held.
func (service *balancedService) state(replica *catalog.Replica, zone string, now time.Time) *replicaState {
	state := service.replicas[replica.ID]
	if state == nil {
		if now.Sub(service.evictedAt) >= evictInterval {
			maps.DeleteFunc(service.replicas, func(_ string, state *replicaState) bool { return state.evictable(now) })
			service.evictedAt = now
		}
		service.makeRoom(func(other *replicaState) bool { return other.running == 0 && other.hold == nil && !other.pace.slow(1) })
		service.makeRoom(func(other *replicaState) bool { return other.running == 0 })
		state = &replicaState{local: replica.Zone == zone, lastUsed: now}
		service.replicas[replica.ID] = state
	}
	return state
}

// makeRoom removes replicas of a kind until there is room for another one. It must be called with mu held.
func (service *balancedService) makeRoom(removable func(*replicaState) bool) {
	if len(service.replicas) < maxReplicas {
		return
	}
	for id, other := range service.replicas {
		if len(service.replicas) < maxReplicas {
			return
		}
		if removable(other) {
			delete(service.replicas, id)
		}
	}
}

// compare recomputes what is typical if the last comparison is older than typicalTTL. It must be called with mu held.
func (service *balancedService) compare(now time.Time) {
	if now.Sub(service.typical.at) < typicalTTL {
		return
	}
	own, foreign, failing := service.scratch[0][:0], service.scratch[1][:0], service.scratch[2][:0]
	held := 0
	for _, state := range service.replicas {
		if len(failing) == maxTypical {
			break
		}
		if now.Sub(state.lastUsed) > recentUse {
			continue
		}
		failing = append(failing, state.failures.at(now))
		if state.hold != nil && state.hold.reason != holdFull {
			held++
		}
		switch {
		case state.pace.answers == 0 || now.Sub(state.lastAnswer) > recentUse:
		case state.local:
			own = append(own, state.pace.value)
		default:
			foreign = append(foreign, state.pace.value)
		}
	}
	service.typical = typical{own: median(own, 1), foreign: median(foreign, 1), failing: median(failing, 0), held: held, at: now}
	service.scratch = [3][]float64{own, foreign, failing}
}

// median sorts the values and returns their lower median, or other if there are none.
func median(values []float64, other float64) float64 {
	if len(values) == 0 {
		return other
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// heldCost is the cost of a replica that gets no requests now. It is chosen only if there is no other.
const heldCost = 500.0

// placement compares the replicas of a service for one request.
type placement struct {
	balancer *Balancer
	service  *balancedService
	loads    *Loads
	excluded []string
	// mostlyHeld is true if more than half of the replicas are held for failures, which then are not theirs.
	mostlyHeld bool
	// others is the mean number of requests that other nodes have at a replica of typical pace.
	others float64
	now    time.Time
	// own is the best replica of the own zone, foreign that of the others.
	own, foreign         *catalog.Replica
	ownCost, foreignCost float64
	ownBest              candidate // of own
}

// pick returns the replica for a request; see Picker.Pick.
func (balancer *Balancer) pick(picker *Picker, replicas catalog.ReplicaList, excluded []string, now time.Time) *catalog.Replica {
	service := balancer.service(replicas.At(0).Service)
	service.mu.Lock()
	defer service.mu.Unlock()
	service.compare(now)
	place := &placement{balancer: balancer, service: service, loads: picker.Loads, excluded: excluded, others: service.others.at(now), mostlyHeld: 2*service.typical.held > min(replicas.Len(), maxTypical), now: now}
	if replicas.Len() > maxSampled {
		for _, id := range picker.Loads.idle(now) {
			if replica := replicas.Find(id); replica != nil {
				place.consider(replica)
			}
		}
		for range maxSampled {
			place.consider(replicas.At(int(balancer.chance() * float64(replicas.Len()))))
		}
	}
	if !place.found() {
		for replica := range replicas.Each() {
			place.consider(replica)
		}
	}
	chosen := place.choose(service.bytesOf(picker.Request))
	if chosen != nil {
		service.chosen(chosen, balancer.zone, now)
	}
	return chosen
}

// bytesOf returns the size of a request's body and of the answer to be expected. It must be called with mu held.
func (service *balancedService) bytesOf(request *Request) float64 {
	if request == nil {
		return 0
	}
	return float64(len(request.Body)) + service.kinds[kindOf(request)].bytes
}

// chosen records that a request was placed at a replica, which may be a probe or a trial.
func (service *balancedService) chosen(replica *catalog.Replica, zone string, now time.Time) {
	service.sinceTrial++
	state := service.replicas[replica.ID]
	if state == nil {
		return
	}
	if state.hold != nil {
		state.hold.chosenAt = now
	}
	if state.pace.slow(service.typical.pace(replica.Zone == zone)) && state.trials.due(service.sinceTrial, now) {
		service.sinceTrial = 0
	}
}

// found reports whether a replica was found that may get the request now.
func (place *placement) found() bool {
	return (place.own != nil && place.ownCost < heldCost/2) || (place.foreign != nil && place.foreignCost < heldCost/2)
}

func (place *placement) consider(replica *catalog.Replica) {
	if replica.Draining || contains(place.excluded, replica.ID) {
		return
	}
	local := replica.Zone == place.balancer.zone
	candidate, penalty := place.view(replica, local)
	cost := candidate.cost(place.balancer.chance()) + penalty
	switch {
	case local && (place.own == nil || cost < place.ownCost):
		place.own, place.ownCost, place.ownBest = replica, cost, candidate
	case !local && (place.foreign == nil || cost < place.foreignCost):
		place.foreign, place.foreignCost = replica, cost
	}
}

// view returns what is known of a replica, and a penalty if it gets no requests now.
func (place *placement) view(replica *catalog.Replica, local bool) (candidate, float64) {
	reading := place.loads.read(replica.ID, 0, place.now)
	service, now := place.service, place.now
	typicalPace := service.typical.pace(local)
	view := candidate{inFlight: float64(reading.InFlight), slots: float64(replica.Slots), pace: typicalPace, own: reading.Own, idle: reading.Idle, unproven: true}
	penalty := 0.0
	if reading.Ejected {
		penalty = ejectedCost
	}
	others := place.others
	if state := service.replicas[replica.ID]; state != nil {
		view.pace, view.unproven = state.paceAt(now, typicalPace), state.unproven(now, typicalPace)
		others /= max(1, view.pace/typicalPace) // other nodes find a slow replica slow as well
		view.failing = max(0, state.failures.at(now)-service.typical.failing)
		if !state.hold.mayTry(reading.Own, now) && (state.hold.reason == holdFull || !place.mostlyHeld) {
			penalty += heldCost + max(0, state.hold.until.Sub(now).Seconds())
		}
		state.report.apply(&view, &others, now)
		if view.own == 0 && state.pace.slow(typicalPace) && state.trials.due(service.sinceTrial, now) {
			view.pace, view.unproven = typicalPace, false
		}
	}
	view.inFlight = max(view.inFlight, float64(reading.Own)+others)
	return view, penalty
}

// choose returns the best replica of the own zone, or that of the others if it is better by more than the surcharge for the zone.
func (place *placement) choose(bytes float64) *catalog.Replica {
	if place.own == nil || place.foreign == nil {
		if place.own == nil {
			return place.foreign
		}
		return place.own
	}
	foreignPace := place.service.typical.foreign
	load := (place.ownBest.inFlight + 1) / max(place.ownBest.slots, 1)
	surcharge := foreignPace * zoneSurcharge(load, place.ownBest.pace/foreignPace, bytes)
	if place.ownCost > heldCost/2 {
		surcharge = 0 // no room there at all
	}
	if place.foreignCost+surcharge < place.ownCost {
		return place.foreign
	}
	return place.own
}
