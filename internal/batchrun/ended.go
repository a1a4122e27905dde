package batchrun

import (
	"container/list"
	"sync"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const maxEndedBytes = 12 << 20

// endedJob is an ended job, which does not change any more.
type endedJob struct {
	id      string
	total   int
	results []*batchv1.Result
	size    int
	// fromLog is true if the results were read from the log after the end, when no further results can be appended. The results
	// in the memory of the owner may lack a page whose append took effect although its answer was lost.
	fromLog bool
}

// endedCache is an LRU cache of ended jobs. It is safe for concurrent use.
type endedCache struct {
	mu    sync.Mutex
	order *list.List // of *endedJob, the most recently used first
	jobs  map[string]*list.Element
	size  int
}

func newEndedCache() *endedCache {
	return &endedCache{order: list.New(), jobs: make(map[string]*list.Element)}
}

// put adds a job. Results read from the log replace others; nothing else replaces an entry.
func (cache *endedCache) put(ended *endedJob) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if element := cache.jobs[ended.id]; element != nil {
		if !ended.fromLog || element.Value.(*endedJob).fromLog {
			return
		}
		cache.drop(element)
	}
	ended.size = resultOverhead
	for _, result := range ended.results {
		ended.size += len(result.GetText()) + resultOverhead
	}
	cache.jobs[ended.id] = cache.order.PushFront(ended)
	cache.size += ended.size
	for cache.size > maxEndedBytes && cache.order.Len() > 1 {
		cache.drop(cache.order.Back())
	}
}

// drop must be called with mu held.
func (cache *endedCache) drop(element *list.Element) {
	dropped := cache.order.Remove(element).(*endedJob)
	delete(cache.jobs, dropped.id)
	cache.size -= dropped.size
}

func (cache *endedCache) get(id string) *endedJob {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	element := cache.jobs[id]
	if element == nil {
		return nil
	}
	cache.order.MoveToFront(element)
	return element.Value.(*endedJob)
}

func (cache *endedCache) has(id string) bool { return cache.get(id) != nil }

// hasFromLog reports whether the cache holds the results of the job as read from the log after its end.
func (cache *endedCache) hasFromLog(id string) bool {
	ended := cache.get(id)
	return ended != nil && ended.fromLog
}
