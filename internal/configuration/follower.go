// Package configuration distributes the operators' configuration document. Committer changes the document in the key-value service, Relay
// watches the service on behalf of a zone, and Follower holds the newest revision that a node has received.
package configuration

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/partition"
)

// DocumentKey is the key of the configuration document in the key-value service.
const DocumentKey = "configuration/document"

// Follower holds the newest revisions of the configuration document, the partition table and the machine list that a node has received. Each is
// replaced only by a greater revision.
type Follower struct {
	mu       sync.Mutex // guards writes
	document atomic.Pointer[experiment.Document]
	table    atomic.Pointer[partition.Table]
	machines atomic.Pointer[machines.List]
	changed  chan struct{} // closed and replaced on each change; guarded by mu
}

// NewFollower returns a follower whose documents are empty and at revision zero.
func NewFollower() *Follower {
	follower := &Follower{changed: make(chan struct{})}
	follower.document.Store(&experiment.Document{})
	follower.table.Store(&partition.Table{})
	follower.machines.Store(&machines.List{})
	return follower
}

// Document returns the newest document received. The caller must not change it.
func (follower *Follower) Document() *experiment.Document { return follower.document.Load() }

// Table returns the newest partition table received. The caller must not change it.
func (follower *Follower) Table() *partition.Table { return follower.table.Load() }

// Machines returns the newest machine list received. The caller must not change it.
func (follower *Follower) Machines() *machines.List { return follower.machines.Load() }

// Changed returns a channel that is closed at the next change.
func (follower *Follower) Changed() <-chan struct{} {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.changed
}

// Offer stores a document with a greater revision than the current one. It returns false, and stores nothing, for any other.
func (follower *Follower) Offer(document experiment.Document) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if document.Revision <= follower.document.Load().Revision {
		return false
	}
	follower.document.Store(&document)
	follower.notifyChanged()
	return true
}

// OfferTable stores a partition table with a greater revision than the current one. It returns false, and stores nothing, for any other.
func (follower *Follower) OfferTable(table partition.Table) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if table.Revision <= follower.table.Load().Revision {
		return false
	}
	follower.table.Store(&table)
	follower.notifyChanged()
	return true
}

// OfferMachines stores a machine list with a greater revision than the current one. It returns false, and stores nothing, for any other.
func (follower *Follower) OfferMachines(list machines.List) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if list.Revision <= follower.machines.Load().Revision {
		return false
	}
	follower.machines.Store(&list)
	follower.notifyChanged()
	return true
}

// notifyChanged wakes all goroutines that wait for a change. The caller must hold mu.
func (follower *Follower) notifyChanged() {
	close(follower.changed)
	follower.changed = make(chan struct{})
}

// EncodeDocument encodes a document for the key-value service as JSON, so that people can read it there.
func EncodeDocument(document experiment.Document) ([]byte, error) { return json.Marshal(document) }

// DecodeDocument decodes a document from the key-value service.
func DecodeDocument(content []byte) (experiment.Document, error) {
	var document experiment.Document
	err := json.Unmarshal(content, &document)
	return document, errors.Wrap(err, "configuration document")
}

// EncodeMessage encodes a value for messages between nodes as CBOR.
func EncodeMessage(value any) ([]byte, error) { return cbor.Marshal(value) }

// DecodeMessage decodes a value from a message between nodes.
func DecodeMessage(content []byte, value any) error { return cbor.Unmarshal(content, value) }
