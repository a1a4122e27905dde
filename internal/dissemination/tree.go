package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// defaultFanOut bounds the nodes that a publisher or a relay serves itself. More nodes are divided into groups, each served by a relay that
// divides its group again if it is too large: two levels reach 1,000 nodes, three 32,000. It also bounds the load of the busiest link,
// which carries that many snapshots of all replicas when all nodes start at the same time.
const defaultFanOut = 32

// group is a relay and the nodes that it serves.
type group struct {
	relay *clusterv1.NodeRecord
	nodes []*clusterv1.NodeRecord
}

// topology assigns nodes to senders. direct lists the nodes that the publisher serves itself, including the relays of the groups.
type topology struct {
	direct []*clusterv1.NodeRecord
	groups []group
}

// buildTopology divides nodes into groups within their zones. Excluded nodes are served directly and do not relay; recent nodes relay only
// if there are too few others. The result depends only on the arguments, and few nodes change their relay when a node joins or leaves.
func buildTopology(nodes []*clusterv1.NodeRecord, fanOut int, excluded, recent func(*clusterv1.NodeRecord) bool) topology {
	if len(nodes) <= fanOut {
		return topology{direct: nodes}
	}
	var built topology
	byZone := make(map[string][]*clusterv1.NodeRecord)
	for _, node := range nodes {
		if excluded(node) {
			built.direct = append(built.direct, node)
			continue
		}
		byZone[node.GetZone()] = append(byZone[node.GetZone()], node)
	}
	perZone := max(1, fanOut/max(1, len(byZone)))
	for _, members := range byZone {
		count := min(perZone, (len(members)+fanOut-1)/fanOut)
		groups := buildGroups(members, count, recent)
		for _, group := range groups {
			built.direct = append(built.direct, group.relay)
		}
		built.groups = append(built.groups, groups...)
	}
	return built
}

// minCoreShare is the fraction of the cores of the strongest node in a zone that a node needs to be a relay.
const minCoreShare = 0.75

// buildGroups returns the groups of one zone. Recent nodes become relays only if there are too few others.
func buildGroups(members []*clusterv1.NodeRecord, count int, recent func(*clusterv1.NodeRecord) bool) []group {
	strongest := 0.0
	for _, member := range members {
		strongest = max(strongest, member.GetCores())
	}
	candidates := slices.DeleteFunc(slices.Clone(members), func(member *clusterv1.NodeRecord) bool { return member.GetCores() < minCoreShare*strongest })
	if others := slices.DeleteFunc(slices.Clone(candidates), recent); len(others) >= count {
		candidates = others
	}
	slices.SortFunc(candidates, func(a, b *clusterv1.NodeRecord) int {
		return cmp.Compare(rendezvousWeight("relay", b), rendezvousWeight("relay", a))
	})
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

// preferredGroup returns the group whose relay ranks highest for a node (rendezvous hashing).
func preferredGroup(groups []group, node *clusterv1.NodeRecord) *group {
	best := &groups[0]
	for index := range groups[1:] {
		if rendezvousWeight(node.GetName(), groups[index+1].relay) > rendezvousWeight(node.GetName(), best.relay) {
			best = &groups[index+1]
		}
	}
	return best
}

// rendezvousWeight returns the rendezvous hashing weight of a node for a key.
func rendezvousWeight(key string, node *clusterv1.NodeRecord) uint64 {
	return xxhash.Sum64String(node.GetName() + "/" + key)
}
