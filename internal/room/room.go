// Package room finds how many requests a node may have in flight at a service, from the slots of the service's replicas, from what other
// nodes report that they have in flight and waiting, and from the refusals of replicas.
package room

import (
	"math"
	"sync"
	"time"

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
	catalog *catalog.Table
	clock   clock.Clock

	mu       sync.RWMutex
	services map[string]*service
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
	window      window
	// fraction decides whether a share is rounded up or down. It differs between nodes, so that their rounded shares sum up to the slots.
	fraction    float64
	serviceTime time.Duration
}

// New returns a room for a node that knows nothing yet.
func New(table *catalog.Table, clock clock.Clock) *Room {
	return &Room{catalog: table, clock: clock, services: make(map[string]*service)}
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
		state = &service{serviceTime: initialServiceTime}
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
		limit = min(limit, math.Floor(fairShare(state.available(), state.own, state.others)+state.fraction))
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
		state.slots = slots
	}
	state.window.expire(now)
	if state.known && now-state.heard > WordTTL {
		state.window.narrowTo(fairShare(state.available(), state.own, state.others), now)
		state.known = false
	}
}

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

// Refresh records this node's load at each service, and the slots of ejected replicas by service. It forgets the services that are no
// longer configured and at which this node has no load.
func (room *Room) Refresh(own map[string]Load, ejected map[string]int) {
	now := room.clock.Elapsed()
	configuration, replicas := room.catalog.Configuration(), room.catalog.Replicas()
	room.mu.Lock()
	defer room.mu.Unlock()
	for name, state := range room.services {
		_, used := own[name]
		if configuration != nil && !used {
			if _, configured := configuration.Services[name]; !configured {
				delete(room.services, name)
				continue
			}
		}
		state.mu.Lock()
		state.update(replicas.Service(name).Slots(), now)
		state.own, state.ejected = own[name], ejected[name]
		state.mu.Unlock()
	}
}
