package room

import (
	"net"
	"sync"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
)

// Message is to be sent as one datagram: either a report or totals.
type Message struct {
	// Node is the name of the receiver, To its address if it is known. Both are empty for the publisher.
	Node   string
	To     net.Addr
	Report *clusterv1.ServiceReport
	Totals *clusterv1.ServiceTotals
}

// Nodes is what the registry says of the nodes that can sum up reports.
type Nodes struct {
	// Ranked are the summing nodes of this node's zone, the first choice first. Peers are the first choices of all zones.
	Ranked, Peers []string
	// Isolated is true if this node hears no other node.
	Isolated bool
}

// Exchange reports a node's loads and sums up those of its zone if others report to it. It decides what is sent, and sends nothing itself.
// Tick must not be called concurrently; all other methods are safe for concurrent use.
type Exchange struct {
	node        string
	incarnation int64
	room        *Room
	summing     *summingNode
	clock       clock.Clock

	number   int64
	choice   target
	reported bool // whether the last report had loads

	mu        sync.Mutex
	target    string // the node to which this one reports
	lastReply time.Duration
}

// NewExchange returns the exchange of a node, which keeps its room up to date.
func NewExchange(node, zone string, incarnation int64, room *Room) *Exchange {
	slots := func(service string) int { return room.catalog.Replicas().Service(service).Slots() }
	return &Exchange{node: node, incarnation: incarnation, room: room, summing: newSumming(node, zone, incarnation, slots), clock: room.clock}
}

// Target returns the node to which this one reports; empty if it has not reported yet.
func (exchange *Exchange) Target() string {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.target
}

// Tick returns what is to be sent in this interval, and the number of reports of other nodes that have expired. A node without loads sends no
// report, except once after its last loads.
func (exchange *Exchange) Tick(loads []NamedLoad, nodes Nodes) (messages []Message, expired int) {
	now := exchange.clock.Elapsed()
	exchange.summing.setPlace(len(nodes.Ranked) > 0 && nodes.Ranked[0] == exchange.node, nodes.Isolated, now)
	if len(loads) > 0 || exchange.reported {
		messages = exchange.report(loads, nodes.Ranked, now)
	}
	round := exchange.summing.round(now)
	addresses := round.knownPeers
	for _, name := range nodes.Peers {
		if name != exchange.node {
			addresses = with(addresses, name, nil)
		}
	}
	for _, totals := range round.peers {
		for name, address := range addresses {
			messages = append(messages, Message{Node: name, To: address, Totals: totals})
		}
	}
	for _, totals := range round.publisher {
		messages = append(messages, Message{Totals: totals})
	}
	return append(messages, exchange.sent(round.replies)...), round.expired
}

func with(addresses map[string]net.Addr, name string, address net.Addr) map[string]net.Addr {
	if addresses == nil {
		addresses = make(map[string]net.Addr)
	}
	if addresses[name] == nil {
		addresses[name] = address
	}
	return addresses
}

func (exchange *Exchange) report(loads []NamedLoad, ranked []string, now time.Duration) []Message {
	exchange.mu.Lock()
	to, former := exchange.choice.choose(ranked, exchange.lastReply, now), exchange.target
	if len(ranked) > 0 && exchange.summing.anyReports() {
		to = exchange.node // what a node hears of others is sums, if others report to it, and replies otherwise
	}
	exchange.target = to
	exchange.mu.Unlock()
	var messages []Message
	if to != former && former != "" {
		messages = exchange.reportTo(former, nil, now) // so that its sums no longer contain this node
	}
	if to != "" {
		messages = append(messages, exchange.reportTo(to, loads, now)...)
	}
	exchange.reported = len(loads) > 0
	return messages
}

func (exchange *Exchange) reportTo(node string, loads []NamedLoad, now time.Duration) []Message {
	exchange.number++
	report := newReport(exchange.node, exchange.incarnation, exchange.number, loads)
	if node == exchange.node {
		return exchange.sent(exchange.summing.handleReport(report, nil, now))
	}
	return []Message{{Node: node, Report: report}}
}

// HandleReport records the report of another node, and returns what is to be sent at once.
func (exchange *Exchange) HandleReport(report *clusterv1.ServiceReport, from net.Addr) []Message {
	return exchange.sent(exchange.summing.handleReport(report, from, exchange.clock.Elapsed()))
}

// HandleTotals applies a reply of the node to which this one reports, or records the sums of another summing node. It drops replies of other
// nodes, such as late ones, and those for other nodes, since they are no sums. It reports whether the room may have changed.
func (exchange *Exchange) HandleTotals(totals *clusterv1.ServiceTotals, from net.Addr) bool {
	now := exchange.clock.Elapsed()
	switch totals.GetReceiver() {
	case "":
		exchange.summing.handleTotals(totals, from, now)
	case exchange.node:
		return totals.GetNode() == exchange.Target() && exchange.apply(totals, now)
	}
	return false
}

func (exchange *Exchange) apply(totals *clusterv1.ServiceTotals, now time.Duration) bool {
	if !exchange.room.HandleReply(totals) {
		return false
	}
	exchange.mu.Lock()
	exchange.lastReply = now
	exchange.mu.Unlock()
	return true
}

// sent applies the replies for this node itself, and returns the others.
func (exchange *Exchange) sent(replies []reply) []Message {
	var messages []Message
	for _, reply := range replies {
		if reply.node == exchange.node {
			exchange.apply(reply.totals, exchange.clock.Elapsed())
			continue
		}
		messages = append(messages, Message{Node: reply.node, To: reply.to, Totals: reply.totals})
	}
	return messages
}
