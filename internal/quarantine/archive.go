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

// Prefix is where requests in quarantine lie in the metadata store, by their fingerprints. A process that begins is told of them, and they
// outlive a restart of all nodes.
const Prefix = "quarantine/"

const (
	// commitLimit bounds one call to the store, and commitPause is the time between two.
	commitLimit = time.Second
	commitPause = 200 * time.Millisecond
	// deputyKeepsAfter is how long the node that ranks first for a request leaves it to the reporter to keep it: a call to a store that is well
	// takes some milliseconds, and its event is spread within some tens.
	deputyKeepsAfter = time.Second
	// recordsMost bounds the requests that are kept.
	recordsMost = 1024
)

// Archive keeps requests in quarantine in the metadata store, and takes from there what other nodes keep. It implements Keeper and
// metadata.Handler. It is safe for concurrent use.
type Archive struct {
	Store  metadata.Store
	Health *metadata.Health
	Book   *Book
	Node   string
	Logger *log.Logger
	// IsDeputy reports whether this node keeps a request if its reporter does not, which the store may refuse.
	IsDeputy func(Fingerprint) bool

	ctx context.Context

	mu     sync.Mutex
	kept   map[Fingerprint]keptRecord
	atWork map[Fingerprint]bool
}

// keptRecord is what the store has of a request.
type keptRecord struct {
	revision metadata.Revision
	crashes  int
}

// NewArchive returns an archive that works until the context ends.
func NewArchive(ctx context.Context, store metadata.Store, health *metadata.Health, book *Book, node string, logger *log.Logger) *Archive {
	return &Archive{
		Store: store, Health: health, Book: book, Node: node, Logger: logger, IsDeputy: func(Fingerprint) bool { return false },
		ctx: ctx, kept: make(map[Fingerprint]keptRecord), atWork: make(map[Fingerprint]bool),
	}
}

// Keep implements Keeper. It returns at once.
func (archive *Archive) Keep(fingerprint Fingerprint) {
	delay := time.Duration(0)
	if archive.Book.Suspected(fingerprint).Reporter != archive.Node {
		if !archive.IsDeputy(fingerprint) {
			return
		}
		delay = deputyKeepsAfter
	}
	if archive.begin(fingerprint) {
		go archive.store(fingerprint, delay)
	}
}

// begin reports whether nobody writes a request's record, and has the caller do so.
func (archive *Archive) begin(fingerprint Fingerprint) bool {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	if archive.atWork[fingerprint] {
		return false
	}
	archive.atWork[fingerprint] = true
	return true
}

func (archive *Archive) end(fingerprint Fingerprint) {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	delete(archive.atWork, fingerprint)
}

// store writes the record of a request until the store has it as the book does. Each write has the revision that was there as its
// condition: one that is carried out late overwrites nothing.
func (archive *Archive) store(fingerprint Fingerprint, delay time.Duration) {
	defer archive.end(fingerprint)
	wait.Pause(archive.ctx, delay)
	for archive.ctx.Err() == nil {
		known := archive.Book.Suspected(fingerprint)
		kept := archive.record(fingerprint)
		if known.Crashes < quarantineAt || kept.crashes >= known.Crashes {
			return
		}
		value, err := proto.Marshal(encodeRecord(known))
		if err != nil {
			archive.Logger.Error("encode quarantine record", "fingerprint", fingerprint, "error", err)
			return
		}
		key := Prefix + fingerprint.String()
		revision, err := archive.commit(metadata.Txn{
			Conditions: []metadata.Condition{{Key: key, Revision: kept.revision}}, Puts: []metadata.Put{{Key: key, Value: value}},
		}, fingerprint)
		archive.Logger.Warn("request in quarantine", "fingerprint", fingerprint, "crashes", known.Crashes, "reporter", known.Reporter, "revision", int64(revision), "error", err)
		if err == nil {
			archive.setRecord(fingerprint, keptRecord{revision, known.Crashes})
		}
	}
}

func encodeRecord(known Suspicion) *clusterv1.QuarantineRecord {
	record := &clusterv1.QuarantineRecord{Crashes: int32(known.Crashes), Reporter: known.Reporter, UntilUnixMs: known.Until.UnixMilli()}
	for _, end := range known.Ends {
		record.Replicas = append(record.Replicas, end.Replica)
	}
	return record
}

// Lift implements Keeper. It returns at once.
func (archive *Archive) Lift(fingerprint Fingerprint) { go archive.remove(fingerprint) }

