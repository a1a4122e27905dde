package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// fixedRoom gives each service the same number of places, and counts the outcomes.
type fixedRoom struct {
	limit int

	mu         sync.Mutex
	full, took int
}

// Limit implements admission.Room.
func (room *fixedRoom) Limit(string) int { return room.limit }

// Observe implements admission.Room.
func (room *fixedRoom) Observe(_ string, outcome admission.Outcome, _ int) {
	room.mu.Lock()
	defer room.mu.Unlock()
	if outcome.Full {
		room.full++
	}
	if outcome.ServiceTime > 0 {
		room.took++
	}
}

// scorers simulates the replicas of a scoring service.
type scorers struct {
	mu sync.Mutex
	// took is how long a call takes.
	took time.Duration
	// full is the number of calls that are refused, failing the number that are answered with 500; each call takes one.
	full, failing    int
	hanging          string // a replica that does not answer
	fullAt           string // a replica that refuses each call
	unusable         bool   // calls are answered with 404 at once
	endless          int    // the number of answers to come that have no end
	unreachable      string // a request that reaches no replica until unreachableUntil
	unreachableUntil time.Time
	inFlight, most   int
	calls            []scorerCall
}

type scorerCall struct {
	request, replica string
	at               time.Time
}

func (scorers *scorers) send(ctx context.Context, replica *catalog.Replica, request *backend.Request) (*backend.Response, error) {
	scorers.mu.Lock()
	if scorers.unreachable == request.ID && time.Now().Before(scorers.unreachableUntil) {
		scorers.mu.Unlock()
		return nil, errors.Mark(backend.ErrConnectionRefused, backend.ErrNotSent)
	}
	scorers.calls = append(scorers.calls, scorerCall{request.ID, replica.ID, time.Now()})
	scorers.inFlight++
	scorers.most = max(scorers.most, scorers.inFlight)
	took, hangs, status := scorers.took, scorers.hanging == replica.ID, http.StatusOK
	refused := scorers.full > 0 || scorers.fullAt == replica.ID
	switch {
	case refused:
		scorers.full--
		took, status = time.Millisecond, http.StatusServiceUnavailable
	case scorers.unusable:
		took, status = time.Millisecond, http.StatusNotFound
	case scorers.failing > 0:
		scorers.failing--
		status = http.StatusInternalServerError
	}
	endless := scorers.endless > 0
	scorers.endless--
	scorers.mu.Unlock()
	defer func() {
		scorers.mu.Lock()
		defer scorers.mu.Unlock()
		scorers.inFlight--
	}()
	if hangs {
		took = time.Hour
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(took):
	}
	response := answer(status, "score of "+request.ID, strings.NewReader(""))
	if endless {
		response.Body = io.NopCloser(endlessReader{})
	}
	response.NotExecuted = refused
	return response, nil
}

// endlessReader yields bytes without end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

func (scorers *scorers) set(change func()) {
	scorers.mu.Lock()
	defer scorers.mu.Unlock()
	change()
}

// callsOf returns the calls of a job's items in order.
func (scorers *scorers) callsOf(job string) []scorerCall {
	scorers.mu.Lock()
	defer scorers.mu.Unlock()
	var calls []scorerCall
	for _, call := range scorers.calls {
		if strings.HasPrefix(call.request, "s"+job+"-") {
			calls = append(calls, call)
		}
	}
	return calls
}

const scorerReplicas = 39

// inScoringWorld runs a test in a world with 39 scoring replicas of 6 slots, where nodes have the given room, and engines that complete
// all texts of a step at about the same time.
func inScoringWorld(t *testing.T, room int, took time.Duration, run func(t *testing.T, world *world, scorers *scorers)) {
	inWorld(t, 40, func(t *testing.T, world *world) {
		scorers := &scorers{took: took}
		world.engines.scorer = scorers
		held := []catalog.ModelVersion{{Model: "m", Version: 1}}
		replicas := []catalog.Replica{{ID: "e1", Service: "engine", Slots: 400, Models: held}, {ID: "e2", Service: "engine", Slots: 400, Models: held}}
		for index := range scorerReplicas {
			replicas = append(replicas, catalog.Replica{ID: fmt.Sprint("s", index), Service: "scorer", Slots: 6})
		}
		world.catalog.SetReplicas(replicas, 2)
		world.room = &fixedRoom{limit: room}
		for _, name := range []string{"a", "b", "c"} {
			world.kill(name)
			world.start(name)
		}
		time.Sleep(200 * time.Millisecond)
		run(t, world, scorers)
	})
}

