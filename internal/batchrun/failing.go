package batchrun

import "time"

const (
	// failuresMost is how many items in a row a replica answers with 500 before it is left alone: one item may be the cause itself.
	failuresMost = 2
	// failingPause is for how long it is left alone then, twice as long with each further failure, up to failingPauseMost: a replica that
	// fails at once is always free, and drew 1,254 attempts in eight seconds otherwise, of which 501 items had all they may have.
	failingPause     = 250 * time.Millisecond
	failingPauseMost = 2 * time.Second
	// trackedFailing bounds the replicas that are remembered, of which few fail.
	trackedFailing = 4096
)

// pauseAfter returns for how long a replica is left alone after so many failures in a row; zero for not at all.
func pauseAfter(failures int) time.Duration {
	if failures < failuresMost {
		return 0
	}
	pause := failingPause
	for range failures - failuresMost {
		if pause *= 2; pause >= failingPauseMost {
			return failingPauseMost
		}
	}
	return pause
}

// failed notes that a replica answered an item with 500. After some in a row it gets no items for a pause, and one at a time after that.
func (scheduler *scheduler) failed(replica string, now time.Time) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if len(scheduler.failures) > trackedFailing {
		clear(scheduler.failures)
	}
	scheduler.failures[replica]++
	pause := pauseAfter(scheduler.failures[replica])
	if pause == 0 {
		return
	}
	scheduler.refusals[replica] = &refusal{until: now.Add(pause)}
	scheduler.runner.Logger.Warn("replica left alone", "replica", replica, "failures", scheduler.failures[replica], "pause_ms", pause.Milliseconds())
}

// succeeded notes that a replica has made an item whole.
func (scheduler *scheduler) succeeded(replica string) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	delete(scheduler.failures, replica)
}
