package metadata_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// view is a handler that holds the revisions of the keys. It fails the test if a revision decreases.
type view struct {
	t         *rapid.T
	revisions map[string]metadata.Revision
	revision  metadata.Revision
}

func (view *view) Reset(items []metadata.Item, revision metadata.Revision) {
	view.advance(revision)
	view.revisions = make(map[string]metadata.Revision)
	for _, item := range items {
		view.revisions[item.Key] = item.Revision
	}
}

func (view *view) Apply(events []metadata.Event, revision metadata.Revision) {
	view.advance(revision)
	for _, event := range events {
		if event.Deleted {
			delete(view.revisions, event.Key)
			continue
		}
		if event.Revision < view.revisions[event.Key] {
			view.t.Fatalf("revision of key %s decreased from %d to %d", event.Key, view.revisions[event.Key], event.Revision)
		}
		view.revisions[event.Key] = event.Revision
	}
}

func (view *view) advance(revision metadata.Revision) {
	if revision < view.revision {
		view.t.Fatalf("revision decreased from %d to %d", view.revision, revision)
	}
	view.revision = revision
}

// history models a store: all its events, one per revision, and the current items.
type history struct {
	events  []metadata.Event
	current map[string]metadata.Item
}

func (history *history) revision() metadata.Revision { return metadata.Revision(len(history.events)) }

func (history *history) change(t *rapid.T) {
	key := fmt.Sprint("nodes/", rapid.IntRange(0, 4).Draw(t, "key"))
	event := metadata.Event{Item: metadata.Item{Key: key, Revision: history.revision() + 1}}
	if _, found := history.current[key]; found && rapid.IntRange(0, 2).Draw(t, "removed") == 0 {
		event.Deleted = true
		delete(history.current, key)
	} else {
		history.current[key] = event.Item
	}
	history.events = append(history.events, event)
}

func (history *history) list() []metadata.Item {
	var items []metadata.Item
	for _, item := range history.current {
		items = append(items, item)
	}
	return items
}

// testMirror is a mirror with its view and the revision that its own watch of the store has reached.
type testMirror struct {
	*metadata.Mirror
	view    *view
	watched metadata.Revision
}

func newTestMirror(t *rapid.T) *testMirror {
	view := &view{t: t, revisions: make(map[string]metadata.Revision)}
	return &testMirror{Mirror: metadata.NewMirror("nodes/", view), view: view}
}

// Mirrors must never go back to an older revision, whatever listings, events and late, repeated or stale deltas they receive.
// A delta from an up-to-date mirror must bring each of them to the state of the store.
func TestMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &history{current: make(map[string]metadata.Item)}
		mirrors := []*testMirror{newTestMirror(t), newTestMirror(t), newTestMirror(t)}
		source := newTestMirror(t) // it receives every change
		source.Reset(nil, 0)
		var late []metadata.Delta
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			mirror := mirrors[rapid.IntRange(0, 2).Draw(t, "mirror")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.change(t)
			case 2: // the mirror lists all keys
				if store.revision() > 0 {
					mirror.Reset(store.list(), store.revision())
					mirror.watched = store.revision()
				}
			case 3: // the mirror's watch returns
				if mirror.watched > 0 {
					to := metadata.Revision(rapid.Int64Range(int64(mirror.watched), int64(store.revision())).Draw(t, "to"))
					mirror.Apply(store.events[mirror.watched:to], to)
					mirror.watched = to
				}
			case 4: // a process restarts
				mirrors[0] = newTestMirror(t)
			case 5: // another mirror creates a delta, from a base that may not be the receiver's revision
				from := mirrors[rapid.IntRange(0, 2).Draw(t, "from")]
				base := metadata.Revision(rapid.Int64Range(0, int64(store.revision())).Draw(t, "base"))
				if rapid.Bool().Draw(t, "asked") {
					base = mirror.Revision()
				}
				if from.Revision() > 0 {
					late = append(late, from.Delta(base))
				}
			case 6: // the mirror receives one of the deltas
				if len(late) > 0 {
					delta := late[rapid.IntRange(0, len(late)-1).Draw(t, "delta")]
					known := mirror.ApplyDelta(&delta)
					must.Eq(t, known, mirror.Revision())
				}
			}
		}
		store.change(t)
		source.Apply(store.events, store.revision())
		for _, mirror := range append(mirrors, source) {
			delta := source.Delta(mirror.Revision())
			must.Eq(t, store.revision(), mirror.ApplyDelta(&delta))
			must.MapLen(t, len(store.current), mirror.view.revisions)
			for key, item := range store.current {
				must.Eq(t, item.Revision, mirror.view.revisions[key])
			}
		}
	})
}

