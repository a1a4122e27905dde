// Package room finds how many requests a node may have in flight at a service, from the slots of the service's replicas, from what other
// nodes report that they have in flight and waiting, and from the refusals of replicas.
package room

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
)

// WordTTL is the age after which the reported load of the other nodes no longer counts. It covers the turns in which a summing node answers
// more nodes than it may in one round.
const WordTTL = 6 * Interval

// Interval is the time between two reports of a node.
const Interval = 250 * time.Millisecond

// Room implements admission.Room. The state of a service is created when a request first needs it and removed when the service has left the
// configuration. It is safe for concurrent use.
type Room struct {
	catalog  *catalog.Table
	clock    clock.Clock
	fraction float64 // with which the state of each service begins

	mu       sync.RWMutex
	services map[string]*service
	// replier is the node that sent the last reply.
	replier     string
	replySource source
}

// service is what a node knows of the room of one service.
type service struct {
	mu sync.Mutex
	// slots is the number of slots of the last call; ejected is the number of slots of ejected replicas.
	slots, ejected int
	// own is this node's load at the last refresh. others is the load of all other nodes; it counts until WordTTL after heard.
	own, others Load
	heard       time.Duration
	known       bool
	// share is this node's part of the slots. While slots are scarce it follows the loads with the delay of a request, as requests in flight do.
	share      float64
	scarce     bool
	calculated time.Duration
	window     window
	// fraction decides whether a share is rounded up or down. It differs between nodes, so that their rounded shares sum up to the slots; bias
	// moves the fractions of all nodes while the sum is too large or too small.
	fraction, bias float64
	serviceTime    time.Duration
	logged         logged
}

// logged is what was last logged of a service.
type logged struct {
	at    time.Duration
	known bool
	limit int
}

// New returns the room of a node that knows nothing of others yet.
func New(node string, table *catalog.Table, clock clock.Clock) *Room {
	fraction := float64(xxhash.Sum64String(node)>>11) / (1 << 53)
	return &Room{catalog: table, clock: clock, fraction: fraction, services: make(map[string]*service)}
}

func (room *Room) service(name string) *service {
	room.mu.RLock()
	state := room.services[name]
	room.mu.RUnlock()
	if state != nil {
		return state
	}
	room.mu.Lock()
	defer room.mu.Unlock()
	if state = room.services[name]; state == nil {
		state = &service{serviceTime: initialServiceTime, fraction: room.fraction}
		room.services[name] = state
	}
	return state
}

// Limit implements admission.Room.
func (room *Room) Limit(name string) int {
	state := room.service(name)
	slots, now := room.catalog.Replicas().Service(name).Slots(), room.clock.Elapsed()
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.limit(slots, now)
}

// limit must be called with mu held.
func (state *service) limit(slots int, now time.Duration) int {
	state.update(slots, now)
	limit := float64(state.available())
	if state.known {
		limit = min(limit, math.Floor(state.share+min(max(0, state.fraction+state.bias), maxFraction)))
	}
	if state.window.size > 0 {
		limit = min(limit, math.Floor(state.window.size))
	}
	return max(1, int(limit))
}

// available returns the slots of the replicas that are neither draining nor ejected; those of the ejected ones if there are no others.
func (state *service) available() int {
	if state.ejected >= state.slots {
		return state.slots
	}
	return state.slots - state.ejected
}

// update applies the number of slots and the passage of time.
func (state *service) update(slots int, now time.Duration) {
	if slots != state.slots {
		state.window.scale(state.slots, slots)
		before := state.available()
		state.slots = slots
		state.rescale(before, now)
	}
	state.window.expire(now)
	if state.known && now-state.heard > WordTTL {
		state.window.narrowTo(state.share, now)
		state.known = false
	}
}

// calculate brings the share up to date after a change of the loads.
func (state *service) calculate(now time.Duration) {
	target, scarce := fairShare(state.available(), state.own, state.others)
	if scarce && state.scarce {
		delay := min(state.serviceTime, maxShareDelay)
		target = state.share + (target-state.share)*-math.Expm1(-float64(now-state.calculated)/float64(delay))
	}
	state.share, state.scarce, state.calculated = target, scarce, now
}

// rescale brings the share up to date after a change of the slots, at once.
func (state *service) rescale(before int, now time.Duration) {
	if after := state.available(); state.scarce && before > 0 && after > 0 {
		// A share may be below 1: if it were raised, all shares would be too large once the slots have returned. While there are fewer slots
		// than nodes the fair shares are too large as well, so that the new one bounds the growth.
		target, _ := fairShare(after, state.own, state.others)
		state.share = min(state.share*float64(after)/float64(before), max(state.share, target))
		return
	}
	state.scarce = false // without slots there is no share to begin from
	state.calculate(now)
}

// maxShareDelay bounds the delay of a share for services whose requests take long.
const maxShareDelay = time.Second

// Bounds of the epoch of a window.
const (
	initialServiceTime = 500 * time.Millisecond
	minServiceTime     = 50 * time.Millisecond
	maxServiceTime     = 5 * time.Second
	serviceTimeWeight  = 16 // a new time has a weight of 1/16 in the average
)

