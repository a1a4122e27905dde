package quarantine

import (
	"context"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// Prefix is the prefix of the keys of quarantine records in the metadata store; the fingerprint follows it. Records are
// loaded by each process that starts, and survive a restart of all nodes.
const Prefix = "quarantine/"

const (
	// commitTimeout bounds one call to the store; commitBackoff is the delay before a failed call is repeated.
	commitTimeout = time.Second
	commitBackoff = 200 * time.Millisecond
	// deputyPersistDelay is how long the deputy leaves it to the reporter to store a record. It covers a commit and the
	// propagation of the record to this node.
	deputyPersistDelay = time.Second
	// maxRecords bounds the records in the store.
	maxRecords = 1024
)

// RecordStore stores quarantined requests in the metadata store and loads those that other nodes have stored. It
// implements Persister and metadata.Handler. It is safe for concurrent use.
type RecordStore struct {
	Store   metadata.Store
	Health  *metadata.Health
	Tracker *Tracker
	Node    string
	Logger  *log.Logger
	// IsDeputy reports whether this node stores the record of a request if its reporter does not.
	IsDeputy func(Fingerprint) bool

	ctx context.Context

	mu      sync.Mutex
	stored  map[Fingerprint]storedRecord
	writing map[Fingerprint]bool
}

// storedRecord is the last known state of a record in the store.
type storedRecord struct {
	revision metadata.Revision
	crashes  int
}

// NewRecordStore returns a record store that runs until the context ends.
func NewRecordStore(ctx context.Context, store metadata.Store, health *metadata.Health, tracker *Tracker, node string, logger *log.Logger) *RecordStore {
	return &RecordStore{
		Store: store, Health: health, Tracker: tracker, Node: node, Logger: logger, IsDeputy: func(Fingerprint) bool { return false },
		ctx: ctx, stored: make(map[Fingerprint]storedRecord), writing: make(map[Fingerprint]bool),
	}
}

// Persist implements Persister. The reporter stores the record at once, the deputy after deputyPersistDelay, and other
// nodes do not store it. It does not block.
func (recordStore *RecordStore) Persist(fingerprint Fingerprint) {
	delay := time.Duration(0)
	if recordStore.Tracker.Suspected(fingerprint).Reporter != recordStore.Node {
		if !recordStore.IsDeputy(fingerprint) {
			return
		}
		delay = deputyPersistDelay
	}
	if recordStore.beginWrite(fingerprint) {
		go recordStore.writeRecord(fingerprint, delay)
	}
}

// beginWrite reports whether no other goroutine writes the record of a request. If so, the caller writes it and calls
// endWrite.
func (recordStore *RecordStore) beginWrite(fingerprint Fingerprint) bool {
	recordStore.mu.Lock()
	defer recordStore.mu.Unlock()
	if recordStore.writing[fingerprint] {
		return false
	}
	recordStore.writing[fingerprint] = true
	return true
}

func (recordStore *RecordStore) endWrite(fingerprint Fingerprint) {
	recordStore.mu.Lock()
	defer recordStore.mu.Unlock()
	delete(recordStore.writing, fingerprint)
}

// writeRecord writes the record of a request until the store is up to date with the tracker. Each write is conditional on
// the revision that it replaces, so that a delayed write overwrites nothing newer.
func (recordStore *RecordStore) writeRecord(fingerprint Fingerprint, delay time.Duration) {
	defer recordStore.endWrite(fingerprint)
	wait.Pause(recordStore.ctx, delay)
	for recordStore.ctx.Err() == nil {
		known := recordStore.Tracker.Suspected(fingerprint)
		stored := recordStore.record(fingerprint)
		if known.Crashes < quarantineThreshold || stored.crashes >= known.Crashes {
			return
		}
		value, err := proto.Marshal(encodeRecord(known))
		if err != nil {
			recordStore.Logger.Error("encode quarantine record", "fingerprint", fingerprint, "error", err)
			return
		}
		key := Prefix + fingerprint.String()
		revision, err := recordStore.commit(metadata.Txn{
			Conditions: []metadata.Condition{{Key: key, Revision: stored.revision}}, Puts: []metadata.Put{{Key: key, Value: value}},
		}, fingerprint)
		recordStore.Logger.Warn("request in quarantine", "fingerprint", fingerprint, "crashes", known.Crashes, "reporter", known.Reporter, "revision", int64(revision), "error", err)
		if err == nil {
			recordStore.setRecord(fingerprint, storedRecord{revision, known.Crashes})
		}
	}
}

func encodeRecord(suspicion Suspicion) *clusterv1.QuarantineRecord {
	record := &clusterv1.QuarantineRecord{Crashes: int32(suspicion.Crashes), Reporter: suspicion.Reporter, UntilUnixMs: suspicion.Until.UnixMilli()}
	for _, event := range suspicion.Events {
		record.Replicas = append(record.Replicas, event.Replica)
	}
	return record
}

// Lift implements Persister. It does not block.
func (recordStore *RecordStore) Lift(fingerprint Fingerprint) {
	go recordStore.deleteRecord(fingerprint)
}

// deleteRecord deletes the record of a request, and retries until the store has none or the request is suspected again.
func (recordStore *RecordStore) deleteRecord(fingerprint Fingerprint) {
	for recordStore.ctx.Err() == nil {
		stored := recordStore.record(fingerprint)
		if recordStore.Tracker.Suspected(fingerprint).Crashes > 0 || stored.revision == 0 {
			return
		}
		key := Prefix + fingerprint.String()
		_, err := recordStore.commit(metadata.Txn{Conditions: []metadata.Condition{{Key: key, Revision: stored.revision}}, Deletes: []string{key}}, fingerprint)
		recordStore.Logger.Info("quarantine lifted", "fingerprint", fingerprint, "error", err)
		if err == nil {
			recordStore.setRecord(fingerprint, storedRecord{})
		}
	}
}

// commit makes one call to the store. On a conflict it adopts the stored state; on any other error it waits until the
// store can be tried again.
func (recordStore *RecordStore) commit(txn metadata.Txn, fingerprint Fingerprint) (metadata.Revision, error) {
	ctx, cancel := context.WithTimeout(recordStore.ctx, commitTimeout)
	revision, err := recordStore.Store.Commit(ctx, txn)
	cancel()
	var conflict *metadata.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		recordStore.resolveConflict(fingerprint, conflict)
	default:
		recordStore.Health.RequestProbe()
		wait.Pause(recordStore.ctx, commitBackoff)
		recordStore.Health.AwaitGood(recordStore.ctx) // failed calls to an unavailable store are charged as well
	}
	return revision, err
}

