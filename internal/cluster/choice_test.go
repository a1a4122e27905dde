package cluster_test

import (
	"io"
	"net/http"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// newRegistryOf returns the registry of the node self that contains all nodes of a fleet.
func newRegistryOf(t *testing.T, self *clusterv1.NodeRecord, fleet []*clusterv1.NodeRecord) *cluster.Registry {
	t.Helper()
	registry := cluster.NewRegistry(self, memstore.New(), http.DefaultClient, log.New(io.Discard))
	var items []metadata.Item
	for _, record := range fleet {
		value, err := proto.Marshal(record)
		must.NoError(t, err)
		items = append(items, metadata.Item{Key: cluster.Prefix + record.GetName(), Value: value, Revision: 1})
	}
	registry.Reset(items, 1)
	return registry
}

func front(name, zone string, cores float64) *clusterv1.NodeRecord {
	return &clusterv1.NodeRecord{Name: name, Zone: zone, Role: "front", Life: 7, Cores: cores}
}

// All nodes of a zone agree on the preferred node and its alternate, and both are strong nodes of that zone.
func TestPreferredAndAlternate(t *testing.T) {
	fleet := []*clusterv1.NodeRecord{
		front("a", "north", 0.8), front("b", "north", 0.8), front("c", "north", 0.2), front("d", "north", 0.2), front("e", "south", 0.8),
		{Name: "f", Zone: "north", Role: "store", Cores: 0.8},
	}
	preferred, alternate := newRegistryOf(t, fleet[2], fleet).Preferred("m"), newRegistryOf(t, fleet[2], fleet).Alternate("m")
	must.SliceContainsAll(t, []string{"a", "b"}, []string{preferred, alternate})
	for _, self := range fleet[:4] {
		must.Eq(t, preferred, newRegistryOf(t, self, fleet).Preferred("m"))
		must.Eq(t, alternate, newRegistryOf(t, self, fleet).Alternate("m"))
	}
	must.Eq(t, "", newRegistryOf(t, fleet[4], fleet).Alternate("m"), must.Sprint("the zone has no second node"))
}

// The remote peer has the same role and is in another zone; it is in the node's own zone only if no other zone exists.
func TestElsewhere(t *testing.T) {
	fleet := []*clusterv1.NodeRecord{
		front("a", "north", 1), front("b", "north", 1), front("c", "south", 1), front("d", "west", 1), {Name: "s", Zone: "west", Role: "store"},
	}
	for _, self := range fleet[:4] {
		record := newRegistryOf(t, self, fleet).RemotePeer()
		must.NotEq(t, self.GetZone(), record.GetZone())
		must.Eq(t, "front", record.GetRole())
	}
	must.Eq(t, "b", newRegistryOf(t, fleet[0], fleet[:2]).RemotePeer().GetName())
	must.Nil(t, newRegistryOf(t, fleet[0], fleet[:1]).RemotePeer())

	registry := newRegistryOf(t, fleet[0], fleet)
	must.True(t, registry.IsRegistered("b", 7))
	must.False(t, registry.IsRegistered("b", 8), must.Sprint("another incarnation"))
	must.False(t, registry.IsRegistered("gone", 7))
}

// Guards against stale cached views: the removal of a node changes every view at once.
func TestViewsFollowTheRegistry(t *testing.T) {
	fleet := []*clusterv1.NodeRecord{front("a", "north", 1), front("b", "north", 1), front("c", "south", 1), front("d", "south", 1)}
	registry := newRegistryOf(t, fleet[0], fleet)
	must.SliceLen(t, 3, registry.Others())
	must.SliceLen(t, 1, registry.Neighbours())
	first, again := registry.Others(), registry.Others()
	must.True(t, &first[0] == &again[0], must.Sprint("the list is cached until the registry changes"))
	for _, key := range []string{"m", "n", "o", "p"} {
		first := registry.PreferredAnywhere(key)
		for _, self := range fleet[1:] {
			must.Eq(t, first, newRegistryOf(t, self, fleet).PreferredAnywhere(key))
		}
		remaining := slices.DeleteFunc(slices.Clone(fleet), func(record *clusterv1.NodeRecord) bool { return record.GetName() == first })
		registry.Apply([]metadata.Event{{Item: metadata.Item{Key: cluster.Prefix + first}, Deleted: true}}, 2)
		must.NotEq(t, first, registry.PreferredAnywhere(key))
		must.Eq(t, newRegistryOf(t, fleet[0], remaining).PreferredAnywhere(key), registry.PreferredAnywhere(key))
		must.SliceLen(t, len(newRegistryOf(t, fleet[0], remaining).Others()), registry.Others())
		must.False(t, registry.RemotePeer().GetName() == first)
		registry = newRegistryOf(t, fleet[0], fleet)
	}
}

// The nodes of a zone that are given a task are strong ones which have registered that they support it, in the same order at all nodes, and
// follow the registry.
func TestCapableNodes(t *testing.T) {
	const wanted = clusterv1.Capability_CAPABILITY_SERVICE_LOADS
	fleet := []*clusterv1.NodeRecord{front("a", "north", 0.8), front("b", "north", 0.8), front("c", "north", 0.8), front("d", "north", 0.2), front("e", "south", 0.8), front("f", "west", 0.8)}
	for _, record := range fleet[1:5] {
		record.Capabilities = []clusterv1.Capability{wanted}
	}
	names := func(registry *cluster.Registry, zone string) (list []string) {
		for _, record := range registry.Capable(zone, "key", wanted) {
			list = append(list, record.GetName())
		}
		return list
	}
	registry := newRegistryOf(t, fleet[4], fleet)
	north := names(registry, "north")
	must.SliceContainsAll(t, []string{"b", "c"}, north)
	for _, self := range fleet {
		must.Eq(t, north, names(newRegistryOf(t, self, fleet), "north"))
	}
	must.Eq(t, []string{"e"}, names(registry, "south"))
	must.SliceEmpty(t, names(registry, "west"))
	must.Eq(t, []string{"north", "south", "west"}, registry.Zones())
	registry.Apply([]metadata.Event{{Item: metadata.Item{Key: cluster.Prefix + north[0]}, Deleted: true}, {Item: metadata.Item{Key: cluster.Prefix + "f"}, Deleted: true}}, 2)
	must.Eq(t, north[1:], names(registry, "north"))
	must.Eq(t, []string{"north", "south"}, registry.Zones())
}
