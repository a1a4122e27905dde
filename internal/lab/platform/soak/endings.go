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
	// endingBody is in the bodies of requests under which replicas end, endingTime after they began; endedTime is how long they are away.
	endingBody = "ends its replica"
	endingTime = 60 * time.Millisecond
	endedTime  = 2500 * time.Millisecond
	// endingInterval is how often such a request comes again.
	endingInterval = 300 * time.Millisecond
	// endingsLate is how many runs of it may begin later than contactTime after the third replica has ended under it, at nodes in touch.
	endingsLate = 3
)

// endings sends requests under which replicas end, again and again, and judges how many replicas they reach.
type endings struct {
	world   *World
	ingress *ingress
	report  func(Violation)
	// inTouch reports whether a node has had no fault lately, nor the store.
	inTouch func(*Node) bool

	mu   sync.Mutex
	sent map[string][]endingCall // by body
}

// endingCall is one try of such a request.
type endingCall struct {
	id      string
	inTouch bool
}

// send sends one request as long as the event lasts.
func (endings *endings) send(ctx context.Context, event Event) {
	body := fmt.Sprint(endingBody, " ", event.Target)
	deadline := time.Now().Add(event.For)
	var calls sync.WaitGroup
	for number := 0; time.Now().Before(deadline) && pause(ctx, endingInterval); number++ {
		node := endings.ingress.pick()
		tried := endingCall{id: fmt.Sprint("ending-", event.Target, "-", number), inTouch: endings.inTouch(node)}
		endings.mu.Lock()
		endings.sent[body] = append(endings.sent[body], tried)
		endings.mu.Unlock()
		calls.Go(func() {
			call(ctx, node, http.MethodPost, "/call/ending", tried.id, body, callTime, authorization(keyOf(tenantOf(event.Target)))...)
		})
	}
	calls.Wait()
}

// verify judges the runs of all such requests.
func (endings *endings) verify() (runs int) {
	endings.mu.Lock()
	defer endings.mu.Unlock()
	for body, tries := range endings.sent {
		var began []time.Time
		inTouch := make(map[time.Time]bool)
		for _, tried := range tries {
			for _, execution := range endings.world.Executions.Of(tried.id) {
				began = append(began, execution.Started)
				inTouch[execution.Started] = tried.inTouch
			}
		}
		sort.Slice(began, func(a, b int) bool { return began[a].Before(began[b]) })
		runs += len(began)
		if late := lateRuns(began, func(at time.Time) bool { return inTouch[at] }); late > endingsLate {
			endings.report(Violation{Promise: PromiseContained, Subject: body, Detail: fmt.Sprintf("%d runs of %d began later than %s after the third end", late, len(began), contactTime)})
		}
	}
	return runs
}

// lateRuns counts the runs that count and began later than contactTime after the third had ended its replica.
func lateRuns(began []time.Time, counts func(time.Time) bool) int {
	if len(began) < 3 {
		return 0
	}
	third := began[2].Add(endingTime)
	late := 0
	for _, at := range began[3:] {
		if at.Sub(third) > contactTime && counts(at) {
			late++
		}
	}
	return late
}
