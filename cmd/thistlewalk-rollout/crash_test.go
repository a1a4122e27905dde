package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// What users saw: bookings were refused for seconds, again and again, since all replicas of the booking application were gone. One request
// ended each replica some 60 ms after that had begun it. It came again and again, each time as a new call with a new identifier, at
// whatever node; each call was entitled to as many replicas as its route allows, and each new incarnation was a sound one. Twelve
// replicas ended under it.
// Cause: what was learnt of a request ended with its call, and no node told another.
// Proof: each call had `attempts` within its route's, so no call was sent too often; the tests below, in which the same body comes again.

const (
	// ending is in the body of each request under which replicas end.
	ending = "ends its replica"
	// endTime is how long a replica works on it, and endedFor how long it is away then.
	endTime  = 60 * time.Millisecond
	endedFor = 500 * time.Millisecond
	// lapseAfter is how long a replica that has ended stays registered.
	lapseAfter = 300 * time.Millisecond
	// knownAfter is how long after the third replica has ended a request may still reach more; allowedLater is how often it may after that.
	knownAfter   = 3 * time.Second
	allowedLater = 3
)

// endings is what replicas saw of requests under which they end. It is safe for concurrent use.
type endings struct {
	mu   sync.Mutex
	ends []time.Time
}

// note takes the end of a replica.
func (endings *endings) note(at time.Time) {
	endings.mu.Lock()
	defer endings.mu.Unlock()
	endings.ends = append(endings.ends, at)
}

// count returns how many replicas have ended.
func (endings *endings) count() int {
	endings.mu.Lock()
	defer endings.mu.Unlock()
	return len(endings.ends)
}

// check fails the test if a request reached replicas too often after three had ended. A run begins endTime before its end.
func (endings *endings) check(t *testing.T) {
	t.Helper()
	endings.mu.Lock()
	defer endings.mu.Unlock()
	must.Greater(t, 0, len(endings.ends), must.Sprint("the test has to end replicas"))
	late := 0
	for index, end := range endings.ends {
		if index > 2 && end.Add(-endTime).Sub(endings.ends[2]) > knownAfter {
			late++
		}
	}
	t.Logf("%d replicas ended, %d later than %s after the third", len(endings.ends), late, knownAfter)
	must.LessEq(t, allowedLater, late, must.Sprintf("%d replicas ended, %d later than %s after the third", len(endings.ends), late, knownAfter))
}

// serveEnding serves a replica that ends under some requests, at an address or a new one. Its successor comes to the same address.
func (deployment *deployment) serveEnding(replica *site.Replica, address string, seen *endings) {
	listener, err := net.Listen("tcp", address)
	must.NoError(deployment.t, err)
	server := &http.Server{Handler: replica}
	go func() { _ = server.Serve(listener) }() // until it ends
	deployment.t.Cleanup(func() { server.Close() })
	address = listener.Addr().String()
	register := func() { deployment.put("servers/"+replica.ID, replica.Entry(address)) }
	replica.OnChange = register
	var once sync.Once
	replica.OnEnd = func(string) {
		once.Do(func() {
			seen.note(time.Now())
			server.Close()
			time.AfterFunc(lapseAfter, func() { deployment.remove("servers/" + replica.ID) })
			time.AfterFunc(endedFor, func() {
				if deployment.t.Context().Err() == nil {
					deployment.serveEnding(replica.Restart(replica.ID+"'"), address, seen)
				}
			})
		})
	}
	register()
}

func (deployment *deployment) remove(key string) {
	_, err := deployment.store.Commit(context.Background(), metadata.Txn{Deletes: []string{key}})
	must.NoError(deployment.t, err)
}

// newEndingDeployment returns three settled fronts, and replicas of a service that end under some requests.
func newEndingDeployment(t *testing.T, service, model string) (*deployment, *endings) {
	deployment, seen := newDeployment(t), &endings{}
	for id, replica := range deployment.replicas {
		if replica.Service == service {
			deployment.remove("servers/" + id)
		}
	}
	for index := range 3 {
		replica := site.NewReplica(fmt.Sprint(service, index), service, model)
		replica.EndsUnder, replica.EndTime, replica.WorkTime = ending, endTime, 10*time.Millisecond
		deployment.serveEnding(replica, "127.0.0.1:0", seen)
	}
	deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
	deployment.startOrderer("orderer-1")
	for index := range 3 {
		deployment.startFront(fmt.Sprint("front-", index+1))
	}
	eventually(t, 5*time.Second, "fronts are ready", func() bool {
		for _, front := range deployment.fronts {
			if !deployment.isSettled(front) {
				return false
			}
		}
		return true
	})
	return deployment, seen
}

