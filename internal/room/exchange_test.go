package room_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/room"
)

var oneInFlight = []room.NamedLoad{{Service: "s", Load: room.Load{InFlight: 1, Nodes: 1}}}

// reports returns the receivers of the reports among messages, by whether the report has loads.
func reports(messages []room.Message) (loaded, empty []string) {
	for _, message := range messages {
		switch {
		case message.Report == nil:
		case len(message.Report.GetServices()) > 0:
			loaded = append(loaded, message.Node)
		default:
			empty = append(empty, message.Node)
		}
	}
	return loaded, empty
}

func sumsOf(node string, number int64, inFlight int32) *clusterv1.ServiceTotals {
	return &clusterv1.ServiceTotals{Node: node, Life: 1, Number: number, Zones: []*clusterv1.ZoneLoad{
		{Zone: "b", Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: inFlight, Nodes: 1}}},
	}}
}

func replyTo(receiver, node string, number int64, inFlight int32) *clusterv1.ServiceTotals {
	totals := sumsOf(node, number, inFlight)
	totals.Receiver = receiver
	return totals
}

// A node without requests sends nothing, except once after its last request.
func TestIdleNodesSendNothing(t *testing.T) {
	rooms, _, manual := newRoom(8)
	exchange := room.NewExchange("x", "a", 1, rooms)
	nodes := room.Nodes{Ranked: []string{"first", "second", "x"}, Peers: []string{"first", "other"}}
	tick := func(loads []room.NamedLoad) []room.Message {
		manual.now += room.Interval
		messages, _ := exchange.Tick(loads, nodes)
		return messages
	}
	must.SliceEmpty(t, tick(nil))
	loaded, empty := reports(tick(oneInFlight))
	must.Eq(t, []string{"first"}, loaded)
	must.SliceEmpty(t, empty)
	loaded, empty = reports(tick(nil))
	must.SliceEmpty(t, loaded)
	must.Eq(t, []string{"first"}, empty)
	must.SliceEmpty(t, tick(nil))
}

// A node moves from a silent summing node to the next one, tells the former one that it no longer counts there, takes no late reply of it for sums, and
// comes back after a while.
func TestNodeMovesFromASilentSummingNode(t *testing.T) {
	rooms, _, manual := newRoom(64)
	rooms.Limit("s")
	exchange := room.NewExchange("x", "a", 1, rooms)
	nodes := room.Nodes{Ranked: []string{"first", "x"}}
	var moved []room.Message
	for range 60 {
		manual.now += room.Interval
		messages, _ := exchange.Tick(oneInFlight, nodes)
		if exchange.Target() == "x" {
			moved = messages
			break
		}
	}
	must.Eq(t, "x", exchange.Target())
	_, empty := reports(moved)
	must.Eq(t, []string{"first"}, empty)

	must.False(t, exchange.HandleTotals(replyTo("x", "first", 1, 40), nil))
	exchange.HandleReport(&clusterv1.ServiceReport{Node: "y", Life: 1, Number: 1, Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: 2, Nodes: 1}}}, address("y"))
	for range 2 * room.WordTTL / room.Interval {
		manual.now += room.Interval
		_, _ = exchange.Tick(oneInFlight, nodes)
	}
	must.Eq(t, 62, rooms.Limit("s"), must.Sprint("without the two of y; the late reply did not count"))
	for range 60 {
		manual.now += room.Interval
		_, _ = exchange.Tick(oneInFlight, nodes)
		if exchange.Target() == "first" {
			return
		}
	}
	t.Fatal("the first summing node is not tried again")
}

