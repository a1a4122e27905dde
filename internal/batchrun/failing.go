package batchrun

import "time"

const (
	// failureThreshold is the number of consecutive 500 answers after which a replica gets no items for a while. A single
	// failure may be caused by the item.
	failureThreshold = 2
	// failureBackoff is the first backoff, which doubles with each further failure up to maxFailureBackoff. Without it a replica
	// that fails at once always has free slots, and draws items until these have used up their attempts. One such replica drew
	// 1,254 attempts in eight seconds, after which 501 items had none left.
	failureBackoff    = 250 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// maxTrackedFailures bounds the replicas whose failures are counted.
	maxTrackedFailures = 4096
)

// backoffAfter returns the backoff after a number of consecutive failures; zero below the threshold.
func backoffAfter(failures int) time.Duration {
	if failures < failureThreshold {
		return 0
	}
	backoff := failureBackoff
	for range failures - failureThreshold {
		if backoff *= 2; backoff >= maxFailureBackoff {
			return maxFailureBackoff
		}
	}
	return backoff
}

// recordFailure records that a replica answered an item with 500. From the threshold on, the replica gets no items during the
// backoff, and then one at a time until one is accepted.
func (scheduler *scheduler) recordFailure(replica string, now time.Time) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if len(scheduler.failures) > maxTrackedFailures {
		clear(scheduler.failures)
	}
	scheduler.failures[replica]++
	backoff := backoffAfter(scheduler.failures[replica])
	if backoff == 0 {
		return
	}
	scheduler.setRefusal(replica, now, backoff)
	scheduler.runner.Logger.Warn("replica backed off", "replica", replica, "failures", scheduler.failures[replica], "pause_ms", backoff.Milliseconds())
}

// recordSuccess records that a replica completed an item, which resets its failures.
func (scheduler *scheduler) recordSuccess(replica string) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	delete(scheduler.failures, replica)
}
