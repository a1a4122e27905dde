package batchrun

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// outcome is how an attempt at an item ended.
type outcome int

const (
	outcomeComplete outcome = iota
	outcomeBroken
	outcomeRefused
	outcomeFailed   // status 500
	outcomeRejected // status 422
	outcomeStale    // the replica's weights are too old for the job
	outcomeMixed    // the route requires a single version, and the versions differ
	outcomeMoved    // the item resumes at a faster replica
	outcomeCanceled // the job ended or left this node
)

var outcomeNames = [...]string{"whole", "broken", "refused", "failed", "rejected", "stale", "mixed", "moved", "cut"}

// String returns the name used in logs and metrics.
func (outcome outcome) String() string { return outcomeNames[outcome] }

// minCountedRun is the duration from which on an attempt without an event counts as a run at a replica.
const minCountedRun = time.Second

// countsAsRun reports whether an attempt ends the time for which its item has been at no replica: the replica answered it, made events, or worked on
// it for long. A replica that takes each attempt and does nothing would otherwise hide that the item waits.
func (outcome outcome) countsAsRun(events int64, took time.Duration) bool {
	switch outcome {
	case outcomeComplete, outcomeFailed, outcomeRejected:
		return true
	case outcomeRefused:
		return false
	}
	return events > 0 || took >= minCountedRun
}

const (
	pauseAfterFailure = 60 * time.Millisecond
	pauseAfterRefusal = 15 * time.Millisecond
	avoidAfterBreak   = 900 * time.Millisecond
	// avoidAfterFailure is how long an item avoids a replica that answered it with 500. Only an attempt at another replica shows
	// whether the item or the replica causes the failure.
	avoidAfterFailure = 2 * time.Second
	// avoidAfterStale is how long an item avoids a replica that answers with older weights than it registered, or with a version
	// that the item cannot mix.
	avoidAfterStale = 250 * time.Millisecond
)

// errStalled is the cause of the cancellation of an attempt whose stream had no event within stallLimit.
var errStalled = errors.New("the stream stalled")

// errListed is the cause of the cancellation of an attempt whose item is listed already.
var errListed = errors.New("the item is listed")

// runItem makes one attempt at an item and handles its outcome.
func (runner *Runner) runItem(running *task, replica *catalog.Replica, route *catalog.Route) {
	defer running.job.runs.Done()
	started := time.Now()
	from, idle := running.lastEvent, started.Sub(running.idleSince)
	running.enter(stageRunning, started)
	current := runner.scheduler.begin(running, replica, route)
	ended, status := runner.attempt(current, route)
	runner.Loads.End(replica.ID, loadOutcome(ended, status), time.Now())
	target := runner.scheduler.end(current)
	if target != nil && ended != outcomeMoved {
		runner.Loads.End(target.ID, backend.Unknown, time.Now())
	}
	runner.scheduler.wakeUp()
	running.attempts++
	running.lastOutcome = ended
	if ended.countsAsRun(running.lastEvent-from, time.Since(started)) {
		running.setIdle(time.Now())
	}
	runner.Metrics.Item(ended.String(), time.Since(started))
	runner.Metrics.ItemIdle(idle)
	if ended == outcomeComplete && from == 0 {
		runner.itemTimes.observe(running.item.GetModel(), time.Since(started))
	}
	runner.Logger.Info("item", "request", running.item.GetId(), "job", running.job.id(), "replica", replica.ID, "outcome", ended,
		"status", status, "from", from, "events", running.lastEvent, "versions", running.versions, "minimum", running.job.definition.GetMinimumVersion(),
		"idle_ms", idle.Milliseconds(), "took_ms", time.Since(started).Milliseconds())
	if ended == outcomeMoved {
		runner.runAt(running, target, route)
		return
	}
	runner.handleOutcome(running, replica, route, ended)
}

