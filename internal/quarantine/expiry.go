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

// removalsAtOnce bounds the records that one transaction removes; the platform's store takes 32 entries.
const removalsAtOnce = 16

// dated is a record of the store with the end of its quarantine.
type dated struct {
	item  metadata.Item
	until time.Time
}

// Expired returns the records whose quarantine is over, and the oldest of those beyond the bound. One that can't be read is over.
func Expired(items []metadata.Item, now time.Time) []metadata.Item {
	var expired []metadata.Item
	var lasting []dated
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
		lasting = append(lasting, dated{item, until})
	}
	slices.SortFunc(lasting, func(a, b dated) int { return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.item.Key, b.item.Key)) })
	for _, oldest := range lasting[:max(0, len(lasting)-recordsMost)] {
		expired = append(expired, oldest.item)
	}
	return expired
}

// RemoveExpired removes some of the records whose quarantine is over, unless they have changed since, and returns how many.
func RemoveExpired(ctx context.Context, store metadata.Store, items []metadata.Item, now time.Time) (int, error) {
	expired := Expired(items, now)
	expired = expired[:min(len(expired), removalsAtOnce)]
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
