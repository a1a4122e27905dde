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

// replicaItems returns realistic entries of replicas with eight models each, some 400 bytes in size.
func replicaItems(count int) []metadata.Item {
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

func replicaSnapshot(count int) metadata.Delta {
	return metadata.Delta{Prefix: "servers/", IsSnapshot: true, Revision: metadata.Revision(count), Items: replicaItems(count)}
}

// Guards against large snapshots, which many nodes load when they start at the same time.
func TestSnapshotIsSmall(t *testing.T) {
	delta := replicaSnapshot(10_001)
	plain := encodeDelta(&delta)
	packed, err := (&packer{}).pack(plain)
	must.NoError(t, err)
	t.Logf("%d bytes, %d packed", proto.Size(plain), proto.Size(packed))
	must.Less(t, proto.Size(plain)/10, proto.Size(packed))
}

// Guards against updates that unpack to something else, for any size.
func TestPackedUpdates(t *testing.T) {
	var packer packer
	var unpacker unpacker
	rapid.Check(t, func(t *rapid.T) {
		delta := replicaSnapshot(rapid.IntRange(0, 40).Draw(t, "items"))
		for removal := range rapid.IntRange(0, 60).Draw(t, "removals") {
			delta.Removals = append(delta.Removals, metadata.Removal{Key: fmt.Sprint("servers/", removal), Revision: metadata.Revision(removal)})
		}
		plain := encodeDelta(&delta)
		small, err := packer.pack(plain)
		must.NoError(t, err)
		must.LessEq(t, proto.Size(plain), proto.Size(small))
		unpacked, err := unpacker.unpack(small)
		must.NoError(t, err)
		must.True(t, proto.Equal(plain, unpacked))
	})
}

// Guards against damaged updates that are accepted.
func TestDamagedUpdate(t *testing.T) {
	_, err := (&unpacker{}).unpack(&clusterv1.PrefixUpdate{Prefix: "servers/", Packed: []byte("not compressed")})
	must.Error(t, err)
}

// Guards against encoding the same update again without a change, and against returning it after a change.
func TestUpdatesAreShared(t *testing.T) {
	topic := Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}
	topic.Reset(replicaItems(20), 20)
	var updates updateCache
	first, err := updates.get(topic, 0, topic.ChangedAt(), packed)
	must.NoError(t, err)
	again, err := updates.get(topic, 0, topic.ChangedAt(), packed)
	must.NoError(t, err)
	must.True(t, first == again)
	topic.Apply([]metadata.Event{{Item: metadata.Item{Key: "servers/new", Revision: 21}}}, 21)
	later, err := updates.get(topic, 0, topic.ChangedAt(), packed)
	must.NoError(t, err)
	must.Eq(t, 21, later.GetRevision())
}

// BenchmarkTakeSnapshot measures how a node applies a snapshot of all replicas, without decoding the entries.
func BenchmarkTakeSnapshot(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			delta := replicaSnapshot(count)
			packed, err := (&packer{}).pack(encodeDelta(&delta))
			must.NoError(b, err)
			var unpacker unpacker
			for b.Loop() {
				update, err := unpacker.unpack(packed)
				must.NoError(b, err)
				metadata.NewMirror("servers/", metadata.Handlers{}).ApplyDelta(decodeDelta(update))
			}
		})
	}
}

// BenchmarkSnapshot measures how a neighbour packs a snapshot of all replicas.
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			delta := replicaSnapshot(count)
			for b.Loop() {
				_, err := (&packer{}).pack(encodeDelta(&delta))
				must.NoError(b, err)
			}
		})
	}
}
