package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a job whose owner is lost and that a node does not take over, since it believes to own the job itself: it was cut off when the
// owner took the job over from it.
func TestJobIsTakenBackFromALostOwner(t *testing.T) {
	inWorld(t, 43, func(t *testing.T, world *world) {
		world.silence(time.Hour)   // a is cut off
		world.setEngines(false, 2) // nothing is listed, so that a does not learn of the loss by an append
		former := world.node("a")
		must.NoError(t, former.Submit(t.Context(), newDefinition("job", 2, 1), jobRoute))
		must.NoError(t, world.node("b").TakeOverNode(context.Background(), "a", former.Incarnation, unregistered("a")))
		must.Eq(t, 1, former.OpenJobs(), must.Sprint("a has not noticed"))
		lost := world.kill("b")
		must.NoError(t, world.node("a").TakeOverNode(context.Background(), "b", lost, unregistered("b")))
		world.setEngines(true, 3)
		time.Sleep(5 * time.Second)
		results, err := readAll(context.Background(), world.node("c"), "job")
		must.NoError(t, err)
		must.Eq(t, 2, len(results), must.Sprint("the job has no owner that runs it"))
	})
}

// Guards against a former owner that keeps a job, with nothing left to append: it would answer for the next job of that identifier.
func TestFormerOwnerLearnsOfItsSuccessor(t *testing.T) {
	for name, check := range map[string]struct {
		silence, limit time.Duration // no announcement arrives during the silence
	}{
		"by its announcement":         {0, time.Second},
		"by a repeated announcement":  {2500 * time.Millisecond, 8 * time.Second},
		"by the list of its own jobs": {time.Minute, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 44, func(t *testing.T, world *world) {
				world.silence(check.silence)
				world.setEngines(false, 2)
				former := world.node("a")
				must.NoError(t, former.Submit(t.Context(), newDefinition("job", 2, 1), jobRoute))
				time.Sleep(time.Second)
				must.NoError(t, world.node("b").TakeOverNode(context.Background(), "a", former.Incarnation, unregistered("a")))
				time.Sleep(check.limit)
				must.Eq(t, 0, former.OpenJobs())
				must.Eq(t, 1, world.node("b").OpenJobs())
			})
		})
	}
}
