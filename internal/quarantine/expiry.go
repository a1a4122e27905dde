package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// maxRemovalsPerTxn bounds the records removed in one transaction. The metadata store accepts 32 entries in a transaction,
// and each removal is a condition and a delete.
const maxRemovalsPerTxn = 16

// datedRecord is a stored record with the end of its quarantine.
type datedRecord struct {
	item  metadata.Item
	until time.Time
}

// Expired returns the records whose quarantine has expired and, if more than maxRecords are left, those that expire first.
// A record that cannot be decoded has expired.
func Expired(items []metadata.Item, now time.Time) []metadata.Item {
	var expired []metadata.Item
	var active []datedRecord
	for _, item := range items {
		record := &clusterv1.QuarantineRecord{}
		until := time.Time{}
		if proto.Unmarshal(item.Value, record) == nil {
			until = time.UnixMilli(record.GetUntilUnixMs())
		}
		if now.After(until) {
			expired = append(expired, item)
			continue
		}
		active = append(active, datedRecord{item, until})
	}
	slices.SortFunc(active, func(a, b datedRecord) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.item.Key, b.item.Key))
	})
	for _, oldest := range active[:max(0, len(active)-maxRecords)] {
		expired = append(expired, oldest.item)
	}
	return expired
}

// RemoveExpired removes up to maxRemovalsPerTxn expired records in one transaction, which fails if one of them has changed
// since it was listed. It returns how many records the transaction covers.
func RemoveExpired(ctx context.Context, store metadata.Store, items []metadata.Item, now time.Time) (int, error) {
	expired := Expired(items, now)
	expired = expired[:min(len(expired), maxRemovalsPerTxn)]
	if len(expired) == 0 {
		return 0, nil
	}
	txn := metadata.Txn{}
	for _, item := range expired {
		txn.Conditions = append(txn.Conditions, metadata.Condition{Key: item.Key, Revision: item.Revision})
		txn.Deletes = append(txn.Deletes, item.Key)
	}
	_, err := store.Commit(ctx, txn)
	return len(expired), err
}
