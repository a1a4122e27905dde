package quarantine_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// newRecordStore returns the record store and the tracker of a node that watches the store.
func newRecordStore(ctx context.Context, store *memstore.Store, node string, deputy bool) (*quarantine.RecordStore, *quarantine.Tracker) {
	logger, tracker := log.New(io.Discard), quarantine.NewTracker(node)
	health := metadata.NewHealth(store, logger)
	recordStore := quarantine.NewRecordStore(ctx, store, health, tracker, node, logger)
	recordStore.IsDeputy = func(quarantine.Fingerprint) bool { return deputy }
	follower := &metadata.Follower{Store: store, Prefix: quarantine.Prefix, Handler: recordStore, Logger: logger, Health: health}
	go health.Run(ctx)
	go follower.Run(ctx)
	return recordStore, tracker
}

// recordThreeCrashes records three crashes, one second apart.
func recordThreeCrashes(tracker *quarantine.Tracker, reporter string) {
	for index := range 3 {
		now := time.Now().Add(time.Duration(index-3) * time.Second)
		tracker.RecordCrash(fingerprintOf("x"), fmt.Sprint("r", index), reporter, now, now)
	}
}

func crashesOf(tracker *quarantine.Tracker) int { return tracker.Suspected(fingerprintOf("x")).Crashes }

// A quarantine must be stored in spite of an outage of the store and a lost response, reach a node that starts later, and
// be lifted on all nodes.
func TestQuarantineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Down: true})
		recordStore, tracker := newRecordStore(t.Context(), store, "a", false)
		recordThreeCrashes(tracker, "a")
		recordStore.Persist(fingerprintOf("x"))
		time.Sleep(3 * time.Second)
		store.SetFaults(memstore.Faults{LoseResponses: 1})
		time.Sleep(3 * time.Second)
		_, later := newRecordStore(t.Context(), store, "b", false)
		time.Sleep(time.Second)
		must.Eq(t, 3, crashesOf(later))
		must.False(t, later.Admit(fingerprintOf("x"), quarantine.Claim{}, time.Now()).Allowed)
		tracker.Clear(fingerprintOf("x"))
		recordStore.Lift(fingerprintOf("x"))
		time.Sleep(time.Second)
		must.Eq(t, 0, crashesOf(later))
	})
}

// If the reporter does not store a quarantine, the deputy must; no other node does.
func TestDeputyKeepsQuarantine(t *testing.T) {
	for _, deputy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memstore.New()
			recordStore, tracker := newRecordStore(t.Context(), store, "b", deputy)
			recordThreeCrashes(tracker, "a")
			recordStore.Persist(fingerprintOf("x"))
			time.Sleep(2 * time.Second)
			listing, err := store.List(t.Context(), quarantine.Prefix)
			must.NoError(t, err)
			must.Eq(t, deputy, len(listing.Items) == 1)
		})
	}
}

// A write that the store executes late must not overwrite a newer record.
func TestLateWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		recordStore, tracker := newRecordStore(t.Context(), store, "a", false)
		time.Sleep(time.Second)
		store.SetFaults(memstore.Faults{LoseResponses: 1, CommitDelay: 5 * time.Second})
		recordThreeCrashes(tracker, "a")
		recordStore.Persist(fingerprintOf("x")) // the first write is executed late, its repetition at once
		time.Sleep(3 * time.Second)
		tracker.RecordCrash(fingerprintOf("x"), "r9", "a", time.Now(), time.Now())
		recordStore.Persist(fingerprintOf("x"))
		time.Sleep(10 * time.Second)
		item, found, err := store.Get(t.Context(), quarantine.Prefix+fingerprintOf("x").String())
		must.NoError(t, err)
		must.True(t, found)
		record := &clusterv1.QuarantineRecord{}
		must.NoError(t, proto.Unmarshal(item.Value, record))
		must.Eq(t, 4, record.GetCrashes())
		must.Eq(t, []string{"r0", "r1", "r2", "r9"}, record.GetReplicas())
	})
}

// Records that cannot be decoded are skipped. A record that is missing from a newer listing lifts the quarantine; stale
// listings and deletions do not.
func TestArchiveReadsAgain(t *testing.T) {
	recordStore, tracker := newRecordStore(t.Context(), memstore.New(), "a", false)
	value, err := proto.Marshal(&clusterv1.QuarantineRecord{Crashes: 3, Reporter: "b", UntilUnixMs: time.Now().Add(time.Hour).UnixMilli()})
	must.NoError(t, err)
	good := metadata.Item{Key: quarantine.Prefix + fingerprintOf("x").String(), Value: value, Revision: 4}
	recordStore.Reset([]metadata.Item{{Key: quarantine.Prefix + "short", Value: value}, {Key: quarantine.Prefix + fingerprintOf("y").String(), Value: []byte{1}}, good}, 5)
	must.Eq(t, 3, crashesOf(tracker))
	must.Eq(t, 1, tracker.Quarantined())
	recordStore.Reset(nil, 3)
	must.Eq(t, 3, crashesOf(tracker), must.Sprint("the listing is older than the record"))
	recordStore.Apply([]metadata.Event{{Item: metadata.Item{Key: good.Key, Revision: 3}, Deleted: true}}, 3)
	must.Eq(t, 3, crashesOf(tracker), must.Sprint("the deletion is older than the record"))
	recordStore.Reset(nil, 6)
	must.Eq(t, 0, crashesOf(tracker))
	recordStore.Apply([]metadata.Event{{Item: good}}, 7)
	must.Eq(t, 3, crashesOf(tracker))
	recordStore.Apply([]metadata.Event{{Item: metadata.Item{Key: good.Key, Revision: 8}, Deleted: true}}, 8)
	must.Eq(t, 0, crashesOf(tracker))
}

// Expired records and the oldest records above the limit are removed, but not records that have changed since they were
// listed.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	store, now := memstore.New(), time.Now()
	const most = 1024
	var items []metadata.Item
	for number := range most + 4 {
		value, err := proto.Marshal(&clusterv1.QuarantineRecord{Crashes: 3, UntilUnixMs: now.Add(time.Duration(number-2) * time.Minute).UnixMilli()})
		must.NoError(t, err)
		key := quarantine.Prefix + fmt.Sprintf("%04d", number)
		revision, err := store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: key, Value: value}}})
		must.NoError(t, err)
		items = append(items, metadata.Item{Key: key, Value: value, Revision: revision})
	}
	expired := quarantine.Expired(items, now)
	must.SliceLen(t, 4, expired) // two have expired, and two of the others exceed the limit
	count, err := quarantine.RemoveExpired(t.Context(), store, items, now)
	must.NoError(t, err)
	must.Eq(t, 4, count)
	listing, err := store.List(t.Context(), quarantine.Prefix)
	must.NoError(t, err)
	must.SliceLen(t, most, listing.Items)
	items[10].Revision--
	_, err = quarantine.RemoveExpired(t.Context(), store, items[10:11], now.Add(24*time.Hour))
	must.Error(t, err)
}
