package room

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
)

func tenSlots(string) int { return 10 }

// newSummingNode returns a summing node that has been the first choice of its zone for long.
func newSummingNode() *summingNode {
	summing := newSumming("sum", "a", 1, tenSlots)
	summing.setPlace(true, false, -settleTime)
	return summing
}

func reportOf(node string, incarnation, number int64, inFlight, waiting int) *clusterv1.ServiceReport {
	return newReport(node, incarnation, number, []NamedLoad{{"s", Load{InFlight: inFlight, Waiting: waiting, Nodes: 1}}})
}

// heard returns what a round tells a node of the others at service s.
func heard(summing *summingNode, node string, now time.Duration) Load {
	for _, reply := range summing.round(now).replies {
		if reply.node == node {
			return othersOf(reply.totals)["s"]
		}
	}
	return Load{InFlight: -1}
}

// A node is told what all others have, without its own report. Long backlogs of one node count up to the slots, but the publisher learns all.
func TestSumsLeaveOutTheReceiver(t *testing.T) {
	summing := newSummingNode()
	summing.handleReport(reportOf("x", 1, 1, 3, 500), nil, 0)
	summing.handleReport(reportOf("y", 1, 1, 4, 2), nil, 0)
	summing.handleTotals(&clusterv1.ServiceTotals{Node: "other", Life: 1, Number: 1, Zones: []*clusterv1.ZoneLoad{
		{Zone: "b", Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: 5, Waiting: 1, Nodes: 2}, {Service: "unused", InFlight: 9}}},
		{Zone: "a", Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: 1, Nodes: 1}}},
	}}, nil, 0)
	must.Eq(t, Load{InFlight: 10, Waiting: 3, Nodes: 4}, heard(summing, "x", 0))
	must.Eq(t, Load{InFlight: 9, Waiting: 11, Nodes: 4}, heard(summing, "y", 0))
	next := summing.round(0)
	for _, reply := range next.replies {
		must.Eq(t, reply.node, reply.totals.GetReceiver())
	}
	for _, totals := range slices.Concat(next.peers, next.publisher) {
		must.Eq(t, "", totals.GetReceiver())
	}
	must.Eq(t, Load{InFlight: 7, Waiting: 12, Nodes: 2}, othersOf(next.peers[0])["s"], must.Sprint("only the own reports"))
	must.Eq(t, Load{InFlight: 7, Waiting: 502, Nodes: 2}, othersOf(next.publisher[0])["s"])
	for _, reply := range next.replies {
		must.MapLen(t, 1, othersOf(reply.totals), must.Sprint("only the services of its report"))
	}
}

// Reports that arrive out of order, or from an earlier process, change nothing, unless the node was silent meanwhile. A report without loads
// removes the node at once, and one that is not renewed does so later.
func TestOutdatedReports(t *testing.T) {
	summing := newSummingNode()
	inFlight := func(now time.Duration) int { return heard(summing, "y", now).InFlight }
	summing.handleReport(reportOf("y", 1, 1, 1, 0), nil, 0)
	summing.handleReport(reportOf("x", 7, 5, 3, 0), nil, 0)
	summing.handleReport(reportOf("x", 7, 4, 9, 0), nil, 0)
	summing.handleReport(reportOf("x", 6, 8, 9, 0), nil, 0)
	must.Eq(t, 3, inFlight(0))
	summing.handleReport(newReport("x", 7, 6, nil), nil, 0)
	summing.handleReport(reportOf("x", 7, 5, 3, 0), nil, 0)
	must.Eq(t, 0, inFlight(0))
	summing.handleReport(reportOf("x", 8, 1, 2, 0), nil, 0)
	must.Eq(t, 2, inFlight(0), must.Sprint("a new process counts from 1"))
	summing.handleReport(reportOf("y", 1, 2, 1, 0), nil, reportTTL)
	must.Eq(t, 2, inFlight(reportTTL))
	must.Eq(t, 0, inFlight(reportTTL+1))
	summing.handleReport(reportOf("x", 2, 1, 4, 0), nil, reportTTL+1)
	must.Eq(t, 4, inFlight(reportTTL+1), must.Sprint("the clock of x was set back"))
}

// Sums of another summing node expire, and those of its earlier process are outdated.
func TestOutdatedSums(t *testing.T) {
	summing := newSummingNode()
	tell := func(incarnation, number int64, inFlight int32, now time.Duration) {
		summing.handleTotals(&clusterv1.ServiceTotals{Node: "other", Life: incarnation, Number: number, Zones: []*clusterv1.ZoneLoad{
			{Zone: "b", Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: inFlight, Nodes: 1}}},
		}}, nil, now)
	}
	number := int64(0)
	inFlight := func(now time.Duration) int {
		number++
		summing.handleReport(reportOf("y", 1, number, 1, 0), nil, now)
		return heard(summing, "y", now).InFlight
	}
	tell(2, 2, 5, 0)
	tell(2, 1, 9, 0)
	tell(1, 9, 9, 0)
	must.Eq(t, 5, inFlight(0))
	tell(3, 1, 6, 0)
	must.Eq(t, 6, inFlight(reportTTL))
	must.Eq(t, 0, inFlight(reportTTL+1))
}

