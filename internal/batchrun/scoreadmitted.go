package batchrun

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// maxScoreRetryDelay bounds the pause of a text whose calls fail again and again.
	maxScoreRetryDelay = 640 * time.Millisecond
	// routeCheckInterval is how often a waiting text checks that it stays with the service at which it waits.
	routeCheckInterval = 500 * time.Millisecond
)

// admitted is the state of a text whose calls are admitted.
type admitted struct {
	target  string // the name of the service
	service *scoringService
	flow    scoringFlow
	since   time.Time
	granted chan admission.Grant
	// timeouts counts the attempts that ran into their time limit, setbacks those that found no replica or no usable answer.
	timeouts, setbacks int
	// rank is the number of texts that had waited longer than this one when it got its place, besides the number of this node's scoring
	// calls at the service, this one included.
	rank, besides int
	waited        time.Duration // for the last place
}

// scoreAdmitted returns the scorer's signature, or false if the scorer failed as often as its route allows. A text holds a place only while a
// replica works on it: after a refusal or a failure it waits for another.
func (runner *Runner) scoreAdmitted(done *task) (signature string, scored bool) {
	call := &scoringCall{runner: runner, done: done, scorer: done.item.GetScorer()}
	call.since, call.granted = time.Now(), make(chan admission.Grant, 1)
	ctx := done.job.ctx
	for ctx.Err() == nil {
		route := call.chooseTarget()
		if call.target == "" {
			wait.Pause(ctx, scoreRetryDelay)
			continue
		}
		call.flow = scoringFlow{job: done.job, priority: route.Priority}
		grant, granted := call.awaitPlace(ctx)
		if !granted {
			continue
		}
		answer, pause, over := call.attempt(ctx, grant)
		if over {
			return answer.signature, answer.signature != ""
		}
		wait.Pause(ctx, pause)
	}
	return "", false
}

// scoresChanged is called when an item of a job has a result.
func (runner *Runner) scoresChanged(owned *job) {
	if runner.Admission != nil && owned.hasEnough() {
		runner.scores.reconsider(owned)
	}
}

// hasEnough reports whether all groups that the trainer waits for are complete.
func (owned *job) hasEnough() bool {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return owned.progress.WantedComplete()
}

// chooseTarget returns the scorer's route and sets the service that scores the text, which stays the same while the route has it and it has
// replicas.
func (call *scoringCall) chooseTarget() *catalog.Route {
	call.target = ""
	configuration := call.runner.Catalog.Configuration()
	if configuration == nil {
		return nil
	}
	route := configuration.FindRoute(call.scorer.GetHost(), call.scorer.GetPath())
	if route == nil {
		return nil
	}
	call.target = call.serviceOf(route)
	return route
}

// serves reports whether a service can be expected to score texts: it has a replica that is neither draining nor ejected.
func (queue *scoringQueue) serves(service string) bool {
	return queue.runner.Loads.AnyWorking(queue.runner.Catalog.Replicas().Service(service), time.Now())
}

// serviceOf returns the service of a route that scores the text.
func (call *scoringCall) serviceOf(route *catalog.Route) string {
	drawn := ""
	if call.service != nil {
		drawn = call.service.name
	}
	return chooseService(route, drawn, call.runner.scores.serves)
}

// keepsService reports whether the text stays with the service at which it waits.
func (call *scoringCall) keepsService() bool {
	configuration := call.runner.Catalog.Configuration()
	if configuration == nil {
		return true
	}
	route := configuration.FindRoute(call.scorer.GetHost(), call.scorer.GetPath())
	return route != nil && call.serviceOf(route) == call.service.name
}

// awaitPlace waits for a place. It returns false without one if the job has ended or another service scores the text.
func (call *scoringCall) awaitPlace(ctx context.Context) (grant admission.Grant, granted bool) {
	began := time.Now()
	call.runner.scores.add(call)
	ticker := time.NewTicker(routeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case grant := <-call.granted:
			call.waited = time.Since(began)
			call.runner.Metrics.ScoringWait(call.waited)
			return grant, true
		case <-ctx.Done():
		case <-ticker.C:
			if call.keepsService() {
				continue
			}
		}
		if call.runner.scores.remove(call) {
			return admission.Grant{}, false
		}
		call.runner.scores.release(call, <-call.granted, admission.Outcome{})
		return admission.Grant{}, false
	}
}

func (call *scoringCall) routeLeadsTo(service string) bool {
	configuration := call.runner.Catalog.Configuration()
	if configuration == nil {
		return true
	}
	route := configuration.FindRoute(call.scorer.GetHost(), call.scorer.GetPath())
	return route != nil && slices.ContainsFunc(route.Targets, func(target catalog.RouteTarget) bool { return target.Service == service && target.Weight > 0 })
}