// awaitAfter submits a job at a node and returns its results and how long it took until all were listed.
func awaitAfter(t *testing.T, world *world, definition *batchv1.Job) time.Duration {
	t.Helper()
	started := time.Now()
	must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
	results := await(t, world.node("a"), definition.GetId(), len(definition.GetItems()), 20*time.Second)
	checkResults(t, results, 1)
	for _, result := range results {
		must.False(t, result.GetTerminated())
	}
	return time.Since(started)
}

// Guards against a step whose scores wait for each other while the scoring service is idle.
func TestScoresUseTheRoomThatThereIs(t *testing.T) {
	inScoringWorld(t, scorerReplicas*6, 200*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		must.Less(t, jobRoute.JobObjective/5, awaitAfter(t, world, newDefinition("job", 160, 1)))
		must.Len(t, 160, scorers.calls)
	})
}

// Guards against more scoring calls than places.
func TestScoresKeepWithinTheRoom(t *testing.T) {
	inScoringWorld(t, 5, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		awaitAfter(t, world, newDefinition("job", 80, 1))
		must.Eq(t, 5, scorers.most)
		must.Len(t, 80, scorers.calls)
	})
}

// Guards against a small step that waits for all texts of a large one.
func TestScoresOfASmallStepBesideALargeOne(t *testing.T) {
	inScoringWorld(t, 4, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("large", 160, 1), jobRoute))
		time.Sleep(500 * time.Millisecond)
		small := awaitAfter(t, world, newDefinition("small", 8, 1))
		must.Less(t, 2*time.Second, small)
		must.Less(t, 120, len(scorers.callsOf("large")))
		await(t, world.node("a"), "large", 160, 10*time.Second)
	})
}

// Guards against scoring texts of many groups side by side, which completes all groups late.
func TestScoresCompleteGroups(t *testing.T) {
	inScoringWorld(t, 2, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 40, 1), jobRoute))
		time.Sleep(1500 * time.Millisecond)
		groups := make(map[string]int)
		definition := newDefinition("job", 40, 1)
		for _, call := range scorers.callsOf("job") {
			for _, item := range definition.GetItems() {
				if item.GetScorer().GetId() == call.request {
					groups[item.GetGroup()]++
				}
			}
		}
		begun := 0
		for _, count := range groups {
			if count < 2 {
				begun++
			}
		}
		must.LessEq(t, 3, begun, must.Sprint(groups))
	})
}

// Guards against texts that wait for more scores than the trainer needs, while the texts of another step wait.
func TestScoresOfAStepWithEnoughGiveWay(t *testing.T) {
	inScoringWorld(t, 2, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		definition := newDefinition("enough", 60, 1)
		definition.WantedGroups = 4
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		for len(scorers.callsOf("enough")) < 12 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		started := time.Now()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		await(t, world.node("a"), "job", 20, 5*time.Second)
		calls := scorers.callsOf("job")
		must.Less(t, 1500*time.Millisecond, calls[len(calls)-1].at.Sub(started))
		between := 0
		for _, call := range scorers.callsOf("enough") {
			if call.at.After(calls[0].at) && call.at.Before(calls[len(calls)-1].at) {
				between++
			}
		}
		must.LessEq(t, 4, between)
		must.StrContains(t, world.lineOf("scores give way"), "job=enough")
		await(t, world.node("a"), "enough", 60, 10*time.Second)
	})
}

// Guards against cutting off each call of a service that has become slower, and against a limit that stays high for a hanging replica.
func TestScoresOfAServiceThatBecomesSlower(t *testing.T) {
	inScoringWorld(t, 40, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		awaitAfter(t, world, newDefinition("before", 80, 1))
		scorers.set(func() { scorers.took = 800 * time.Millisecond })
		must.Less(t, jobRoute.JobObjective, awaitAfter(t, world, newDefinition("slow", 80, 1)))
		must.Less(t, 80*5/2, len(scorers.callsOf("slow")))
		must.StrContains(t, world.lineOf("scorer call"), "outcome=timed_out")
	})
}

