package batchlog

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// deletesPerCall keeps a transaction, with the two conditions of a removal, within the store's limit of entries. The last
// transaction of a job holds all its chunks.
const deletesPerCall = 30

// errPartlyCollected means that a job can't be accepted before the removal of an earlier job of the same identifier has been
// completed. Nothing was written.
var errPartlyCollected = errors.New("an earlier job of this identifier is partly removed")

// Collection is the outcome of a call of Collect.
type Collection struct {
	// Removed is the number of jobs that were removed.
	Removed int
	// Outdated is the number of listed ends that did not hold any more: the job was removed meanwhile, and may have been accepted again.
	Outdated int
}

// Collect removes the jobs that ended before a point in time. The caller must allow for clock skew between nodes. A later call
// completes an interrupted removal, because the entry under the ended jobs is removed last.
func (log *Log) Collect(ctx context.Context, before time.Time) (Collection, error) {
	collection := Collection{}
	listing, err := log.Store.ListStale(ctx, endedPrefix)
	if err != nil {
		return collection, err
	}
	for _, ended := range listing.Items {
		endedAt, err := decodeTime(ended.Value)
		if err != nil || !endedAt.Before(before) {
			continue
		}
		removed, err := log.collect(ctx, strings.TrimPrefix(ended.Key, endedPrefix), ended.Revision)
		switch {
		case err != nil:
			return collection, err
		case removed:
			collection.Removed++
		default:
			collection.Outdated++
		}
	}
	return collection, nil
}

// collect removes a job whose entry under the ended jobs has the revision endedAt. removed is false if the entry does not exist any
// more in that revision.
//
// The entry is a condition of each removal and goes with the last one, as do the chunks. Until then the identifier can't be
// accepted anew, and from then on no removal of this job takes effect, however late the store applies it. The end of the job goes
// with the first removal, which tells readers that the rest is incomplete.
func (log *Log) collect(ctx context.Context, id string, endedAt metadata.Revision) (removed bool, err error) {
	listing, err := log.Store.List(ctx, jobPrefix(id))
	if err != nil {
		return false, err
	}
	conditions := []metadata.Condition{{Key: endedKey(id), Revision: endedAt}, {Key: ownerKey(id)}}
	for _, keys := range removals(id, listing.Items) {
		_, err := log.Store.Commit(ctx, metadata.Txn{Conditions: conditions, Deletes: keys})
		var conflict *metadata.ConflictError
		if errors.As(err, &conflict) {
			return false, log.dropOutdatedEnd(ctx, id, endedAt, conflict)
		}
		if err != nil {
			return false, errors.Wrapf(err, "collect job %s", id)
		}
	}
	return true, nil
}

// removals divides the keys of a job into transactions. The end is in the first one, and the chunks are in the last one with the
// entry under the ended jobs.
func removals(id string, items []metadata.Item) [][]string {
	var ends, others, chunks []string
	for _, item := range items {
		switch {
		case item.Key == endKey(id):
			ends = append(ends, item.Key)
		case strings.HasPrefix(item.Key, chunkPrefix(id)):
			chunks = append(chunks, item.Key)
		default:
			others = append(others, item.Key)
		}
	}
	keys := slices.Concat(ends, others, chunks, []string{endedKey(id)})
	var transactions [][]string
	if first := len(keys) % deletesPerCall; first > 0 {
		transactions, keys = append(transactions, keys[:first]), keys[first:]
	}
	return slices.AppendSeq(transactions, slices.Chunk(keys, deletesPerCall))
}

// dropOutdatedEnd removes the entry under the ended jobs of a job that was accepted again although the entry existed, as builds do
// that do not check it. While the entry is there, a further submission of the running job meets a job that looks partly removed.
func (log *Log) dropOutdatedEnd(ctx context.Context, id string, endedAt metadata.Revision, conflict *metadata.ConflictError) error {
	ended, found := conflict.Find(endedKey(id))
	owner, owned := conflict.Find(ownerKey(id))
	if !found || ended.Revision != endedAt || !owned {
		return nil
	}
	conditions := []metadata.Condition{{Key: ended.Key, Revision: ended.Revision}, {Key: owner.Key, Revision: owner.Revision}}
	_, err := log.Store.Commit(ctx, metadata.Txn{Conditions: conditions, Deletes: []string{ended.Key}})
	if errors.As(err, new(*metadata.ConflictError)) {
		return nil
	}
	return errors.Wrapf(err, "drop the outdated end of job %s", id)
}

// completeCollection removes what is left of a job whose removal was interrupted.
func (log *Log) completeCollection(ctx context.Context, id string) error {
	ended, found, err := log.Store.Get(ctx, endedKey(id))
	if err != nil || !found {
		return err
	}
	_, err = log.collect(ctx, id, ended.Revision)
	return err
}
