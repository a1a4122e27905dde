// Package batchlog stores batch jobs in the metadata store. One transaction writes a job and its owner. Results are appended in
// pages on condition that the owner has not changed, and the end of a job removes its owner. This fences former owners: they can
// neither append results nor undo an end. A process becomes the owner of a job only while it is registered, so that every owner is
// monitored.
package batchlog

import (
	"context"
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
	// ErrNotOwner means that another node owns the job or that the job has ended.
	ErrNotOwner = errors.New("the job has another owner or has ended")
	// ErrNotFound means that the job was never accepted or has been removed.
	ErrNotFound = errors.New("no such job")
	// ErrProcessReplaced means that the process from which a job is claimed has been replaced: its node has registered again.
	ErrProcessReplaced = errors.New("the node has registered again")
	// ErrNotRegistered means that this process is not registered, so that it can own no further job at the moment. Nothing was written.
	ErrNotRegistered = errors.Mark(errors.New("this process is not registered"), metadata.ErrUnavailable)
)

const (
	// chunkBytes allows for jobs of 20 MB in the 32 entries of a transaction, six of which are not chunks.
	chunkBytes        = 760 << 10
	initialRetryDelay = 40 * time.Millisecond
	maxRetryDelay     = 300 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
)

// Registration is the record of this process among the nodes. Another node removes it once it has taken over the jobs of this node.
type Registration interface {
	// RegistrationCondition returns the condition that holds as long as this process is registered. registered is false if it is not.
	RegistrationCondition() (condition metadata.Condition, registered bool)
	// HandleRegistrationConflict is called when the condition did not hold, with the current record, if there is one.
	HandleRegistrationConflict(failed metadata.Condition, current metadata.Item, found bool)
}

// Log reads and writes batch jobs. It is safe for concurrent use.
type Log struct {
	Store metadata.Store
	// Health delays attempts while the store is unreachable. It may be nil.
	Health *metadata.Health
	// Node is the name under which this node owns jobs. Incarnation is that of its process.
	Node        string
	Incarnation int64
	// OnEndedForOwner is called after this node has ended a job that another claim owned, with the owner's node. That owner does not know of
	// the end before its next append. Nil disables the call.
	OnEndedForOwner func(job, owner string)
	// Registration is a condition of every write by which this node becomes the owner of a job. A write that the store applies after
	// another node has taken this node over therefore fails. Nil means no condition, for tests.
	Registration Registration
}

// ownerConditions returns the conditions under which this process may become the owner of a job.
func (log *Log) ownerConditions() ([]metadata.Condition, error) {
	if log.Registration == nil {
		return nil, nil
	}
	condition, registered := log.Registration.RegistrationCondition()
	if !registered {
		return nil, ErrNotRegistered
	}
	return []metadata.Condition{condition}, nil
}

// checkOwnerConditions returns ErrNotRegistered if one of the conditions has caused a conflict.
func (log *Log) checkOwnerConditions(conditions []metadata.Condition, conflict *metadata.ConflictError) error {
	for _, condition := range conditions {
		if current, found := conflict.Find(condition.Key); current.Revision != condition.Revision {
			log.Registration.HandleRegistrationConflict(condition, current, found)
			return ErrNotRegistered
		}
	}
	return nil
}

// Ownership is this node's ownership of a job, fenced by the revision of the owner's key. Except for InDoubt it must be used by
// one goroutine at a time.
type Ownership struct {
	JobID string
	// inDoubt is true if an attempt of an append may have taken effect without a response.
	inDoubt atomic.Bool
	// revision is the revision of the owner's key. It is a condition of every append.
	revision metadata.Revision
	claim    string
	pages    int
}

// Accept makes a job durable with this node as its owner. If the job was accepted before, held is nil, and Owner returns its
// owner. After an error that is metadata.ErrUncertain the job may have been accepted. It returns ErrNotRegistered if this process is
// not registered. An earlier job of the same identifier whose removal was interrupted is removed first.
func (log *Log) Accept(ctx context.Context, job *batchv1.Job) (ownership *Ownership, err error) {
	ownership, err = log.accept(ctx, job)
	if !errors.Is(err, errPartlyCollected) {
		return ownership, err
	}
	if err := log.completeCollection(ctx, job.GetId()); err != nil {
		return nil, err
	}
	ownership, err = log.accept(ctx, job)
	if errors.Is(err, errPartlyCollected) {
		return nil, errors.Mark(err, metadata.ErrUnavailable)
	}
	return ownership, err
}