func loadOutcome(ended outcome, status int) backend.Outcome {
	switch {
	case ended == outcomeBroken, ended == outcomeRefused && status == http.StatusMisdirectedRequest:
		return backend.Failed
	case ended == outcomeCanceled, ended == outcomeMoved:
		return backend.Unknown
	}
	return backend.Served
}

// handleOutcome scores, terminates, keeps or reschedules an item after an attempt.
func (runner *Runner) handleOutcome(running *task, replica *catalog.Replica, route *catalog.Route, ended outcome) {
	now := time.Now()
	switch ended {
	case outcomeCanceled:
		runner.keep(running, false)
		return
	case outcomeComplete:
		runner.scheduler.recordSuccess(replica.ID)
		runner.scheduler.lengths.observe(running.item.GetLengthHint(), running.lastEvent)
		runner.score(running)
		return
	case outcomeRejected:
		runner.terminate(running, reasonRejected)
		return
	case outcomeFailed:
		if running.failures >= max(route.MaxAttempts, 1) {
			runner.terminate(running, reasonFailed)
			return
		}
		running.notBefore = now.Add(pauseAfterFailure)
		running.avoid, running.avoidUntil = replica.ID, now.Add(avoidAfterFailure)
	case outcomeRefused:
		running.notBefore = now.Add(pauseAfterRefusal)
	case outcomeStale, outcomeMixed:
		running.restart()
		running.notBefore = now.Add(pauseAfterFailure)
		running.avoid, running.avoidUntil = replica.ID, now.Add(avoidAfterStale)
	case outcomeBroken:
		running.avoid, running.avoidUntil = replica.ID, now.Add(avoidAfterBreak)
	}
	runner.scheduler.add(running)
}

// Reasons for terminating an item, as logged.
const (
	reasonRejected = "rejected"      // a replica answered 422: no replica can complete the item
	reasonFailed   = "failed"        // the route allows no more attempts
	reasonScorer   = "scorer_failed" // the scoring route allows no more attempts
)

// terminate lists an item as terminated.
func (runner *Runner) terminate(running *task, reason string) {
	runner.Logger.Warn("item given up", "request", running.item.GetId(), "job", running.job.id(), "reason", reason, "failures", running.failures, "rejected", running.rejected)
	running.job.finish(&batchv1.Result{ItemId: running.item.GetId(), Terminated: true})
	runner.scoresChanged(running.job)
}

// attempt sends an item to a replica and reads the stream.
func (runner *Runner) attempt(current *attempt, route *catalog.Route) (ended outcome, status int) {
	running, replica := current.task, current.replica
	if running.job.ctx.Err() != nil {
		runner.scheduler.cancelProbe(replica.ID)
		return outcomeCanceled, 0
	}
	ctx, cancel := context.WithCancelCause(running.job.ctx)
	defer cancel(nil)
	runner.scheduler.cancelWith(current, cancel)
	watchdog := time.AfterFunc(stallLimit, func() { cancel(errStalled) })
	defer watchdog.Stop()
	response, err := runner.Sender.Send(ctx, replica, newItemRequest(running, route))
	if err != nil {
		runner.scheduler.clearRefusal(replica.ID)
		return interruptedOutcome(ctx, running), 0
	}
	defer response.Body.Close()
	if response.NotExecuted {
		runner.scheduler.recordRefusal(replica.ID, time.Now())
		return outcomeRefused, response.Status
	}
	runner.scheduler.clearRefusal(replica.ID)
	switch {
	case response.Status == http.StatusUnprocessableEntity:
		running.rejected++
		return outcomeRejected, response.Status
	case response.Status == http.StatusInternalServerError:
		running.failures++
		runner.scheduler.recordFailure(replica.ID, time.Now())
		return outcomeFailed, response.Status
	case response.Status >= http.StatusMultipleChoices:
		return outcomeBroken, response.Status
	}
	stream := &itemStream{runner: runner, attempt: current, task: running, replica: replica, route: route, version: response.WeightVersion, lastEventAt: time.Now()}
	return stream.consume(ctx, runner.Decoder.Events(response.Body), watchdog), response.Status
}

