// Package batchlog keeps batch jobs in the metadata store: a job and its owner are written in one transaction, results are
// appended in pages on the condition that the owner has not changed, and an end removes the owner. A former owner, however
// late it wakes, therefore can neither list results nor undo an end.
package batchlog

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Errors of a Log.
var (
	// ErrNotOwner says that another node owns the job by now, or that it has ended.
	ErrNotOwner = errors.New("the job has another owner or has ended")
	// ErrNotFound says that no such job was ever accepted.
	ErrNotFound = errors.New("no such job")
)

const (
	chunkBytes = 700 << 10
	retryFirst = 40 * time.Millisecond
	retryMost  = 300 * time.Millisecond
	callLimit  = 600 * time.Millisecond
)

// Log reads and writes batch jobs. It is safe for concurrent use.
type Log struct {
	Store metadata.Store
	// Health tells when the store does not answer, so that nothing is tried meanwhile; nil for unknown.
	Health *metadata.Health
	// Node is the name under which this node owns jobs, Life the life of its process.
	Node string
	Life int64
}

// Hold is this node's ownership of a job. It belongs to one goroutine, but for InDoubt.
type Hold struct {
	JobID string
	// doubt says that a try of an append that goes on may have been done without its answer.
	doubt atomic.Bool
	// revision of the owner's key; every append carries it as a condition.
	revision metadata.Revision
	claim    string
	pages    int
}

// Accept makes a job durable with this node as its owner. If the job was accepted before, held is nil and the caller asks
// for its owner. An error that is ErrUncertain leaves open whether the job was accepted.
func (log *Log) Accept(ctx context.Context, job *batchv1.Job) (held *Hold, err error) {
	encoded, err := proto.Marshal(job)
	if err != nil {
		return nil, errors.Wrap(err, "encode a batch job")
	}
	claim, owner, err := log.newClaim()
	if err != nil {
		return nil, err
	}
	txn := metadata.Txn{Conditions: []metadata.Condition{{Key: chunkKey(job.GetId(), 0)}}}
	for n := 0; n*chunkBytes < len(encoded); n++ {
		chunk := encoded[n*chunkBytes : min(len(encoded), (n+1)*chunkBytes)]
		txn.Puts = append(txn.Puts, metadata.Put{Key: chunkKey(job.GetId(), n), Value: chunk})
	}
	txn.Puts = append(txn.Puts, metadata.Put{Key: ownerKey(job.GetId()), Value: owner}, metadata.Put{Key: ownedKey(log.Node, job.GetId())}, metadata.Put{Key: LeftKey(log.Node)})
	revision, err := log.Store.Commit(ctx, txn)
	var conflict *metadata.ConflictError
	switch {
	case err == nil:
		return &Hold{JobID: job.GetId(), revision: revision, claim: claim}, nil
	case errors.As(err, &conflict):
		return nil, nil
	default:
		return nil, err
	}
}

func (log *Log) newClaim() (claim string, encoded []byte, err error) {
	claim = uuid.NewString()
	encoded, err = proto.Marshal(&batchv1.Ownership{Node: log.Node, Claim: claim, Life: log.Life})
	return claim, encoded, errors.Wrap(err, "encode an owner")
}

// Owner returns the owner of a job that has not ended; ErrNotOwner when it has none.
func (log *Log) Owner(ctx context.Context, id string) (*batchv1.Ownership, metadata.Revision, error) {
	item, found, err := log.Store.Get(ctx, ownerKey(id))
	if err != nil {
		return nil, 0, err
	}
	if !found {
		return nil, 0, ErrNotOwner
	}
	owner := &batchv1.Ownership{}
	if err := proto.Unmarshal(item.Value, owner); err != nil {
		return nil, 0, errors.Wrapf(err, "decode the owner of %s", id)
	}
	return owner, item.Revision, nil
}

// AnyLife stands for every process of a node.
const AnyLife = 0

// Claim makes this node the owner of a job in place of a process of a node; ErrNotOwner says that the job is not that one's
// any more. Nobody takes a job from a node that was not found dead, nor from a process that has begun since.
func (log *Log) Claim(ctx context.Context, id, from string, life int64) (*Hold, error) {
	claim, encoded, err := log.newClaim()
	if err != nil {
		return nil, err
	}
	var held *Hold
	err = log.retry(ctx, func(ctx context.Context) error {
		owner, revision, err := log.Owner(ctx, id)
		if err != nil {
			return err
		}
		if owner.GetClaim() == claim { // an earlier try was done although its answer was lost
			held = &Hold{JobID: id, revision: revision, claim: claim}
			return nil
		}
		if owner.GetNode() != from || (life != AnyLife && owner.GetLife() != life) {
			return ErrNotOwner
		}
		txn := metadata.Txn{
			Conditions: []metadata.Condition{{Key: ownerKey(id), Revision: revision}},
			Puts:       []metadata.Put{{Key: ownerKey(id), Value: encoded}, {Key: ownedKey(log.Node, id)}, {Key: LeftKey(log.Node)}},
		}
		if owner.GetNode() != log.Node {
			txn.Deletes = []string{ownedKey(owner.GetNode(), id)}
		}
		taken, err := log.Store.Commit(ctx, txn)
		if err != nil {
			return err
		}
		held = &Hold{JobID: id, revision: taken, claim: claim}
		return nil
	})
	return held, err
}

// InDoubt reports whether results may be listed of which this node does not know so yet: the answer of an append was lost, and what
// became of it is not settled. Any goroutine may ask.
func (held *Hold) InDoubt() bool { return held.doubt.Load() }