func (log *Log) accept(ctx context.Context, job *batchv1.Job) (ownership *Ownership, err error) {
	encoded, err := proto.Marshal(job)
	if err != nil {
		return nil, errors.Wrap(err, "encode a batch job")
	}
	claim, owner, err := log.newClaim()
	if err != nil {
		return nil, err
	}
	registered, err := log.ownerConditions()
	if err != nil {
		return nil, err
	}
	// An entry under the ended jobs allows a removal to take the job.
	txn := metadata.Txn{Conditions: append([]metadata.Condition{{Key: chunkKey(job.GetId(), 0)}, {Key: endedKey(job.GetId())}}, registered...)}
	for n := 0; n*chunkBytes < len(encoded); n++ {
		chunk := encoded[n*chunkBytes : min(len(encoded), (n+1)*chunkBytes)]
		txn.Puts = append(txn.Puts, metadata.Put{Key: chunkKey(job.GetId(), n), Value: chunk})
	}
	txn.Puts = append(txn.Puts, metadata.Put{Key: ownerKey(job.GetId()), Value: owner}, metadata.Put{Key: ownedKey(log.Node, job.GetId())}, metadata.Put{Key: LeftoverWorkKey(log.Node)})
	revision, err := log.Store.Commit(ctx, txn)
	var conflict *metadata.ConflictError
	switch {
	case err == nil:
		return &Ownership{JobID: job.GetId(), revision: revision, claim: claim}, nil
	case errors.As(err, &conflict):
		if _, ended := conflict.Find(endedKey(job.GetId())); ended {
			return nil, log.checkWhole(ctx, job.GetId())
		}
		if _, accepted := conflict.Find(chunkKey(job.GetId(), 0)); accepted {
			return nil, nil
		}
		return nil, log.checkOwnerConditions(registered, conflict)
	default:
		return nil, err
	}
}

// checkWhole returns errPartlyCollected if the removal of an ended job has begun.
func (log *Log) checkWhole(ctx context.Context, id string) error {
	err := log.checkEnded(ctx, id)
	if errors.Is(err, ErrNotFound) {
		return errPartlyCollected
	}
	return err
}

func (log *Log) newClaim() (claim string, encoded []byte, err error) {
	claim = uuid.NewString()
	encoded, err = proto.Marshal(&batchv1.Ownership{Node: log.Node, Claim: claim, Life: log.Incarnation})
	return claim, encoded, errors.Wrap(err, "encode an owner")
}

// Owner returns the owner of a job. It returns ErrNotOwner if the job has none, for example because it has ended.
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

// AnyIncarnation is the Incarnation of an Origin that matches every process of a node.
const AnyIncarnation = 0

// Origin tells which processes of a node a job may be claimed from.
type Origin struct {
	Node string
	// Incarnation is the process, or AnyIncarnation.
	Incarnation int64
	// Registration, if set, is the record of the node as its last process wrote it. It protects the jobs of a process that has started
	// since. The incarnation cannot do that for a node that is dead: its last process may have left jobs of earlier ones.
	Registration *metadata.Condition
}

// conditions returns the conditions of a claim on a key of the owner.
func (origin Origin) conditions(owner metadata.Condition) []metadata.Condition {
	if origin.Registration == nil {
		return []metadata.Condition{owner}
	}
	return []metadata.Condition{owner, *origin.Registration}
}

// Claim transfers a job from a process of another node, or an earlier process of this node, to this node. It returns ErrNotOwner
// if that process does not own the job, and ErrProcessReplaced if the origin has registered again.
func (log *Log) Claim(ctx context.Context, id string, from Origin) (*Ownership, error) {
	claim, encoded, err := log.newClaim()
	if err != nil {
		return nil, err
	}
	var ownership *Ownership
	var refusedAt metadata.Revision // the owner's revision at the last refused attempt
	err = log.retry(ctx, func(ctx context.Context) error {
		owner, revision, err := log.Owner(ctx, id)
		if err != nil {
			return err
		}
		if owner.GetClaim() == claim { // an earlier attempt succeeded but its response was lost
			ownership = &Ownership{JobID: id, revision: revision, claim: claim}
			return nil
		}
		if owner.GetNode() != from.Node || (from.Incarnation != AnyIncarnation && owner.GetLife() != from.Incarnation) {
			return ErrNotOwner
		}
		if revision == refusedAt {
			return ErrProcessReplaced // the owner is as it was, so that the other condition has failed
		}
		registered, err := log.ownerConditions()
		if err != nil {
			return err
		}
		txn := metadata.Txn{
			Conditions: append(from.conditions(metadata.Condition{Key: ownerKey(id), Revision: revision}), registered...),
			Puts:       []metadata.Put{{Key: ownerKey(id), Value: encoded}, {Key: ownedKey(log.Node, id)}, {Key: LeftoverWorkKey(log.Node)}},
		}
		if owner.GetNode() != log.Node {
			txn.Deletes = []string{ownedKey(owner.GetNode(), id)}
		}
		newRevision, err := log.Store.Commit(ctx, txn)
		var conflict *metadata.ConflictError
		if errors.As(err, &conflict) {
			if err := log.checkOwnerConditions(registered, conflict); err != nil {
				return err
			}
			refusedAt = revision
		}
		if err != nil {
			return err
		}
		ownership = &Ownership{JobID: id, revision: newRevision, claim: claim}
		return nil
	})
	return ownership, err
}

