package batchrun

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

// flushLoop makes results durable and then visible, until the job ends or is lost to another owner.
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

// write appends the pending results and saves texts that have grown, and reports whether this node still owns the job.
func (runner *Runner) write(owned *job) bool {
	results := owned.takePending()
	texts := owned.unfinishedTexts(results)
	started := time.Now()
	err := runner.Log.Append(owned.ctx, owned.held, results, texts)
	if err == nil {
		owned.list(results)
		owned.held.Settle()
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
	owned.unsure = true
	owned.mu.Unlock()
	return false
}