// Guards against texts that stay at a replica which does not answer.
func TestScoresLeaveAReplicaThatHangs(t *testing.T) {
	inScoringWorld(t, 40, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		awaitAfter(t, world, newDefinition("before", 80, 1))
		scorers.set(func() { scorers.hanging = "s7" })
		must.Less(t, 2*time.Second, awaitAfter(t, world, newDefinition("job", 80, 1)))
		checkTriedOnce(t, scorers.callsOf("job"), "s7")
	})
}

// Guards against texts that return to a replica which refuses them, and seems idle because of that.
func TestScoresLeaveAReplicaThatIsFull(t *testing.T) {
	inScoringWorld(t, 40, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		scorers.set(func() { scorers.fullAt = "s7" })
		awaitAfter(t, world, newDefinition("job", 160, 1))
		checkTriedOnce(t, scorers.callsOf("job"), "s7")
	})
}

// checkTriedOnce checks that a replica got calls, and none of them again.
func checkTriedOnce(t *testing.T, calls []scorerCall, replica string) {
	t.Helper()
	tried := make(map[string]int)
	for _, call := range calls {
		if call.replica == replica {
			tried[call.request]++
		}
	}
	must.MapNotEmpty(t, tried)
	for request, times := range tried {
		must.Eq(t, 1, times, must.Sprint(request))
	}
}

// Guards against texts that are given up, or that hold their places, while replicas refuse them.
func TestScoresOfAFullService(t *testing.T) {
	inScoringWorld(t, 10, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		scorers.set(func() { scorers.full = 60 })
		must.Less(t, 3*time.Second, awaitAfter(t, world, newDefinition("job", 30, 1)))
		must.Len(t, 90, scorers.calls)
		must.Eq(t, 60, world.room.(*fixedRoom).full)
		must.Eq(t, 30, world.room.(*fixedRoom).took)
		must.StrContains(t, world.lineOf("scorer call"), "outcome=full")
	})
}

// Guards against calling a service that fails at once as fast as there are places.
func TestScoresOfAServiceThatFailsAtOnce(t *testing.T) {
	inScoringWorld(t, 200, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		scorers.set(func() { scorers.unusable = true })
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 40, 1), jobRoute))
		time.Sleep(5 * time.Second)
		must.Between(t, 40*5, len(scorers.callsOf("job")), 40*15)
		scorers.set(func() { scorers.unusable = false })
		checkResults(t, await(t, world.node("a"), "job", 40, 1500*time.Millisecond), 1)
	})
}

// Guards against giving up a text before its scorer has failed as often as the route allows, and against calls after that.
func TestScoresThatFail(t *testing.T) {
	inScoringWorld(t, 10, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		scorers.set(func() { scorers.failing = 2 })
		awaitAfter(t, world, newDefinition("other", 1, 1))
		must.Len(t, 3, scorers.callsOf("other"))
		scorers.set(func() { scorers.failing = 1000 })
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 4, 1), jobRoute))
		for _, result := range await(t, world.node("a"), "job", 4, 5*time.Second) {
			must.True(t, result.GetTerminated())
		}
		must.Len(t, 4*3, scorers.callsOf("job"))
	})
}

// Guards against calls after the end of a job.
func TestScoresEndWithTheirJob(t *testing.T) {
	inScoringWorld(t, 2, 200*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 80, 1), jobRoute))
		time.Sleep(1500 * time.Millisecond)
		must.NoError(t, world.node("b").End(t.Context(), noTenant, "job"))
		before := len(scorers.callsOf("job"))
		must.Positive(t, before)
		time.Sleep(5 * time.Second)
		must.Eq(t, before, len(scorers.callsOf("job")))
		must.Eq(t, 0, scorers.inFlight)
	})
}

