package batchrun

import (
	"container/list"
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const maxEndedBytes = 12 << 20

// endedJob is an ended job, which does not change any more.
type endedJob struct {
	id      string
	endedAt time.Time
	total   int
	results []*batchv1.Result
	size    int
	// fromLog is true if the results were read from the log after the end, when no further results can be appended. The results
	// in the memory of the owner may lack a page whose append took effect although its answer was lost.
	fromLog bool
}

// endedCache is an LRU cache of ended jobs. A job is dropped once the log may have removed it: its identifier may be that of another job
// then. It is safe for concurrent use.
type endedCache struct {
	// retention is how long the log keeps a job after its end; zero for ever.
	retention time.Duration

	mu    sync.Mutex
	order *list.List // of *endedJob, the most recently used first
	jobs  map[string]*list.Element
	size  int
}

func newEndedCache(retention time.Duration) *endedCache {
	return &endedCache{retention: retention, order: list.New(), jobs: make(map[string]*list.Element)}
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
	ended := element.Value.(*endedJob)
	if cache.retention > 0 && time.Since(ended.endedAt) >= cache.retention {
		cache.drop(element)
		return nil
	}
	cache.order.MoveToFront(element)
	return ended
}

func (cache *endedCache) has(id string) bool { return cache.get(id) != nil }

// hasFromLog reports whether the cache holds the results of the job as read from the log after its end.
func (cache *endedCache) hasFromLog(id string) bool {
	ended := cache.get(id)
	return ended != nil && ended.fromLog
}
