package batchrun_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// killOwner has node a run a job, kills the node when some results are listed, and returns these.
func (world *world) killOwner(t *testing.T) []*batchv1.Result {
	t.Helper()
	must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
	time.Sleep(500 * time.Millisecond)
	listed, err := readAll(t.Context(), world.node("b"), "job")
	must.NoError(t, err)
	must.SliceNotEmpty(t, listed)
	world.kill("a")
	return listed
}

// restartWithoutSearch restarts a killed node as it is before it has looked for the jobs of its earlier process.
func (world *world) restartWithoutSearch(name string) *batchrun.Runner {
	world.clearLeftoverWorkKey(name)
	return world.start(name)
}

// submitAtNode submits a job as another node does that relays it.
func submitAtNode(ctx context.Context, runner *batchrun.Runner, job *batchv1.Job) error {
	_, err := batchrun.Service{Runner: runner}.Submit(ctx, &batchv1.SubmitRequest{Job: job})
	return err
}

// checkStillListed checks that every node lists the results that were read before, at their positions. A node that cannot tell at the
// moment is asked again.
func (world *world) checkStillListed(t *testing.T, id string, before []*batchv1.Result) {
	t.Helper()
	for _, name := range []string{"a", "b", "c"} {
		results, err := readAll(t.Context(), world.node(name), id)
		for tries := 0; errors.Is(err, batchrun.ErrUncertain) && tries < 20; tries++ {
			time.Sleep(100 * time.Millisecond)
			results, err = readAll(t.Context(), world.node(name), id)
		}
		must.NoError(t, err)
		checkPrefix(t, before, results)
		checkResults(t, results, 1)
	}
}

// Guards against listed results that don't come again: a caller submits a job again at its owner, which has restarted and has not looked
// for the jobs of its earlier process.
func TestResubmittedJobKeepsItsResultsAfterARestart(t *testing.T) {
	inWorld(t, 51, func(t *testing.T, world *world) {
		before := world.killOwner(t)
		must.NoError(t, submitAtNode(t.Context(), world.restartWithoutSearch("a"), newDefinition("job", 30, 1)))
		world.checkStillListed(t, "job", before)
		results := await(t, world.node("c"), "job", 30, 6*time.Second)
		checkPrefix(t, before, results)
		checkResults(t, results, 1)
	})
}

// Guards against the same at the end of the job: the results that the ending owner caches have to be those of the log.
func TestResubmittedJobKeepsItsResultsAfterItsEnd(t *testing.T) {
	inWorld(t, 52, func(t *testing.T, world *world) {
		before := world.killOwner(t)
		must.NoError(t, submitAtNode(t.Context(), world.restartWithoutSearch("a"), newDefinition("job", 30, 1)))
		must.NoError(t, world.node("b").End(t.Context(), noTenant, "job"))
		world.checkStillListed(t, "job", before)
	})
}

// Guards against items that are listed twice: they start early, as the store's answer is lost, and the log lists them from the time before the
// owner's restart.
func TestItemsThatStartedEarlyAreListedOnce(t *testing.T) {
	inWorld(t, 53, func(t *testing.T, world *world) {
		before := world.killOwner(t)
		restarted := world.restartWithoutSearch("a")
		world.store.SetFaults(memstore.Faults{LoseResponses: 1})
		started := total(world.engines)
		must.NoError(t, restarted.Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		must.Greater(t, started, total(world.engines), must.Sprint("no item started early"))
		world.checkStillListed(t, "job", before)
		results := await(t, world.node("c"), "job", 30, 8*time.Second)
		checkPrefix(t, before, results)
		checkResults(t, results, 1)
	})
}

// Guards against a job with no node to run it: its restarted owner accepts it again during an outage, which keeps its search from resuming
// the job, and then hears from another node that the job has an owner, which is itself.
func TestResubmittedJobRunsAfterAnOutage(t *testing.T) {
	inWorld(t, 54, func(t *testing.T, world *world) {
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 30, 1), jobRoute))
		time.Sleep(300 * time.Millisecond)
		world.kill("a")
		world.store.SetFaults(memstore.Faults{Down: true})
		restarted := world.start("a")
		submitted := make(chan error, 1)
		go func() { submitted <- restarted.Submit(context.Background(), newDefinition("job", 30, 1), jobRoute) }()
		time.Sleep(1500 * time.Millisecond)
		world.store.SetFaults(memstore.Faults{})
		must.NoError(t, <-submitted)
		time.Sleep(3 * time.Second)
		record, err := (&batchlog.Log{Store: world.store, Node: "c"}).Load(t.Context(), "job")
		must.NoError(t, err)
		must.Len(t, 30, record.Results, must.Sprint("the job rests"))
	})
}
