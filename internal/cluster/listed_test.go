package cluster_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

func recordItem(t *testing.T, record *clusterv1.NodeRecord) metadata.Item {
	value, err := proto.Marshal(record)
	must.NoError(t, err)
	return metadata.Item{Key: cluster.Prefix + record.GetName(), Value: value}
}

// Guards against a listing of the same processes, as after a compaction of the store, that makes all of them look new.
func TestListedWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const period = 3 * time.Second
		registry := newRegistry(memstore.New(), "a")
		old, joined := &clusterv1.NodeRecord{Name: "b", Life: 1}, &clusterv1.NodeRecord{Name: "c", Life: 1}
		restarted := &clusterv1.NodeRecord{Name: "b", Life: 2}
		recent := func(record *clusterv1.NodeRecord) bool { return registry.ListedWithin(record, period, time.Now()) }
		must.True(t, recent(old), must.Sprint("not listed"))
		registry.Reset([]metadata.Item{recordItem(t, old)}, 1)
		must.False(t, recent(old), must.Sprint("of unknown age"))

		registry.Apply([]metadata.Event{{Item: recordItem(t, joined)}}, 2)
		must.True(t, recent(joined))
		must.True(t, recent(restarted), must.Sprint("another process of a listed node"))
		time.Sleep(period)
		must.False(t, recent(joined))

		registry.Reset([]metadata.Item{recordItem(t, restarted), recordItem(t, joined)}, 3)
		must.False(t, recent(joined), must.Sprint("listed again"))
		must.True(t, recent(restarted))
	})
}