// remove removes the record of a request until the store has none, or the request is suspected anew.
func (archive *Archive) remove(fingerprint Fingerprint) {
	for archive.ctx.Err() == nil {
		kept := archive.record(fingerprint)
		if archive.Book.Suspected(fingerprint).Crashes > 0 || kept.revision == 0 {
			return
		}
		key := Prefix + fingerprint.String()
		_, err := archive.commit(metadata.Txn{Conditions: []metadata.Condition{{Key: key, Revision: kept.revision}}, Deletes: []string{key}}, fingerprint)
		archive.Logger.Info("quarantine lifted", "fingerprint", fingerprint, "error", err)
		if err == nil {
			archive.setRecord(fingerprint, keptRecord{})
		}
	}
}

// commit makes one call to the store. After a conflict, what the store has is known; after another error, it is time to try again.
func (archive *Archive) commit(txn metadata.Txn, fingerprint Fingerprint) (metadata.Revision, error) {
	ctx, cancel := context.WithTimeout(archive.ctx, commitLimit)
	revision, err := archive.Store.Commit(ctx, txn)
	cancel()
	var conflict *metadata.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		archive.take(fingerprint, conflict)
	default:
		archive.Health.Doubt()
		wait.Pause(archive.ctx, commitPause)
		archive.Health.AwaitGood(archive.ctx) // calls that a lost store refuses are paid for all the same
	}
	return revision, err
}

// take takes what the store has in place of what was expected.
func (archive *Archive) take(fingerprint Fingerprint, conflict *metadata.ConflictError) {
	item, found := conflict.Find(Prefix + fingerprint.String())
	if !found {
		archive.setRecord(fingerprint, keptRecord{})
		return
	}
	archive.put(item)
}

func (archive *Archive) record(fingerprint Fingerprint) keptRecord {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	return archive.kept[fingerprint]
}

func (archive *Archive) setRecord(fingerprint Fingerprint, record keptRecord) {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	if record.revision == 0 {
		delete(archive.kept, fingerprint)
		return
	}
	archive.kept[fingerprint] = record
}

// Reset implements metadata.Handler. A record that this node has just written is newer than a list that was read before.
func (archive *Archive) Reset(items []metadata.Item, revision metadata.Revision) {
	stays := make(map[Fingerprint]bool, len(items))
	for _, item := range items {
		if fingerprint, err := fingerprintOfKey(item.Key); err == nil {
			stays[fingerprint] = true
		}
	}
	archive.mu.Lock()
	var gone []Fingerprint
	for fingerprint, kept := range archive.kept {
		if !stays[fingerprint] && kept.revision <= revision {
			gone = append(gone, fingerprint)
		}
	}
	archive.mu.Unlock()
	for _, fingerprint := range gone {
		archive.drop(fingerprint)
	}
	for _, item := range items {
		archive.put(item)
	}
}

// Apply implements metadata.Handler.
func (archive *Archive) Apply(events []metadata.Event, _ metadata.Revision) {
	for _, event := range events {
		if !event.Deleted {
			archive.put(event.Item)
			continue
		}
		if fingerprint, err := fingerprintOfKey(event.Key); err == nil && archive.record(fingerprint).revision <= event.Revision {
			archive.drop(fingerprint)
		}
	}
}

// put takes a record of the store.
func (archive *Archive) put(item metadata.Item) {
	fingerprint, err := fingerprintOfKey(item.Key)
	record := &clusterv1.QuarantineRecord{}
	if err == nil {
		err = proto.Unmarshal(item.Value, record)
	}
	if err != nil {
		archive.Logger.Error("quarantine record not readable", "key", item.Key, "error", err)
		return
	}
	kept := Suspicion{Crashes: int(record.GetCrashes()), Reporter: record.GetReporter(), Until: time.UnixMilli(record.GetUntilUnixMs())}
	for _, replica := range record.GetReplicas() {
		kept.Ends = append(kept.Ends, End{Replica: replica})
	}
	archive.setRecord(fingerprint, keptRecord{item.Revision, kept.Crashes})
	archive.Book.Restore(fingerprint, kept, time.Now())
	archive.Logger.Info("quarantine known", "fingerprint", fingerprint, "crashes", kept.Crashes, "reporter", record.GetReporter(), "revision", int64(item.Revision))
}

// drop takes that the store has no record of a request any more: its time is over, or a replica has answered it.
func (archive *Archive) drop(fingerprint Fingerprint) {
	archive.setRecord(fingerprint, keptRecord{})
	archive.Book.Clear(fingerprint)
	archive.Logger.Info("quarantine over", "fingerprint", fingerprint)
}

// errKey says that a key names no fingerprint.
var errKey = errors.New("the key names no fingerprint")

func fingerprintOfKey(key string) (Fingerprint, error) {
	var fingerprint Fingerprint
	digits := strings.TrimPrefix(key, Prefix)
	if len(digits) != hex.EncodedLen(len(fingerprint)) {
		return fingerprint, errKey
	}
	if _, err := hex.Decode(fingerprint[:], []byte(digits)); err != nil {
		return fingerprint, errors.Mark(err, errKey)
	}
	return fingerprint, nil
}