// InDoubt reports whether the log may have results that this node has not listed yet, because the outcome of an append is
// unknown. It may be called by any goroutine.
func (ownership *Ownership) InDoubt() bool { return ownership.inDoubt.Load() }

// Append appends results and replaces the saved texts of unfinished items. Either may be empty. It retries until it succeeds,
// the context ends, or the job has another owner.
func (log *Log) Append(ctx context.Context, ownership *Ownership, results []*batchv1.Result, unfinished []*batchv1.Partial) error {
	if len(results) == 0 && len(unfinished) == 0 {
		return nil
	}
	txn := metadata.Txn{Conditions: []metadata.Condition{{Key: ownerKey(ownership.JobID), Revision: ownership.revision}}}
	key := pageKey(ownership.JobID, ownership.pages)
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
		txn.Puts = append(txn.Puts, metadata.Put{Key: unfinishedKey(ownership.JobID), Value: texts})
	}
	err := log.retry(ctx, func(ctx context.Context) error {
		_, err := log.Store.Commit(ctx, txn)
		var conflict *metadata.ConflictError
		if !errors.As(err, &conflict) {
			if errors.Is(err, metadata.ErrUncertain) {
				ownership.inDoubt.Store(true)
			}
			return err
		}
		owner, _ := conflict.Find(ownerKey(ownership.JobID))
		page, found := conflict.Find(key)
		if owner.Revision == ownership.revision && found && string(page.Value) == string(encoded) {
			return nil // an earlier attempt succeeded but its response was lost
		}
		return ErrNotOwner // also if another owner has listed the same results
	})
	if err == nil && len(results) > 0 {
		ownership.pages++
	}
	return err
}

// Settle clears InDoubt. It must be called only after the results of the last append have been listed.
func (ownership *Ownership) Settle() { ownership.inDoubt.Store(false) }

// End makes the end of a job durable, whichever node owns the job. It is idempotent. It returns ErrNotFound if there is no such
// job.
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
		if err == nil && log.OnEndedForOwner != nil {
			log.OnEndedForOwner(id, owner.GetNode())
		}
		return err
	})
}

// EndOwned is End for the owner of a job, which needs no lookup. complete is true if this node owned the job until its end, so
// that no other node can have listed further results.
func (log *Log) EndOwned(ctx context.Context, ownership *Ownership) (complete bool, err error) {
	_, err = log.Store.Commit(ctx, endTxn(ownership.JobID, log.Node, ownership.revision))
	if err == nil {
		return true, nil
	}
	return false, log.End(ctx, ownership.JobID)
}

func endTxn(id, owner string, revision metadata.Revision) metadata.Txn {
	endedAt := encodeTime(time.Now())
	return metadata.Txn{
		Conditions: []metadata.Condition{{Key: ownerKey(id), Revision: revision}},
		Puts:       []metadata.Put{{Key: endKey(id), Value: endedAt}, {Key: endedKey(id), Value: endedAt}},
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

// Resume reads a job that this node has claimed. It must be called after the claim, since no former owner can append from then
// on.
func (log *Log) Resume(ctx context.Context, ownership *Ownership) (*Record, error) {
	var record *Record
	err := log.retry(ctx, func(ctx context.Context) error {
		var err error
		record, err = log.Load(ctx, ownership.JobID)
		return err
	})
	if err != nil {
		return nil, err
	}
	ownership.pages = record.pages
	return record, nil
}

// Owned returns the identifiers of the open jobs that a node owns. A stale list may lag by some seconds and costs less.
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

// StillOwner reports whether this node still owns the job under the same claim.
func (log *Log) StillOwner(ctx context.Context, ownership *Ownership) (bool, error) {
	owner, _, err := log.Owner(ctx, ownership.JobID)
	if errors.Is(err, ErrNotOwner) {
		return false, nil
	}
	return err == nil && owner.GetClaim() == ownership.claim, err
}

// retry repeats an idempotent operation until it succeeds, fails permanently, or the context ends.
func (log *Log) retry(ctx context.Context, operation func(context.Context) error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = initialRetryDelay, maxRetryDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		log.Health.AwaitGood(ctx)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := operation(callCtx)
		if err != nil && isPermanent(err) {
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

func isPermanent(err error) bool {
	return errors.Is(err, ErrNotOwner) || errors.Is(err, ErrNotFound) || errors.Is(err, ErrProcessReplaced)
}