// A delta must hold only the changed keys, also after the source has listed all keys again, and must hold all keys if its base is older
// than the change log.
func TestDifferencesAreSmall(t *testing.T) {
	mirror := metadata.NewMirror("nodes/", discardHandler{})
	var items []metadata.Item
	for index := range 3000 {
		items = append(items, metadata.Item{Key: fmt.Sprint("nodes/", index), Revision: 5})
	}
	mirror.Reset(items, 6)
	items[7].Revision = 8
	mirror.Reset(items[1:], 9)
	delta := mirror.Delta(6)
	must.False(t, delta.IsSnapshot)
	must.Eq(t, []metadata.Item{items[7]}, delta.Items)
	must.Eq(t, []metadata.Removal{{Key: "nodes/0", Revision: 9}}, delta.Removals)
	whole := mirror.Delta(5)
	must.True(t, whole.IsSnapshot)
	must.Len(t, 2999, whole.Items)
	must.SliceEmpty(t, mirror.Delta(9).Items)
}

// A mirror must ignore keys outside its prefix.
func TestMirrorOfOnePrefix(t *testing.T) {
	mirror := metadata.NewMirror("a/", discardHandler{})
	mirror.Reset([]metadata.Item{{Key: "a/1", Revision: 1}, {Key: "b/1", Revision: 2}}, 3)
	mirror.Apply([]metadata.Event{{Item: metadata.Item{Key: "b/2", Revision: 4}}}, 4)
	must.Eq(t, 4, mirror.Revision(), must.Sprint("no key under the prefix has changed up to this revision"))
	must.Eq(t, 3, mirror.ChangedAt())
	must.Len(t, 1, mirror.Delta(0).Items)
}

// Listing unchanged keys again must advance the revision of a mirror but not ChangedAt.
func TestReadingAgainIsNoChange(t *testing.T) {
	mirror := metadata.NewMirror("a/", discardHandler{})
	items := []metadata.Item{{Key: "a/1", Revision: 1}, {Key: "a/2", Revision: 2}}
	mirror.Reset(items, 3)
	changed := mirror.Changed()
	mirror.Reset(items, 9)
	mirror.Apply(nil, 11)
	must.Eq(t, 11, mirror.Revision())
	must.Eq(t, 3, mirror.ChangedAt())
	select {
	case <-changed:
		t.Fatal("changed was closed although no key has changed")
	default:
	}
	mirror.Reset(items[:1], 14)
	must.Eq(t, 14, mirror.ChangedAt(), must.Sprint("a removal"))
	items[0].Revision = 15
	mirror.Reset(items[:1], 20)
	must.Eq(t, 15, mirror.ChangedAt(), must.Sprint("the newest change, not the listing"))
}

// Advanced must be closed exactly when the revision grows, also if no key has changed.
func TestMirrorAdvances(t *testing.T) {
	mirror := metadata.NewMirror("a/", discardHandler{})
	items := []metadata.Item{{Key: "a/1", Revision: 1}}
	for _, step := range []struct {
		name     string
		run      func()
		advanced bool
	}{
		{"first listing", func() { mirror.Reset(items, 3) }, true},
		{"the same listing", func() { mirror.Reset(items, 3) }, false},
		{"a later listing", func() { mirror.Reset(items, 5) }, true},
		{"a watch without events", func() { mirror.Apply(nil, 7) }, true},
		{"the same watch", func() { mirror.Apply(nil, 7) }, false},
		{"an event", func() { mirror.Apply([]metadata.Event{{Item: metadata.Item{Key: "a/2", Revision: 8}}}, 8) }, true},
		{"a delta without items", func() { mirror.ApplyDelta(&metadata.Delta{Prefix: "a/", Base: 8, Revision: 9}) }, true},
	} {
		advanced := mirror.Advanced()
		step.run()
		select {
		case <-advanced:
			must.True(t, step.advanced, must.Sprint(step.name))
		default:
			must.False(t, step.advanced, must.Sprint(step.name))
		}
	}
}

