package batchrun

import (
	"sync"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// copiesBytes bounds the copies of results that a node keeps of jobs which others own.
	copiesBytes = 6 << 20
	// firstAllowance is how many bytes of texts a read takes from another zone at first. It doubles, up to a whole page, as long as a
	// reader goes on where it stopped: bytes between zones are dear, and most readers look at a job once.
	firstAllowance = 64 << 10
	allowanceStep  = 2
)

// copies are results of jobs that other nodes own. It is safe for concurrent use.
type copies struct {
	mu   sync.Mutex
	jobs map[string]*jobCopy
	size int
	uses int64
}

// jobCopy is what a node has read of a job of another.
type jobCopy struct {
	total     int
	results   map[int]*batchv1.Result // by position
	size      int
	used      int64
	next      int // position at which the last answer ended
	allowance int64
}

func newCopies() *copies { return &copies{jobs: make(map[string]*jobCopy)} }

// page returns the known results from a position on, without a gap, as many as a page holds.
func (copies *copies) page(id string, from int) Page {
	copies.mu.Lock()
	defer copies.mu.Unlock()
	copied := copies.jobs[id]
	if copied == nil {
		return Page{}
	}
	copies.touch(copied)
	page, size := Page{Total: copied.total}, 0
	for position := from; copied.results[position] != nil; position++ {
		result := copied.results[position]
		if size += sizeOf(result); len(page.Results) > 0 && size > pageLimit {
			break
		}
		page.Results = append(page.Results, result)
	}
	return page
}

// touch must be called with mu held.
func (copies *copies) touch(copied *jobCopy) {
	copies.uses++
	copied.used = copies.uses
}

// allowance returns how many bytes of texts a read from a position on may take from another zone.
func (copies *copies) allowance(id string, from int) int64 {
	copies.mu.Lock()
	defer copies.mu.Unlock()
	copied := copies.jobs[id]
	if copied == nil || from == 0 || copied.next != from {
		return firstAllowance
	}
	return min(pageLimit, allowanceStep*copied.allowance)
}

// answered notes which positions a reader was answered.
func (copies *copies) answered(id string, from, next int) {
	allowance := copies.allowance(id, from)
	copies.mu.Lock()
	defer copies.mu.Unlock()
	if copied := copies.jobs[id]; copied != nil {
		copied.allowance, copied.next = allowance, next
	}
}

// put keeps results that the owner answered from a position on.
func (copies *copies) put(id string, total, from int, results []*batchv1.Result) {
	copies.mu.Lock()
	defer copies.mu.Unlock()
	copied := copies.jobs[id]
	if copied == nil {
		copied = &jobCopy{results: make(map[int]*batchv1.Result), allowance: firstAllowance}
		copies.jobs[id] = copied
	}
	copied.total = total
	copies.touch(copied)
	for offset, result := range results {
		if copied.results[from+offset] != nil {
			continue
		}
		copied.results[from+offset] = result
		copied.size += sizeOf(result)
		copies.size += sizeOf(result)
	}
	copies.trim()
}

// trim forgets the jobs that were not read for longest. It must be called with mu held.
func (copies *copies) trim() {
	for copies.size > copiesBytes && len(copies.jobs) > 1 {
		oldest := ""
		for id, copied := range copies.jobs {
			if oldest == "" || copied.used < copies.jobs[oldest].used {
				oldest = id
			}
		}
		copies.size -= copies.jobs[oldest].size
		delete(copies.jobs, oldest)
	}
}

func sizeOf(result *batchv1.Result) int { return len(result.GetText()) + resultOverhead }
