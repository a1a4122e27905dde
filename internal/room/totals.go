package room

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// NamedLoad is the load of a service.
type NamedLoad struct {
	Service string
	Load
}

func encodeLoad(load NamedLoad) *clusterv1.ServiceLoad {
	return &clusterv1.ServiceLoad{
		Service: load.Service, InFlight: int32(load.InFlight), Waiting: int32(load.Waiting), Refused: int32(load.Refused),
		ServiceTimeUs: load.ServiceTime.Microseconds(), Nodes: int32(load.Nodes),
	}
}

// decodeLoad reads negative numbers, which no node sends, as zero.
func decodeLoad(load *clusterv1.ServiceLoad) NamedLoad {
	return NamedLoad{load.GetService(), Load{
		InFlight: max(0, int(load.GetInFlight())), Waiting: max(0, int(load.GetWaiting())), Nodes: max(0, int(load.GetNodes())), Refused: max(0, int(load.GetRefused())),
		ServiceTime: time.Duration(max(0, load.GetServiceTimeUs())) * time.Microsecond,
	}}
}

// newReport returns a report of as many loads as fit into a message, the busiest first.
func newReport(node string, incarnation, number int64, loads []NamedLoad) *clusterv1.ServiceReport {
	report := &clusterv1.ServiceReport{Node: node, Life: incarnation, Number: number}
	size := proto.Size(report) + entryOverhead
	for _, load := range busiestFirst(loads) {
		encoded := encodeLoad(load)
		if size += proto.Size(encoded) + entryOverhead; size > maxMessage {
			break
		}
		report.Services = append(report.Services, encoded)
	}
	return report
}

func busiestFirst(loads []NamedLoad) []NamedLoad {
	return slices.SortedFunc(slices.Values(loads), func(a, b NamedLoad) int {
		return cmp.Or(cmp.Compare(b.InFlight+b.Waiting, a.InFlight+a.Waiting), cmp.Compare(a.Service, b.Service))
	})
}

// othersOf returns the loads that a reply tells, summed up over its zones.
func othersOf(totals *clusterv1.ServiceTotals) map[string]Load {
	others := make(map[string]Load)
	for _, zone := range totals.GetZones() {
		for _, encoded := range zone.GetServices() {
			load := decodeLoad(encoded)
			others[load.Service] = others[load.Service].Add(load.Load)
		}
	}
	return others
}

// sums are what a summing node knows at one time.
type sums struct {
	// own and backlog hold this zone's reports by service: own with the waiting requests of each node as they count in the division,
	// backlog with all of them.
	own, backlog map[string]Load
	// local is what other summing nodes have told of this zone, by service, if another node sums up a part of it. remote holds the other zones,
	// in order, as they are told to each node.
	local  map[string]Load
	remote map[string][]zoneLoad
}

// sum must be called with mu held.
func (summing *summingNode) sum(now time.Duration) sums {
	all := sums{own: make(map[string]Load), backlog: make(map[string]Load), local: make(map[string]Load), remote: make(map[string][]zoneLoad)}
	for service := range summing.told {
		all.own[service], all.backlog[service] = Load{}, Load{} // told once more after its last report
	}
	for _, report := range summing.reports {
		if now-report.received > reportTTL {
			continue
		}
		for _, load := range report.loads {
			all.own[load.Service] = all.own[load.Service].Add(summing.divided(load))
			all.backlog[load.Service] = all.backlog[load.Service].Add(load.Load)
		}
	}
	remote := make(map[zoneService]Load)
	for _, peer := range summing.peers {
		for key, sum := range peer.sums {
			switch {
			case now-sum.received > reportTTL:
			case key.zone == summing.zone:
				all.local[key.service] = all.local[key.service].Add(sum.load)
			default:
				remote[key] = remote[key].Add(sum.load)
			}
		}
	}
	for key, load := range remote {
		all.remote[key.service] = append(all.remote[key.service], newZoneLoad(key.zone, NamedLoad{key.service, load}))
	}
	for _, zones := range all.remote {
		slices.SortFunc(zones, func(a, b zoneLoad) int { return cmp.Compare(a.zone, b.zone) })
	}
	return all
}

