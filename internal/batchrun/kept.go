package batchrun

import (
	"sync"
	"time"
)

const (
	keptMost = 2048
	keptLife = 30 * time.Second
)

// keptText is what an ended job had made of an item, in case a later job brings the item back.
type keptText struct {
	text      []byte
	lastEvent int64
	versions  []int64
	whole     bool
	at        time.Time
}

// keptItems holds texts by item. It is safe for concurrent use.
type keptItems struct {
	mu    sync.Mutex
	items map[string]*keptText
}

func newKeptItems() *keptItems { return &keptItems{items: make(map[string]*keptText)} }

func (kept *keptItems) put(id string, text *keptText) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if len(kept.items) >= keptMost {
		kept.expire(text.at)
	}
	if len(kept.items) < keptMost {
		kept.items[id] = text
	}
}

// expire must be called with mu held.
func (kept *keptItems) expire(now time.Time) {
	for id, text := range kept.items {
		if now.Sub(text.at) > keptLife {
			delete(kept.items, id)
		}
	}
}

// take returns and forgets the text of an item; nil without one.
func (kept *keptItems) take(id string) *keptText {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	text := kept.items[id]
	delete(kept.items, id)
	return text
}

// useKept begins an item with a kept text if the versions that made it fit the job, and reports whether it is whole.
func (waiting *task) useKept(kept *keptText) (whole bool) {
	waiting.returned = true
	for _, version := range kept.versions {
		if version < waiting.job.definition.GetMinimumVersion() {
			return false
		}
	}
	waiting.text, waiting.lastEvent, waiting.versions = kept.text, kept.lastEvent, kept.versions
	return kept.whole
}

// keep remembers what was made of an item whose job ended or left this node.
func (runner *Runner) keep(cut *task, whole bool) {
	if len(cut.text) == 0 {
		return
	}
	runner.kept.put(cut.item.GetId(), &keptText{
		text: cut.text, lastEvent: cut.lastEvent, versions: cut.versions, whole: whole, at: time.Now(),
	})
}
