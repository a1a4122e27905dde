package batchrun

import (
	"context"
	"io"
	"net/http"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	scorePause = 40 * time.Millisecond
	// scoreReadLimit bounds how much of a scorer's answer is read; only its signature is used.
	scoreReadLimit = 1 << 20
	scoreTimeout   = 1500 * time.Millisecond
)

// score has a whole text scored and finishes the item. It is called at the end of the item's last attempt.
func (runner *Runner) score(done *task) {
	stamp, given := "", true
	if done.item.GetScorer() != nil {
		stamp, given = runner.callScorer(done)
	}
	if done.job.ctx.Err() != nil {
		runner.keep(done, true)
		return
	}
	if !given {
		runner.terminate(done, reasonScorer)
		return
	}
	done.job.finish(&batchv1.Result{ItemId: done.item.GetId(), Text: done.text, Versions: done.versions, Score: stamp})
}

// callScorer returns the scorer's signature, or that it failed as often as its route allows. A call keeps its place among the scoring requests
// in flight through its retries, so that a burst of failures opens no further connections (3,060 in place of 3,304 on a quiet day of 250
// nodes); one that is held, which may take seconds, does not.
func (runner *Runner) callScorer(done *task) (stamp string, given bool) {
	call := &scoringCall{runner: runner, done: done, scorer: done.item.GetScorer()}
	for {
		select {
		case runner.scoring <- struct{}{}:
		case <-done.job.ctx.Done():
			return "", false
		}
		stamp, given, held := call.try()
		<-runner.scoring
		if !held {
			return stamp, given
		}
		wait.Pause(done.job.ctx, pauseAfterHold)
	}
}

// scoringCall is the scoring of one text.
type scoringCall struct {
	runner             *Runner
	done               *task
	scorer             *batchv1.Scorer
	tried              []string
	attempts, failures int
}

// try asks one replica after the other. Held says that the request is not to be sent now, since replicas have ended under it.
func (call *scoringCall) try() (stamp string, given, held bool) {
	runner, ctx := call.runner, call.done.job.ctx
	for ctx.Err() == nil {
		route, replica := runner.scorerReplica(call.scorer, call.tried)
		if replica == nil {
			call.tried = nil
			wait.Pause(ctx, scorePause)
			continue
		}
		call.attempts++
		status, signature, err := runner.scoreOnce(call.done, call.scorer, route, replica)
		if backend.IsHeld(err) {
			return "", false, true
		}
		if status != http.StatusOK || signature == "" {
			runner.Logger.Info("scorer call", "request", call.scorer.GetId(), "item", call.done.item.GetId(), "replica", replica.ID, "status", status,
				"attempt", call.attempts, "error", err)
		}
		switch {
		case status >= http.StatusOK && status < http.StatusMultipleChoices && signature != "":
			return signature, true, false
		case status == http.StatusInternalServerError:
			call.failures++
			if call.failures >= max(route.MaxAttempts, 1) {
				return "", false, false
			}
		}
		call.tried = append(call.tried, replica.ID)
		wait.Pause(ctx, scorePause)
	}
	return "", false, false
}

// scorerReplica picks the replica for a scoring request by the route of its host and path.
func (runner *Runner) scorerReplica(scorer *batchv1.Scorer, tried []string) (*catalog.Route, *catalog.Replica) {
	configuration := runner.Catalog.Configuration()
	if configuration == nil {
		return nil, nil
	}
	route := configuration.FindRoute(scorer.GetHost(), scorer.GetPath())
	if route == nil {
		return nil, nil
	}
	choice := backend.Choice{Loads: runner.Loads, Zone: runner.Zone}
	service := forwarding.PickPart(route.Parts)
	return route, choice.Pick(runner.Catalog.Replicas().Service(service), tried, time.Now())
}

// scoreOnce returns the status and signature of one scoring request; status 0 with an error when no whole answer came.
func (runner *Runner) scoreOnce(done *task, scorer *batchv1.Scorer, route *catalog.Route, replica *catalog.Replica) (status int, signature string, err error) {
	limit := scoreTimeout
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	ctx, cancel := context.WithTimeout(done.job.ctx, limit)
	defer cancel()
	runner.Loads.Begin(replica.ID, time.Now())
	ended := backend.Failed
	defer func() { runner.Loads.End(replica.ID, ended, time.Now()) }()
	answer, err := runner.Sender.Send(ctx, replica, &backend.Request{
		ID: scorer.GetId(), Method: http.MethodPost, Host: scorer.GetHost(), Target: scorer.GetPath(), Header: http.Header{},
		Body: scorer.GetBody(), Deadline: limit, Priority: -1, Exclusive: true,
	})
	if err != nil {
		if backend.IsHeld(err) {
			ended = backend.Unknown
		}
		return 0, "", err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, scoreReadLimit)); err != nil {
		return 0, "", err
	}
	ended = backend.Served
	if answer.NotExecuted {
		return http.StatusServiceUnavailable, "", nil
	}
	return answer.Status, answer.Stamp, nil
}
