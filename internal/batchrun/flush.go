package batchrun

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

// flushLoop appends results to the log and then makes them visible, until the job ends or its ownership is lost.
func (runner *Runner) flushLoop(owned *job) {
	defer close(owned.flushed)
	for {
		delay, pending := owned.nextFlush(runner.Flush)
		if !pending {
			select {
			case <-owned.ctx.Done():
				return
			case <-owned.flush:
			}
			continue
		}
		if delay > 0 {
			timer := time.NewTimer(delay)
			select {
			case <-owned.ctx.Done():
				timer.Stop()
				return
			case <-owned.flush:
				timer.Stop()
				continue
			case <-timer.C:
			}
		}
		if !runner.write(owned) {
			return
		}
	}
}

// write appends pending results and grown texts to the log. It returns false if the flush loop must stop: the ownership is lost,
// or the append was interrupted.
func (runner *Runner) write(owned *job) bool {
	results := owned.nextPage()
	texts := owned.takeUnsaved(results)
	started := time.Now()
	err := runner.Log.Append(owned.ctx, owned.ownership, results, texts)
	if err == nil {
		owned.markListed(results)
		owned.ownership.Settle()
		if len(results) == 0 {
			return true
		}
		runner.Logger.Info("results listed", "job", owned.id(), "count", len(results), "took_ms", time.Since(started).Milliseconds())
		return true
	}
	if errors.Is(err, batchlog.ErrNotOwner) {
		runner.Metrics.Job("lost")
		runner.Logger.Warn("ownership lost", "job", owned.id(), "reason", "append refused")
		runner.remove(owned)
		return false
	}
	owned.mu.Lock()
	owned.logUncertain = true
	owned.mu.Unlock()
	return false
}
