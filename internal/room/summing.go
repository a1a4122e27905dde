package room

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

const (
	// reportTTL is the age after which a report, or the sum of another summing node, no longer counts. A node may lose three reports in a row.
	reportTTL = 4 * Interval
	// settleTime is how long a new summing node collects reports before it tells sums, which would lack those that have not arrived yet.
	settleTime = 2 * Interval
	// maxReplies bounds the nodes that are answered in one interval, unless more are needed to answer each node within turns rounds.
	// maxFirstReplies bounds those among them that are answered at once since they were not known. The others are answered in turn.
	maxReplies      = 64
	maxFirstReplies = maxReplies / 2
	// turns is the number of rounds in which each reporting node is answered. They are shorter than WordTTL.
	turns = 5
	// maxReporters and maxPeers bound the nodes whose reports and sums are kept.
	maxReporters = 1024
	maxPeers     = 64
	// maxParts bounds the datagrams of one message. The busiest services come first.
	maxParts = 4
	// maxMessage is the largest size of an encoded message, in bytes. A datagram of this size crosses common networks in one packet.
	maxMessage = 1300
	// entryOverhead is the room for tags and lengths around an encoded message.
	entryOverhead = 8
)

// source orders the messages of a node: those of an earlier process, and earlier ones of the same process, are outdated.
type source struct {
	incarnation, number int64
	from                net.Addr
	received            time.Duration
}

// outdates reports whether a message of this source makes one with the given incarnation and number outdated. An expired source outdates
// nothing, so that a node whose clock was set back is heard again.
func (source *source) outdates(incarnation, number int64, now time.Duration) bool {
	if now-source.received > reportTTL {
		return false
	}
	return incarnation < source.incarnation || (incarnation == source.incarnation && number <= source.number)
}

// nodeReport is the last report of a node. One without loads is kept until it expires, so that earlier ones that arrive late are ignored.
type nodeReport struct {
	source
	loads []NamedLoad
}

// zoneService is a service in one zone.
type zoneService struct{ zone, service string }

// peerSum is what another summing node has told of a service in a zone.
type peerSum struct {
	load     Load
	received time.Duration
}

type peer struct {
	source
	sums map[zoneService]peerSum
}

// summingNode sums up the reports of a zone's nodes. Any node may be asked to do so. Its state is bounded, expires within reportTTL and is lost
// without harm. It is safe for concurrent use.
type summingNode struct {
	node, zone  string
	incarnation int64
	slots       func(service string) int

	mu      sync.Mutex
	number  int64
	reports map[string]*nodeReport
	peers   map[string]*peer
	// settled is the time from which the sums are complete.
	settled time.Duration
	// placed is the time of the last call of setPlace.
	placed              time.Duration
	preferred, isolated bool
	// after is the name of the node that was answered last.
	after string
	// answered is the number of new nodes that were answered since the last round.
	answered int
	// told are the services of the last round.
	told map[string]bool
}

// newSumming returns a summing node without reports. Slots returns the number of slots of a service: requests that wait at one node count in
// the division of a service up to that number, so that a node with a long backlog leaves room to the others.
func newSumming(node, zone string, incarnation int64, slots func(service string) int) *summingNode {
	return &summingNode{
		node: node, zone: zone, incarnation: incarnation, slots: slots,
		reports: make(map[string]*nodeReport), peers: make(map[string]*peer), told: make(map[string]bool),
	}
}

// reply is a message for a node that has reported.
type reply struct {
	node   string
	to     net.Addr
	totals *clusterv1.ServiceTotals
}

// round is what a summing node sends in one interval.
type round struct {
	// peers are the sums of this zone for other summing nodes, publisher the same sums with all waiting requests.
	peers, publisher []*clusterv1.ServiceTotals
	// knownPeers are the addresses of the nodes that have sent sums to this one, by name.
	knownPeers map[string]net.Addr
	replies    []reply
	// expired is the number of nodes whose reports have expired.
	expired int
}

// setPlace records whether this node is the one that the nodes of its zone report to first, and whether it hears no other node at all. It must
// be called before each round. If it was not for longer than reportTTL, since the process got no CPU time, reports have been lost.
func (summing *summingNode) setPlace(preferred, isolated bool, now time.Duration) {
	summing.mu.Lock()
	defer summing.mu.Unlock()
	if began := preferred && !isolated && (!summing.preferred || summing.isolated); began || summing.stalled(now) {
		summing.settled = now + settleTime
	}
	summing.preferred, summing.isolated, summing.placed = preferred, isolated, now
}

// stalled must be called with mu held.
func (summing *summingNode) stalled(now time.Duration) bool { return now-summing.placed > reportTTL }

// informed reports whether the sums may be told. A node that is cut off, or that only reports to itself for want of another one, knows
// nothing of the others. It must be called with mu held.
func (summing *summingNode) informed(now time.Duration) bool {
	return now >= summing.settled && !summing.isolated && (summing.preferred || summing.hasReports())
}

