package room_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/room"
)

const (
	step        = 10 * time.Millisecond
	serviceTime = 400 * time.Millisecond
	patience    = 2 * time.Second        // after which a request is given up
	backoff     = 500 * time.Millisecond // after which a refused request is sent again
)

// world is a model of nodes that share one service. Requests take serviceTime at a replica; a request sent while all slots are in use is
// refused and sent again.
type world struct {
	manual *manualClock
	table  *catalog.Table
	slots  int
	nodes  []*node
	busy   int
	random *rand.Rand
	// cut reports whether messages from one node to another are lost; nil for none.
	cut func(from, to *node) bool
	// largest is the size of the largest datagram, backlog the waiting requests that the publisher has heard of last, by zone.
	largest int
	backlog map[string]int64
}

type node struct {
	name, zone string
	room       *room.Room
	exchange   *room.Exchange
	rate       float64 // requests a second
	// former nodes run a build that neither limits requests nor reports them; silent ones report nothing and answer nothing. Dead ones do
	// not run.
	former, silent, dead bool
	// unregistered nodes are missing in the registry.
	unregistered bool

	waiting                      []time.Duration // arrival times
	backing                      []refusal       // refused requests that are not sent again yet
	next                         time.Duration   // next arrival
	running                      []time.Duration // end times
	asked, sent, refused, served int             // asked counts arrivals
	datagrams                    int             // sent
	lowest                       int             // limit
	held                         int             // requests that were not sent when they arrived
}

// refusal is a refused request.
type refusal struct{ arrived, refused time.Duration }

// address is the network address of a node in the model.
type address string

func (address) Network() string     { return "model" }
func (name address) String() string { return string(name) }
func (node *node) load() room.Load {
	return room.Load{InFlight: len(node.running), Waiting: len(node.waiting) + len(node.backing), Nodes: 1}
}
func (node *node) from() net.Addr       { return address(node.name) }
func (world *world) now() time.Duration { return world.manual.now }

var seed = flag.Uint64("seed", 1, "seed of the arrivals of requests")

// newWorld returns a world with as many slots, in replicas of 8, and one node for each rate, spread over zones.
func newWorld(slots, zones int, rates ...float64) *world {
	world := &world{manual: &manualClock{now: time.Hour}, table: catalog.NewTable(), backlog: make(map[string]int64), random: rand.New(rand.NewPCG(*seed, 1))}
	world.resize(slots)
	for index, rate := range rates {
		node := &node{name: fmt.Sprint("front-", index), zone: fmt.Sprint("zone-", index%zones), rate: rate, next: time.Hour}
		world.start(node)
		world.nodes = append(world.nodes, node)
	}
	return world
}

func (world *world) clock() clock.Clock { return world.manual.clock() }

// resize changes the replicas of the service.
func (world *world) resize(slots int) {
	world.slots = slots
	list := make([]int, slots/8)
	for index := range list {
		list[index] = 8
	}
	world.table.SetReplicas(replicasOf("s", list...), int64(world.now()))
}

// start starts a process of a node, which has no state.
func (world *world) start(node *node) {
	node.room = room.New(node.name, world.table, world.clock())
	node.exchange = room.NewExchange(node.name, node.zone, int64(world.now()), node.room)
	node.lowest, node.dead = world.slots, false
}

// run lets time pass.
func (world *world) run(duration time.Duration) {
	for end := world.now() + duration; world.now() < end; world.manual.now += step {
		for index, node := range world.nodes {
			if node.dead {
				continue
			}
			world.serve(node)
			if phase := time.Duration(index) * 37 * time.Millisecond % room.Interval; (world.now()+phase)%room.Interval < step && !node.former {
				world.tick(node)
			}
		}
	}
}