// Observe implements admission.Room.
func (room *Room) Observe(name string, outcome admission.Outcome, inFlight int) {
	state := room.service(name)
	slots, now := room.catalog.Replicas().Service(name).Slots(), room.clock.Elapsed()
	state.mu.Lock()
	defer state.mu.Unlock()
	if outcome.ServiceTime <= 0 && !outcome.Full {
		return // tells nothing of the replicas
	}
	limit := state.limit(slots, now)
	if outcome.ServiceTime > 0 {
		state.serviceTime += (outcome.ServiceTime - state.serviceTime) / serviceTimeWeight
	}
	state.window.observe(outcome.Full, inFlight, limit, min(max(state.serviceTime, minServiceTime), maxServiceTime), now)
}

// HandleReply records what all other nodes have in flight and waiting, as the node that sums up this node's zone tells it. It reports
// whether the reply is newer than the former one.
func (room *Room) HandleReply(totals *clusterv1.ServiceTotals) bool {
	now := room.clock.Elapsed()
	room.mu.Lock()
	defer room.mu.Unlock()
	if room.replier == totals.GetNode() && room.replySource.outdates(totals.GetLife(), totals.GetNumber(), now) {
		return false
	}
	room.replier, room.replySource = totals.GetNode(), source{incarnation: totals.GetLife(), number: totals.GetNumber(), received: now}
	replicas := room.catalog.Replicas()
	for name, others := range othersOf(totals) {
		state := room.services[name]
		if state == nil {
			continue
		}
		state.mu.Lock()
		state.update(replicas.Service(name).Slots(), now)
		state.window.endAssumed()
		state.others, state.heard, state.known = others, now, true
		state.calculate(now)
		state.balance()
		state.mu.Unlock()
	}
	return true
}

const (
	// maxFraction is below 1, so that a whole share is not exceeded.
	maxFraction = 0.999
	// biasStep is the change of a bias at one word. It is so small that the effect of a change is seen before the next ones add up.
	biasStep = 0.05
	maxBias  = 0.5
	// spareShare is the part of the slots that is left free while requests wait, so that the single request of a node that had none finds room.
	spareShare = 0.03
)

// balance corrects the rounding of shares by its effect, until between one and two spareShares are free. It must be called with mu held.
func (state *service) balance() {
	slots := float64(state.available())
	switch inFlight := float64(state.own.InFlight + state.others.InFlight); {
	case inFlight > slots*(1-spareShare):
		state.bias = max(-maxBias, state.bias-biasStep)
	case inFlight < slots*(1-2*spareShare) && state.own.Waiting+state.others.Waiting > 0:
		state.bias = min(maxBias, state.bias+biasStep)
	}
}

// Status describes the room of a service.
type Status struct {
	Service      string
	Limit, Slots int
	Known        bool
	Own, Others  Load
	// Previous is the limit that was last logged.
	Previous int
	// Event is what is to be logged.
	Event Event
	// Removed is true if the service's state has been removed.
	Removed bool
}

// Event is a change of the room of a service.
type Event int

// Events, of which one is reported for a service in logInterval.
const (
	// None means that nothing is to be logged.
	None Event = iota
	// Known means that the load of other nodes is known again.
	Known
	// Lost means that the load of other nodes is no longer known.
	Lost
	// Changed means that the limit has halved or doubled.
	Changed
)

const logInterval = 10 * time.Second

// Refresh records this node's load at each service, and the slots of ejected replicas by service. It removes the services that are no
// longer configured and at which this node has no load, and returns the state of all others.
func (room *Room) Refresh(own map[string]Load, ejected map[string]int) []Status {
	now := room.clock.Elapsed()
	configuration, replicas := room.catalog.Configuration(), room.catalog.Replicas()
	room.mu.Lock()
	defer room.mu.Unlock()
	list := make([]Status, 0, len(room.services))
	for name, state := range room.services {
		if _, used := own[name]; configuration != nil && !used {
			if _, configured := configuration.Services[name]; !configured {
				delete(room.services, name)
				list = append(list, Status{Service: name, Removed: true})
				continue
			}
		}
		state.mu.Lock()
		state.update(replicas.Service(name).Slots(), now)
		before := state.available()
		if state.own.demand() == 0 {
			state.scarce = false // a node that begins gets its share at once
		}
		state.own, state.ejected = own[name], ejected[name]
		if state.available() != before {
			state.rescale(before, now)
		} else {
			state.calculate(now)
		}
		status := state.status(now)
		status.Service = name
		list = append(list, status)
		state.mu.Unlock()
	}
	return list
}

// status must be called with mu held.
func (state *service) status(now time.Duration) Status {
	before := &state.logged
	status := Status{Limit: state.limit(state.slots, now), Slots: state.available(), Known: state.known, Own: state.own, Others: state.others, Previous: before.limit}
	if state.own.demand() == 0 || (before.limit > 0 && now-before.at < logInterval) {
		return status
	}
	switch {
	case before.limit == 0 && !state.known: // the first limit of a service, which nothing is known of yet
	case state.known != before.known && state.known:
		status.Event = Known
	case state.known != before.known:
		status.Event = Lost
	case before.limit > 0 && (2*status.Limit <= before.limit || status.Limit >= 2*before.limit):
		status.Event = Changed
	default:
		return status
	}
	state.logged = logged{at: now, known: state.known, limit: status.Limit}
	return status
}