// A node tells no sums while they are incomplete: just after it has become the first choice, while it hears nobody, and while nobody but itself
// reports to it although another node is the first choice.
func TestIncompleteSumsAreNotTold(t *testing.T) {
	summing := newSumming("sum", "a", 1, tenSlots)
	replies := func(now time.Duration) int {
		summing.handleReport(reportOf("sum", 1, int64(now)+2, 1, 0), nil, now)
		return len(summing.round(now).replies)
	}
	must.Eq(t, 0, replies(0))
	must.Eq(t, 0, replies(settleTime), must.Sprint("no first choice, and nobody else reports"))
	summing.setPlace(true, false, settleTime)
	must.Eq(t, 0, replies(settleTime+1))
	must.Eq(t, 1, replies(2*settleTime))
	summing.setPlace(true, true, 2*settleTime)
	must.Eq(t, 0, replies(2*settleTime+1), must.Sprint("isolated"))
	summing.setPlace(true, false, 3*settleTime)
	must.Eq(t, 0, replies(3*settleTime+1))
	must.Eq(t, 1, replies(4*settleTime))
}

// Sums of services that are no longer used are told once more, as zero, and then not at all.
func TestIdleZoneIsSilent(t *testing.T) {
	summing := newSummingNode()
	summing.handleReport(reportOf("x", 1, 1, 3, 0), nil, 0)
	must.Eq(t, 3, othersOf(summing.round(0).peers[0])["s"].InFlight)
	summing.handleReport(newReport("x", 1, 2, nil), nil, Interval)
	next := summing.round(Interval)
	must.Eq(t, map[string]Load{"s": {}}, othersOf(next.peers[0]))
	must.SliceEmpty(t, next.replies)
	next = summing.round(2 * Interval)
	must.SliceEmpty(t, next.peers)
	must.SliceEmpty(t, next.publisher)
}

// A node that begins to send is answered at once, as often as the bound on replies allows; after that nodes take turns, and each is answered before
// what it knows expires.
func TestRepliesAreBounded(t *testing.T) {
	const nodes = 300
	summing := newSummingNode()
	report := func(number int64, now time.Duration) (answered int) {
		for index := range nodes {
			answered += len(summing.handleReport(reportOf(fmt.Sprint("node-", index), 1, number, 1, 0), nil, now))
		}
		return answered
	}
	must.Eq(t, maxFirstReplies, report(1, 0))
	last := make(map[string]time.Duration)
	for number := range int64(20) {
		now := time.Duration(number) * Interval
		report(number+2, now)
		next := summing.round(now)
		must.LessEq(t, maxReplies, len(next.replies))
		for _, reply := range next.replies {
			must.LessEq(t, WordTTL, now-last[reply.node])
			last[reply.node] = now
		}
	}
	must.MapLen(t, nodes, last)
}

// Messages stay below the size of a packet, whatever the number of services and zones, and hold the busiest services.
func TestMessagesFitIntoPackets(t *testing.T) {
	const limit = 1400
	summing := newSummingNode()
	var loads []NamedLoad
	for index := range 200 {
		name := fmt.Sprint(strings.Repeat("service-", 5), index)
		loads = append(loads, NamedLoad{name, Load{InFlight: index * 1000, Waiting: 1 << 20, Nodes: 1, ServiceTime: time.Hour}})
	}
	report := newReport(strings.Repeat("x", 100), time.Now().UnixNano(), 1<<40, loads)
	datagram := func(totals *clusterv1.ServiceTotals) int {
		return proto.Size(&clusterv1.Datagram{Kind: &clusterv1.Datagram_ServiceTotals{ServiceTotals: totals}})
	}
	must.LessEq(t, limit, proto.Size(&clusterv1.Datagram{Kind: &clusterv1.Datagram_ServiceReport{ServiceReport: report}}))
	must.Greater(t, 10, len(report.GetServices()))
	must.Eq(t, loads[199].Service, report.GetServices()[0].GetService())
	summing.handleReport(report, nil, 0)
	for zone := range 12 {
		var services []*clusterv1.ServiceLoad
		for _, load := range loads[180:] {
			services = append(services, encodeLoad(load))
		}
		summing.handleTotals(&clusterv1.ServiceTotals{Node: fmt.Sprint("sum-", zone), Zones: []*clusterv1.ZoneLoad{{Zone: fmt.Sprint("zone-", zone), Services: services}}}, nil, 0)
	}
	next := summing.round(0)
	must.LessEq(t, maxParts, len(next.replies))
	for _, reply := range next.replies {
		must.LessEq(t, limit, datagram(reply.totals))
	}
	must.MapContainsKey(t, othersOf(next.replies[0].totals), loads[199].Service)
	for _, totals := range slices.Concat(next.peers, next.publisher) {
		must.LessEq(t, limit, datagram(totals))
	}
	must.Eq(t, loads[199].Service, next.peers[0].GetZones()[0].GetServices()[0].GetService())
}

