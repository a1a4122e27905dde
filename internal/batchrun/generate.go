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

// outcome says how one attempt at an item ended.
type outcome int

const (
	outcomeWhole outcome = iota
	outcomeBroken
	outcomeRefused
	outcomeFailed   // an answer of 500
	outcomeRejected // an answer of 422
	outcomeStale    // the replica's weights are too old for the job
	outcomeMixed    // the versions do not fit a route that allows one
	outcomeMoved    // goes on at a faster replica
	outcomeCut      // the job ended or left this node
	outcomeHeld     // not sent, since replicas ended under the item
)

var outcomeNames = [...]string{"whole", "broken", "refused", "failed", "rejected", "stale", "mixed", "moved", "cut", "held"}

// String returns the name that logs use.
func (outcome outcome) String() string { return outcomeNames[outcome] }

const (
	pauseAfterFailure = 60 * time.Millisecond
	pauseAfterRefusal = 15 * time.Millisecond
	avoidFor          = 900 * time.Millisecond
	// avoidFailed is how long an item avoids a replica that answered it with 500: whether the item or the replica is the cause is known only
	// once another has tried.
	avoidFailed = 2 * time.Second
	// heldPause is the least time between two looks at whether an item may be sent under which replicas ended.
	heldPause = 250 * time.Millisecond
	// avoidStale is how long a replica is left alone that answers with older weights than it registered.
	avoidStale = 250 * time.Millisecond
)

// errStalled is the cause of an attempt's end when the replica was silent for too long.
var errStalled = errors.New("the stream stalled")

// runItem makes one attempt at an item and decides what follows.
func (runner *Runner) runItem(running *task, replica *catalog.Replica, route *catalog.Route) {
	defer running.job.runs.Done()
	started := time.Now()
	from := running.lastEvent
	current := runner.scheduler.begin(running, replica, route)
	ended, status := runner.attempt(current, route)
	runner.Loads.End(replica.ID, loadOutcome(ended), time.Now())
	target := runner.scheduler.end(current)
	if target != nil && ended != outcomeMoved {
		runner.Loads.End(target.ID, backend.Unknown, time.Now())
	}
	runner.scheduler.wakeUp()
	runner.Metrics.Item(ended.String(), time.Since(started))
	runner.Logger.Info("item", "request", running.item.GetId(), "job", running.job.id(), "replica", replica.ID, "outcome", ended,
		"status", status, "from", from, "events", running.lastEvent, "versions", running.versions, "minimum", running.job.definition.GetMinimumVersion(),
		"took_ms", time.Since(started).Milliseconds())
	if ended == outcomeMoved {
		runner.runAt(running, target, route)
		return
	}
	runner.follow(running, replica, route, ended)
}

func loadOutcome(ended outcome) backend.Outcome {
	switch ended {
	case outcomeBroken:
		return backend.Failed
	case outcomeCut, outcomeMoved, outcomeHeld:
		return backend.Unknown
	default:
		return backend.Served
	}
}

// follow decides what an attempt's end means for the item.
func (runner *Runner) follow(running *task, replica *catalog.Replica, route *catalog.Route, ended outcome) {
	now := time.Now()
	switch ended {
	case outcomeCut:
		runner.keep(running, false)
		return
	case outcomeWhole:
		runner.scheduler.succeeded(replica.ID)
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
		running.avoid, running.avoidUntil = replica.ID, now.Add(avoidFailed)
	case outcomeRefused:
		running.notBefore = now.Add(pauseAfterRefusal)
	case outcomeHeld:
		running.notBefore = now.Add(heldPause)
	case outcomeStale, outcomeMixed:
		running.restart()
		running.notBefore = now.Add(pauseAfterFailure)
		running.avoid, running.avoidUntil = replica.ID, now.Add(avoidStale)
	case outcomeBroken:
		running.avoid, running.avoidUntil = replica.ID, now.Add(avoidFor)
	}
	runner.scheduler.add(running)
}

// Reasons for which an item is given up, as logs name them.
const (
	reasonRejected = "rejected"      // a replica said that it can never be done
	reasonFailed   = "failed"        // as many attempts failed as the route allows
	reasonScorer   = "scorer_failed" // as many scoring calls failed as their route allows
)

// terminate lists an item as given up.
func (runner *Runner) terminate(running *task, reason string) {
	runner.Logger.Warn("item given up", "request", running.item.GetId(), "job", running.job.id(), "reason", reason, "failures", running.failures, "rejected", running.rejected)
	running.job.finish(&batchv1.Result{ItemId: running.item.GetId(), Terminated: true})
}

