package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// Options configure a soak.
type Options struct {
	// Binary is the path of the current program, Production that of the program in production. Production may be empty if the plan uses only the
	// current build.
	Binary, Production string
	// Folder receives the settings and logs of the processes.
	Folder string
	Plan   Plan
}

// Report is the result of a soak.
type Report struct {
	Plan       Plan
	Violations []Violation
	// Served and Failed count calls; Accepted, Ended and Completed count jobs; Items counts the results that were read.
	Served, Failed, Accepted, Ended, Completed, Items int
	Orders, Configurations, Windows                   int
	// ReplicaOrders counts the orders for replicas that the platform received.
	ReplicaOrders int
	// ComparedWindows counts the reported windows in which requests of tenants ran, ExactWindows those whose report matched these runs.
	ComparedWindows, ExactWindows int
	// CrashedReplicas counts the crashes that requests caused, PersistentCalls the calls on persistent connections.
	CrashedReplicas, PersistentCalls int
	Duration                         time.Duration
}

// String returns a summary line and a line for each violation.
func (report Report) String() string {
	lines := []string{fmt.Sprintf("seed %d: %d faults in %.0fs; %d calls served, %d not; %d jobs accepted, %d ended, %d results read; %d orders, %d configurations, %d reports of usage, %d orders for replicas; %d calls on kept connections, %d replicas ended by a request; %d violations",
		report.Plan.Seed, len(report.Plan.Events), report.Duration.Seconds(), report.Served, report.Failed, report.Accepted, report.Ended, report.Items,
		report.Orders, report.Configurations, report.Windows, report.ReplicaOrders, report.PersistentCalls, report.CrashedReplicas, len(report.Violations))}
	for _, violation := range report.Violations {
		lines = append(lines, violation.String())
	}
	return strings.Join(lines, "\n")
}

// ErrNotStarted is returned if not all fronts are ready within startTimeout.
var ErrNotStarted = errors.New("not all fronts became ready before the start timeout")

const (
	startTimeout  = 10 * time.Second
	finishTimeout = 25 * time.Second
	pollInterval  = 200 * time.Millisecond
)

// soak is the state of one run.
type soak struct {
	options       Options
	deployment    *Deployment
	violations    *violations
	faults        *activeFaults
	ingress       *ingress
	callers       *callers
	trainers      *trainers
	crashRequests *crashRequests
	injector      *injector
	// crashes counts the runs that crashed their replicas.
	crashes int
}

// Run executes a plan and returns the report. The final checks start after the last fault has ended.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the folder of the soak")
	}
	found := &violations{began: time.Now()}
	deployment, err := newDeployment(options, found.add)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	faults := &activeFaults{}
	entry := newIngress(deployment)
	run := &soak{
		options: options, deployment: deployment, violations: found, faults: faults, ingress: entry,
		callers:  &callers{deployment: deployment, ingress: entry, faults: faults, report: found.add, tenants: make(map[string]string), sentAt: make(map[string]time.Time)},
		trainers: &trainers{deployment: deployment, ingress: entry, faults: faults, report: found.add, version: 1, resubmits: options.Plan.Resubmits},
	}
	run.injector = newInjector(deployment, faults)
	run.crashRequests = &crashRequests{deployment: deployment, ingress: entry, report: found.add, faultFree: run.injector.faultFree, sent: make(map[string][]crashAttempt)}
	run.injector.crashRequests = run.crashRequests
	run.trainers.onAccepted = run.injector.accepted
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	run.work(ctx)
	run.finish(ctx)
	return run.summary(), nil
}

// start starts the processes and waits until all fronts are ready.
func (run *soak) start(ctx context.Context) error {
	run.deployment.Configure()
	for _, node := range run.deployment.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		ready := 0
		for _, node := range run.deployment.Fronts() {
			if isReady(ctx, node) {
				ready++
			}
		}
		if ready == frontCount {
			return nil
		}
	}
	return errors.Wrapf(ErrNotStarted, "%v", run.violations.all())
}

// work runs the callers and trainers while faults are injected.
func (run *soak) work(ctx context.Context) {
	began := time.Now()
	working, stop := context.WithDeadline(ctx, began.Add(run.options.Plan.Length))
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { run.ingress.run(working) })
	parts.Go(func() { run.callers.run(working) })
	parts.Go(func() { run.trainers.run(working) })
	parts.Go(func() {
		(&configurationChecker{deployment: run.deployment, faults: run.faults, report: run.violations.add}).run(working)
	})
	parts.Go(func() { run.callers.runPersistent(working) })
	run.injector.run(working, began, run.options.Plan)
	<-working.Done()
	parts.Wait()
}

// finish runs the checks that apply after all faults have ended.
func (run *soak) finish(ctx context.Context) {
	deadline := time.Now().Add(finishTimeout)
	for _, job := range run.trainers.jobs {
		run.finishJob(ctx, job, deadline)
	}
	run.finishConfiguration(ctx)
	run.callers.verify()
	run.crashes = run.crashRequests.verify()
	run.verifyEndedJobs()
	if run.deployment.tenants {
		run.trainers.verifyTenants()
	}
	for _, violation := range checkUsage(run.deployment.Cloud.Reports()) {
		run.violations.add(violation)
	}
	for _, violation := range checkReplicaOrders(run.deployment.Cloud.Orders()) {
		run.violations.add(violation)
	}
	for _, violation := range checkOrders(run.deployment.Executions.Orders()) {
		run.violations.add(violation)
	}
}