// A mirror of an empty store at revision zero must accept the first change.
func TestMirrorOfEmptyStore(t *testing.T) {
	mirror := metadata.NewMirror("a/", discardHandler{})
	mirror.Apply([]metadata.Event{{Item: metadata.Item{Key: "a/1", Revision: 1}}}, 1)
	must.Eq(t, 0, mirror.Revision(), must.Sprint("the keys have not been listed yet"))
	mirror.Reset(nil, 0)
	mirror.Apply([]metadata.Event{{Item: metadata.Item{Key: "a/1", Revision: 1}}}, 1)
	must.Eq(t, 1, mirror.Revision())
}

// A delta from any base must bring a mirror to the source's state, also after the oldest changes have been trimmed from the log.
func TestDifferencesOfLongHistories(t *testing.T) {
	const changes, keys = 12_000, 40
	discard := func() *metadata.Mirror { return metadata.NewMirror("nodes/", metadata.Handlers{}) }
	source := discard()
	source.Reset(nil, 1)
	held := make(map[metadata.Revision]map[string]metadata.Revision) // the keys at some revisions
	current := make(map[string]metadata.Revision)
	for revision := metadata.Revision(2); revision < changes; revision++ {
		key := fmt.Sprint("nodes/", int(revision)*7919%keys)
		event := metadata.Event{Item: metadata.Item{Key: key, Revision: revision}, Deleted: revision%5 == 0}
		current[key] = revision
		if event.Deleted {
			delete(current, key)
		}
		source.Apply([]metadata.Event{event}, revision)
		if revision%499 == 0 {
			held[revision] = maps.Clone(current)
		}
	}
	whole := 0
	for base, items := range held {
		receiver := discard()
		var list []metadata.Item
		for key, revision := range items {
			list = append(list, metadata.Item{Key: key, Revision: revision})
		}
		receiver.Reset(list, base)
		delta := source.Delta(base)
		if delta.IsSnapshot {
			whole++
		}
		receiver.ApplyDelta(&delta)
		got := make(map[string]metadata.Revision)
		for _, item := range receiver.Delta(0).Items {
			got[item.Key] = item.Revision
		}
		must.Eq(t, current, got, must.Sprint("from revision ", base))
	}
	must.Between(t, 1, whole, len(held)-1)
}

// The cost of a delta of one change must not depend on the number of keys.
func BenchmarkDifferenceOfOneChange(b *testing.B) {
	for _, count := range []int{100, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			mirror := metadata.NewMirror("nodes/", metadata.Handlers{})
			var items []metadata.Item
			for index := range count {
				items = append(items, metadata.Item{Key: fmt.Sprint("nodes/", index), Revision: 1})
			}
			mirror.Reset(items, 1)
			revision := metadata.Revision(1)
			for b.Loop() {
				revision++
				mirror.Apply([]metadata.Event{{Item: metadata.Item{Key: fmt.Sprint("nodes/", int(revision)%count), Revision: revision}}}, revision)
				mirror.Delta(revision - 1)
			}
		})
	}
}

// Guards against a node that keeps a key for good: the key was created and deleted while the mirror that sends the delta had lost the store's history.
func TestDeltaFromInsideAGap(t *testing.T) {
	item := func(key string, revision metadata.Revision) metadata.Item {
		return metadata.Item{Key: key, Revision: revision}
	}
	sender, receiver := metadata.NewMirror("nodes/", discardHandler{}), metadata.NewMirror("nodes/", discardHandler{})
	sender.Reset([]metadata.Item{item("nodes/a", 1)}, 10)
	receiver.Reset([]metadata.Item{item("nodes/a", 1), item("nodes/b", 12)}, 15)
	sender.Reset([]metadata.Item{item("nodes/a", 1), item("nodes/c", 18)}, 20) // b was deleted at 17
	delta := sender.Delta(receiver.Revision())
	receiver.ApplyDelta(&delta)
	must.Eq(t, sender.Count(), receiver.Count())
}
