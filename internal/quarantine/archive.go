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

// RecordStore stores quarantined requests in the metadata store and loads those that other nodes have stored. It implements
// Keeper and metadata.Handler. It is safe for concurrent use.
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

// NewRecordStore returns an archive that runs until the context ends.
func NewRecordStore(ctx context.Context, store metadata.Store, health *metadata.Health, book *Tracker, node string, logger *log.Logger) *RecordStore {
	return &RecordStore{
		Store: store, Health: health, Tracker: book, Node: node, Logger: logger, IsDeputy: func(Fingerprint) bool { return false },
		ctx: ctx, stored: make(map[Fingerprint]storedRecord), writing: make(map[Fingerprint]bool),
	}
}

// Persist implements Keeper. The reporter stores the record at once, the deputy after deputyPersistDelay, and other nodes
// do not store it. It does not block.
func (archive *RecordStore) Persist(fingerprint Fingerprint) {
	delay := time.Duration(0)
	if archive.Tracker.Suspected(fingerprint).Reporter != archive.Node {
		if !archive.IsDeputy(fingerprint) {
			return
		}
		delay = deputyPersistDelay
	}
	if archive.beginWrite(fingerprint) {
		go archive.writeRecord(fingerprint, delay)
	}
}

// beginWrite reports whether no other goroutine writes the record of a request. If so, the caller writes it and calls
// endWrite.
func (archive *RecordStore) beginWrite(fingerprint Fingerprint) bool {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	if archive.writing[fingerprint] {
		return false
	}
	archive.writing[fingerprint] = true
	return true
}

func (archive *RecordStore) endWrite(fingerprint Fingerprint) {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	delete(archive.writing, fingerprint)
}