// interruptedOutcome returns the outcome of an attempt without a complete answer; ctx is the context of the attempt.
func interruptedOutcome(ctx context.Context, running *task) outcome {
	switch {
	case running.job.ctx.Err() != nil, errors.Is(context.Cause(ctx), errListed):
		return outcomeCanceled
	case errors.Is(context.Cause(ctx), errMoved):
		return outcomeMoved
	}
	return outcomeBroken
}

// newItemRequest returns the request for the rest of an item, after its last event.
func newItemRequest(running *task, route *catalog.Route) *backend.Request {
	header := make(http.Header, len(running.item.GetHeaders()))
	for _, entry := range running.item.GetHeaders() {
		header.Add(entry.GetName(), entry.GetValue())
	}
	return &backend.Request{
		ID: running.item.GetId(), Method: http.MethodPost, Host: running.job.definition.GetHost(), Target: running.item.GetPath(),
		Header: header, Body: running.item.GetBody(), Deadline: route.MaxQueue, ResumeAfter: running.lastEvent, Priority: -1,
		Tenant: running.job.definition.GetTenant(),
	}
}

// itemStream reads the stream of one attempt.
type itemStream struct {
	runner      *Runner
	attempt     *attempt
	task        *task
	replica     *catalog.Replica
	route       *catalog.Route
	version     int64
	lastEventAt time.Time
	events      int
}

// consume appends events to the text until the stream ends.
func (stream *itemStream) consume(ctx context.Context, events EventReader, watchdog *time.Timer) outcome {
	stream.runner.scheduler.suitable.observe(stream.replica.ID, stream.task.item.GetModel(), stream.version)
	if ended, wrong := stream.checkVersion(); wrong {
		return ended
	}
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && stream.task.lastEvent > 0:
			return outcomeComplete
		case err != nil:
			return interruptedOutcome(ctx, stream.task)
		}
		watchdog.Reset(stallLimit)
		if ended, over := stream.appendEvent(event); over {
			return ended
		}
	}
}

// appendEvent adds an event to the text of the item; over is true if the attempt must end.
func (stream *itemStream) appendEvent(event Event) (ended outcome, over bool) {
	task := stream.task
	if event.Version > 0 && event.Version != stream.version {
		stream.version = event.Version
		stream.runner.scheduler.suitable.observe(stream.replica.ID, task.item.GetModel(), stream.version)
		if ended, wrong := stream.checkVersion(); wrong {
			return ended, true
		}
	}
	if event.ID != task.lastEvent+1 {
		return outcomeBroken, true
	}
	if task.lastEvent > 0 {
		task.text = append(task.text, '\n')
	}
	task.text = append(task.text, event.Data...)
	task.lastEvent = event.ID
	if stream.version > 0 && !slices.Contains(task.versions, stream.version) {
		task.versions = append(task.versions, stream.version)
	}
	task.queueSave()
	stream.recordGap()
	return 0, false
}

// checkVersion reports whether the weights of the replica do not fit the job, and the outcome for that case.
func (stream *itemStream) checkVersion() (ended outcome, wrong bool) {
	if stream.version > 0 && stream.version < stream.task.job.definition.GetMinimumVersion() {
		return outcomeStale, true
	}
	versions := stream.task.versions
	if stream.route.SingleVersion && len(versions) > 0 && versions[len(versions)-1] != stream.version {
		return outcomeMixed, true
	}
	return 0, false
}

// recordGap records the time since the previous event, from which the speed of the replica is measured.
func (stream *itemStream) recordGap() {
	now := time.Now()
	gap := now.Sub(stream.lastEventAt)
	stream.lastEventAt = now
	stream.events++
	stream.attempt.events.Store(stream.task.lastEvent)
	if stream.events > 1 {
		stream.runner.scheduler.latencies.observe(stream.replica.ID, gap, now)
	}
}
