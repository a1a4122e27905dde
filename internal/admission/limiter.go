// Package admission limits the work that a node accepts: concurrent requests with a priority queue, a retry budget, and a
// rate limit for each caller. Refused requests get results of the class "not run".
package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Limiter runs a bounded number of requests at once and queues a bounded number more. Requests with a greater priority
// number are admitted first, and those of one priority in order of arrival. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	concurrency int
	queueLength int
	running     int
	arrivals    uint64
	waiting     waiters
	// meanService is a moving average of how long requests run. The retry delay of refused requests is derived from it.
	meanService time.Duration
}

type waiter struct {
	priority int
	arrival  uint64
	index    int
	admitted chan error // receives nil when admitted, an error when shed
}

// waiters is a heap with the request to admit next on top.
type waiters []*waiter

func (queue waiters) Len() int { return len(queue) }
func (queue waiters) Less(i, j int) bool {
	if queue[i].priority != queue[j].priority {
		return queue[i].priority > queue[j].priority
	}
	return queue[i].arrival < queue[j].arrival
}
func (queue waiters) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].index, queue[j].index = i, j
}

// Push implements heap.Interface.
func (queue *waiters) Push(item any) {
	added := item.(*waiter)
	added.index = len(*queue)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *waiters) Pop() any {
	last := len(*queue) - 1
	removed := (*queue)[last]
	*queue = (*queue)[:last]
	removed.index = -1
	return removed
}

// NewLimiter returns a limiter for concurrency running and queueLength queued requests. concurrency must be at least 1.
func NewLimiter(concurrency, queueLength int) *Limiter {
	return &Limiter{concurrency: concurrency, queueLength: queueLength, meanService: initialService}
}

const (
	initialService = time.Second
	minWait        = 100 * time.Millisecond
	maxWait        = 30 * time.Second
	serviceWeight  = 16 // a new duration has a weight of 1/16 in the average
)

// Acquire waits until the request is admitted. The caller must call the returned function when the request ends. If the
// queue is full, Acquire refuses the request, or sheds a queued request of lower priority in its place.
func (limiter *Limiter) Acquire(ctx context.Context, priority int) (func(), error) {
	limiter.mu.Lock()
	if limiter.running < limiter.concurrency {
		limiter.running++
		limiter.mu.Unlock()
		return limiter.release(time.Now()), nil
	}
	if len(limiter.waiting) >= limiter.queueLength && !limiter.shedBelow(priority) {
		failure := limiter.overload()
		limiter.mu.Unlock()
		return nil, failure
	}
	limiter.arrivals++
	own := &waiter{priority: priority, arrival: limiter.arrivals, admitted: make(chan error, 1)}
	heap.Push(&limiter.waiting, own)
	limiter.mu.Unlock()
	return limiter.wait(ctx, own)
}

func (limiter *Limiter) wait(ctx context.Context, own *waiter) (func(), error) {
	select {
	case err := <-own.admitted:
		if err != nil {
			return nil, err
		}
		return limiter.release(time.Now()), nil
	case <-ctx.Done():
	}
	limiter.mu.Lock()
	queued := own.index >= 0
	if queued {
		heap.Remove(&limiter.waiting, own.index)
	}
	limiter.mu.Unlock()
	if !queued && <-own.admitted == nil {
		limiter.release(time.Now())()
	}
	return nil, result.New(result.NotRunDeadline, "the deadline passed in the queue")
}

// shedBelow refuses the queued request that would be admitted last if its priority is lower, and reports whether it did.
// It must be called with mu held.
func (limiter *Limiter) shedBelow(priority int) bool {
	var last *waiter
	for _, candidate := range limiter.waiting {
		if last == nil || candidate.priority < last.priority || candidate.priority == last.priority && candidate.arrival > last.arrival {
			last = candidate
		}
	}
	if last == nil || last.priority >= priority {
		return false
	}
	heap.Remove(&limiter.waiting, last.index)
	last.admitted <- limiter.overload()
	return true
}

// overload returns a refusal whose retry delay is the estimated time until the queue is empty. It must be called with mu
// held.
func (limiter *Limiter) overload() *result.Error {
	wait := limiter.meanService * time.Duration(len(limiter.waiting)+1) / time.Duration(limiter.concurrency)
	wait = min(max(wait, minWait), maxWait)
	return result.New(result.NotRunOverload, "%d running, %d queued", limiter.running, len(limiter.waiting)).WithRetryAfter(wait)
}

func (limiter *Limiter) release(began time.Time) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			limiter.mu.Lock()
			defer limiter.mu.Unlock()
			limiter.meanService += (time.Since(began) - limiter.meanService) / serviceWeight
			if len(limiter.waiting) > 0 {
				next := heap.Pop(&limiter.waiting).(*waiter)
				next.admitted <- nil
				return
			}
			limiter.running--
		})
	}
}

// Occupancy returns the numbers of running and queued requests.
func (limiter *Limiter) Occupancy() (running, waiting int) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.running, len(limiter.waiting)
}