// A node to which others report sums up its own load as well, and takes the totals of others for their sums.
func TestNodeWithReportsReportsToItself(t *testing.T) {
	rooms, _, manual := newRoom(64)
	rooms.Limit("s")
	exchange := room.NewExchange("x", "a", 1, rooms)
	nodes := room.Nodes{Ranked: []string{"first", "x"}, Peers: []string{"first"}}
	tick := func(number int64) []room.Message {
		manual.now += room.Interval
		exchange.HandleReport(&clusterv1.ServiceReport{Node: "y", Life: 1, Number: number, Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: 2, Nodes: 1}}}, address("y"))
		messages, _ := exchange.Tick(oneInFlight, nodes)
		return messages
	}
	var messages []room.Message
	for number := range int64(5) {
		messages = tick(number + 1)
	}
	must.Eq(t, "x", exchange.Target())
	told := make(map[string]int64)
	for _, message := range messages {
		told[message.Node] = int64(message.Totals.GetZones()[0].GetServices()[0].GetInFlight())
	}
	must.Eq(t, map[string]int64{"y": 1, "first": 3, "": 3}, told, must.Sprint("the reporter is told of others, the peer and the publisher of all"))
	must.False(t, exchange.HandleTotals(sumsOf("first", 1, 30), address("first")))
	tick(6)
	must.Eq(t, 32, others(rooms).InFlight)
}

// others returns what a room knows of the other nodes' load.
func others(rooms *room.Room) room.Load {
	return rooms.Refresh(map[string]room.Load{"s": {InFlight: 1, Nodes: 1}}, nil)[0].Others
}

// While the load of others is known, refusals by replicas still narrow the limit, from what was in force: a backlog is not refused one by one.
func TestRefusalsNarrowAKnownLimit(t *testing.T) {
	rooms, _, manual := newRoom(64)
	rooms.Limit("s")
	narrow(rooms, manual, 8)
	serveAtFullUse(rooms, manual, 9) // the window grows
	must.Greater(t, 12, rooms.Limit("s"))
	rooms.HandleReply(sumsOf("sum", 1, 54))
	rooms.Refresh(map[string]room.Load{"s": {InFlight: 10, Nodes: 1}}, nil)
	limit := rooms.Limit("s")
	must.LessEq(t, 12, limit)
	manual.now += time.Second
	refused := 0
	for running := limit / 2; running < rooms.Limit("s") && refused < 100; refused++ {
		full(rooms, running+1)
	}
	must.LessEq(t, 3, refused)
}

// While slots are scarce, a share follows the loads with the delay of a request: what one node gives up is in use until its requests end.
func TestScarceSharesFollowWithDelay(t *testing.T) {
	rooms, _, manual := newRoom(64)
	rooms.Limit("s")
	tell := func(number int64, waiting int32) int {
		sums := sumsOf("sum", number, 32)
		sums.Zones[0].Services[0].Waiting = waiting
		rooms.HandleReply(sums)
		rooms.Refresh(map[string]room.Load{"s": {InFlight: 32, Waiting: 64, Nodes: 1}}, nil)
		return rooms.Limit("s")
	}
	must.Between(t, 31, tell(1, 64), 32)
	manual.now += room.Interval
	must.Between(t, 34, tell(2, 0), 44, must.Sprint("on the way to 47"))
	for number := range int64(20) {
		manual.now += room.Interval
		tell(number+3, 0)
	}
	must.Between(t, 46, tell(30, 0), 48)
}

// A node that was idle knows nothing of the others, and keeps its last share for a while. It must not keep it once it is told that slots are free.
func TestAssumedLimitEndsWithTheNextWord(t *testing.T) {
	rooms, _, manual := newRoom(64)
	rooms.Limit("s")
	rooms.HandleReply(sumsOf("sum", 1, 63))
	rooms.Refresh(map[string]room.Load{"s": {InFlight: 1, Nodes: 1}}, nil)
	manual.now += 2 * time.Second
	rooms.Refresh(nil, nil)
	must.LessEq(t, 4, rooms.Limit("s"))
	rooms.HandleReply(sumsOf("sum", 2, 0))
	must.Eq(t, 64, rooms.Limit("s"))
}

