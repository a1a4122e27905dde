package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// defaultFanOut bounds the nodes that a publisher or a relay serves itself. More are divided into groups, each served by a relay, which
// divides its group again if that is too large: two levels reach 1,000 nodes, three 32,000. With 32, the busiest link carries the packed snapshot of all
// replicas 32 times when all nodes begin at a time.
const defaultFanOut = 32

// group is a relay with the nodes that it serves.
type group struct {
	relay *clusterv1.NodeRecord
	nodes []*clusterv1.NodeRecord
}

// arrangement is who serves whom: direct are the nodes that the publisher serves itself, the relays among them.
type arrangement struct {
	direct []*clusterv1.NodeRecord
	groups []group
}

// arrange divides nodes into groups of one zone each. Nodes for which alone holds are served directly and relay nothing, those for which begun holds
// relay only where there are not enough others. It is a function of its arguments, and few nodes change their relay when one comes or goes.
func arrange(nodes []*clusterv1.NodeRecord, fanOut int, alone, begun func(*clusterv1.NodeRecord) bool) arrangement {
	if len(nodes) <= fanOut {
		return arrangement{direct: nodes}
	}
	var arranged arrangement
	byZone := make(map[string][]*clusterv1.NodeRecord)
	for _, node := range nodes {
		if alone(node) {
			arranged.direct = append(arranged.direct, node)
			continue
		}
		byZone[node.GetZone()] = append(byZone[node.GetZone()], node)
	}
	most := max(1, fanOut/max(1, len(byZone)))
	for _, members := range byZone {
		count := min(most, (len(members)+fanOut-1)/fanOut)
		groups := divide(members, count, begun)
		for _, group := range groups {
			arranged.direct = append(arranged.direct, group.relay)
		}
		arranged.groups = append(arranged.groups, groups...)
	}
	return arranged
}

// strongShare is the share of the processor time of the strongest node of a zone that a node must have to relay, where any has it.
const strongShare = 0.75

// divide returns groups of nodes of one zone. Those that have just begun are no relays if there are enough others.
func divide(members []*clusterv1.NodeRecord, count int, begun func(*clusterv1.NodeRecord) bool) []group {
	strongest := 0.0
	for _, member := range members {
		strongest = max(strongest, member.GetCores())
	}
	candidates := slices.DeleteFunc(slices.Clone(members), func(member *clusterv1.NodeRecord) bool { return member.GetCores() < strongShare*strongest })
	if others := slices.DeleteFunc(slices.Clone(candidates), begun); len(others) >= count {
		candidates = others
	}
	slices.SortFunc(candidates, func(a, b *clusterv1.NodeRecord) int { return cmp.Compare(rank("relay", b), rank("relay", a)) })
	groups := make([]group, 0, count)
	chosen := make(map[string]bool, count)
	for _, relay := range candidates[:min(count, len(candidates))] {
		groups = append(groups, group{relay: relay})
		chosen[relay.GetName()] = true
	}
	for _, member := range members {
		if !chosen[member.GetName()] {
			best := preferredGroup(groups, member)
			best.nodes = append(best.nodes, member)
		}
	}
	return groups
}

// preferredGroup returns the group whose relay ranks first for a node.
func preferredGroup(groups []group, node *clusterv1.NodeRecord) *group {
	best := &groups[0]
	for index := range groups[1:] {
		if rank(node.GetName(), groups[index+1].relay) > rank(node.GetName(), best.relay) {
			best = &groups[index+1]
		}
	}
	return best
}

// rank orders nodes for a key, in its own way for each.
func rank(key string, node *clusterv1.NodeRecord) uint64 {
	return xxhash.Sum64String(node.GetName() + "/" + key)
}
