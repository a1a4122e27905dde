// Package configuration carries the operators' document: Follower holds the newest revision that a node knows and never
// goes back; Committer changes it in the key-value service; Relay watches the service for a zone.
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

// DocumentKey is the document's key in the key-value service.
const DocumentKey = "configuration/document"

// Follower holds what a node knows of the configuration, the partitions and the machine list. It takes only greater revisions.
type Follower struct {
	mu       sync.Mutex // guards writes
	document atomic.Pointer[experiment.Document]
	table    atomic.Pointer[partition.Table]
	machines atomic.Pointer[machines.List]
	changed  chan struct{} // closed and replaced on each change; guarded by mu
}

// NewFollower returns a follower that knows nothing: revision zero.
func NewFollower() *Follower {
	follower := &Follower{changed: make(chan struct{})}
	follower.document.Store(&experiment.Document{})
	follower.table.Store(&partition.Table{})
	follower.machines.Store(&machines.List{})
	return follower
}

// Document returns the newest document known. The caller must not change it.
func (follower *Follower) Document() *experiment.Document { return follower.document.Load() }

// Table returns the newest partition table known. The caller must not change it.
func (follower *Follower) Table() *partition.Table { return follower.table.Load() }

// Machines returns the newest machine list known. The caller must not change it.
func (follower *Follower) Machines() *machines.List { return follower.machines.Load() }

// Changed returns a channel that is closed at the next change.
func (follower *Follower) Changed() <-chan struct{} {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.changed
}

// Offer takes a document of a greater revision; it returns false for any other.
func (follower *Follower) Offer(document experiment.Document) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if document.Revision <= follower.document.Load().Revision {
		return false
	}
	follower.document.Store(&document)
	follower.announce()
	return true
}

// OfferTable takes a table of a greater revision; it returns false for any other.
func (follower *Follower) OfferTable(table partition.Table) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if table.Revision <= follower.table.Load().Revision {
		return false
	}
	follower.table.Store(&table)
	follower.announce()
	return true
}

// OfferMachines takes a machine list of a greater revision; it returns false for any other.
func (follower *Follower) OfferMachines(list machines.List) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if list.Revision <= follower.machines.Load().Revision {
		return false
	}
	follower.machines.Store(&list)
	follower.announce()
	return true
}

// announce wakes those who wait for a change; must hold mu.
func (follower *Follower) announce() {
	close(follower.changed)
	follower.changed = make(chan struct{})
}

// EncodeDocument returns the document's form in the key-value service, which people can read.
func EncodeDocument(document experiment.Document) ([]byte, error) { return json.Marshal(document) }

// DecodeDocument reads the form in the key-value service.
func DecodeDocument(content []byte) (experiment.Document, error) {
	var document experiment.Document
	err := json.Unmarshal(content, &document)
	return document, errors.Wrap(err, "configuration document")
}

// EncodeBetweenNodes returns the compact form that nodes exchange.
func EncodeBetweenNodes(value any) ([]byte, error) { return cbor.Marshal(value) }

// DecodeBetweenNodes reads the compact form.
func DecodeBetweenNodes(content []byte, value any) error { return cbor.Unmarshal(content, value) }