// attempt sends an item to a replica and follows the stream.
func (runner *Runner) attempt(current *attempt, route *catalog.Route) (ended outcome, status int) {
	running, replica := current.task, current.replica
	if running.job.ctx.Err() != nil {
		runner.scheduler.cancelProbe(replica.ID)
		return outcomeCut, 0
	}
	ctx, cancel := context.WithCancelCause(running.job.ctx)
	defer cancel(nil)
	runner.scheduler.cancelWith(current, cancel)
	watchdog := time.AfterFunc(stallLimit, func() { cancel(errStalled) })
	defer watchdog.Stop()
	answer, err := runner.Sender.Send(ctx, replica, itemRequest(running, route))
	switch {
	case backend.IsHeld(err):
		runner.scheduler.cancelProbe(replica.ID)
		return outcomeHeld, 0
	case err != nil:
		runner.scheduler.clearRefusal(replica.ID)
		return interrupted(ctx, running), 0
	}
	defer answer.Body.Close()
	if answer.NotExecuted {
		runner.scheduler.recordRefusal(replica.ID, time.Now())
		return outcomeRefused, answer.Status
	}
	runner.scheduler.clearRefusal(replica.ID)
	switch {
	case answer.Status == http.StatusUnprocessableEntity:
		running.rejected++
		return outcomeRejected, answer.Status
	case answer.Status == http.StatusInternalServerError:
		running.failures++
		runner.scheduler.failed(replica.ID, time.Now())
		return outcomeFailed, answer.Status
	case answer.Status >= http.StatusMultipleChoices:
		return outcomeBroken, answer.Status
	}
	stream := &itemStream{runner: runner, attempt: current, task: running, replica: replica, route: route, version: answer.WeightVersion, last: time.Now()}
	return stream.follow(ctx, runner.Decoder.Events(answer.Body), watchdog), answer.Status
}

// interrupted says why an attempt ended that got no whole answer; ctx is the attempt's.
func interrupted(ctx context.Context, running *task) outcome {
	switch {
	case running.job.ctx.Err() != nil:
		return outcomeCut
	case errors.Is(context.Cause(ctx), errMoved):
		return outcomeMoved
	}
	return outcomeBroken
}

// itemRequest is the request of an item, from where its text ends.
func itemRequest(running *task, route *catalog.Route) *backend.Request {
	header := make(http.Header, len(running.item.GetHeaders()))
	for _, entry := range running.item.GetHeaders() {
		header.Add(entry.GetName(), entry.GetValue())
	}
	return &backend.Request{
		ID: running.item.GetId(), Method: http.MethodPost, Host: running.job.definition.GetHost(), Target: running.item.GetPath(),
		Header: header, Body: running.item.GetBody(), Deadline: route.MaxQueue, ResumeAfter: running.lastEvent, Priority: -1, Exclusive: true,
		Tenant: running.job.definition.GetTenant(),
	}
}

// itemStream is the stream of one attempt.
type itemStream struct {
	runner  *Runner
	attempt *attempt
	task    *task
	replica *catalog.Replica
	route   *catalog.Route
	version int64
	last    time.Time
	events  int
}

// follow takes events until the stream ends.
func (stream *itemStream) follow(ctx context.Context, events EventReader, watchdog *time.Timer) outcome {
	stream.runner.scheduler.suitable.observe(stream.replica.ID, stream.task.item.GetModel(), stream.version)
	if ended, wrong := stream.checkVersion(); wrong {
		return ended
	}
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && stream.task.lastEvent > 0:
			return outcomeWhole
		case err != nil:
			return interrupted(ctx, stream.task)
		}
		watchdog.Reset(stallLimit)
		if ended, over := stream.take(event); over {
			return ended
		}
	}
}

// take adds an event to the text; over says that the attempt is to end here.
func (stream *itemStream) take(event Event) (ended outcome, over bool) {
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
	task.offerGrowing()
	stream.watchPace()
	return 0, false
}

// checkVersion reports an attempt whose weights do not fit the job.
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

// watchPace notes the time of the event.
func (stream *itemStream) watchPace() {
	now := time.Now()
	gap := now.Sub(stream.last)
	stream.last = now
	stream.events++
	stream.attempt.events.Store(stream.task.lastEvent)
	if stream.events > 1 {
		stream.runner.scheduler.latencies.observe(stream.replica.ID, gap, now)
	}
}