// writeRecord writes the record of a request until the store is up to date with the book. Each write is conditional on the
// revision that it replaces, so that a delayed write overwrites nothing newer.
func (archive *RecordStore) writeRecord(fingerprint Fingerprint, delay time.Duration) {
	defer archive.endWrite(fingerprint)
	wait.Pause(archive.ctx, delay)
	for archive.ctx.Err() == nil {
		known := archive.Tracker.Suspected(fingerprint)
		stored := archive.record(fingerprint)
		if known.Crashes < quarantineThreshold || stored.crashes >= known.Crashes {
			return
		}
		value, err := proto.Marshal(encodeRecord(known))
		if err != nil {
			archive.Logger.Error("encode quarantine record", "fingerprint", fingerprint, "error", err)
			return
		}
		key := Prefix + fingerprint.String()
		revision, err := archive.commit(metadata.Txn{
			Conditions: []metadata.Condition{{Key: key, Revision: stored.revision}}, Puts: []metadata.Put{{Key: key, Value: value}},
		}, fingerprint)
		archive.Logger.Warn("request in quarantine", "fingerprint", fingerprint, "crashes", known.Crashes, "reporter", known.Reporter, "revision", int64(revision), "error", err)
		if err == nil {
			archive.setRecord(fingerprint, storedRecord{revision, known.Crashes})
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

// Lift implements Keeper. It does not block.
func (archive *RecordStore) Lift(fingerprint Fingerprint) { go archive.deleteRecord(fingerprint) }

// deleteRecord deletes the record of a request, and retries until the store has none or the request is suspected again.
func (archive *RecordStore) deleteRecord(fingerprint Fingerprint) {
	for archive.ctx.Err() == nil {
		stored := archive.record(fingerprint)
		if archive.Tracker.Suspected(fingerprint).Crashes > 0 || stored.revision == 0 {
			return
		}
		key := Prefix + fingerprint.String()
		_, err := archive.commit(metadata.Txn{Conditions: []metadata.Condition{{Key: key, Revision: stored.revision}}, Deletes: []string{key}}, fingerprint)
		archive.Logger.Info("quarantine lifted", "fingerprint", fingerprint, "error", err)
		if err == nil {
			archive.setRecord(fingerprint, storedRecord{})
		}
	}
}

// commit makes one call to the store. On a conflict it adopts the stored state; on any other error it waits until the
// store can be tried again.
func (archive *RecordStore) commit(txn metadata.Txn, fingerprint Fingerprint) (metadata.Revision, error) {
	ctx, cancel := context.WithTimeout(archive.ctx, commitTimeout)
	revision, err := archive.Store.Commit(ctx, txn)
	cancel()
	var conflict *metadata.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		archive.resolveConflict(fingerprint, conflict)
	default:
		archive.Health.RequestProbe()
		wait.Pause(archive.ctx, commitBackoff)
		archive.Health.AwaitGood(archive.ctx) // failed calls to an unavailable store are charged as well
	}
	return revision, err
}

// resolveConflict replaces the expected state of a record by the state in the store.
func (archive *RecordStore) resolveConflict(fingerprint Fingerprint, conflict *metadata.ConflictError) {
	item, found := conflict.Find(Prefix + fingerprint.String())
	if !found {
		archive.setRecord(fingerprint, storedRecord{})
		return
	}
	archive.applyRecord(item)
}

func (archive *RecordStore) record(fingerprint Fingerprint) storedRecord {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	return archive.stored[fingerprint]
}

func (archive *RecordStore) setRecord(fingerprint Fingerprint, record storedRecord) {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	if record.revision == 0 {
		delete(archive.stored, fingerprint)
		return
	}
	archive.stored[fingerprint] = record
}

// Reset implements metadata.Handler. It keeps records that are newer than the listing.
func (archive *RecordStore) Reset(items []metadata.Item, revision metadata.Revision) {
	listed := make(map[Fingerprint]bool, len(items))
	for _, item := range items {
		if fingerprint, err := fingerprintOfKey(item.Key); err == nil {
			listed[fingerprint] = true
		}
	}
	archive.mu.Lock()
	var deleted []Fingerprint
	for fingerprint, stored := range archive.stored {
		if !listed[fingerprint] && stored.revision <= revision {
			deleted = append(deleted, fingerprint)
		}
	}
	archive.mu.Unlock()
	for _, fingerprint := range deleted {
		archive.dropRecord(fingerprint)
	}
	for _, item := range items {
		archive.applyRecord(item)
	}
}

// Apply implements metadata.Handler.
func (archive *RecordStore) Apply(events []metadata.Event, _ metadata.Revision) {
	for _, event := range events {
		if !event.Deleted {
			archive.applyRecord(event.Item)
			continue
		}
		if fingerprint, err := fingerprintOfKey(event.Key); err == nil && archive.record(fingerprint).revision <= event.Revision {
			archive.dropRecord(fingerprint)
		}
	}
}

// applyRecord updates the archive and the book from a record in the store.
func (archive *RecordStore) applyRecord(item metadata.Item) {
	fingerprint, err := fingerprintOfKey(item.Key)
	record := &clusterv1.QuarantineRecord{}
	if err == nil {
		err = proto.Unmarshal(item.Value, record)
	}
	if err != nil {
		archive.Logger.Error("quarantine record cannot be decoded", "key", item.Key, "error", err)
		return
	}
	suspicion := Suspicion{Crashes: int(record.GetCrashes()), Reporter: record.GetReporter(), Until: time.UnixMilli(record.GetUntilUnixMs())}
	for _, replica := range record.GetReplicas() {
		suspicion.Events = append(suspicion.Events, CrashEvent{Replica: replica})
	}
	archive.setRecord(fingerprint, storedRecord{item.Revision, suspicion.Crashes})
	archive.Tracker.Restore(fingerprint, suspicion, time.Now())
	archive.Logger.Info("quarantine loaded", "fingerprint", fingerprint, "crashes", suspicion.Crashes, "reporter", record.GetReporter(), "revision", int64(item.Revision))
}

// dropRecord clears a request whose record was deleted from the store, because its quarantine expired or a replica has
// answered it.
func (archive *RecordStore) dropRecord(fingerprint Fingerprint) {
	archive.setRecord(fingerprint, storedRecord{})
	archive.Tracker.Clear(fingerprint)
	archive.Logger.Info("quarantine ended", "fingerprint", fingerprint)
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