// Guards against generating texts again that waited for their score when their node was killed.
func TestTextsThatWaitForTheirScoreOutliveTheirNode(t *testing.T) {
	inScoringWorld(t, 2, 500*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition(mediumItem, 12, 1), jobRoute))
		time.Sleep(2800 * time.Millisecond)
		started := world.engines.started()
		incarnation := world.kill("a")
		before := len(scorers.callsOf(mediumItem))
		must.Less(t, 12, before)
		must.NoError(t, world.node("b").TakeOverNode(t.Context(), "a", incarnation, unregistered("a")))
		checkResults(t, await(t, world.node("c"), mediumItem, 12, 8*time.Second), 1)
		must.Eq(t, started, world.engines.started(), must.Sprint("items ran again"))
	})
}

// Guards against a text that reaches no replica and keeps its place from others.
func TestUnreachableScoresLeaveTheirPlace(t *testing.T) {
	inScoringWorld(t, 1, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		definition := newDefinition("job", 12, 1)
		unreachable := definition.GetItems()[0].GetScorer().GetId()
		scorers.set(func() { scorers.unreachable, scorers.unreachableUntil = unreachable, time.Now().Add(3*time.Second) })
		must.NoError(t, world.node("a").Submit(t.Context(), definition, jobRoute))
		await(t, world.node("a"), "job", 11, 2*time.Second)
		checkResults(t, await(t, world.node("a"), "job", 12, 3*time.Second), 1)
		calls := scorers.callsOf("job")
		must.Len(t, 12, calls)
		must.Eq(t, unreachable, calls[11].request)
	})
}

// Guards against a score that is taken from an answer which has no end.
func TestScoreOfAnAnswerWithoutEndIsNotTaken(t *testing.T) {
	inScoringWorld(t, 4, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		const items, endless = 100, 20
		scorers.set(func() { scorers.endless = endless })
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", items, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", items, 8*time.Second), 1)
		must.Len(t, items+endless, scorers.callsOf("job"))
	})
}

// Guards against texts of a step that its trainer has given up which keep places from another step, and against losing them.
func TestScoresOfAStepThatIsGivenUpGiveWay(t *testing.T) {
	inScoringWorld(t, 1, 100*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		configuration := *world.catalog.Configuration()
		configuration.Version++
		configuration.Routes[0].JobObjective, configuration.Routes[0].MaxQueue = 2*time.Second, 3*time.Second
		configuration.Index()
		world.catalog.SetConfiguration(&configuration)
		short := &catalog.Route{Kind: catalog.Batch, JobObjective: 2 * time.Second}
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("late", 60, 1), short))
		time.Sleep(3100 * time.Millisecond)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 8, 1), short))
		await(t, world.node("a"), "job", 8, 2*time.Second)
		calls := scorers.callsOf("job")
		for _, call := range scorers.callsOf("late") {
			must.False(t, call.at.After(calls[0].at) && call.at.Before(calls[7].at))
		}
		await(t, world.node("a"), "late", 60, 6*time.Second)
	})
}

// Guards against texts that wait at a service to which their route no longer leads.
func TestScoresFollowTheirRoute(t *testing.T) {
	inScoringWorld(t, 1, 1400*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 8, 1), jobRoute))
		for len(scorers.callsOf("job")) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		replicas := []catalog.Replica{{ID: "other", Service: "scorer2", Slots: 6}}
		for replica := range world.catalog.Replicas().All().Each() {
			replicas = append(replicas, *replica)
		}
		world.catalog.SetReplicas(replicas, 3)
		configuration := *world.catalog.Configuration()
		configuration.Version++
		configuration.Routes = append([]catalog.Route{}, configuration.Routes...)
		configuration.Routes[1].Targets = []catalog.RouteTarget{{Service: "scorer2", Weight: 1}}
		configuration.Index()
		changed := time.Now()
		world.catalog.SetConfiguration(&configuration)
		scorers.set(func() { scorers.took = 100 * time.Millisecond })
		checkResults(t, await(t, world.node("a"), "job", 8, 10*time.Second), 1)
		calls := scorers.callsOf("job")
		must.Less(t, 600*time.Millisecond, calls[1].at.Sub(changed))
		for _, call := range calls {
			must.Eq(t, call.at.After(changed), call.replica == "other")
		}
	})
}
