package batchrun

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

const (
	// maxMoves bounds how often an item is moved to a faster replica.
	maxMoves = 3
	// moveInterval is the minimum time between two searches for items to move, each of which examines all running items. The
	// maxMoveCandidates items with the most remaining time are moved as soon as a faster replica has a free slot.
	moveInterval      = 150 * time.Millisecond
	maxMoveCandidates = 16
	// minMoveGain is the minimum time that a move must save. It covers the prefill of prompt and text at the other replica.
	minMoveGain = 300 * time.Millisecond
	// minMoveGainShare is the minimum share of the remaining time that a move must save. Smaller gains are within the error of the
	// estimate.
	minMoveGainShare = 0.15
	// minEventsBeforeMove is the number of events after which an attempt may be moved. The replica's latency is unknown before.
	minEventsBeforeMove = 4
)

// errMoved is the cancellation cause of an attempt whose item continues at a faster replica.
var errMoved = errors.New("the item was moved")

// attempt is one run of an item at a replica. All fields except events are guarded by the scheduler's mu.
type attempt struct {
	task          *task
	replica       *catalog.Replica
	cancel        context.CancelCauseFunc // nil until the request is sent
	firstEvent    int64                   // the item's event count at the start of the attempt
	events        atomic.Int64            // the item's current event count
	target        *catalog.Replica        // the replica that the item moves to, with a slot reserved; nil if it is not moving
	singleVersion bool                    // the route requires a single version, which another replica may not serve
}

// begin registers an attempt that is about to start.
func (scheduler *scheduler) begin(running *task, replica *catalog.Replica, route *catalog.Route) *attempt {
	started := &attempt{task: running, replica: replica, firstEvent: running.lastEvent, singleVersion: route.SingleVersion}
	started.events.Store(running.lastEvent)
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	scheduler.running[started] = struct{}{}
	return started
}

// cancelWith sets the function that cancels the attempt.
func (scheduler *scheduler) cancelWith(started *attempt, cancel context.CancelCauseFunc) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	started.cancel = cancel
}

// end removes an attempt and returns the replica at which a slot is reserved for the item, or nil.
func (scheduler *scheduler) end(ended *attempt) *catalog.Replica {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	delete(scheduler.running, ended)
	return ended.target
}

// planMoves reserves slots at faster replicas for the running items that gain the most and cancels their attempts. It runs
// before waiting items are placed and must be called with mu held.
func (scheduler *scheduler) planMoves(capacity *capacity) {
	if capacity.now.Sub(scheduler.candidatesFoundAt) >= moveInterval {
		scheduler.candidatesFoundAt = capacity.now
		scheduler.findMoveCandidates(capacity.now)
		scheduler.updateDepartures(capacity.now)
	}
	scheduler.planDepartures(capacity)
	for _, candidate := range scheduler.moveCandidates {
		if _, running := scheduler.running[candidate]; running && candidate.target == nil {
			scheduler.move(candidate, capacity)
		}
	}
}

// findMoveCandidates selects the movable items with the most remaining time. It must be called with mu held.
func (scheduler *scheduler) findMoveCandidates(now time.Time) {
	seconds := make(map[*attempt]float64) // remaining at the current replica
	scheduler.moveCandidates = scheduler.moveCandidates[:0]
	for started := range scheduler.running {
		if rest, movable := scheduler.remainingSeconds(started, now); movable {
			seconds[started] = rest
			scheduler.moveCandidates = append(scheduler.moveCandidates, started)
		}
	}
	slices.SortFunc(scheduler.moveCandidates, func(a, b *attempt) int { return cmp.Compare(seconds[b], seconds[a]) })
	kept := min(maxMoveCandidates, len(scheduler.moveCandidates))
	clear(scheduler.moveCandidates[kept:])
	scheduler.moveCandidates = scheduler.moveCandidates[:kept]
}

// remainingSeconds returns the expected time to finish a running item at its current replica. movable is false if no move can
// save enough. It must be called with mu held.
func (scheduler *scheduler) remainingSeconds(started *attempt, now time.Time) (seconds float64, movable bool) {
	events := started.events.Load()
	if started.singleVersion || started.cancel == nil || started.target != nil || started.task.moves >= maxMoves || events < started.firstEvent+minEventsBeforeMove {
		return 0, false
	}
	left := scheduler.remaining(started.task, events)
	seconds = left * scheduler.latencies.expected(started.replica.ID, now)
	return seconds, left*scheduler.latencies.fastest(now) <= maxSecondsAfterMove(seconds)
}

// maxSecondsAfterMove returns the maximum remaining time at another replica for which a move saves enough.
func maxSecondsAfterMove(seconds float64) float64 {
	return min(seconds-minMoveGain.Seconds(), seconds*(1-minMoveGainShare))
}

// move continues an item at the best replica with a free slot if that saves enough. It must be called with mu held.
func (scheduler *scheduler) move(started *attempt, capacity *capacity) {
	left := scheduler.remaining(started.task, started.events.Load())
	here := left * scheduler.latencies.expected(started.replica.ID, capacity.now)
	var best *catalog.Replica
	bestSeconds := maxSecondsAfterMove(here)
	for _, replica := range capacity.candidates(started.task) {
		latency := scheduler.latencies.expected(replica.ID, capacity.now)
		if latency <= 0 || replica.ID == started.replica.ID || capacity.ejected(replica) || !capacity.hasFreeSlot(replica) || capacity.scheduler.refusals[replica.ID] != nil {
			continue
		}
		if seconds := left * latency; seconds <= bestSeconds {
			best, bestSeconds = replica, seconds
		}
	}
	if best == nil {
		return
	}
	started.task.moves++
	scheduler.moveTo(started, best, capacity)
}

// moveTo continues an item at another replica, where it reserves a slot. It must be called with mu held.
func (scheduler *scheduler) moveTo(started *attempt, target *catalog.Replica, capacity *capacity) {
	capacity.reserve(target.ID)
	scheduler.runner.Loads.Begin(target.ID, time.Now())
	started.target = target
	started.cancel(errMoved)
}

// runAt starts the next attempt of a moved item at the replica that has a slot reserved for it.
func (runner *Runner) runAt(moved *task, target *catalog.Replica, route *catalog.Route) {
	if moved.job.ctx.Err() != nil {
		runner.Loads.End(target.ID, backend.Unknown, time.Now())
		runner.keep(moved, false)
		return
	}
	moved.job.runs.Add(1)
	go runner.runItem(moved, target, route)
}
