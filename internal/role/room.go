package role

import (
	"context"
	"net"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/room"
)

// loadExchange keeps a front's room up to date with its own load, with replicas and with the loads of other nodes.
type loadExchange struct {
	front     *Front
	room      *room.Room
	admission *admission.Controller
	exchange  *room.Exchange
	// heard has an element if a reply has arrived since waiting requests were last admitted.
	heard chan struct{}

	// The goroutine of Run uses the following fields alone.
	refusals room.Refusals
	target   string    // the node to which this front reports
	moved    time.Time // when a change of the target was last logged
}

// summingKey is the key by which the fronts of a zone are ranked to choose the one that sums up the zone's reports.
const summingKey = "loads"

// moveLogInterval is the minimum interval between two log lines about the node that is reported to.
const moveLogInterval = 10 * time.Second

// newLoadExchange returns the exchange of a front, whose admission controller the forwarder and the runner share.
func (front *Front) newLoadExchange() *loadExchange {
	shared := room.New(front.Node, front.Catalog, front.Clock)
	controller := admission.NewController(shared)
	controller.Logger, controller.Metrics = front.Logger, front.Metrics
	return &loadExchange{
		front: front, room: shared, admission: controller, exchange: room.NewExchange(front.Node, front.Zone, front.Incarnation, shared),
		heard: make(chan struct{}, 1),
	}
}

// Run exchanges loads in each interval until the context ends. Waiting requests are admitted then, and after changes of the catalog and replies; those
// that arrive meanwhile are applied together.
func (exchange *loadExchange) Run(ctx context.Context) {
	ticker := time.NewTicker(room.Interval)
	defer ticker.Stop()
	for {
		changed := exchange.front.Catalog.Changed()
		exchange.admission.RoomChanged()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-exchange.heard:
		case <-ticker.C:
			exchange.tick()
		}
	}
}

func (exchange *loadExchange) tick() {
	front := exchange.front
	nodes := room.Nodes{Isolated: front.Registry.Isolated(time.Now()), Ranked: names(exchange.ranked(front.Zone))}
	for _, zone := range front.Registry.Zones() {
		if first := exchange.ranked(zone); len(first) > 0 {
			nodes.Peers = append(nodes.Peers, first[0].GetName())
		}
	}
	messages, expired := exchange.exchange.Tick(exchange.ownLoads(), nodes)
	front.Metrics.LoadMessages("report", "expired", expired)
	exchange.send(messages)
	exchange.logTarget()
}

// ranked returns the summing nodes of a zone, the first choice first. Nodes of builds that do not sum up reports are not among them.
func (exchange *loadExchange) ranked(zone string) []*clusterv1.NodeRecord {
	return exchange.front.Registry.Capable(zone, summingKey, clusterv1.Capability_CAPABILITY_SERVICE_LOADS)
}

func names(records []*clusterv1.NodeRecord) []string {
	list := make([]string, 0, len(records))
	for _, record := range records {
		list = append(list, record.GetName())
	}
	return list
}

// ownLoads returns this front's loads, and refreshes the room with them.
func (exchange *loadExchange) ownLoads() []room.NamedLoad {
	current := exchange.admission.Loads()
	refused := make(map[string]int64, len(current))
	for _, load := range current {
		refused[load.Service] = load.Refused
	}
	recent := exchange.refusals.Recent(refused)
	var loads []room.NamedLoad
	own := make(map[string]room.Load, len(current))
	for _, load := range current {
		entry := room.Load{InFlight: load.InFlight, Waiting: load.Waiting, Refused: recent[load.Service], ServiceTime: load.ServiceTime}
		if load.InFlight+load.Waiting > 0 {
			entry.Nodes = 1
			own[load.Service] = entry
		}
		if entry.Nodes+entry.Refused > 0 {
			loads = append(loads, room.NamedLoad{Service: load.Service, Load: entry})
		}
	}
	for _, status := range exchange.room.Refresh(own, exchange.ejectedSlots()) {
		exchange.record(status)
	}
	return loads
}

// ejectedSlots returns the slots of this front's ejected replicas, by service.
func (exchange *loadExchange) ejectedSlots() map[string]int {
	slots, replicas := make(map[string]int), exchange.front.Catalog.Replicas()
	for _, id := range exchange.front.loads.Ejected(time.Now()) {
		if replica := replicas.Find(id); replica != nil && !replica.Draining {
			slots[replica.Service] += max(replica.Slots, 1)
		}
	}
	return slots
}

// record records the metrics of a service, and logs what has changed.
func (exchange *loadExchange) record(status room.Status) {
	metrics := exchange.front.Metrics
	if status.Removed {
		metrics.RoomRemoved(status.Service)
		return
	}
	metrics.RoomLimit(status.Service, status.Limit)
	if status.Known {
		metrics.RoomOthers(status.Service, status.Others.InFlight, status.Others.Waiting)
	} else {
		metrics.RoomOthersUnknown(status.Service)
	}
	log := func(message string) {
		exchange.front.Logger.Info(message, "service", status.Service, "limit", status.Limit, "previous", status.Previous, "slots", status.Slots,
			"in_flight", status.Own.InFlight, "waiting", status.Own.Waiting, "others_known", status.Known,
			"others_in_flight", status.Others.InFlight, "others_waiting", status.Others.Waiting, "others", status.Others.Nodes)
	}
	switch status.Event {
	case room.Known:
		log("room known")
	case room.Lost:
		log("room lost")
	case room.Changed:
		log("room changed")
	case room.None:
	}
}

// logTarget logs a change of the node to which this front reports.
func (exchange *loadExchange) logTarget() {
	target := exchange.exchange.Target()
	if target == exchange.target || time.Since(exchange.moved) < moveLogInterval {
		return
	}
	exchange.front.Logger.Info("loads reported to another node", "from", exchange.target, "to", target)
	exchange.target, exchange.moved = target, time.Now()
}

// handleReport records the report of another front.
func (exchange *loadExchange) handleReport(report *clusterv1.ServiceReport, from net.Addr) {
	exchange.front.Metrics.LoadMessages("report", "received", 1)
	exchange.send(exchange.exchange.HandleReport(report, from))
}

// handleTotals applies a reply, or records the sums of another summing node.
func (exchange *loadExchange) handleTotals(totals *clusterv1.ServiceTotals, from net.Addr) {
	exchange.front.Metrics.LoadMessages("totals", "received", 1)
	if !exchange.exchange.HandleTotals(totals, from) {
		return
	}
	select {
	case exchange.heard <- struct{}{}:
	default: // the next turn of Run applies this reply as well
	}
}

// send sends messages. Those to nodes that are no longer registered are dropped.
func (exchange *loadExchange) send(messages []room.Message) {
	front := exchange.front
	for _, message := range messages {
		datagram, kind := &clusterv1.Datagram{Kind: &clusterv1.Datagram_ServiceTotals{ServiceTotals: message.Totals}}, "totals"
		if message.Report != nil {
			datagram, kind = &clusterv1.Datagram{Kind: &clusterv1.Datagram_ServiceReport{ServiceReport: message.Report}}, "report"
		}
		switch {
		case message.To != nil:
			front.datagrams.SendTo(datagram, message.To)
		case message.Node != "":
			front.datagrams.Send(datagram, front.Registry.Records(map[string]bool{message.Node: true}))
		default:
			publisher := front.subscriber.Publisher()
			if publisher == nil {
				continue
			}
			front.datagrams.SendTo(datagram, publisher)
		}
		front.Metrics.LoadMessages(kind, "sent", 1)
	}
}
