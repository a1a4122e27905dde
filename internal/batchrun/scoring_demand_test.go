package batchrun

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// refusingAdmitter refuses the first requests, and records when and what was asked.
type refusingAdmitter struct {
	admitter
	mu      sync.Mutex
	noRoom  bool
	refuse  int
	asked   []time.Time
	demands []admission.Demand
}

// Admit implements admitter.
func (refusing *refusingAdmitter) Admit(ctx context.Context, demand admission.Demand) (admission.Grant, error) {
	refusing.mu.Lock()
	refusing.asked, refusing.demands = append(refusing.asked, time.Now()), append(refusing.demands, demand)
	refused := len(refusing.asked) <= refusing.refuse
	refusing.mu.Unlock()
	if refused {
		return admission.Grant{}, &admission.RefusedError{Reason: "backlog", RetryAfter: 700 * time.Millisecond}
	}
	return refusing.admitter.Admit(ctx, demand)
}

// HasRoom implements admitter.
func (refusing *refusingAdmitter) HasRoom(service string) bool {
	refusing.mu.Lock()
	defer refusing.mu.Unlock()
	return !refusing.noRoom && refusing.admitter.HasRoom(service)
}

type onePlace struct{}

func (onePlace) Limit(string) int { return 1 }

func (onePlace) Observe(string, admission.Outcome, int) {}

type scoringSender struct{}

// Send implements backend.Sender.
func (scoringSender) Send(context.Context, *catalog.Replica, *backend.Request) (*backend.Response, error) {
	return &backend.Response{Status: http.StatusOK, Signature: "signed", Body: io.NopCloser(strings.NewReader(""))}, nil
}

// newScoringRunner returns a runner whose requests for places go to the admitter, and a text of a job of two groups, of which the trainer
// wants one.
func newScoringRunner(t testing.TB) (*Runner, *refusingAdmitter, *task) {
	t.Helper()
	table := catalog.NewTable()
	configuration := &catalog.Configuration{Version: 1, Routes: []catalog.Route{
		{Name: "jobs", Host: "h", Prefix: "/jobs/", Kind: catalog.Batch, JobObjective: 8 * time.Second, MaxQueue: 20 * time.Second, Targets: []catalog.RouteTarget{{Service: "engine", Weight: 1}}},
		{Name: "score", Host: "h", Prefix: "/score/", Priority: 2, Targets: []catalog.RouteTarget{{Service: "scorer", Weight: 1}}},
	}}
	configuration.Index()
	table.SetConfiguration(configuration)
	table.SetReplicas([]catalog.Replica{{ID: "s1", Service: "scorer", Slots: 1}}, 1)
	runner := New(Options{
		Catalog: table, Loads: backend.NewLoads(), Sender: scoringSender{}, Logger: log.New(io.Discard), Flush: batch.FlushPolicy{MaxWait: 800 * time.Millisecond},
		Admission: admission.NewController(onePlace{}),
	})
	t.Cleanup(runner.Close)
	refusing := &refusingAdmitter{admitter: runner.Admission}
	runner.scores.admitter = refusing
	job := &batchv1.Job{Id: "j", Host: "h", Path: "/jobs/j", Model: "m", WantedGroups: 1}
	for _, id := range []string{"i", "other"} {
		job.Items = append(job.Items, &batchv1.Item{Id: id, Path: "/jobs/x", Group: id, Scorer: &batchv1.Scorer{Id: "s" + id, Host: "h", Path: "/score/"}})
	}
	return runner, refusing, &task{job: newJob(runner.ctx, job, 8*time.Second), item: job.GetItems()[0]}
}

// Guards against a text that is given up, or asks again early, when admission refuses it, and against a request that leaves no time to list
// the result.
func TestRefusedScoresAskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, refusing, done := newScoringRunner(t)
		refusing.refuse = 3
		began := time.Now()
		signature, scored := runner.scoreAdmitted(done)
		must.True(t, scored)
		must.Eq(t, "signed", signature)
		must.Eq(t, []time.Time{began, began.Add(700 * time.Millisecond), began.Add(1400 * time.Millisecond), began.Add(2100 * time.Millisecond)}, refusing.asked)
		want := admission.Demand{
			Service: "scorer", Class: admission.Scoring, Flow: "m", Priority: 2, Useful: began.Add(7 * time.Second), Deadline: began.Add(20 * time.Second),
		}
		for _, demand := range refusing.demands {
			must.Eq(t, want, demand)
		}
	})
}

