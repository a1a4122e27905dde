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

// newArchive returns the archive and the book of a node that follows the store.
func newArchive(ctx context.Context, store *memstore.Store, node string, deputy bool) (*quarantine.Archive, *quarantine.Book) {
	logger, book := log.New(io.Discard), quarantine.NewBook(node, time.Now())
	health := metadata.NewHealth(store, logger)
	archive := quarantine.NewArchive(ctx, store, health, book, node, logger)
	archive.IsDeputy = func(quarantine.Fingerprint) bool { return deputy }
	follower := &metadata.Follower{Store: store, Prefix: quarantine.Prefix, Handler: archive, Logger: logger, Health: health}
	go health.Run(ctx)
	go follower.Run(ctx)
	return archive, book
}

// suspect notes three ends.
func suspect(book *quarantine.Book, reporter string) {
	for index := range 3 {
		now := time.Now().Add(time.Duration(index-3) * time.Second)
		book.Note(fingerprintOf("x"), fmt.Sprint("r", index), reporter, now, now)
	}
}

func crashesOf(book *quarantine.Book) int { return book.Suspected(fingerprintOf("x")).Crashes }

// A quarantine is kept through an outage of the store and a lost answer, reaches nodes that begin later, and is lifted everywhere.
func TestQuarantineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Down: true})
		archive, book := newArchive(t.Context(), store, "a", false)
		suspect(book, "a")
		archive.Keep(fingerprintOf("x"))
		time.Sleep(3 * time.Second)
		store.SetFaults(memstore.Faults{LoseAnswers: 1})
		time.Sleep(3 * time.Second)
		_, later := newArchive(t.Context(), store, "b", false)
		time.Sleep(time.Second)
		must.Eq(t, 3, crashesOf(later))
		must.False(t, later.Admit(fingerprintOf("x"), quarantine.Claim{}, time.Now()).Allowed)
		book.Clear(fingerprintOf("x"))
		archive.Lift(fingerprintOf("x"))
		time.Sleep(time.Second)
		must.Eq(t, 0, crashesOf(later))
	})
}

// If the reporter can't keep a quarantine, the node that ranks first does; others don't.
func TestDeputyKeepsQuarantine(t *testing.T) {
	for _, deputy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memstore.New()
			archive, book := newArchive(t.Context(), store, "b", deputy)
			suspect(book, "a")
			archive.Keep(fingerprintOf("x"))
			time.Sleep(2 * time.Second)
			listing, err := store.List(t.Context(), quarantine.Prefix)
			must.NoError(t, err)
			must.Eq(t, deputy, len(listing.Items) == 1)
		})
	}
}

// A write that is done late, after the quarantine was lifted or raised, changes nothing.
func TestLateWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		archive, book := newArchive(t.Context(), store, "a", false)
		time.Sleep(time.Second)
		store.SetFaults(memstore.Faults{LoseAnswers: 1, LateBy: 5 * time.Second})
		suspect(book, "a")
		archive.Keep(fingerprintOf("x")) // the first write is lost, the second done at once
		time.Sleep(3 * time.Second)
		book.Note(fingerprintOf("x"), "r9", "a", time.Now(), time.Now())
		archive.Keep(fingerprintOf("x"))
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

// What can't be read is passed over; a record that is gone when all are read again lifts the quarantine.
func TestArchiveReadsAgain(t *testing.T) {
	archive, book := newArchive(t.Context(), memstore.New(), "a", false)
	value, err := proto.Marshal(&clusterv1.QuarantineRecord{Crashes: 3, Reporter: "b", UntilUnixMs: time.Now().Add(time.Hour).UnixMilli()})
	must.NoError(t, err)
	good := metadata.Item{Key: quarantine.Prefix + fingerprintOf("x").String(), Value: value, Revision: 4}
	archive.Reset([]metadata.Item{{Key: quarantine.Prefix + "short", Value: value}, {Key: quarantine.Prefix + fingerprintOf("y").String(), Value: []byte{1}}, good}, 5)
	must.Eq(t, 3, crashesOf(book))
	must.Eq(t, 1, book.Quarantined())
	archive.Reset(nil, 3)
	must.Eq(t, 3, crashesOf(book), must.Sprint("a list that is older than the record"))
	archive.Apply([]metadata.Event{{Item: metadata.Item{Key: good.Key, Revision: 3}, Deleted: true}}, 3)
	must.Eq(t, 3, crashesOf(book), must.Sprint("a removal that is older than the record"))
	archive.Reset(nil, 6)
	must.Eq(t, 0, crashesOf(book))
	archive.Apply([]metadata.Event{{Item: good}}, 7)
	must.Eq(t, 3, crashesOf(book))
	archive.Apply([]metadata.Event{{Item: metadata.Item{Key: good.Key, Revision: 8}, Deleted: true}}, 8)
	must.Eq(t, 0, crashesOf(book))
}

// Records are removed when their time is over, and the oldest of too many; what has changed meanwhile stays.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	store, now := memstore.New(), time.Now()
	const most = 1024
	var items []metadata.Item
	for number := range most + 4 {
		value, err := proto.Marshal(&clusterv1.QuarantineRecord{Crashes: 3, UntilUnixMs: now.Add(time.Duration(number-2) * time.Minute).UnixMilli()})
		must.NoError(t, err)
		key := quarantine.Prefix + fmt.Sprintf("%04d", number)
		revision, err := store.CommitDirectly(metadata.Txn{Puts: []metadata.Put{{Key: key, Value: value}}})
		must.NoError(t, err)
		items = append(items, metadata.Item{Key: key, Value: value, Revision: revision})
	}
	expired := quarantine.Expired(items, now)
	must.SliceLen(t, 4, expired) // two are over; of the one that ends now and those that last, two are too many
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