// attempt makes one call in a granted place, which it returns. over is true if the text is scored or may not be tried again; otherwise the
// text waits for a place again after the pause.
func (call *scoringCall) attempt(ctx context.Context, grant admission.Grant) (answer scoreAnswer, pause time.Duration, over bool) {
	runner := call.runner
	outcome := admission.Outcome{}
	defer func() { runner.scores.release(call, grant, outcome) }()
	route, replica := call.replica()
	if ctx.Err() != nil || route == nil {
		return scoreAnswer{}, 0, false
	}
	if replica == nil {
		call.tried = nil
		return scoreAnswer{}, call.backOff(), false
	}
	limit := runner.scores.limit(call)
	if route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	call.attempts++
	answer = runner.scoreOnce(call.done, call.scorer, replica, limit)
	if ctx.Err() != nil {
		return answer, 0, false
	}
	result := answer.result()
	runner.Metrics.ScoringCall(result.String(), answer.took)
	call.tried = append(call.tried, replica.ID)
	switch result {
	case scoreServed:
		outcome.ServiceTime = answer.took
		runner.scores.observe(call.service, answer.took)
		return answer, 0, true
	case scoreFailed:
		call.failures++
		over, pause = call.failures >= max(route.MaxAttempts, 1), scoreRetryDelay
	case scoreTimedOut:
		outcome.AtLeast = answer.took
		call.timeouts++
		if !answer.timedOut { // the replica cut it off, perhaps at once
			pause = call.backOff()
		}
	default:
		outcome.Full = result == scoreFull
		pause = call.backOff()
	}
	runner.Logger.Info("scorer call", "request", call.scorer.GetId(), "item", call.done.item.GetId(), "job", call.done.job.id(), "replica", replica.ID, "status", answer.status,
		"outcome", result, "attempt", call.attempts, "waited_ms", call.waited.Milliseconds(), "took_ms", answer.took.Milliseconds(), "limit_ms", limit.Milliseconds(),
		"in_flight", call.besides, "rank", call.rank, "error", answer.err)
	return scoreAnswer{}, pause, over
}

// replica picks the replica for the next attempt. It returns no route if the route no longer leads to the service of the place.
func (call *scoringCall) replica() (*catalog.Route, *catalog.Replica) {
	configuration := call.runner.Catalog.Configuration()
	if configuration == nil {
		return nil, nil
	}
	route := configuration.FindRoute(call.scorer.GetHost(), call.scorer.GetPath())
	if route == nil || !call.routeLeadsTo(call.service.name) {
		return nil, nil
	}
	picker := backend.Picker{Loads: call.runner.Loads, Zone: call.runner.Zone}
	return route, picker.Pick(call.runner.Catalog.Replicas().Service(call.service.name), call.tried, time.Now())
}

func (call *scoringCall) backOff() time.Duration {
	call.setbacks++
	return scoreBackoff(call.setbacks, rand.Float64())
}

// scoreBackoff returns the pause after a number of setbacks. chance, from 0 to 1, spreads texts that failed together. Without it all texts of a
// step would call a service that fails at once as fast as their places allow.
func scoreBackoff(setbacks int, chance float64) time.Duration {
	longest := min(scoreRetryDelay<<min(setbacks-1, 8), maxScoreRetryDelay)
	return longest/2 + time.Duration(chance*float64(longest/2))
}

// scoreResult classifies the end of a scoring call.
type scoreResult int

const (
	scoreServed   scoreResult = iota
	scoreFailed               // status 500
	scoreFull                 // the replica had no room
	scoreRefused              // not run for another reason
	scoreTimedOut             // cut off at the time limit, here or by the replica
	scoreBroken               // no complete response
	scoreUnusable             // another status, or no signature
)

var scoreResultNames = [...]string{"served", "failed", "full", "refused", "timed_out", "broken", "unusable"}

// String returns the name used in logs and metrics.
func (result scoreResult) String() string { return scoreResultNames[result] }

func (answer *scoreAnswer) result() scoreResult {
	switch {
	case answer.full:
		return scoreFull
	case answer.refused:
		return scoreRefused
	case answer.timedOut, answer.status == http.StatusGatewayTimeout:
		return scoreTimedOut
	case answer.err != nil:
		return scoreBroken
	case answer.status == http.StatusInternalServerError:
		return scoreFailed
	case answer.status >= http.StatusOK && answer.status < http.StatusMultipleChoices && answer.signature != "":
		return scoreServed
	}
	return scoreUnusable
}