// Guards against texts of a step with enough that wait in line with the requests of others.
func TestSpareScoresWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, refusing, done := newScoringRunner(t)
		refusing.noRoom = true
		done.job.finish(&batchv1.Result{ItemId: "other"})
		go func() {
			time.Sleep(3 * time.Second)
			refusing.mu.Lock()
			defer refusing.mu.Unlock()
			must.SliceEmpty(t, refusing.demands)
			refusing.noRoom = false
		}()
		began := time.Now()
		_, scored := runner.scoreAdmitted(done)
		must.True(t, scored)
		must.Between(t, 3*time.Second, time.Since(began), 3*time.Second+spareInterval)
		must.Len(t, 1, refusing.demands)
	})
}

// Guards against spare texts that overtake a text of another step, which waits to ask again.
func TestSpareScoresWaitForRefusedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, refusing, done := newScoringRunner(t)
		refusing.refuse = 2
		done.job.finish(&batchv1.Result{ItemId: "other"})
		definition := &batchv1.Job{Id: "k", Host: "h", Path: "/jobs/k", Model: "m", Items: done.job.definition.GetItems()}
		waiting := &task{job: newJob(runner.ctx, definition, 8*time.Second), item: done.item}
		go runner.scoreAdmitted(waiting)
		synctest.Wait()
		began := time.Now()
		_, scored := runner.scoreAdmitted(done)
		must.True(t, scored)
		must.Between(t, 1400*time.Millisecond, time.Since(began), 1400*time.Millisecond+spareInterval)
	})
}

// Guards against requests that stay in line for texts of a step whose trainer has got enough.
func TestEnoughWithdrawsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, refusing, done := newScoringRunner(t)
		_, err := runner.Admission.Admit(t.Context(), admission.Demand{Service: "scorer"})
		must.NoError(t, err)
		go runner.scoreAdmitted(done)
		synctest.Wait()
		asks := func() int {
			runner.scores.mu.Lock()
			defer runner.scores.mu.Unlock()
			return len(runner.scores.services["scorer"].asks)
		}
		must.Eq(t, 1, asks())
		done.job.finish(&batchv1.Result{ItemId: "other"})
		runner.scoresChanged(done.job)
		time.Sleep(3 * time.Second)
		must.Eq(t, 0, asks())
		must.Len(t, 1, refusing.demands)
	})
}

// Measures the choice of the next text while a large step waits.
func BenchmarkScoringOrder(b *testing.B) {
	now := time.Unix(1000, 0)
	var waiting []scoringText
	for index := range 2048 {
		waiting = append(waiting, scoringText{job: string("abcd"[index%4]), useful: now.Add(time.Second), missing: index % 9})
	}
	var order scoringOrder
	for b.Loop() {
		order.next(waiting, false, now)
	}
}

// BenchmarkScoringChoice measures a choice among 2,048 waiting texts, with the state of their groups.
func BenchmarkScoringChoice(b *testing.B) {
	runner, _, done := newScoringRunner(b)
	const texts = 2048
	definition := &batchv1.Job{Id: "large", Host: "h", Path: "/jobs/large", Model: "m", WantedGroups: texts / 16}
	for index := range texts {
		definition.Items = append(definition.Items, &batchv1.Item{Id: strconv.Itoa(index), Path: "/jobs/x", Group: strconv.Itoa(index / 16), Scorer: done.item.GetScorer()})
	}
	owned := newJob(runner.ctx, definition, 8*time.Second)
	queue := runner.scores
	service := queue.service("scorer")
	for _, item := range definition.GetItems() {
		service.waiting = append(service.waiting, &scoringCall{runner: runner, done: &task{job: owned, item: item}, scorer: item.GetScorer()})
	}
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		service.order.next(queue.ranks(service, now), false, now)
	}
}
