package backend

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// world plays requests of a few nodes at replicas that work on as many at a time as they have slots, event by event.
type world struct {
	now     time.Time
	random  *rand.Rand
	events  events
	servers map[string]*server
	list    catalog.ReplicaList
	nodes   []*worldNode
	done    []record
}

type worldNode struct {
	name   string
	loads  *Loads
	picker Picker
}

// server is a replica.
type server struct {
	replica *catalog.Replica
	// pace returns how many times longer than usual work takes that begins now.
	pace    func(now time.Time) float64
	fails   func() bool
	mute    bool
	reports bool
	running int
	waiting []func()
}

// record is a request that has ended.
type record struct {
	replica, node string
	at            time.Time // when it was sent
	took          time.Duration
	failed, full  bool
}

type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(a, b int) bool {
	if events[a].at.Equal(events[b].at) {
		return events[a].number < events[b].number
	}
	return events[a].at.Before(events[b].at)
}
func (events events) Swap(a, b int) { events[a], events[b] = events[b], events[a] }
func (events *events) Push(added any) {
	*events = append(*events, added.(event))
}
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

const (
	usualTime  = 100 * time.Millisecond
	queueLimit = 4 // requests that wait at a replica
	worldSlots = 6
)

// newWorld returns a world of nodes with replicas, which are spread over the zones. Balanced nodes have a balancer.
func newWorld(seed uint64, replicas int, balanced bool, zones ...string) *world {
	world := &world{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[string]*server)}
	list := make([]*catalog.Replica, 0, replicas)
	for index := range replicas {
		replica := &catalog.Replica{ID: fmt.Sprintf("r%05d", index), Service: "app", Slots: worldSlots, Zone: zones[index%len(zones)]}
		list = append(list, replica)
		world.servers[replica.ID] = &server{replica: replica, pace: func(time.Time) float64 { return 1 }, fails: func() bool { return false }}
	}
	world.list = catalog.NewReplicaList(list...)
	for index := range 2 * len(zones) {
		world.addNode(zones[index%len(zones)], balanced)
	}
	return world
}

func (world *world) addNode(zone string, balanced bool) *worldNode {
	node := &worldNode{name: fmt.Sprint("n", len(world.nodes)), loads: NewLoads()}
	node.picker = Picker{Loads: node.loads, Zone: zone}
	if balanced {
		balancer := NewBalancer(zone, log.New(io.Discard), nil)
		balancer.chance = world.random.Float64
		node.loads.Balance(balancer)
	}
	world.nodes = append(world.nodes, node)
	return node
}

func (world *world) after(delay time.Duration, run func()) {
	heap.Push(&world.events, event{at: world.now.Add(delay), number: world.random.Int(), run: run})
}

// play sends perSecond requests a second at random times, each by a node that the function chooses, for a while.
func (world *world) play(perSecond float64, lasting time.Duration, choose func() *worldNode) {
	end := world.now.Add(lasting)
	var arrive func()
	arrive = func() {
		if world.now.Before(end) {
			world.send(choose())
			world.after(time.Duration(world.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
	}
	world.after(0, arrive)
	world.run(end)
}

// run plays the events until a time.
func (world *world) run(end time.Time) {
	for len(world.events) > 0 && world.events[0].at.Before(end) {
		next := heap.Pop(&world.events).(event)
		world.now = next.at
		next.run()
	}
	world.now = end
}

func (world *world) anyNode() *worldNode { return world.nodes[world.random.IntN(len(world.nodes))] }

// giveUp is how long a node waits for an answer.
const giveUp = 1500 * time.Millisecond

// send sends one request by a node and records its end.
func (world *world) send(node *worldNode) {
	replica := node.picker.Pick(world.list, nil, world.now)
	server, sent, ended := world.servers[replica.ID], world.now, false
	node.loads.Begin(replica.ID, sent)
	var measured *measurement
	if balancer := node.loads.balancer; balancer != nil {
		measured = balancer.begin(replica, &Request{Method: "POST", Target: "/score"}, sent)
	}
	finish := func(end measuredEnd) {
		if ended {
			return
		}
		ended = true
		outcome := Served
		if end == endAbandoned {
			outcome = Unknown
		}
		node.loads.End(replica.ID, outcome, world.now)
		if measured != nil {
			load := ReportedLoad{}
			if server.reports && end != endAbandoned {
				load = ReportedLoad{Known: true, Running: server.running, Waiting: len(server.waiting), Slots: worldSlots, Pace: server.pace(world.now)}
			}
			measured.report(load, world.now)
			measured.end(end, 0, world.now)
		}
		world.done = append(world.done, record{replica: replica.ID, node: node.name, at: sent, took: world.now.Sub(sent), failed: end == endFailed || end == endAbandoned, full: end == endFull})
	}
	world.after(giveUp, func() { finish(endAbandoned) })
	switch {
	case server.mute:
	case server.running >= worldSlots && len(server.waiting) >= queueLimit:
		world.after(time.Millisecond, func() { finish(endFull) })
	default:
		world.accept(server, finish)
	}
}

// accept works on a request, or lets it wait for a slot.
func (world *world) accept(server *server, finish func(measuredEnd)) {
	work := func() {
		server.running++
		end, took := endServed, time.Duration(float64(usualTime)*server.pace(world.now)*(0.8+0.4*world.random.Float64()))
		if server.fails() {
			end, took = endFailed, time.Millisecond
		}
		world.after(took, func() {
			server.running--
			if len(server.waiting) > 0 {
				next := server.waiting[0]
				server.waiting = server.waiting[1:]
				next()
			}
			finish(end)
		})
	}
	if server.running < worldSlots {
		work()
		return
	}
	server.waiting = append(server.waiting, work)
}

// since returns the requests sent from a time on.
func (world *world) since(from time.Time) []record {
	return slices.DeleteFunc(slices.Clone(world.done), func(record record) bool { return record.at.Before(from) })
}

// share returns the share of records that match.
func share(records []record, match func(record record) bool) float64 {
	count := 0
	for _, record := range records {
		if match(record) {
			count++
		}
	}
	return float64(count) / float64(max(1, len(records)))
}

// percentile returns a percentile of the duration of the requests.
func percentile(records []record, part float64) time.Duration {
	took := make([]time.Duration, 0, len(records))
	for _, record := range records {
		took = append(took, record.took)
	}
	slices.Sort(took)
	return took[min(len(took)-1, int(part*float64(len(took))))]
}