// handleReport records a report. It returns replies if the node was not known, so that a node that begins to send requests need not
// wait for a round.
func (summing *summingNode) handleReport(report *clusterv1.ServiceReport, from net.Addr, now time.Duration) []reply {
	summing.mu.Lock()
	defer summing.mu.Unlock()
	known := summing.reports[report.GetNode()]
	if known != nil && known.outdates(report.GetLife(), report.GetNumber(), now) {
		return nil
	}
	if known == nil && len(summing.reports) >= maxReporters {
		return nil
	}
	if !summing.preferred && report.GetNode() != summing.node && !summing.hasReports() {
		summing.settled = now + settleTime
	}
	loads := make([]NamedLoad, 0, len(report.GetServices()))
	for _, load := range report.GetServices() {
		loads = append(loads, decodeLoad(load))
	}
	summing.reports[report.GetNode()] = &nodeReport{source{report.GetLife(), report.GetNumber(), from, now}, loads}
	began := (known == nil || len(known.loads) == 0) && len(loads) > 0
	if !began || !summing.informed(now) || summing.stalled(now) || summing.answered >= maxFirstReplies {
		return nil
	}
	summing.answered++
	return summing.replies(report.GetNode(), summing.sum(now))
}

// handleTotals records the sums of another summing node.
func (summing *summingNode) handleTotals(totals *clusterv1.ServiceTotals, from net.Addr, now time.Duration) {
	summing.mu.Lock()
	defer summing.mu.Unlock()
	known := summing.peers[totals.GetNode()]
	if known != nil && known.outdates(totals.GetLife(), totals.GetNumber(), now) {
		return
	}
	if known == nil {
		if len(summing.peers) >= maxPeers {
			return
		}
		known = &peer{sums: make(map[zoneService]peerSum)}
		summing.peers[totals.GetNode()] = known
	}
	if known.incarnation != totals.GetLife() {
		clear(known.sums)
	}
	known.source = source{totals.GetLife(), totals.GetNumber(), from, now}
	for _, zone := range totals.GetZones() {
		for _, encoded := range zone.GetServices() {
			load := decodeLoad(encoded)
			known.sums[zoneService{zone.GetZone(), load.Service}] = peerSum{load.Load, now}
		}
	}
}

// anyReports reports whether other nodes report to this one.
func (summing *summingNode) anyReports() bool {
	summing.mu.Lock()
	defer summing.mu.Unlock()
	return summing.hasReports()
}

func (summing *summingNode) hasReports() bool {
	for name, report := range summing.reports {
		if name != summing.node && len(report.loads) > 0 {
			return true
		}
	}
	return false
}

// round removes what has expired and returns what is to be sent in this interval: nothing while no node reports. A node that is not the first
// choice tells its sums to peers even before they are complete, since other zones tell theirs only to nodes that they know of, and withdraws them
// when no node reports to it any more.
func (summing *summingNode) round(now time.Duration) round {
	summing.mu.Lock()
	defer summing.mu.Unlock()
	next := round{expired: summing.expire(now)}
	informed := summing.informed(now)
	early := !summing.preferred && !summing.isolated && (summing.hasReports() || len(summing.told) > 0)
	if (!informed && !early) || (len(summing.reports) == 0 && len(summing.told) == 0) {
		return next
	}
	sums := summing.sum(now)
	next.peers, next.publisher = summing.zoneTotals(sums.own), summing.zoneTotals(sums.backlog)
	clear(summing.told)
	for service, load := range sums.own {
		if load != (Load{}) {
			summing.told[service] = true
		}
	}
	next.knownPeers = make(map[string]net.Addr, len(summing.peers))
	for name, peer := range summing.peers {
		next.knownPeers[name] = peer.from
	}
	if !informed {
		next.publisher = nil
		return next
	}
	for _, name := range summing.nextNodes() {
		next.replies = append(next.replies, summing.replies(name, sums)...)
	}
	summing.answered = 0
	return next
}

// expire must be called with mu held. It returns the number of reports that have expired.
func (summing *summingNode) expire(now time.Duration) (expired int) {
	maps.DeleteFunc(summing.reports, func(_ string, report *nodeReport) bool {
		if now-report.received <= reportTTL {
			return false
		}
		expired++
		return true
	})
	maps.DeleteFunc(summing.peers, func(_ string, peer *peer) bool {
		maps.DeleteFunc(peer.sums, func(_ zoneService, sum peerSum) bool { return now-sum.received > reportTTL })
		return now-peer.received > reportTTL
	})
	return expired
}

// nextNodes returns the nodes whose turn it is to be answered: this node, and others up to maxReplies. It must be called with mu held.
func (summing *summingNode) nextNodes() []string {
	var names []string
	for name, report := range summing.reports {
		if len(report.loads) > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	count := min(len(names), max(maxReplies-summing.answered, (len(names)+turns-1)/turns))
	first, found := slices.BinarySearch(names, summing.after)
	if found {
		first++
	}
	turn := make([]string, 0, count+1)
	for place := range count {
		turn = append(turn, names[(first+place)%len(names)])
	}
	summing.after = turn[count-1]
	if slices.Contains(names, summing.node) && !slices.Contains(turn, summing.node) {
		turn = append(turn, summing.node)
	}
	return turn
}
