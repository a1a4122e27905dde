package batchrun

import (
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	maxKeptItems = 2048
	keptTTL      = 30 * time.Second
	maxKeptJobs  = 256
)

// keptText is the text generated so far for an item, possibly empty. It is kept for a later job that submits the item again and
// for the node that takes over the job.
type keptText struct {
	job       string
	tenant    string
	text      []byte
	lastEvent int64
	versions  []int64
	complete  bool
	at        time.Time
}

// keptItems is a bounded store of texts by item. It is safe for concurrent use.
type keptItems struct {
	mu    sync.Mutex
	items map[keptKey]*keptText
	// byJob holds the keys of the texts of a job: those that other nodes stored here, and those that this node kept at its end.
	byJob map[string]map[keptKey]bool
}

// keptKey identifies an item. Item identifiers are unique only within a tenant.
type keptKey struct{ tenant, item string }

func newKeptItems() *keptItems {
	return &keptItems{items: make(map[keptKey]*keptText), byJob: make(map[string]map[keptKey]bool)}
}

// putForJob stores texts that the owner of a job backs up at this node.
func (kept *keptItems) putForJob(job, tenant string, partials []*batchv1.Partial) {
	now := time.Now()
	keys := make([]keptKey, 0, len(partials))
	for _, partial := range partials {
		kept.put(partial.GetItemId(), newKeptText(job, tenant, partial, now))
		keys = append(keys, keptKey{tenant, partial.GetItemId()})
	}
	kept.index(job, keys)
}

// index lists texts as those of a job.
func (kept *keptItems) index(job string, keys []keptKey) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if len(kept.byJob) >= maxKeptJobs {
		clear(kept.byJob)
	}
	if kept.byJob[job] == nil {
		kept.byJob[job] = make(map[keptKey]bool, len(keys))
	}
	for _, key := range keys {
		kept.byJob[job][key] = true
	}
}

// forJob returns the texts of a job that its owner backed up at this node, or that this node kept at its end.
func (kept *keptItems) forJob(job string) []*batchv1.Partial {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	var list []*batchv1.Partial
	for key := range kept.byJob[job] {
		if text := kept.items[key]; text != nil {
			list = append(list, text.partial(key.item))
		}
	}
	return list
}

func newKeptText(job, tenant string, partial *batchv1.Partial, now time.Time) *keptText {
	return &keptText{
		job: job, tenant: tenant, text: partial.GetText(), lastEvent: partial.GetLastEvent(), versions: partial.GetVersions(), complete: partial.GetWhole(), at: now,
	}
}

func (text *keptText) partial(id string) *batchv1.Partial {
	return &batchv1.Partial{ItemId: id, Text: text.text, LastEvent: text.lastEvent, Versions: text.versions, Whole: text.complete}
}

func (kept *keptItems) put(id string, text *keptText) {
	kept.mu.Lock()
	defer kept.mu.Unlock()
	key := keptKey{text.tenant, id}
	present := kept.items[key]
	if present == nil && len(kept.items) >= maxKeptItems {
		kept.expire(text.at)
	}
	if (present != nil && text.supersedes(present)) || (present == nil && len(kept.items) < maxKeptItems) {
		kept.items[key] = text
	}
}

// supersedes reports whether text replaces other as the text of the same item: it was made by newer weights or is longer.
func (text *keptText) supersedes(other *keptText) bool {
	if newest, before := newestVersion(text.versions), newestVersion(other.versions); newest != before {
		return newest > before
	}
	return text.complete || (!other.complete && text.lastEvent >= other.lastEvent)
}

func newestVersion(versions []int64) int64 {
	newest := int64(0)
	for _, version := range versions {
		newest = max(newest, version)
	}
	return newest
}

// expire removes texts that are older than keptTTL. It must be called with mu held.
func (kept *keptItems) expire(now time.Time) {
	for key, text := range kept.items {
		if now.Sub(text.at) > keptTTL {
			delete(kept.items, key)
		}
	}
}

// take removes and returns the text of an item, whichever job of the same tenant produced it, or nil. A text without a tenant
// comes from a node with an older build and is used only for the job that produced it.
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

// resumeFrom continues an item from a kept text if the weights that made it satisfy the job's minimum version. It reports
// whether the text is complete.
func (waiting *task) resumeFrom(kept *keptText) (complete bool) {
	waiting.resubmitted = kept.job != waiting.job.id()
	for _, version := range kept.versions {
		if version < waiting.job.definition.GetMinimumVersion() {
			return false
		}
	}
	waiting.text, waiting.lastEvent, waiting.versions = kept.text, kept.lastEvent, kept.versions
	return kept.complete
}

// keep stores the text of an item whose job ended or left this node. An empty text is stored as well: it marks the item as seen
// if a later job submits it again, here or at a node that asks for the texts of this job.
func (runner *Runner) keep(stopped *task, complete bool) {
	job, tenant, id := stopped.job.id(), stopped.job.definition.GetTenant(), stopped.item.GetId()
	runner.kept.put(id, &keptText{
		job: job, tenant: tenant, text: stopped.text, lastEvent: stopped.lastEvent, versions: stopped.versions, complete: complete, at: time.Now(),
	})
	runner.kept.index(job, []keptKey{{tenant, id}})
}
