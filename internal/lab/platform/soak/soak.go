package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// Options of a soak.
type Options struct {
	// Binary is the program that runs the roles, Production the one that does in production; empty where no plan needs it.
	Binary, Production string
	// Folder takes settings and logs.
	Folder string
	Plan   Plan
}

// Report is what a soak showed.
type Report struct {
	Plan       Plan
	Violations []Violation
	// Served and Failed count calls; Accepted, Ended and Whole count jobs; Items are results read.
	Served, Failed, Accepted, Ended, Whole, Items int
	Orders, Configurations, Windows               int
	// ComparedWindows are the reported windows that lay wholly in the time of the calls, ExactWindows those whose report was what ran.
	ComparedWindows, ExactWindows int
	// EndedReplicas are those that ended under a request, KeptCalls the calls on connections that were kept.
	EndedReplicas, KeptCalls int
	Took                     time.Duration
}

// String returns the report's lines.
func (report Report) String() string {
	lines := []string{fmt.Sprintf("seed %d: %d faults in %.0fs; %d calls served, %d not; %d jobs accepted, %d ended, %d results read; %d orders, %d configurations, %d reports of usage; %d calls on kept connections, %d replicas ended by a request; %d violations",
		report.Plan.Seed, len(report.Plan.Events), report.Took.Seconds(), report.Served, report.Failed, report.Accepted, report.Ended, report.Items,
		report.Orders, report.Configurations, report.Windows, report.KeptCalls, report.EndedReplicas, len(report.Violations))}
	for _, violation := range report.Violations {
		lines = append(lines, violation.String())
	}
	return strings.Join(lines, "\n")
}

// ErrNotStarted says that the programs did not begin to serve before any fault.
var ErrNotStarted = errors.New("the fronts are not ready in time")

const (
	startLimit  = 10 * time.Second
	finishLimit = 25 * time.Second
	finishPause = 200 * time.Millisecond
)

// soak is one run.
type soak struct {
	options    Options
	world      *World
	violations *violations
	calm       *calm
	ingress    *ingress
	calls      *calls
	trainers   *trainers
	endings    *endings
	injector   *injector
	// ended is how many runs ended their replicas.
	ended int
}

// Run carries a plan out and returns what it showed. Faults end before the last checks.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the folder of the soak")
	}
	found := &violations{began: time.Now()}
	world, err := newWorld(options, found.add)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	quiet := &calm{}
	entry := newIngress(world)
	run := &soak{
		options: options, world: world, violations: found, calm: quiet, ingress: entry,
		calls:    &calls{world: world, ingress: entry, calm: quiet, report: found.add, tenants: make(map[string]string)},
		trainers: &trainers{world: world, ingress: entry, calm: quiet, report: found.add, version: 1},
	}
	run.injector = newInjector(world, quiet)
	run.endings = &endings{world: world, ingress: entry, report: found.add, inTouch: run.injector.inTouch, sent: make(map[string][]endingCall)}
	run.injector.endings = run.endings
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	run.work(ctx)
	run.finish(ctx)
	return run.summary(), nil
}

// start runs the programs and waits until the fronts serve.
func (run *soak) start(ctx context.Context) error {
	run.world.Configure()
	for _, node := range run.world.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(finishPause) {
		ready := 0
		for _, node := range run.world.Fronts() {
			if isReady(ctx, node) {
				ready++
			}
		}
		if ready == fronts {
			return nil
		}
	}
	return errors.Wrapf(ErrNotStarted, "%v", run.violations.all())
}

// work has callers and trainers work while faults are injected.
func (run *soak) work(ctx context.Context) {
	began := time.Now()
	working, stop := context.WithDeadline(ctx, began.Add(run.options.Plan.Length))
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { run.ingress.run(working) })
	parts.Go(func() { run.calls.run(working) })
	parts.Go(func() { run.trainers.run(working) })
	parts.Go(func() { (&configurations{world: run.world, calm: run.calm, report: run.violations.add}).run(working) })
	parts.Go(func() { run.calls.keep(working) })
	run.injector.run(working, began, run.options.Plan)
	<-working.Done()
	parts.Wait()
}

// finish checks what has to hold once all faults are over.
func (run *soak) finish(ctx context.Context) {
	deadline := time.Now().Add(finishLimit)
	for _, created := range run.trainers.jobs {
		run.finishJob(ctx, created, deadline)
	}
	run.finishConfiguration(ctx)
	run.calls.verify()
	run.ended = run.endings.verify()
	run.verifyEnds()
	if run.world.tenants {
		run.trainers.verifyTenants()
	}
	for _, violation := range judgeUsage(run.world.Cloud.Reports()) {
		run.violations.add(violation)
	}
	for _, violation := range judgeOrders(run.world.Executions.Orders()) {
		run.violations.add(violation)
	}
}