// divided returns the reported load of one node as it counts in the division of the service.
func (summing *summingNode) divided(load NamedLoad) Load {
	load.Waiting = min(load.Waiting, max(1, summing.slots(load.Service)))
	return load.Load
}

// zoneTotals returns messages with loads of this zone. It must be called with mu held.
func (summing *summingNode) zoneTotals(loads map[string]Load) []*clusterv1.ServiceTotals {
	list := make([]NamedLoad, 0, len(loads))
	for service, load := range loads {
		list = append(list, NamedLoad{service, load})
	}
	packer := summing.newPacker("")
	for _, load := range busiestFirst(list) {
		packer.add(newZoneLoad(summing.zone, load), nil)
	}
	return packer.messages
}

// replies returns messages for a node that has reported, with what all other nodes have at the services of its report. The node's own report is
// left out here, where it is known which one the sums contain: the node itself could not tell which of its reports have arrived. It must be
// called with mu held.
func (summing *summingNode) replies(node string, sums sums) []reply {
	report := summing.reports[node]
	packer := summing.newPacker(node)
	for _, load := range busiestFirst(report.loads) {
		others, own := sums.own[load.Service], summing.divided(load)
		others.InFlight -= own.InFlight
		others.Waiting -= own.Waiting
		others.Nodes -= own.Nodes
		others.Refused -= own.Refused
		packer.add(newZoneLoad(summing.zone, NamedLoad{load.Service, others.Add(sums.local[load.Service])}), sums.remote[load.Service])
	}
	replies := make([]reply, 0, len(packer.messages))
	for _, message := range packer.messages {
		replies = append(replies, reply{node: node, to: report.from, totals: message})
	}
	return replies
}

// zoneLoad is the encoded load of a service in a zone, and a bound on its size in a message.
type zoneLoad struct {
	zone string
	load *clusterv1.ServiceLoad
	size int
}

func newZoneLoad(zone string, load NamedLoad) zoneLoad {
	encoded := encodeLoad(load)
	return zoneLoad{zone, encoded, proto.Size(encoded) + len(zone) + 2*entryOverhead}
}

// packer fills messages of at most maxMessage bytes, and drops what does not fit into maxParts messages. All loads of one service that are
// added together are in one message, so that a receiver may replace what it knows of the service.
type packer struct {
	summing  *summingNode
	receiver string // of replies
	messages []*clusterv1.ServiceTotals
	zones    map[string]*clusterv1.ZoneLoad // of the last message
	size     int
}

func (summing *summingNode) newPacker(receiver string) *packer {
	return &packer{summing: summing, receiver: receiver}
}

func (packer *packer) add(own zoneLoad, remote []zoneLoad) {
	size := own.size
	for _, entry := range remote {
		size += entry.size
	}
	if len(packer.messages) == 0 || packer.size+size > maxMessage {
		if len(packer.messages) >= maxParts {
			return
		}
		packer.begin()
	}
	packer.size += size
	packer.put(own)
	for _, entry := range remote {
		packer.put(entry)
	}
}

func (packer *packer) put(entry zoneLoad) {
	zone := packer.zones[entry.zone]
	if zone == nil {
		zone = &clusterv1.ZoneLoad{Zone: entry.zone}
		packer.zones[entry.zone] = zone
		message := packer.messages[len(packer.messages)-1]
		message.Zones = append(message.Zones, zone)
	}
	zone.Services = append(zone.Services, entry.load)
}

func (packer *packer) begin() {
	packer.summing.number++
	message := &clusterv1.ServiceTotals{Node: packer.summing.node, Life: packer.summing.incarnation, Number: packer.summing.number, Receiver: packer.receiver}
	packer.messages, packer.zones, packer.size = append(packer.messages, message), make(map[string]*clusterv1.ZoneLoad), proto.Size(message)+entryOverhead
}
