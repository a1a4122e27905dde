package batchrun

import (
	"sync"
	"time"
)

const (
	// itemTimeWeight is the weight of a new item in the mean time of its model, as 1/itemTimeWeight.
	itemTimeWeight = 32
	// maxItemTimeModels bounds the models of which times are kept; all are dropped beyond.
	maxItemTimeModels = 256
)

// itemTimes tracks how long replicas take for an item, by model. The node that orders replicas works out from it how many are needed. It is
// safe for concurrent use.
type itemTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// observe records an item that one replica ran from its beginning to its end.
func (times *itemTimes) observe(model string, took time.Duration) {
	times.mu.Lock()
	defer times.mu.Unlock()
	mean, known := times.means[model]
	if !known {
		if times.means == nil || len(times.means) >= maxItemTimeModels {
			times.means = make(map[string]time.Duration)
		}
		mean = took
	}
	times.means[model] = mean + (took-mean)/itemTimeWeight
}

// RemainingItems returns the number of unfinished items of a job; known is false if it does not run here.
func (runner *Runner) RemainingItems(job string) (count int, known bool) {
	owned := runner.find(job)
	if owned == nil {
		return 0, false
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.progress.Remaining(), true
}

// ItemTime returns the mean time that a replica lately took for an item of a model; zero if it is unknown.
func (runner *Runner) ItemTime(model string) time.Duration {
	runner.itemTimes.mu.Lock()
	defer runner.itemTimes.mu.Unlock()
	return runner.itemTimes.means[model]
}