// finishConfiguration checks that every front applies the newest configuration within the time allowed after the last fault.
func (run *soak) finishConfiguration(ctx context.Context) {
	newest := run.deployment.Configured()
	since, _ := run.faults.idleSince()
	deadline := since.Add(recoveryTime + applyTime)
	for _, node := range run.deployment.Fronts() {
		id := "last-" + node.Name
		got := call(ctx, node, http.MethodPost, markPrefix(newest)+"last", id, "", callTimeout)
		for got.status != http.StatusOK && time.Now().Before(deadline) && pause(ctx, pollInterval) {
			id += "-again"
			got = call(ctx, node, http.MethodPost, markPrefix(newest)+"last", id, "", callTimeout)
		}
		if got.status != http.StatusOK {
			run.violations.add(Violation{Promise: PromiseConfiguration, Subject: node.Name, Detail: fmt.Sprintf(
				"version %d is not in force %s after the last fault: %d %v", newest, time.Since(since).Round(time.Millisecond), got.status, got.err)})
		}
	}
}

// finishJob waits until an accepted job is complete. A job whose end was requested only has to be readable.
func (run *soak) finishJob(ctx context.Context, job *trainerJob, deadline time.Time) {
	if job.acceptedAt.IsZero() {
		return
	}
	open := !job.endRequested
	for time.Now().Before(deadline) {
		complete := run.trainers.read(ctx, job, 0)
		if complete || (!open && job.isReadable(ctx, run)) {
			return
		}
		pause(ctx, pollInterval)
	}
	run.violations.add(Violation{Promise: PromiseFinished, Subject: job.id, Detail: fmt.Sprintf("%d of %d results, open %t", job.readCount(), len(job.items), open)})
}

// isReadable reports whether a read of the job returns at least as many results as earlier reads.
func (job *trainerJob) isReadable(ctx context.Context, run *soak) bool {
	node := run.ingress.pick()
	got := call(ctx, node, http.MethodGet, "/thistlewalk/lots/"+job.id+"?after-rev=0", "read-"+job.id, "", readTimeout, job.key()...)
	if got.err != nil || got.status != http.StatusOK {
		return false
	}
	return strings.Count(got.body, `"state":`) >= job.readCount()
}

// verifyEndedJobs checks that no item of a job started later than cancelBound after the job's end was acknowledged. Requests that a faulty link
// may have delayed are exempt, since the sender cannot recall them, and runs after the next step with the same items was sent.
func (run *soak) verifyEndedJobs() {
	for _, job := range run.trainers.jobs {
		if job.endedAt.IsZero() {
			continue
		}
		for _, id := range job.items {
			for _, execution := range run.deployment.Executions.Of(id) {
				if job.mayHaveRunAgain(id, execution.Started) {
					continue
				}
				if late := execution.Started.Sub(job.endedAt); late > cancelBound && !run.deployment.mayBeDelayed(execution) {
					run.violations.add(Violation{Promise: PromiseEnded, Subject: job.id, Detail: fmt.Sprintf("%s began at %s %s after the end", id, execution.Replica, late)})
				}
			}
		}
	}
}

// mayHaveRunAgain reports whether a run of an item at the given time may be one of the next step that has the item.
func (job *trainerJob) mayHaveRunAgain(id string, at time.Time) bool {
	return slices.Contains(job.resubmitted, id) && !at.Before(job.resubmittedAt)
}

// checkOrders checks that only one node at a time sends orders to a replica: a new holder has a higher fence and starts no earlier than a lease
// duration after the last order of the previous holder.
func checkOrders(orders []site.ReceivedOrder) []Violation {
	var list []Violation
	last := make(map[string]site.ReceivedOrder)
	for _, order := range orders {
		before, known := last[order.Replica]
		last[order.Replica] = order
		if !known || before.Holder == order.Holder {
			continue
		}
		gap := order.At.Sub(before.At)
		if order.Fence <= before.Fence || gap < leaseDuration {
			list = append(list, Violation{Promise: PromiseOneOrders, Subject: order.Replica, Detail: fmt.Sprintf(
				"%s with fence %d, %s after %s with fence %d", order.Holder, order.Fence, gap, before.Holder, before.Fence)})
		}
	}
	return list
}

func (run *soak) summary() *Report {
	report := &Report{
		Plan: run.options.Plan, Violations: run.violations.all(), Served: run.callers.served, Failed: run.callers.failed,
		Orders: len(run.deployment.Executions.Orders()), Configurations: int(run.deployment.Configured()), Windows: len(run.deployment.Cloud.Reports()), Duration: time.Since(run.violations.began),
	}
	report.ReplicaOrders = len(run.deployment.Cloud.Orders())
	report.ComparedWindows, report.ExactWindows = run.compareUsage()
	report.CrashedReplicas, report.PersistentCalls = run.crashes, run.callers.persistent
	for _, job := range run.trainers.jobs {
		if !job.acceptedAt.IsZero() {
			report.Accepted++
		}
		if !job.endedAt.IsZero() {
			report.Ended++
		}
		if len(job.results) == len(job.items) {
			report.Completed++
		}
		report.Items += len(job.results)
	}
	return report
}