// Append lists results after those that are listed already, and replaces the texts that are not finished; either may be missing. It
// tries until it succeeds, the context ends, or another owner took the job.
func (log *Log) Append(ctx context.Context, held *Hold, results []*batchv1.Result, unfinished []*batchv1.Partial) error {
	if len(results) == 0 && len(unfinished) == 0 {
		return nil
	}
	txn := metadata.Txn{Conditions: []metadata.Condition{{Key: ownerKey(held.JobID), Revision: held.revision}}}
	key := pageKey(held.JobID, held.pages)
	var encoded []byte
	if len(results) > 0 {
		page, err := proto.Marshal(&batchv1.ResultPage{Results: results})
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		encoded = page
		txn.Conditions = append(txn.Conditions, metadata.Condition{Key: key})
		txn.Puts = append(txn.Puts, metadata.Put{Key: key, Value: encoded})
	}
	if len(unfinished) > 0 {
		texts, err := proto.Marshal(&batchv1.Unfinished{Partials: unfinished})
		if err != nil {
			return errors.Wrap(err, "encode unfinished texts")
		}
		txn.Puts = append(txn.Puts, metadata.Put{Key: unfinishedKey(held.JobID), Value: texts})
	}
	err := log.retry(ctx, func(ctx context.Context) error {
		_, err := log.Store.Commit(ctx, txn)
		var conflict *metadata.ConflictError
		if !errors.As(err, &conflict) {
			if errors.Is(err, metadata.ErrUncertain) {
				held.doubt.Store(true)
			}
			return err
		}
		if page, found := conflict.Find(key); found && string(page.Value) == string(encoded) {
			return nil // an earlier try was done although its answer was lost
		}
		return ErrNotOwner
	})
	if err == nil && len(results) > 0 {
		held.pages++
	}
	return err
}

// Settled says that this node has taken note of the last append, so that nothing is listed of which it does not know.
func (held *Hold) Settled() { held.doubt.Store(false) }

// End makes the end of a job durable, whoever owns it. Ending twice is no error; ErrNotFound says that there is no such job.
func (log *Log) End(ctx context.Context, id string) error {
	return log.retry(ctx, func(ctx context.Context) error {
		owner, revision, err := log.Owner(ctx, id)
		if errors.Is(err, ErrNotOwner) {
			return log.checkEnded(ctx, id)
		}
		if err != nil {
			return err
		}
		_, err = log.Store.Commit(ctx, endTxn(id, owner.GetNode(), revision))
		return err
	})
}

// EndHeld is End for the owner, which needs no look-up. Whole reports whether the job was this owner's to the end, so that what
// it listed is all there is; otherwise another node may have listed more.
func (log *Log) EndHeld(ctx context.Context, held *Hold) (whole bool, err error) {
	_, err = log.Store.Commit(ctx, endTxn(held.JobID, log.Node, held.revision))
	if err == nil {
		return true, nil
	}
	return false, log.End(ctx, held.JobID)
}

func endTxn(id, owner string, revision metadata.Revision) metadata.Txn {
	return metadata.Txn{
		Conditions: []metadata.Condition{{Key: ownerKey(id), Revision: revision}},
		Puts:       []metadata.Put{{Key: endKey(id)}, {Key: endedKey(id), Value: strconv.AppendInt(nil, time.Now().UnixMilli(), 10)}},
		Deletes:    []string{ownerKey(id), ownedKey(owner, id)},
	}
}

func (log *Log) checkEnded(ctx context.Context, id string) error {
	_, found, err := log.Store.Get(ctx, endKey(id))
	if err != nil {
		return err
	}
	if !found {
		return ErrNotFound
	}
	return nil
}

// Resume reads a job that this node has claimed. It must follow the claim, after which no earlier owner can append.
func (log *Log) Resume(ctx context.Context, held *Hold) (*Record, error) {
	var record *Record
	err := log.retry(ctx, func(ctx context.Context) error {
		var err error
		record, err = log.Load(ctx, held.JobID)
		return err
	})
	if err != nil {
		return nil, err
	}
	held.pages = record.pages
	return record, nil
}

// Owned returns the jobs that a node owns and that have not ended. A stale list may be some seconds old, and costs less.
func (log *Log) Owned(ctx context.Context, node string, stale bool) ([]string, error) {
	list := log.Store.List
	if stale {
		list = log.Store.ListStale
	}
	listing, err := list(ctx, ownedPrefix(node))
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(listing.Items))
	for _, item := range listing.Items {
		ids = append(ids, strings.TrimPrefix(item.Key, ownedPrefix(node)))
	}
	return ids, nil
}

// StillOwner reports whether a hold is in force.
func (log *Log) StillOwner(ctx context.Context, held *Hold) (bool, error) {
	owner, _, err := log.Owner(ctx, held.JobID)
	if errors.Is(err, ErrNotOwner) {
		return false, nil
	}
	return err == nil && owner.GetClaim() == held.claim, err
}

// retry repeats an operation that is safe to repeat until it succeeds, fails for good, or the context ends.
func (log *Log) retry(ctx context.Context, operation func(context.Context) error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = retryFirst, retryMost
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		log.Health.AwaitGood(ctx)
		callCtx, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		err := operation(callCtx)
		if err != nil && isFinal(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return permanent.Unwrap()
	}
	return err
}

func isFinal(err error) bool { return errors.Is(err, ErrNotOwner) || errors.Is(err, ErrNotFound) }
