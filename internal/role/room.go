package role

import (
	"context"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/room"
)

// loadExchange keeps a front's room up to date with its own load, with replicas and with the loads of other nodes.
type loadExchange struct {
	front     *Front
	room      *room.Room
	admission *admission.Controller
}

// newLoadExchange gives the forwarder and the runner a common admission controller.
func (front *Front) newLoadExchange() *loadExchange {
	shared := room.New(front.Catalog, front.Clock)
	return &loadExchange{front: front, room: shared, admission: admission.NewController(shared)}
}

// Run refreshes the room at each change of the catalog and periodically, until the context ends. Changes that arrive during a refresh
// are handled together by the next one.
func (exchange *loadExchange) Run(ctx context.Context) {
	ticker := time.NewTicker(room.Interval)
	defer ticker.Stop()
	for {
		changed := exchange.front.Catalog.Changed()
		exchange.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (exchange *loadExchange) refresh() {
	own := make(map[string]room.Load)
	for _, load := range exchange.admission.Loads() {
		if load.InFlight+load.Waiting > 0 {
			own[load.Service] = room.Load{InFlight: load.InFlight, Waiting: load.Waiting, Nodes: 1}
		}
	}
	exchange.room.Refresh(own, exchange.ejectedSlots())
	exchange.admission.RoomChanged()
}

// ejectedSlots returns the slots of this node's ejected replicas, by service.
func (exchange *loadExchange) ejectedSlots() map[string]int {
	slots, replicas := make(map[string]int), exchange.front.Catalog.Replicas()
	for _, id := range exchange.front.loads.Ejected(time.Now()) {
		if replica := replicas.Find(id); replica != nil && !replica.Draining {
			slots[replica.Service] += max(replica.Slots, 1)
		}
	}
	return slots
}
