package dissemination

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// entries returns entries of replicas as a store keeps them: eight models each, and some 400 bytes.
func entries(count int) []metadata.Item {
	var models []string
	for model := range 8 {
		models = append(models, fmt.Sprintf(`{"name":"m%d","version":%d,"adapters":[]}`, model, 3))
	}
	list := make([]metadata.Item, 0, count)
	for index := range count {
		value := fmt.Sprintf(`{"service":"lm-serve","address":"10.%d.%d.%d:8000","zone":"zone-%d","version":"1.4.2","slots":6,"state":"ready","seq-no":%d,"models":[%s]}`,
			index%6, index/250, index%250, index%6, index%3, strings.Join(models, ","))
		list = append(list, metadata.Item{Key: fmt.Sprintf("servers/%x", 7919*(index+1)), Value: []byte(value), Revision: metadata.Revision(index + 1)})
	}
	return list
}

func snapshot(count int) metadata.Difference {
	return metadata.Difference{Prefix: "servers/", Whole: true, Revision: metadata.Revision(count), Items: entries(count)}
}

// A snapshot of all replicas of a large fleet is packed to a tenth at most: a node that begins is sent it, all of them at a time.
func TestSnapshotIsSmall(t *testing.T) {
	difference := snapshot(10_001)
	plain := encodeDifference(&difference)
	packed, err := (&packer{}).pack(plain)
	must.NoError(t, err)
	t.Logf("%d bytes, %d packed", proto.Size(plain), proto.Size(packed))
	must.Less(t, proto.Size(plain)/10, proto.Size(packed))
}

// What is packed comes out as it was, whatever its size.
func TestPackedUpdates(t *testing.T) {
	var packer packer
	var unpacker unpacker
	rapid.Check(t, func(t *rapid.T) {
		difference := snapshot(rapid.IntRange(0, 40).Draw(t, "items"))
		for removal := range rapid.IntRange(0, 60).Draw(t, "removals") {
			difference.Removals = append(difference.Removals, metadata.Removal{Key: fmt.Sprint("servers/", removal), Revision: metadata.Revision(removal)})
		}
		plain := encodeDifference(&difference)
		small, err := packer.pack(plain)
		must.NoError(t, err)
		must.LessEq(t, proto.Size(plain), proto.Size(small))
		unpacked, err := unpacker.unpack(small)
		must.NoError(t, err)
		must.True(t, proto.Equal(plain, unpacked))
	})
}

// A damaged update is refused.
func TestDamagedUpdate(t *testing.T) {
	_, err := (&unpacker{}).unpack(&clusterv1.PrefixUpdate{Prefix: "servers/", Packed: []byte("not compressed")})
	must.Error(t, err)
}

// Nodes that lack the same share what is encoded, until something changes.
func TestUpdatesAreShared(t *testing.T) {
	topic := Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}
	topic.Reset(entries(20), 20)
	var updates updates
	first, err := updates.of(topic, 0, topic.ChangedAt(), packed)
	must.NoError(t, err)
	again, err := updates.of(topic, 0, topic.ChangedAt(), packed)
	must.NoError(t, err)
	must.True(t, first == again)
	topic.Apply([]metadata.Event{{Item: metadata.Item{Key: "servers/new", Revision: 21}}}, 21)
	later, err := updates.of(topic, 0, topic.ChangedAt(), packed)
	must.NoError(t, err)
	must.Eq(t, 21, later.GetRevision())
}

// A node takes a snapshot of all replicas, without the decoding of entries by its handler.
func BenchmarkTakeSnapshot(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			difference := snapshot(count)
			packed, err := (&packer{}).pack(encodeDifference(&difference))
			must.NoError(b, err)
			var unpacker unpacker
			for b.Loop() {
				update, err := unpacker.unpack(packed)
				must.NoError(b, err)
				metadata.NewMirror("servers/", metadata.Handlers{}).Take(decodeDifference(update))
			}
		})
	}
}

// A neighbour packs all that it knows, for a node that begins while nobody publishes.
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			difference := snapshot(count)
			for b.Loop() {
				_, err := (&packer{}).pack(encodeDifference(&difference))
				must.NoError(b, err)
			}
		})
	}
}
