package metadata

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
)

// minLogLength is the smallest limit on the length of a mirror's change log. A mirror that holds more keys keeps as many changes as it has
// keys: a receiver that lacks more changes is sent all items, which then takes hardly more bytes than the changes. At some 100
// bytes each, 4,096 changes take 400 KB.
const minLogLength = 4096

// Removal is a deleted key and the revision of its deletion.
type Removal struct {
	Key      string
	Revision Revision
}

// Delta is a delta that brings a mirror of Prefix from revision Base to Revision. If IsSnapshot is set, it is a snapshot: Items holds all
// keys, and Base is ignored.
type Delta struct {
	Prefix     string
	IsSnapshot bool
	Base       Revision
	Revision   Revision
	Items      []Item
	Removals   []Removal
}

// Mirror holds a copy of the keys under a prefix as of a revision, and passes changes on to a handler. It receives changes as the Handler
// of a Follower, and as deltas from the mirrors of other nodes. These may arrive concurrently and in any order: changes that the
// mirror already has are ignored, so its revision never decreases. It is safe for concurrent use.
type Mirror struct {
	prefix  string
	handler Handler

	mu sync.Mutex
	// loaded is true once the keys have been read. All changes up to revision have been applied. The revision also grows while no key
	// changes, differently at each mirror. In contrast, changedAt is the revision of the newest change, or of the first read.
	loaded    bool
	revision  Revision
	changedAt Revision
	items     map[string]Item
	// log holds all changes after the revision logStart, in the order of their revisions. tombstones holds the keys that were deleted
	// after logStart, with the revision of the deletion.
	log        []change
	logStart   Revision
	tombstones map[string]Revision
	// changed is closed at the next change; advanced is closed when the revision grows or a key changes.
	changed, advanced chan struct{}
}

// change is a key that changed at a revision.
type change struct {
	revision Revision
	key      string
}

// NewMirror returns a mirror without keys at revision zero. The handler is called with the mirror's lock held, so it must not call the
// mirror, and its calls are serialized.
func NewMirror(prefix string, handler Handler) *Mirror {
	return &Mirror{prefix: prefix, handler: handler, items: make(map[string]Item), tombstones: make(map[string]Revision), changed: make(chan struct{}), advanced: make(chan struct{})}
}

// Prefix returns the prefix of the mirrored keys.
func (mirror *Mirror) Prefix() string { return mirror.prefix }

// Count returns the number of keys.
func (mirror *Mirror) Count() int {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return len(mirror.items)
}

// Revision returns the revision up to which all changes have been applied. It is zero before the first read, and while nothing has ever
// been written to the store.
func (mirror *Mirror) Revision() Revision {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.revision
}

// ChangedAt returns a revision that another mirror must have reached to be sure to hold the same keys as this mirror. It is the revision of
// the newest change, or of the first read if that is higher, since this mirror does not know which keys were deleted before that read.
func (mirror *Mirror) ChangedAt() Revision {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.changedAt
}

// Changed returns a channel that is closed at the next change.
func (mirror *Mirror) Changed() <-chan struct{} {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.changed
}

// Advanced returns a channel that is closed when the revision grows, whether or not a key has changed.
func (mirror *Mirror) Advanced() <-chan struct{} {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.advanced
}

// Reset implements Handler. It ignores keys outside the prefix, and a listing that is not newer than the mirror.
func (mirror *Mirror) Reset(items []Item, revision Revision) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.replace(items, revision)
}

// replace must be called with mu held.
func (mirror *Mirror) replace(items []Item, revision Revision) {
	if mirror.loaded && revision <= mirror.revision {
		return
	}
	previous := mirror.items
	mirror.items = make(map[string]Item, len(items))
	var changes []change
	for _, item := range items {
		if !strings.HasPrefix(item.Key, mirror.prefix) {
			continue
		}
		mirror.items[item.Key] = item
		delete(mirror.tombstones, item.Key)
		if item.Revision != previous[item.Key].Revision {
			changes = append(changes, change{item.Revision, item.Key})
		}
	}
	for key := range previous {
		if _, kept := mirror.items[key]; !kept {
			mirror.tombstones[key] = revision
			changes = append(changes, change{revision, key})
		}
	}
	first := !mirror.loaded
	mirror.advanceTo(revision)
	switch {
	case first:
		mirror.loaded, mirror.logStart, mirror.changedAt = true, revision, revision
	case len(changes) == 0:
		return
	}
	if !first {
		mirror.appendLog(changes)
	}
	mirror.notifyChanged()
	mirror.handler.Reset(slices.Collect(maps.Values(mirror.items)), revision)
}

// Apply implements Handler. It ignores events that have already been applied, and events of keys outside the prefix. The mirror's revision
// advances even if no events remain. A mirror that has not read the keys yet ignores the call.
func (mirror *Mirror) Apply(events []Event, revision Revision) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.apply(events, revision)
}