// A node's room does not go back to earlier replies, also not to those of the summing node's earlier process.
func TestOutdatedReplies(t *testing.T) {
	table, now := catalog.NewTable(), time.Hour
	table.SetReplicas([]catalog.Replica{{ID: "r", Service: "s", Slots: 64}}, 1)
	room := New("x", table, clock.Func(func() time.Duration { return now }))
	room.Limit("s")
	reply := func(incarnation, number int64, inFlight int32) bool {
		return room.HandleReply(&clusterv1.ServiceTotals{Node: "sum", Life: incarnation, Number: number, Zones: []*clusterv1.ZoneLoad{
			{Zone: "a", Services: []*clusterv1.ServiceLoad{{Service: "s", InFlight: inFlight, Nodes: 1}, {Service: "unknown"}}},
		}})
	}
	must.True(t, reply(2, 2, 20))
	must.Eq(t, 44, room.Limit("s"))
	must.False(t, reply(2, 1, 0))
	must.False(t, reply(1, 3, 0))
	must.Eq(t, 44, room.Limit("s"))
	must.Eq(t, []string{"s"}, slices.Collect(maps.Keys(room.services)), must.Sprint("a reply adds no services"))
	now += WordTTL + 1
	must.Eq(t, 44, room.Limit("s"), must.Sprint("the window goes on from the last share"))
	must.False(t, room.Refresh(map[string]Load{"s": {InFlight: 1, Nodes: 1}}, nil)[0].Known)
}

// What is logged of a service is bounded, however its room changes.
func TestLinesAreBounded(t *testing.T) {
	table, now := catalog.NewTable(), time.Hour
	room := New("x", table, clock.Func(func() time.Duration { return now }))
	room.Limit("s")
	lines := 0
	for index := range 400 {
		table.SetReplicas([]catalog.Replica{{ID: "r", Service: "s", Slots: 1 + 63*(index%2)}}, int64(index)+1)
		if index%20 < 10 {
			room.HandleReply(&clusterv1.ServiceTotals{Node: "sum", Number: int64(index), Zones: []*clusterv1.ZoneLoad{{Services: []*clusterv1.ServiceLoad{{Service: "s"}}}}})
		}
		if room.Refresh(map[string]Load{"s": {InFlight: 1, Nodes: 1}}, nil)[0].Event != None {
			lines++
		}
		now += Interval
	}
	must.Between(t, 5, lines, 11)
}

// A node that reports to the second summing node of its zone, which answers, tries the first one again after a while, and at once if there is
// another first one.
func TestReturnToTheFirstSummingNode(t *testing.T) {
	chosen, now, heardAt := target{}, time.Hour, time.Duration(0)
	choose := func(ranked ...string) string {
		now += Interval
		return chosen.choose(ranked, heardAt, now)
	}
	for choose("a", "b") == "a" {
	}
	must.LessEq(t, WordTTL+2*Interval, now-time.Hour)
	moved := now
	for heardAt = now; choose("a", "b") == "b"; heardAt = now {
	}
	must.Between(t, returnAfter, now-moved, returnAfter+2*Interval)
	for choose("a", "b") == "a" {
	}
	must.Eq(t, "c", choose("c", "b"))
	must.Eq(t, "", choose())
}

