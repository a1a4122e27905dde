package batchrun

import (
	"container/list"
	"sync"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const endedBytes = 12 << 20

// endedJob is a job that never changes any more.
type endedJob struct {
	id      string
	total   int
	results []*batchv1.Result
	size    int
}

// endedCache keeps ended jobs, the least recently used of which give way. It is safe for concurrent use.
type endedCache struct {
	mu    sync.Mutex
	order *list.List // of *endedJob, the most recently used first
	jobs  map[string]*list.Element
	size  int
}

func newEndedCache() *endedCache {
	return &endedCache{order: list.New(), jobs: make(map[string]*list.Element)}
}

func (cache *endedCache) put(ended *endedJob) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if _, known := cache.jobs[ended.id]; known {
		return
	}
	ended.size = resultOverhead
	for _, result := range ended.results {
		ended.size += len(result.GetText()) + resultOverhead
	}
	cache.jobs[ended.id] = cache.order.PushFront(ended)
	cache.size += ended.size
	for cache.size > endedBytes && cache.order.Len() > 1 {
		last := cache.order.Remove(cache.order.Back()).(*endedJob)
		delete(cache.jobs, last.id)
		cache.size -= last.size
	}
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