// apply must be called with mu held.
func (mirror *Mirror) apply(events []Event, revision Revision) {
	if !mirror.loaded {
		return
	}
	var applied []Event
	var changes []change
	for _, event := range events {
		if strings.HasPrefix(event.Key, mirror.prefix) && event.Revision > mirror.appliedRevision(event.Key) {
			mirror.put(event)
			changes = append(changes, change{event.Revision, event.Key})
			applied = append(applied, event)
		}
	}
	mirror.advanceTo(max(revision, mirror.revision))
	if len(applied) == 0 {
		return
	}
	mirror.appendLog(changes)
	mirror.notifyChanged()
	mirror.handler.Apply(applied, mirror.revision)
}

// appliedRevision returns the revision up to which the changes of a key have been applied. It must be called with mu held.
func (mirror *Mirror) appliedRevision(key string) Revision {
	return max(mirror.revision, mirror.items[key].Revision, mirror.tombstones[key])
}

// put must be called with mu held.
func (mirror *Mirror) put(event Event) {
	if event.Deleted {
		delete(mirror.items, event.Key)
		mirror.tombstones[event.Key] = event.Revision
		return
	}
	mirror.items[event.Key] = event.Item
	delete(mirror.tombstones, event.Key)
}

// appendLog appends changes to the log and trims the log if it exceeds its limit. It must be called with mu held.
func (mirror *Mirror) appendLog(changes []change) {
	byRevision := func(a, b change) int { return cmp.Compare(a.revision, b.revision) }
	mirror.log = append(mirror.log, changes...)
	if !slices.IsSortedFunc(mirror.log[max(0, len(mirror.log)-len(changes)-1):], byRevision) {
		slices.SortStableFunc(mirror.log, byRevision) // the pages of a listing may hold items newer than its revision
	}
	mirror.changedAt = max(mirror.changedAt, mirror.log[len(mirror.log)-1].revision)
	if limit := max(minLogLength, len(mirror.items)); len(mirror.log) > limit {
		mirror.trimLog(len(mirror.log) - limit/2)
	}
}

// trimLog drops at least count of the oldest changes. It must be called with mu held.
func (mirror *Mirror) trimLog(count int) {
	mirror.logStart = mirror.log[count-1].revision
	kept := mirror.changesAfter(mirror.logStart) // changes of one revision are dropped together
	for _, dropped := range mirror.log[:len(mirror.log)-len(kept)] {
		if mirror.tombstones[dropped.key] <= mirror.logStart {
			delete(mirror.tombstones, dropped.key)
		}
	}
	mirror.log = slices.Clone(kept)
}

// changesAfter returns the logged changes after a revision. It must be called with mu held.
func (mirror *Mirror) changesAfter(revision Revision) []change {
	index, _ := slices.BinarySearchFunc(mirror.log, revision+1, func(change change, revision Revision) int { return cmp.Compare(change.revision, revision) })
	return mirror.log[index:]
}

// advanceTo sets the revision up to which all changes have been applied. It must be called with mu held.
func (mirror *Mirror) advanceTo(revision Revision) {
	if revision > mirror.revision {
		mirror.notifyAdvanced()
	}
	mirror.revision = revision
}

// notifyAdvanced must be called with mu held.
func (mirror *Mirror) notifyAdvanced() {
	close(mirror.advanced)
	mirror.advanced = make(chan struct{})
}

// notifyChanged must be called with mu held.
func (mirror *Mirror) notifyChanged() {
	close(mirror.changed)
	mirror.changed = make(chan struct{})
	mirror.notifyAdvanced()
}

// Delta returns the delta that brings a mirror at revision base up to date. It holds all items if base is zero or older than the
// change log. Otherwise its size and cost depend on the number of changes since base, not on the number of keys.
func (mirror *Mirror) Delta(base Revision) Delta {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	delta := Delta{Prefix: mirror.prefix, Base: base, Revision: mirror.revision, IsSnapshot: base == 0 || base < mirror.logStart}
	if delta.IsSnapshot {
		delta.Items = slices.Collect(maps.Values(mirror.items))
		return delta
	}
	included := make(map[string]bool)
	for _, change := range mirror.changesAfter(base) {
		if included[change.key] {
			continue
		}
		included[change.key] = true
		if item, found := mirror.items[change.key]; found {
			delta.Items = append(delta.Items, item)
			continue
		}
		delta.Removals = append(delta.Removals, Removal{change.key, mirror.tombstones[change.key]})
	}
	return delta
}

// ApplyDelta applies a delta and returns the mirror's revision afterwards. It ignores a delta that is not newer than the mirror, and
// one whose base the mirror has not reached.
func (mirror *Mirror) ApplyDelta(delta *Delta) Revision {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	switch {
	case mirror.loaded && delta.Revision <= mirror.revision:
		return mirror.revision
	case delta.IsSnapshot:
		mirror.replace(delta.Items, delta.Revision)
		return mirror.revision
	case !mirror.loaded || mirror.revision < delta.Base:
		return mirror.revision
	}
	events := make([]Event, 0, len(delta.Items)+len(delta.Removals))
	for _, item := range delta.Items {
		events = append(events, Event{Item: item})
	}
	for _, removal := range delta.Removals {
		events = append(events, Event{Item: Item{Key: removal.Key, Revision: removal.Revision}, Deleted: true})
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
	mirror.apply(events, delta.Revision)
	return mirror.revision
}
