package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// setEngines registers the engines, or none of them. The items of a job wait while there is none, so that its owner writes nothing to
// the log.
func (world *world) setEngines(registered bool, revision int64) {
	replicas := []catalog.Replica{{ID: "s1", Service: "scorer", Slots: 9}}
	if registered {
		held := []catalog.ModelVersion{{Model: "m", Version: 1}}
		replicas = append(replicas, catalog.Replica{ID: "e1", Service: "engine", Slots: 4, Models: held})
	}
	world.catalog.SetReplicas(replicas, revision)
}

// checkNothingStarts checks that no item of an ended job starts once engines are free again, later than callers allow after an end.
func (world *world) checkNothingStarts(t *testing.T) {
	t.Helper()
	time.Sleep(2500 * time.Millisecond)
	world.setEngines(true, 3)
	time.Sleep(2 * time.Second)
	must.Eq(t, 0, world.engines.started(), must.Sprint("items of an ended job started"))
	for _, name := range []string{"a", "b", "c"} {
		must.Eq(t, 0, world.node(name).OpenJobs(), must.Sprint("the ended job still runs at ", name))
	}
}

// Guards against a successor that runs a job on after its former owner, which did not know of the successor yet, has ended it.
func TestFormerOwnerEndsAJobThatWasTakenOver(t *testing.T) {
	inWorld(t, 41, func(t *testing.T, world *world) {
		world.silence(time.Hour)
		world.setEngines(false, 2)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 6, 1), jobRoute))
		request := &batchv1.TakeOverRequest{JobId: "job", From: "a", Life: world.node("a").Incarnation}
		_, err := batchrun.Service{Runner: world.node("b")}.TakeOver(t.Context(), request)
		must.NoError(t, err)
		must.NoError(t, world.node("a").End(t.Context(), noTenant, "job"))
		world.checkNothingStarts(t)
	})
}

// Guards against a node that resumes a job which ended while the node was taking it over.
func TestJobEndsWhileItIsTakenOver(t *testing.T) {
	inWorld(t, 42, func(t *testing.T, world *world) {
		world.setEngines(false, 2)
		world.keptDelay = 600 * time.Millisecond
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 6, 1), jobRoute))
		incarnation := world.kill("a")
		taken := make(chan error, 1)
		go func() {
			taken <- world.node("b").TakeOverNode(context.Background(), "a", incarnation, unregistered("a"))
		}()
		time.Sleep(200 * time.Millisecond)
		must.NoError(t, world.node("c").End(t.Context(), noTenant, "job"))
		must.NoError(t, <-taken)
		world.start("a")
		world.checkNothingStarts(t)
	})
}
