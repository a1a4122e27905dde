package metadata

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
)

// changesKept is the least bound of the changes that a Mirror remembers; where it holds more keys, it remembers as many changes as keys.
// Whoever lacks more is sent all items, which are hardly more bytes then. At some 100 bytes each, 4,096 take 400 KB.
const changesKept = 4096

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
	items     map[string]Item
	// log are the newest changes in their order, all of those after the revision since; removed are the keys that were deleted after it.
	log     []change
	since   Revision
	removed map[string]Revision
	// changed is closed at the next change, advanced also when more is known without one.
	changed, advanced chan struct{}
}

// change is a key that changed at a revision.
type change struct {
	revision Revision
	key      string
}

// NewMirror returns a mirror that knows nothing. The handler is called with the mirror's lock held, so one call at a time; it must not
// call the mirror.
func NewMirror(prefix string, next Handler) *Mirror {
	return &Mirror{prefix: prefix, next: next, items: make(map[string]Item), removed: make(map[string]Revision), changed: make(chan struct{}), advanced: make(chan struct{})}
}

// Prefix returns the prefix of the mirrored keys.
func (mirror *Mirror) Prefix() string { return mirror.prefix }

// Count returns the number of keys.
func (mirror *Mirror) Count() int {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return len(mirror.items)
}

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

// Advanced returns a channel that is closed when a later revision is known, whether or not anything has changed up to there.
func (mirror *Mirror) Advanced() <-chan struct{} {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.advanced
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
	var changes []change
	for _, item := range items {
		if !strings.HasPrefix(item.Key, mirror.prefix) {
			continue
		}
		mirror.items[item.Key] = item
		delete(mirror.removed, item.Key)
		if item.Revision != before[item.Key].Revision {
			changes = append(changes, change{item.Revision, item.Key})
		}
	}
	for key := range before {
		if _, kept := mirror.items[key]; !kept {
			mirror.removed[key] = revision
			changes = append(changes, change{revision, key})
		}
	}
	first := !mirror.known
	mirror.reach(revision)
	switch {
	case first:
		mirror.known, mirror.since, mirror.changedAt = true, revision, revision
	case len(changes) == 0:
		return
	}
	if !first {
		mirror.note(changes)
	}
	mirror.announce()
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
	var changes []change
	for _, event := range events {
		if strings.HasPrefix(event.Key, mirror.prefix) && event.Revision > mirror.seen(event.Key) {
			mirror.put(event)
			changes = append(changes, change{event.Revision, event.Key})
			fresh = append(fresh, event)
		}
	}
	mirror.reach(max(revision, mirror.revision))
	if len(fresh) == 0 {
		return
	}
	mirror.note(changes)
	mirror.announce()
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

// note remembers changes, and forgets the oldest ones beyond the bound. It must be called with mu held.
func (mirror *Mirror) note(changes []change) {
	byRevision := func(a, b change) int { return cmp.Compare(a.revision, b.revision) }
	mirror.log = append(mirror.log, changes...)
	if !slices.IsSortedFunc(mirror.log[max(0, len(mirror.log)-len(changes)-1):], byRevision) {
		slices.SortStableFunc(mirror.log, byRevision) // the pages of a listing may hold what is newer than its revision
	}
	mirror.changedAt = max(mirror.changedAt, mirror.log[len(mirror.log)-1].revision)
	if most := max(changesKept, len(mirror.items)); len(mirror.log) > most {
		mirror.forget(len(mirror.log) - most/2)
	}
}

// forget drops the oldest changes. It must be called with mu held.
func (mirror *Mirror) forget(count int) {
	mirror.since = mirror.log[count-1].revision
	kept := mirror.after(mirror.since) // those of one revision go together
	for _, dropped := range mirror.log[:len(mirror.log)-len(kept)] {
		if mirror.removed[dropped.key] <= mirror.since {
			delete(mirror.removed, dropped.key)
		}
	}
	mirror.log = slices.Clone(kept)
}

// after returns the remembered changes after a revision. It must be called with mu held.
func (mirror *Mirror) after(revision Revision) []change {
	index, _ := slices.BinarySearchFunc(mirror.log, revision+1, func(change change, revision Revision) int { return cmp.Compare(change.revision, revision) })
	return mirror.log[index:]
}

// reach notes up to which revision everything is known. It must be called with mu held.
func (mirror *Mirror) reach(revision Revision) {
	if revision > mirror.revision {
		mirror.advance()
	}
	mirror.revision = revision
}

// advance must be called with mu held.
func (mirror *Mirror) advance() {
	close(mirror.advanced)
	mirror.advanced = make(chan struct{})
}

// announce must be called with mu held.
func (mirror *Mirror) announce() {
	close(mirror.changed)
	mirror.changed = make(chan struct{})
	mirror.advance()
}

// Difference returns what brings a mirror that has reached a base up to date: all items if its base is too old, or if it knows nothing
// yet. Otherwise its cost follows the changes since the base and not the number of keys.
func (mirror *Mirror) Difference(base Revision) Difference {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	difference := Difference{Prefix: mirror.prefix, Base: base, Revision: mirror.revision, Whole: base == 0 || base < mirror.since}
	if difference.Whole {
		difference.Items = slices.Collect(maps.Values(mirror.items))
		return difference
	}
	told := make(map[string]bool)
	for _, change := range mirror.after(base) {
		if told[change.key] {
			continue
		}
		told[change.key] = true
		if item, there := mirror.items[change.key]; there {
			difference.Items = append(difference.Items, item)
			continue
		}
		difference.Removals = append(difference.Removals, Removal{change.key, mirror.removed[change.key]})
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
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
	mirror.apply(events, difference.Revision)
	return mirror.revision
}