// finishConfiguration checks that every front has the newest configuration in force in the time that is allowed after a fault.
func (run *soak) finishConfiguration(ctx context.Context) {
	newest := run.world.Configured()
	since, _ := run.calm.since()
	deadline := since.Add(contactTime + applyTime)
	for _, node := range run.world.Fronts() {
		id := "last-" + node.Name
		got := call(ctx, node, http.MethodPost, markPrefix(newest)+"last", id, "", callTime)
		for got.status != http.StatusOK && time.Now().Before(deadline) && pause(ctx, finishPause) {
			id += "-again"
			got = call(ctx, node, http.MethodPost, markPrefix(newest)+"last", id, "", callTime)
		}
		if got.status != http.StatusOK {
			run.violations.add(Violation{Promise: PromiseConfiguration, Subject: node.Name, Detail: fmt.Sprintf(
				"version %d is not in force %s after the last fault: %d %v", newest, time.Since(since).Round(time.Millisecond), got.status, got.broken)})
		}
	}
}

// finishJob waits until an accepted job can be read; until it is whole, if nobody ended it.
func (run *soak) finishJob(ctx context.Context, created *job, deadline time.Time) {
	if created.accepted.IsZero() {
		return
	}
	open := !created.endAsked
	for time.Now().Before(deadline) {
		whole := run.trainers.read(ctx, created, 0)
		if whole || (!open && created.lastReadOK(ctx, run)) {
			return
		}
		pause(ctx, finishPause)
	}
	run.violations.add(Violation{Promise: PromiseFinished, Subject: created.id, Detail: fmt.Sprintf("%d of %d results, open %t", created.known(), len(created.items), open)})
}

// lastReadOK reports whether a job that was ended can be read with all the positions that were shown.
func (created *job) lastReadOK(ctx context.Context, run *soak) bool {
	node := run.ingress.pick()
	got := call(ctx, node, http.MethodGet, "/thistlewalk/lots/"+created.id+"?after-rev=0", "read-"+created.id, "", readLimit, created.key()...)
	if got.broken != nil || got.status != http.StatusOK {
		return false
	}
	return strings.Count(got.body, `"state":`) >= created.known()
}

// verifyEnds checks that nothing of a job ran later than the bound after its end was acknowledged, but for what a link had held up: the
// platform's rules leave that out, as a sender can't call it back.
func (run *soak) verifyEnds() {
	for _, created := range run.trainers.jobs {
		if created.ended.IsZero() {
			continue
		}
		for _, id := range created.items {
			for _, execution := range run.world.Executions.Of(id) {
				if late := execution.Started.Sub(created.ended); late > cancelTime && !run.world.heldUp(execution) {
					run.violations.add(Violation{Promise: PromiseEnded, Subject: created.id, Detail: fmt.Sprintf("%s began at %s %s after the end", id, execution.Replica, late)})
				}
			}
		}
	}
}

// judgeOrders checks that replicas were ordered by one node at a time.
func judgeOrders(orders []site.OrderTaken) []Violation {
	var list []Violation
	last := make(map[string]site.OrderTaken)
	for _, order := range orders {
		before, known := last[order.Replica]
		last[order.Replica] = order
		if !known || before.Holder == order.Holder {
			continue
		}
		gap := order.At.Sub(before.At)
		if order.Fence <= before.Fence || gap < leaseTime {
			list = append(list, Violation{Promise: PromiseOneOrders, Subject: order.Replica, Detail: fmt.Sprintf(
				"%s with fence %d, %s after %s with fence %d", order.Holder, order.Fence, gap, before.Holder, before.Fence)})
		}
	}
	return list
}

func (run *soak) summary() *Report {
	report := &Report{
		Plan: run.options.Plan, Violations: run.violations.all(), Served: run.calls.served, Failed: run.calls.failed,
		Orders: len(run.world.Executions.Orders()), Configurations: int(run.world.Configured()), Windows: len(run.world.Cloud.Reports()), Took: time.Since(run.violations.began),
	}
	report.ComparedWindows, report.ExactWindows = run.compareUsage()
	report.EndedReplicas, report.KeptCalls = run.ended, run.calls.kept
	for _, created := range run.trainers.jobs {
		if !created.accepted.IsZero() {
			report.Accepted++
		}
		if !created.ended.IsZero() {
			report.Ended++
		}
		if len(created.results) == len(created.items) {
			report.Whole++
		}
		report.Items += len(created.results)
	}
	return report
}