// The end of word renews no limit that refusals have found: it must not outlast them where nodes are idle now and then.
func TestEndOfWordRenewsNoWindow(t *testing.T) {
	rooms, _, manual := newRoom(64)
	narrow(rooms, manual, 8)
	for number := range int64(4) {
		rooms.HandleReply(sumsOf("sum", number+1, 0))
		must.LessEq(t, 64, rooms.Limit("s"))
		if number == 0 {
			must.LessEq(t, 8, rooms.Limit("s"), must.Sprint("word does not end a window that refusals have found"))
		}
		manual.now += 2 * time.Second
		rooms.Limit("s")
	}
	must.Eq(t, 64, rooms.Limit("s"))
}

// Slots that go and return leave a scarce share as it was, also if there are fewer slots than nodes for a while: shares of at least one slot each would
// be too large together once the others return.
func TestScarceShareAfterADip(t *testing.T) {
	rooms, table, manual := newRoom(64)
	version, number := int64(1), int64(0)
	rooms.Limit("s")
	resize := func(slots ...int) {
		version++
		table.SetReplicas(replicasOf("s", slots...), version)
	}
	pass := func(own room.Load, intervals int) {
		for range intervals {
			number++
			manual.now += room.Interval
			sums := sumsOf("sum", number, 60)
			sums.Zones[0].Services[0].Waiting, sums.Zones[0].Services[0].Nodes = 60, 19
			rooms.HandleReply(sums)
			rooms.Refresh(map[string]room.Load{"s": own}, nil)
		}
	}
	few := room.Load{InFlight: 3, Waiting: 3, Nodes: 1}
	pass(few, 12)
	before := rooms.Limit("s")
	must.Between(t, 3, before, 4)
	for _, slots := range []int{4, 1} {
		for _, intervals := range []int{0, 8} {
			resize(slots)
			must.Eq(t, 1, rooms.Limit("s"))
			pass(few, intervals)
			resize(64)
			must.Between(t, before-1, rooms.Limit("s"), before, must.Sprint(slots, " slots for ", intervals, " intervals"))
			pass(few, 8)
		}
	}

	many := room.Load{InFlight: 30, Waiting: 64, Nodes: 1}
	pass(many, 20)
	before = rooms.Limit("s")
	must.Greater(t, 20, before)
	resize()
	pass(many, 1)
	resize(64)
	must.Between(t, before-2, rooms.Limit("s"), before+2, must.Sprint("at once after a time without slots"))
}

// Only a reply to this node of the node to which it reports is taken for one, and only totals without a receiver for sums: the two differ by the
// receiver's own report and by the other zones.
func TestRepliesAndSumsAreToldApart(t *testing.T) {
	rooms, _, manual := newRoom(64)
	rooms.Limit("s")
	exchange := room.NewExchange("x", "a", 1, rooms)
	nodes := room.Nodes{Ranked: []string{"first", "x"}, Peers: []string{"first"}}
	_, _ = exchange.Tick(oneInFlight, nodes)
	must.Eq(t, "first", exchange.Target())
	must.False(t, exchange.HandleTotals(replyTo("y", "first", 1, 50), nil))
	must.False(t, exchange.HandleTotals(replyTo("x", "second", 2, 50), nil))
	must.False(t, exchange.HandleTotals(sumsOf("first", 3, 30), nil))
	must.Eq(t, 0, others(rooms).InFlight)
	must.True(t, exchange.HandleTotals(replyTo("x", "first", 4, 20), nil))
	must.Eq(t, 20, others(rooms).InFlight)

	for number := range int64(5) { // as a summing node it has the sums alone
		exchange.HandleTotals(sumsOf("first", number+5, 30), nil)
		exchange.HandleTotals(replyTo("y", "second", number+5, 50), nil)
		exchange.HandleTotals(replyTo("x", "second", number+5, 50), nil)
		exchange.HandleReport(&clusterv1.ServiceReport{Node: "y", Life: 1, Number: number + 1, Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: 2, Nodes: 1}}}, address("y"))
		_, _ = exchange.Tick(oneInFlight, nodes)
		manual.now += room.Interval
	}
	must.Eq(t, 32, others(rooms).InFlight)
}
