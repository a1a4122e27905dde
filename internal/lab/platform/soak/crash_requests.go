package soak

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// crashBody marks the bodies of requests that crash their replica. The crash comes crashDelay after the request started, and the replica
	// restarts after crashDowntime.
	crashBody     = "ends its replica"
	crashDelay    = 60 * time.Millisecond
	crashDowntime = 2500 * time.Millisecond
	// unluckyItem marks the items under which engines crash for a while, one of each job. The items are not the cause.
	unluckyItem = "-item0"
	// crashRequestInterval is the time between two attempts of such a request.
	crashRequestInterval = 300 * time.Millisecond
	// maxLateRuns is how many runs of such a request may start later than recoveryTime after its third crash, sent through fault-free fronts.
	maxLateRuns = 3
)

// crashRequests sends requests that crash replicas repeatedly, and checks how many replicas they reach.
type crashRequests struct {
	deployment *Deployment
	ingress    *ingress
	report     func(Violation)
	// faultFree reports whether neither the node nor the metadata store has had a fault recently.
	faultFree func(*Node) bool

	mu   sync.Mutex
	sent map[string][]crashAttempt // by body
}

// crashAttempt is one attempt of such a request.
type crashAttempt struct {
	id        string
	faultFree bool
}

// send repeats a crash request for the duration of the event.
func (requests *crashRequests) send(ctx context.Context, event Event) {
	body := fmt.Sprint(crashBody, " ", event.Target)
	deadline := time.Now().Add(event.For)
	var running sync.WaitGroup
	for number := 0; time.Now().Before(deadline) && pause(ctx, crashRequestInterval); number++ {
		node := requests.ingress.pick()
		attempt := crashAttempt{id: fmt.Sprint("ending-", event.Target, "-", number), faultFree: requests.faultFree(node)}
		requests.mu.Lock()
		requests.sent[body] = append(requests.sent[body], attempt)
		requests.mu.Unlock()
		running.Go(func() {
			call(ctx, node, http.MethodPost, "/call/ending", attempt.id, body, callTimeout, authorization(keyOf(tenantOf(event.Target)))...)
		})
	}
	running.Wait()
}

// verify checks the runs of all crash requests and returns their number.
func (requests *crashRequests) verify() (runs int) {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	for body, attempts := range requests.sent {
		var started []time.Time
		faultFree := make(map[time.Time]bool)
		for _, attempt := range attempts {
			for _, execution := range requests.deployment.Executions.Of(attempt.id) {
				started = append(started, execution.Started)
				faultFree[execution.Started] = attempt.faultFree
			}
		}
		sort.Slice(started, func(a, b int) bool { return started[a].Before(started[b]) })
		runs += len(started)
		if late := lateRuns(started, func(at time.Time) bool { return faultFree[at] }); late > maxLateRuns {
			requests.report(Violation{Promise: PromiseContained, Subject: body, Detail: fmt.Sprintf("%d runs of %d started later than %s after the third crash", late, len(started), recoveryTime)})
		}
	}
	return runs
}

// lateRuns counts the eligible runs that started later than recoveryTime after the third run crashed its replica.
func lateRuns(started []time.Time, eligible func(time.Time) bool) int {
	if len(started) < 3 {
		return 0
	}
	third := started[2].Add(crashDelay)
	late := 0
	for _, at := range started[3:] {
		if at.Sub(third) > recoveryTime && eligible(at) {
			late++
		}
	}
	return late
}