// serve ends and sends requests of a node.
func (world *world) serve(node *node) {
	for len(node.running) > 0 && node.running[0] <= world.now() {
		node.room.Observe("s", admission.Outcome{ServiceTime: serviceTime}, len(node.running))
		node.running = node.running[1:]
		node.served++
		world.busy--
	}
	arrivals := 0
	for node.rate > 0 && node.next <= world.now() { // a Poisson process
		arrivals++
		node.asked++
		node.waiting = append(node.waiting, world.now())
		node.next += time.Duration(world.random.ExpFloat64() / node.rate * float64(time.Second))
	}
	for len(node.backing) > 0 && world.now()-node.backing[0].refused >= backoff {
		node.waiting, node.backing = slices.Insert(node.waiting, 0, node.backing[0].arrived), node.backing[1:]
	}
	for len(node.waiting) > 0 && world.now()-node.waiting[0] > patience {
		node.waiting = node.waiting[1:]
	}
	for range len(node.waiting) {
		limit := node.room.Limit("s")
		node.lowest = min(node.lowest, limit)
		if len(node.running) >= limit && !node.former {
			node.held += arrivals
			return
		}
		arrivals = max(0, arrivals-1)
		node.sent++
		if world.busy >= world.slots {
			node.refused++
			node.room.Observe("s", admission.Outcome{Full: true}, len(node.running)+1)
			node.backing, node.waiting = append(node.backing, refusal{node.waiting[0], world.now()}), node.waiting[1:]
			continue
		}
		world.busy++
		node.waiting, node.running = node.waiting[1:], append(node.running, world.now()+serviceTime)
	}
}

// tick exchanges the loads of a node.
func (world *world) tick(node *node) {
	load := node.load()
	own := map[string]room.Load{}
	var loads []room.NamedLoad
	if load.InFlight+load.Waiting > 0 {
		own["s"] = load
		loads = []room.NamedLoad{{Service: "s", Load: load}}
	}
	node.room.Refresh(own, nil)
	if node.silent {
		return
	}
	messages, _ := node.exchange.Tick(loads, world.registry(node))
	world.deliver(node, messages)
}

// registry returns what the registry says, which ranks the nodes of a zone by their numbers.
func (world *world) registry(node *node) room.Nodes {
	var nodes room.Nodes
	ranked := make(map[string][]string)
	for _, other := range world.nodes {
		if !other.unregistered && !other.former {
			ranked[other.zone] = append(ranked[other.zone], other.name)
		}
	}
	for _, names := range ranked {
		nodes.Peers = append(nodes.Peers, names[0])
	}
	slices.Sort(nodes.Peers)
	nodes.Ranked = ranked[node.zone][:min(3, len(ranked[node.zone]))]
	return nodes
}

func (world *world) find(name string) *node {
	for _, node := range world.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// deliver delivers messages and the answers to them.
func (world *world) deliver(from *node, messages []room.Message) {
	for _, message := range messages {
		from.datagrams++
		world.largest = max(world.largest, proto.Size(datagram(message)))
		if message.Node == "" {
			for _, zone := range message.Totals.GetZones() {
				world.backlog[zone.GetZone()] = int64(zone.GetServices()[0].GetWaiting())
			}
			continue
		}
		to := world.find(message.Node)
		if to.dead || to.silent || (world.cut != nil && world.cut(from, to)) {
			continue
		}
		if message.Report != nil {
			world.deliver(to, to.exchange.HandleReport(message.Report, from.from()))
		} else {
			to.exchange.HandleTotals(message.Totals, from.from())
		}
	}
}

func datagram(message room.Message) *clusterv1.Datagram {
	if message.Report != nil {
		return &clusterv1.Datagram{Kind: &clusterv1.Datagram_ServiceReport{ServiceReport: message.Report}}
	}
	return &clusterv1.Datagram{Kind: &clusterv1.Datagram_ServiceTotals{ServiceTotals: message.Totals}}
}

// counts are the requests of some nodes since the last reset.
type counts struct{ sent, refused, served int }

func (world *world) reset() {
	for _, node := range world.nodes {
		node.asked, node.sent, node.refused, node.served, node.datagrams, node.held, node.lowest = 0, 0, 0, 0, 0, 0, world.slots
	}
}

// kill ends the process of a node, with its requests.
func (world *world) kill(node *node) {
	node.dead = true
	world.busy -= len(node.running)
	node.running, node.waiting, node.backing = nil, nil, nil
}

// measure lets time pass and counts the requests of all nodes meanwhile.
func (world *world) measure(duration time.Duration) counts {
	world.reset()
	world.run(duration)
	var sum counts
	for _, node := range world.nodes {
		sum.sent += node.sent
		sum.refused += node.refused
		sum.served += node.served
	}
	return sum
}

// refusals returns the share of sends that were refused.
func (counts counts) refusals() float64 {
	return float64(counts.refused) / float64(max(1, counts.sent))
}

// use returns the share of the slots' time that served requests took.
func (world *world) use(served int, duration time.Duration) float64 {
	return float64(served) * serviceTime.Seconds() / (float64(world.slots) * duration.Seconds())
}
