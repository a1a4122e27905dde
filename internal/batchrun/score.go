package batchrun

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	scoreRetryDelay = 40 * time.Millisecond
	// maxScoreBytes bounds the body of a scorer's answer, which is read to see that the answer is whole. Only its signature is used.
	maxScoreBytes = 1 << 20
)

// errScoreTooLong is returned for a scorer's answer of more than maxScoreBytes, which may have no end.
var errScoreTooLong = errors.New("the scorer's answer is too long")

// score requests the score of a complete text and finishes the item. It is called at the end of the item's last attempt.
func (runner *Runner) score(done *task) {
	signature, scored := "", true
	started := time.Now()
	done.enter(stageScoring, started)
	switch {
	case done.item.GetScorer() == nil:
	case runner.Admission != nil:
		done.queueSaveComplete()
		signature, scored = runner.scoreAdmitted(done)
	default:
		signature, scored = runner.callScorer(done)
	}
	if done.job.ctx.Err() != nil {
		runner.keep(done, true)
		return
	}
	if done.item.GetScorer() != nil {
		done.job.recordScored(time.Since(started))
	}
	if !scored {
		runner.terminate(done, reasonScorer)
		return
	}
	done.job.finish(&batchv1.Result{ItemId: done.item.GetId(), Text: done.text, Versions: done.versions, Score: signature})
	runner.scoresChanged(done.job)
}

// callScorer returns the scorer's signature, or false if the scorer failed as often as its route allows. A call occupies one of
// the scoring slots through its retries, so that a burst of failures opens no additional connections.
func (runner *Runner) callScorer(done *task) (signature string, scored bool) {
	select {
	case runner.scoring <- struct{}{}:
	case <-done.job.ctx.Done():
		return "", false
	}
	defer func() { <-runner.scoring }()
	call := &scoringCall{runner: runner, done: done, scorer: done.item.GetScorer()}
	return call.try()
}

// scoringCall is the scoring of one text.
type scoringCall struct {
	runner             *Runner
	done               *task
	scorer             *batchv1.Scorer
	tried              []string
	attempts, failures int
	// admitted is used if places are granted by admission.
	admitted
}

// try calls one replica after the other.
func (call *scoringCall) try() (signature string, scored bool) {
	runner, ctx := call.runner, call.done.job.ctx
	for ctx.Err() == nil {
		route, replica := runner.scorerReplica(call.scorer, call.tried)
		if replica == nil {
			call.tried = nil
			wait.Pause(ctx, scoreRetryDelay)
			continue
		}
		call.attempts++
		limit := scoreTimeout
		if route.Timeout > 0 {
			limit = min(limit, route.Timeout)
		}
		answer := runner.scoreOnce(call.done, call.scorer, replica, limit)
		status, signature, err := answer.status, answer.signature, answer.err
		if status != http.StatusOK || signature == "" {
			runner.Logger.Info("scorer call", "request", call.scorer.GetId(), "item", call.done.item.GetId(), "replica", replica.ID, "status", status,
				"attempt", call.attempts, "error", err)
		}
		switch {
		case status >= http.StatusOK && status < http.StatusMultipleChoices && signature != "":
			return signature, true
		case status == http.StatusInternalServerError:
			call.failures++
			if call.failures >= max(route.MaxAttempts, 1) {
				return "", false
			}
		}
		call.tried = append(call.tried, replica.ID)
		wait.Pause(ctx, scoreRetryDelay)
	}
	return "", false
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
	picker := backend.Picker{Loads: runner.Loads, Zone: runner.Zone}
	service := chooseService(route, "", runner.scores.serves)
	return route, picker.Pick(runner.Catalog.Replicas().Service(service), tried, time.Now())
}

// scoreAnswer is the answer to one scoring request. status is 0 without a complete response, for the reason in err.
type scoreAnswer struct {
	status    int
	signature string
	err       error
	// refused is true if the replica did not run the request, full if that was for lack of room.
	refused, full bool
	// timedOut is true if the request ran into its time limit.
	timedOut bool
	took     time.Duration
}

// scoreOnce sends one scoring request, which may take as long as limit.
func (runner *Runner) scoreOnce(done *task, scorer *batchv1.Scorer, replica *catalog.Replica, limit time.Duration) (answer scoreAnswer) {
	ctx, cancel := context.WithTimeout(done.job.ctx, limit)
	defer cancel()
	started := time.Now()
	runner.Loads.Begin(replica.ID, started)
	ended := backend.Failed
	defer func() {
		runner.Loads.End(replica.ID, ended, time.Now())
		answer.took = time.Since(started)
		answer.timedOut = answer.err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)
	}()
	response, err := runner.Sender.Send(ctx, replica, &backend.Request{
		ID: scorer.GetId(), Method: http.MethodPost, Host: scorer.GetHost(), Target: scorer.GetPath(), Header: http.Header{},
		Body: scorer.GetBody(), Deadline: limit, Priority: -1,
	})
	if err != nil {
		return scoreAnswer{err: err}
	}
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxScoreBytes+1))
	if err == nil && read > maxScoreBytes {
		err = errScoreTooLong
	}
	if err != nil {
		return scoreAnswer{err: err}
	}
	if !response.Misdirected() {
		ended = backend.Served
	}
	if response.NotExecuted {
		full := response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests
		return scoreAnswer{status: http.StatusServiceUnavailable, refused: true, full: full}
	}
	return scoreAnswer{status: response.Status, signature: response.Signature}
}
