package batchrun

import (
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// maxCachedBytes bounds the results that a node caches of jobs owned by other nodes.
	maxCachedBytes = 6 << 20
	// initialAllowance is the number of bytes of text that a first read may fetch from another zone. The allowance grows by the
	// factor allowanceGrowth, up to a full page, while a reader continues where it stopped: traffic between zones is expensive,
	// and most readers read a job once.
	initialAllowance = 64 << 10
	allowanceGrowth  = 2
)

// resultCache holds results of jobs that other nodes own. Those of a job are dropped once the log may have removed it: its identifier may
// be that of another job then. It is safe for concurrent use.
type resultCache struct {
	// retention is how long the log keeps a job after its end; zero for ever.
	retention time.Duration

	mu   sync.Mutex
	jobs map[string]*cachedJob
	size int
	uses int64 // number of uses so far, which orders the jobs by their last use
}

// cachedJob holds the results of one job, as far as this node has read them from the owner.
type cachedJob struct {
	total     int
	results   map[int]*batchv1.Result // by position
	size      int
	lastUse   int64
	nextFrom  int // position after the last result returned to a reader
	allowance int64
	// ownedAt is when the owner last answered, so that the job had not ended.
	ownedAt time.Time
}

func newResultCache(retention time.Duration) *resultCache {
	return &resultCache{retention: retention, jobs: make(map[string]*cachedJob)}
}

// find returns the entry of a job, or nil. It must be called with mu held.
func (cache *resultCache) find(id string) *cachedJob {
	cached := cache.jobs[id]
	if cached != nil && cache.retention > 0 && time.Since(cached.ownedAt) >= cache.retention {
		cache.drop(id)
		return nil
	}
	return cached
}

// drop must be called with mu held.
func (cache *resultCache) drop(id string) {
	cache.size -= cache.jobs[id].size
	delete(cache.jobs, id)
}

// page returns the cached results from a position up to the first gap, at most a full page.
func (cache *resultCache) page(id string, from int) Page {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cached := cache.find(id)
	if cached == nil {
		return Page{}
	}
	cache.touch(cached)
	page, size := Page{Total: cached.total}, 0
	for position := from; cached.results[position] != nil; position++ {
		result := cached.results[position]
		if size += sizeOf(result); len(page.Results) > 0 && size > pageLimit {
			break
		}
		page.Results = append(page.Results, result)
	}
	return page
}

// touch marks a job as most recently used. It must be called with mu held.
func (cache *resultCache) touch(cached *cachedJob) {
	cache.uses++
	cached.lastUse = cache.uses
}

// allowance returns how many bytes of text a read from a position may fetch from another zone.
func (cache *resultCache) allowance(id string, from int) int64 {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cached := cache.find(id)
	if cached == nil || from == 0 || cached.nextFrom != from {
		return initialAllowance
	}
	return min(pageLimit, allowanceGrowth*cached.allowance)
}

// recordRead records the range of positions that was returned to a reader.
func (cache *resultCache) recordRead(id string, from, next int) {
	allowance := cache.allowance(id, from)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cached := cache.find(id); cached != nil {
		cached.allowance, cached.nextFrom = allowance, next
	}
}

// put caches results that the owner returned, starting at a position.
func (cache *resultCache) put(id string, total, from int, results []*batchv1.Result) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cached := cache.find(id)
	if cached == nil {
		cached = &cachedJob{results: make(map[int]*batchv1.Result), allowance: initialAllowance}
		cache.jobs[id] = cached
	}
	cached.total, cached.ownedAt = total, time.Now()
	cache.touch(cached)
	for offset, result := range results {
		if cached.results[from+offset] != nil {
			continue
		}
		cached.results[from+offset] = result
		cached.size += sizeOf(result)
		cache.size += sizeOf(result)
	}
	cache.evict()
}

// evict removes the least recently read jobs until the cache is within its bound. It must be called with mu held.
func (cache *resultCache) evict() {
	for cache.size > maxCachedBytes && len(cache.jobs) > 1 {
		oldest := ""
		for id, cached := range cache.jobs {
			if oldest == "" || cached.lastUse < cache.jobs[oldest].lastUse {
				oldest = id
			}
		}
		cache.drop(oldest)
	}
}

func sizeOf(result *batchv1.Result) int { return len(result.GetText()) + resultOverhead }