// sendFor sends calls at a pace for some time, each to the next front, and returns their statuses once all are answered; patience is how
// long a caller waits before it leaves.
func (deployment *deployment) sendFor(duration, pace, patience time.Duration, name, body func(call int) string) []int {
	var calls sync.WaitGroup
	count := int(duration / pace)
	statuses := make([]int, count)
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for call := range count {
		front := deployment.fronts[call%len(deployment.fronts)]
		calls.Go(func() { statuses[call] = deployment.ask(front, patience, name(call), body(call)) })
		<-ticker.C
	}
	calls.Wait()
	return statuses
}

// ask makes one call for a booking, and returns the status; zero for a caller that left.
func (deployment *deployment) ask(front *runningFront, patience time.Duration, id, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.address+"/book/1", strings.NewReader(body))
	must.NoError(deployment.t, err)
	request.Host = "a.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// named returns names of calls.
func named(prefix string) func(int) string {
	return func(call int) string { return fmt.Sprint(prefix, call) }
}

// always returns the same body for each call.
func always(body string) func(int) string { return func(int) string { return body } }

const (
	// usualPatience is more than the deadline that callers name.
	usualPatience = 3 * time.Second
	// shortPatience is over before the replica that runs the request ends.
	shortPatience = endTime / 2
)

// A request under which replicas end comes again at all nodes, and at one that began later. Requests of others to the same path are served,
// also such as are always the same.
func TestRequestThatEndsReplicas(t *testing.T) {
	t.Parallel()
	for _, check := range []struct {
		name     string
		patience time.Duration
	}{
		{"callers that wait", usualPatience},
		{"callers that leave", shortPatience},
	} {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			deployment, seen := newEndingDeployment(t, "app", "")
			var others sync.WaitGroup
			others.Go(func() {
				deployment.sendFor(9*time.Second, 50*time.Millisecond, usualPatience, named("u"), always("usual"))
			})
			statuses := deployment.sendFor(9*time.Second, 150*time.Millisecond, check.patience, named("e"), always(ending))
			others.Wait()
			must.SliceNotContains(t, statuses, http.StatusOK)
			later := deployment.startFront("front-4")
			eventually(t, 5*time.Second, "the later front is ready", func() bool { return deployment.isSettled(later) })
			deployment.fronts = []*runningFront{later}
			before := seen.count()
			deployment.sendFor(2*time.Second, 100*time.Millisecond, check.patience, named("f"), always(ending))
			must.Eq(t, before, seen.count(), must.Sprint("a front that began later knows what the others learned"))
			seen.check(t)
			for body, statuses := range map[string][]int{
				"the same": deployment.sendFor(time.Second, 50*time.Millisecond, usualPatience, named("v"), always("usual")),
				"new":      deployment.sendFor(time.Second, 50*time.Millisecond, usualPatience, named("w"), named("new")),
			} {
				for _, status := range statuses {
					must.Eq(t, http.StatusOK, status, must.Sprint("other requests: ", body))
				}
			}
		})
	}
}

// endingJob returns a job of some items, of which the first ends replicas: under itself, or under its scoring call.
func endingJob(t *testing.T, underScoring bool) string {
	job := make(map[string]any)
	must.NoError(t, json.Unmarshal([]byte(jobBody(12, 1)), &job))
	first := job["items"].([]any)[0].(map[string]any)
	changed := first
	if underScoring {
		changed = first["scorer"].(map[string]any)
	}
	changed["body"] = []byte(ending)
	content, err := json.Marshal(job)
	must.NoError(t, err)
	return string(content)
}

// checkJob sends a job with an item that can't be done, sends it again as another job at another node, and expects all other items listed.
func checkJob(t *testing.T, deployment *deployment, seen *endings, job string) {
	t.Helper()
	for index, front := range deployment.fronts[:2] {
		id := fmt.Sprint("job", index)
		status, _, _ := deployment.call(front, http.MethodPost, "/jobs/j", id, job)
		must.Eq(t, http.StatusAccepted, status)
		eventually(t, 15*time.Second, "the other items are listed", func() bool { return len(deployment.results(front, id).Results) == 11 })
		time.Sleep(4 * time.Second)
		must.SliceLen(t, 11, deployment.results(front, id).Results)
	}
	seen.check(t)
}

// An item under which engines end is tried some times, and the others of its job are made; in the next job that brings it back as well.
func TestItemThatEndsReplicas(t *testing.T) {
	t.Parallel()
	deployment, seen := newEndingDeployment(t, "lm", "m")
	checkJob(t, deployment, seen, endingJob(t, false))
}

// A scoring call under which replicas end is tried some times, and the others of its job are made.
func TestScoringCallThatEndsReplicas(t *testing.T) {
	t.Parallel()
	deployment, seen := newEndingDeployment(t, "app", "")
	checkJob(t, deployment, seen, endingJob(t, true))
}
