package metadata

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// removalsKept bounds the removals that a Mirror remembers; whoever lacks more of them is sent all items. At some 100 bytes each they
// take 400 KB, and a fleet of 300 nodes that is rolled ten times makes 3,000.
const removalsKept = 4096

// Removal is a deleted key with the revision of its deletion.
type Removal struct {
	Key      string
	Revision Revision
}

// Difference is what brings a Mirror of Prefix from Base to Revision. With Whole, Items is all there is, and Base means nothing.
type Difference struct {
	Prefix   string
	Whole    bool
	Base     Revision
	Revision Revision
	Items    []Item
	Removals []Removal
}

// Mirror holds the keys under a prefix as of a revision, and passes their changes on to a handler. It takes them from a Follower of the
// store, being a Handler itself, and from mirrors of other nodes, in any order and both at a time: it never goes back. It is safe for
// concurrent use.
type Mirror struct {
	prefix string
	next   Handler

	mu sync.Mutex
	// known says that the keys have been read, and revision up to which every change of them is known. It grows also while nothing
	// changes, at each mirror in its own way; changedAt does not: it is the revision of the newest change.
	known     bool
	revision  Revision
	changedAt Revision
	// since is the revision from which on all removals are remembered.
	since   Revision
	items   map[string]Item
	removed map[string]Revision
	changed chan struct{}
}

// NewMirror returns a mirror that knows nothing. The handler is called with the mirror's lock held, so one call at a time; it must not
// call the mirror.
func NewMirror(prefix string, next Handler) *Mirror {
	return &Mirror{prefix: prefix, next: next, items: make(map[string]Item), removed: make(map[string]Revision), changed: make(chan struct{})}
}

// Prefix returns the prefix of the mirrored keys.
func (mirror *Mirror) Prefix() string { return mirror.prefix }

// Revision returns the revision up to which every change is known; zero while nothing is, or nothing was ever written.
func (mirror *Mirror) Revision() Revision {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.revision
}

// ChangedAt returns a revision up to which a mirror has to know every change in order to hold what this one does: that of the newest
// change, or of the first reading, before which keys may have been removed.
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

// Reset implements Handler. Keys outside the prefix are passed over.
func (mirror *Mirror) Reset(items []Item, revision Revision) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.replace(items, revision)
}

// replace must be called with mu held.
func (mirror *Mirror) replace(items []Item, revision Revision) {
	if mirror.known && revision <= mirror.revision {
		return
	}
	before := mirror.items
	mirror.items = make(map[string]Item, len(items))
	newest := Revision(0)
	for _, item := range items {
		if !strings.HasPrefix(item.Key, mirror.prefix) {
			continue
		}
		mirror.items[item.Key] = item
		delete(mirror.removed, item.Key)
		if item.Revision != before[item.Key].Revision {
			newest = max(newest, item.Revision)
		}
	}
	for key := range before {
		if _, kept := mirror.items[key]; !kept {
			mirror.removed[key] = revision
			newest = revision
		}
	}
	first := !mirror.known
	if first {
		mirror.known, mirror.since, newest = true, revision, revision
	}
	mirror.revision = revision
	if newest == 0 && !first {
		return
	}
	mirror.advance(newest)
	mirror.next.Reset(slices.Collect(maps.Values(mirror.items)), revision)
}

// Apply implements Handler. Events that are known already, and those of keys outside the prefix, are passed over; without others, every
// change up to the revision is known all the same.
func (mirror *Mirror) Apply(events []Event, revision Revision) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.apply(events, revision)
}

// apply must be called with mu held.
func (mirror *Mirror) apply(events []Event, revision Revision) {
	if !mirror.known {
		return
	}
	var fresh []Event
	newest := Revision(0)
	for _, event := range events {
		if strings.HasPrefix(event.Key, mirror.prefix) && event.Revision > mirror.seen(event.Key) {
			mirror.put(event)
			newest = max(newest, event.Revision)
			fresh = append(fresh, event)
		}
	}
	mirror.revision = max(revision, mirror.revision)
	if len(fresh) == 0 {
		return
	}
	mirror.advance(newest)
	mirror.next.Apply(fresh, mirror.revision)
}

// seen returns the revision up to which the changes of a key are known. It must be called with mu held.
func (mirror *Mirror) seen(key string) Revision {
	return max(mirror.revision, mirror.items[key].Revision, mirror.removed[key])
}

// put must be called with mu held.
func (mirror *Mirror) put(event Event) {
	if event.Deleted {
		delete(mirror.items, event.Key)
		mirror.removed[event.Key] = event.Revision
		return
	}
	mirror.items[event.Key] = event.Item
	delete(mirror.removed, event.Key)
}

// advance notes that the newest change was at a revision. It must be called with mu held.
func (mirror *Mirror) advance(newest Revision) {
	mirror.changedAt = max(mirror.changedAt, newest)
	if len(mirror.removed) > removalsKept {
		mirror.since = mirror.revision
		clear(mirror.removed)
	}
	close(mirror.changed)
	mirror.changed = make(chan struct{})
}

// Difference returns what brings a mirror that has reached a base up to date: all items if its base is too old, or if it knows nothing
// yet.
func (mirror *Mirror) Difference(base Revision) Difference {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	difference := Difference{Prefix: mirror.prefix, Base: base, Revision: mirror.revision, Whole: base == 0 || base < mirror.since}
	for _, item := range mirror.items {
		if difference.Whole || item.Revision > base {
			difference.Items = append(difference.Items, item)
		}
	}
	if difference.Whole {
		return difference
	}
	for key, revision := range mirror.removed {
		if revision > base {
			difference.Removals = append(difference.Removals, Removal{key, revision})
		}
	}
	return difference
}

// Take takes a difference if it fits what is known, and returns the revision that is known then.
func (mirror *Mirror) Take(difference *Difference) Revision {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	switch {
	case mirror.known && difference.Revision <= mirror.revision:
		return mirror.revision
	case difference.Whole:
		mirror.replace(difference.Items, difference.Revision)
		return mirror.revision
	case !mirror.known || mirror.revision < difference.Base:
		return mirror.revision
	}
	events := make([]Event, 0, len(difference.Items)+len(difference.Removals))
	for _, item := range difference.Items {
		events = append(events, Event{Item: item})
	}
	for _, removal := range difference.Removals {
		events = append(events, Event{Item: Item{Key: removal.Key, Revision: removal.Revision}, Deleted: true})
	}
	mirror.apply(events, difference.Revision)
	return mirror.revision
}
