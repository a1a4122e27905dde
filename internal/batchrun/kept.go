package batchrun

import (
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	keptMost = 2048
	keptLife = 30 * time.Second
	keptJobs = 256
)

// keptText is what a job had made of an item, possibly nothing, in case a later job brings the item back or another node takes
// the job up.
type keptText struct {
	job       string
	tenant    string
	text      []byte
	lastEvent int64
	versions  []int64
	whole     bool
	at        time.Time
}

// keptItems holds texts by item. It is safe for concurrent use.
type keptItems struct {
	mu    sync.Mutex
	items map[keptKey]*keptText
	// ofJob are the items that other nodes had kept here, by job.
	ofJob map[string]map[keptKey]bool
}

// keptKey names an item: another tenant may use the same identifier.
type keptKey struct{ tenant, item string }

func newKeptItems() *keptItems {
	return &keptItems{items: make(map[keptKey]*keptText), ofJob: make(map[string]map[keptKey]bool)}
}

// keepFor keeps texts of a job of a tenant for its owner.
func (kept *keptItems) keepFor(job, tenant string, partials []*batchv1.Partial) {
	now := time.Now()
	for _, partial := range partials {
		kept.put(partial.GetItemId(), textOf(job, tenant, partial, now))
	}
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if len(kept.ofJob) >= keptJobs {
		clear(kept.ofJob)
	}
	if kept.ofJob[job] == nil {
		kept.ofJob[job] = make(map[keptKey]bool, len(partials))
	}
	for _, partial := range partials {
		kept.ofJob[job][keptKey{tenant, partial.GetItemId()}] = true
	}
}

// partialsOf returns what is kept for a job.
func (kept *keptItems) partialsOf(job string) []*batchv1.Partial {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	var list []*batchv1.Partial
	for key := range kept.ofJob[job] {
		if text := kept.items[key]; text != nil {
			list = append(list, text.partial(key.item))
		}
	}
	return list
}

func textOf(job, tenant string, partial *batchv1.Partial, now time.Time) *keptText {
	return &keptText{
		job: job, tenant: tenant, text: partial.GetText(), lastEvent: partial.GetLastEvent(), versions: partial.GetVersions(), whole: partial.GetWhole(), at: now,
	}
}

func (text *keptText) partial(id string) *batchv1.Partial {
	return &batchv1.Partial{ItemId: id, Text: text.text, LastEvent: text.lastEvent, Versions: text.versions, Whole: text.whole}
}

func (kept *keptItems) put(id string, text *keptText) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	key := keptKey{text.tenant, id}
	present := kept.items[key]
	if present == nil && len(kept.items) >= keptMost {
		kept.expire(text.at)
	}
	if (present != nil && text.supersedes(present)) || (present == nil && len(kept.items) < keptMost) {
		kept.items[key] = text
	}
}

// supersedes reports whether a text takes the place of another of the same item: one made under newer weights, or a longer one.
func (text *keptText) supersedes(other *keptText) bool {
	if newest, before := newestOf(text.versions), newestOf(other.versions); newest != before {
		return newest > before
	}
	return text.whole || (!other.whole && text.lastEvent >= other.lastEvent)
}

func newestOf(versions []int64) int64 {
	newest := int64(0)
	for _, version := range versions {
		newest = max(newest, version)
	}
	return newest
}

// expire must be called with mu held.
func (kept *keptItems) expire(now time.Time) {
	for key, text := range kept.items {
		if now.Sub(text.at) > keptLife {
			delete(kept.items, key)
		}
	}
}

// take returns and forgets the text of an item of a job, whichever job of its tenant made it; nil without one. What a node of a build that tells no
// tenant had kept here counts for its own job only.
func (kept *keptItems) take(owned *job, id string) *keptText {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	key := keptKey{owned.definition.GetTenant(), id}
	if text := kept.items[key]; text != nil {
		delete(kept.items, key)
		return text
	}
	key.tenant = ""
	text := kept.items[key]
	if text == nil || text.job != owned.id() {
		return nil
	}
	delete(kept.items, key)
	return text
}

// useKept begins an item with a kept text if the versions that made it fit the job, and reports whether it is whole.
func (waiting *task) useKept(kept *keptText) (whole bool) {
	waiting.returned = kept.job != waiting.job.id()
	for _, version := range kept.versions {
		if version < waiting.job.definition.GetMinimumVersion() {
			return false
		}
	}
	waiting.text, waiting.lastEvent, waiting.versions = kept.text, kept.lastEvent, kept.versions
	return kept.whole
}

// keep remembers what was made of an item whose job ended or left this node, also if it is nothing: the item may be brought back.
func (runner *Runner) keep(cut *task, whole bool) {
	runner.kept.put(cut.item.GetId(), &keptText{
		job: cut.job.id(), tenant: cut.job.definition.GetTenant(), text: cut.text, lastEvent: cut.lastEvent, versions: cut.versions, whole: whole, at: time.Now(),
	})
}