// resolveConflict replaces the expected state of a record by the state in the store.
func (recordStore *RecordStore) resolveConflict(fingerprint Fingerprint, conflict *metadata.ConflictError) {
	item, found := conflict.Find(Prefix + fingerprint.String())
	if !found {
		recordStore.setRecord(fingerprint, storedRecord{})
		return
	}
	recordStore.applyRecord(item)
}

func (recordStore *RecordStore) record(fingerprint Fingerprint) storedRecord {
	recordStore.mu.Lock()
	defer recordStore.mu.Unlock()
	return recordStore.stored[fingerprint]
}

func (recordStore *RecordStore) setRecord(fingerprint Fingerprint, record storedRecord) {
	recordStore.mu.Lock()
	defer recordStore.mu.Unlock()
	if record.revision == 0 {
		delete(recordStore.stored, fingerprint)
		return
	}
	recordStore.stored[fingerprint] = record
}

// Reset implements metadata.Handler. It keeps records that are newer than the listing.
func (recordStore *RecordStore) Reset(items []metadata.Item, revision metadata.Revision) {
	listed := make(map[Fingerprint]bool, len(items))
	for _, item := range items {
		if fingerprint, err := fingerprintOfKey(item.Key); err == nil {
			listed[fingerprint] = true
		}
	}
	recordStore.mu.Lock()
	var deleted []Fingerprint
	for fingerprint, stored := range recordStore.stored {
		if !listed[fingerprint] && stored.revision <= revision {
			deleted = append(deleted, fingerprint)
		}
	}
	recordStore.mu.Unlock()
	for _, fingerprint := range deleted {
		recordStore.dropRecord(fingerprint)
	}
	for _, item := range items {
		recordStore.applyRecord(item)
	}
}

// Apply implements metadata.Handler.
func (recordStore *RecordStore) Apply(events []metadata.Event, _ metadata.Revision) {
	for _, event := range events {
		if !event.Deleted {
			recordStore.applyRecord(event.Item)
			continue
		}
		if fingerprint, err := fingerprintOfKey(event.Key); err == nil && recordStore.record(fingerprint).revision <= event.Revision {
			recordStore.dropRecord(fingerprint)
		}
	}
}

// applyRecord updates the record store and the tracker from a record in the store.
func (recordStore *RecordStore) applyRecord(item metadata.Item) {
	fingerprint, err := fingerprintOfKey(item.Key)
	record := &clusterv1.QuarantineRecord{}
	if err == nil {
		err = proto.Unmarshal(item.Value, record)
	}
	if err != nil {
		recordStore.Logger.Error("quarantine record cannot be decoded", "key", item.Key, "error", err)
		return
	}
	suspicion := Suspicion{Crashes: int(record.GetCrashes()), Reporter: record.GetReporter(), Until: time.UnixMilli(record.GetUntilUnixMs())}
	for _, replica := range record.GetReplicas() {
		suspicion.Events = append(suspicion.Events, CrashEvent{Replica: replica})
	}
	recordStore.setRecord(fingerprint, storedRecord{item.Revision, suspicion.Crashes})
	recordStore.Tracker.Restore(fingerprint, suspicion, time.Now())
	recordStore.Logger.Info("quarantine loaded", "fingerprint", fingerprint, "crashes", suspicion.Crashes, "reporter", record.GetReporter(), "revision", int64(item.Revision))
}

// dropRecord clears a request whose record was deleted from the store, because its quarantine expired or a replica has
// answered it.
func (recordStore *RecordStore) dropRecord(fingerprint Fingerprint) {
	recordStore.setRecord(fingerprint, storedRecord{})
	recordStore.Tracker.Clear(fingerprint)
	recordStore.Logger.Info("quarantine ended", "fingerprint", fingerprint)
}

// errInvalidKey is returned for a key without a valid fingerprint.
var errInvalidKey = errors.New("key contains no valid fingerprint")

func fingerprintOfKey(key string) (Fingerprint, error) {
	var fingerprint Fingerprint
	digits := strings.TrimPrefix(key, Prefix)
	if len(digits) != hex.EncodedLen(len(fingerprint)) {
		return fingerprint, errInvalidKey
	}
	if _, err := hex.Decode(fingerprint[:], []byte(digits)); err != nil {
		return fingerprint, errors.Mark(err, errInvalidKey)
	}
	return fingerprint, nil
}
