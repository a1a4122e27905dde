package batchlog

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// deletesPerCall keeps a transaction within the store's limit of entries.
const deletesPerCall = 30

// Collect removes the jobs that ended before a point in time and returns their number. The caller must allow for clock skew
// between nodes. A later call completes an interrupted removal, because the entry under the ended jobs is removed last.
func (log *Log) Collect(ctx context.Context, before time.Time) (int, error) {
	listing, err := log.Store.ListStale(ctx, endedPrefix)
	if err != nil {
		return 0, err
	}
	collected := 0
	for _, item := range listing.Items {
		endedAt, err := strconv.ParseInt(string(item.Value), 10, 64)
		if err != nil || !time.UnixMilli(endedAt).Before(before) {
			continue
		}
		if err := log.collect(ctx, strings.TrimPrefix(item.Key, endedPrefix)); err != nil {
			return collected, err
		}
		collected++
	}
	return collected, nil
}

// collect removes one job.
func (log *Log) collect(ctx context.Context, id string) error {
	listing, err := log.Store.List(ctx, jobPrefix(id))
	if err != nil {
		return err
	}
	keys := make([]string, 0, len(listing.Items)+1)
	for _, item := range listing.Items {
		keys = append(keys, item.Key)
	}
	keys = append(keys, endedKey(id))
	for len(keys) > 0 {
		count := min(deletesPerCall, len(keys))
		if _, err := log.Store.Commit(ctx, metadata.Txn{Deletes: keys[:count]}); err != nil {
			return errors.Wrapf(err, "collect job %s", id)
		}
		keys = keys[count:]
	}
	return nil
}