// BenchmarkRound measures a round of a summing node with 300 reporting nodes at eight services and six other zones.
func BenchmarkRound(b *testing.B) {
	summing := newSummingNode()
	var loads []NamedLoad
	for index := range 8 {
		loads = append(loads, NamedLoad{fmt.Sprint("service-", index), Load{InFlight: 10, Waiting: 3, Nodes: 1}})
	}
	for zone := range 6 {
		var services []*clusterv1.ServiceLoad
		for _, load := range loads {
			services = append(services, encodeLoad(load))
		}
		summing.handleTotals(&clusterv1.ServiceTotals{Node: fmt.Sprint("sum-", zone), Zones: []*clusterv1.ZoneLoad{{Zone: fmt.Sprint("zone-", zone), Services: services}}}, nil, 0)
	}
	for index := range 300 {
		summing.handleReport(newReport(fmt.Sprint("node-", index), 1, 1, loads), &net.UDPAddr{}, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, reply := range summing.round(0).replies {
			_, _ = proto.Marshal(reply.totals)
		}
	}
}

// A node that begins to sum up, without being the first choice, tells peers before its sums are complete, so that they tell it theirs, and
// everybody else after that. Its own report does not count as the first one of its zone.
func TestSecondChoiceSettles(t *testing.T) {
	summing := newSumming("sum", "a", 1, tenSlots)
	summing.handleReport(reportOf("sum", 1, 1, 1, 0), nil, 0)
	summing.handleReport(reportOf("sum", 1, 2, 1, 0), nil, settleTime)
	summing.setPlace(false, false, settleTime)
	must.SliceEmpty(t, summing.round(settleTime).peers, must.Sprint("nobody else reports to it"))
	began := 2 * settleTime
	must.SliceEmpty(t, summing.handleReport(reportOf("y", 1, 1, 5, 0), nil, began))
	next := summing.round(began)
	must.Len(t, 1, next.peers)
	must.Eq(t, 6, othersOf(next.peers[0])["s"].InFlight)
	must.SliceEmpty(t, next.publisher)
	must.SliceEmpty(t, next.replies)
	summing.setPlace(false, false, began+Interval)
	must.SliceEmpty(t, summing.handleReport(reportOf("z", 1, 1, 5, 0), nil, began+settleTime-1))
	must.Len(t, 1, summing.handleReport(reportOf("w", 1, 1, 5, 0), nil, began+settleTime))
	next = summing.round(began + settleTime)
	must.SliceNotEmpty(t, next.publisher)
	must.SliceNotEmpty(t, next.replies)
}

// A node that is not the first choice withdraws its sums when the last node that reported to it has moved away.
func TestSumsAreWithdrawn(t *testing.T) {
	summing := newSumming("sum", "a", 1, tenSlots)
	summing.handleReport(reportOf("y", 1, 1, 5, 0), nil, 0)
	next := summing.round(0)
	must.Len(t, 1, next.peers)
	must.Eq(t, 5, othersOf(next.peers[0])["s"].InFlight)
	summing.handleReport(newReport("y", 1, 2, nil), nil, Interval)
	next = summing.round(Interval)
	must.Len(t, 1, next.peers)
	must.Eq(t, map[string]Load{"s": {}}, othersOf(next.peers[0]))
	must.SliceEmpty(t, next.publisher, must.Sprint("the zone's first choice tells it"))
	must.SliceEmpty(t, summing.round(2*Interval).peers)
}

// A process that got no CPU time for long has lost reports, and tells no sums before they have arrived again.
func TestStalledSummingNodeSettles(t *testing.T) {
	for _, preferred := range []bool{true, false} {
		summing := newSumming("sum", "a", 1, tenSlots)
		number := int64(0)
		report := func(node string, now time.Duration) int {
			number++
			return len(summing.handleReport(reportOf(node, 1, number, 5, 0), nil, now))
		}
		for now := time.Duration(0); now <= settleTime; now += Interval {
			summing.setPlace(preferred, false, now)
			report("y", now)
			summing.round(now)
		}
		must.Eq(t, 1, report("x", settleTime))
		now := 10 * time.Second
		must.Eq(t, 0, report("z", now), must.Sprint("before the first round"))
		summing.setPlace(preferred, false, now)
		must.SliceEmpty(t, summing.round(now).replies)
		must.Eq(t, 0, report("w", now))
		now += settleTime - 1
		summing.setPlace(preferred, false, now)
		must.Eq(t, 0, report("v", now))
		must.SliceEmpty(t, summing.round(now).replies)
		must.Eq(t, 1, report("u", now+1))
	}
}

// Each of many nodes is answered before what it knows expires, also while others begin and are answered at once.
func TestManyNodesAreAnsweredInTime(t *testing.T) {
	for _, nodes := range []int{300, 800} {
		summing := newSummingNode()
		last := make(map[string]time.Duration)
		for number := range int64(30) {
			now := time.Duration(number) * Interval
			summing.setPlace(true, false, now)
			for index := range nodes {
				summing.handleReport(reportOf(fmt.Sprint("node-", index), 1, number+1, 1, 0), nil, now)
			}
			for index := range maxFirstReplies {
				name := fmt.Sprint("new-", number, "-", index)
				summing.handleReport(reportOf(name, 1, 1, 1, 0), nil, now)
				summing.handleReport(newReport(name, 1, 2, nil), nil, now)
			}
			replies := summing.round(now).replies
			must.LessEq(t, max(maxReplies, (nodes+turns-1)/turns), len(replies))
			for _, reply := range replies {
				must.LessEq(t, WordTTL, now-last[reply.node])
				last[reply.node] = now
			}
		}
		must.MapLen(t, nodes, last)
	}
}
