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

	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// These tests guard against a request that crashes each replica that runs it and is sent again and again, each time as a new call with a new
// identifier and at any node. Once its crashes are attributed to it, it must not reach further replicas.

const (
	// crashBody is the text in a request body that crashes the replica which runs the request.
	crashBody = "ends its replica"
	// timeToCrash is how long a replica runs such a request before it crashes; restartDelay is how long it then stays down.
	timeToCrash  = 60 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// deregisterDelay is how long a crashed replica stays registered.
	deregisterDelay = 300 * time.Millisecond
	// detectionTime is how long after the third crash a request may still reach further replicas; maxLateCrashes is how many replicas it may
	// crash after that time.
	detectionTime  = 3 * time.Second
	maxLateCrashes = 3
)

// crashLog records when replicas crashed. It is safe for concurrent use.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (log *crashLog) add(at time.Time) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.times = append(log.times, at)
}

func (log *crashLog) count() int {
	log.mu.Lock()
	defer log.mu.Unlock()
	return len(log.times)
}

// check fails the test if no replica crashed, or if too many replicas began the request later than detectionTime after the third crash.
func (log *crashLog) check(t *testing.T) {
	t.Helper()
	log.mu.Lock()
	defer log.mu.Unlock()
	must.Greater(t, 0, len(log.times), must.Sprint("the test has to crash replicas"))
	late := 0
	for index, end := range log.times {
		if index > 2 && end.Add(-timeToCrash).Sub(log.times[2]) > detectionTime {
			late++
		}
	}
	t.Logf("%d replicas crashed, %d later than %s after the third", len(log.times), late, detectionTime)
	must.LessEq(t, maxLateCrashes, late, must.Sprintf("%d replicas crashed, %d later than %s after the third", len(log.times), late, detectionTime))
}

// serveCrashing serves a replica that some requests crash. After a crash it serves a new incarnation of the replica at the same address, whose
// port must lie below those that outgoing connections take.
func (deployment *deployment) serveCrashing(replica *site.Replica, address string, crashes *crashLog) {
	listener, err := net.Listen("tcp", address)
	must.NoError(deployment.t, err)
	server := &http.Server{Handler: replica}
	go func() { _ = server.Serve(listener) }() // returns when the replica crashes or the test ends
	deployment.t.Cleanup(func() { server.Close() })
	register := func() { deployment.put("servers/"+replica.ID, replica.RegistryEntry(address)) }
	replica.OnChange = register
	var once sync.Once
	replica.OnCrash = func(string) {
		once.Do(func() {
			crashes.add(time.Now())
			server.Close()
			time.AfterFunc(deregisterDelay, func() { deployment.remove("servers/" + replica.ID) })
			time.AfterFunc(restartDelay, func() {
				if deployment.t.Context().Err() == nil {
					deployment.serveCrashing(replica.Restart(replica.ID+"'"), address, crashes)
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

// newCrashingDeployment returns a deployment with three settled fronts, in which some requests crash the replicas of the given service.
func newCrashingDeployment(t *testing.T, service, model string) (*deployment, *crashLog) {
	return newDeploymentOf(t, service, model, func(*site.Replica) {})
}

// newDeploymentOf is like newCrashingDeployment. It changes the replicas of the service before they start.
func newDeploymentOf(t *testing.T, service, model string, change func(*site.Replica)) (*deployment, *crashLog) {
	deployment, crashes := newDeployment(t), &crashLog{}
	for id, replica := range deployment.replicas {
		if replica.Service == service {
			deployment.remove("servers/" + id)
		}
	}
	for index := range 3 {
		replica := site.NewReplica(fmt.Sprint(service, index), service, model)
		replica.CrashBody, replica.CrashDelay, replica.WorkTime = crashBody, timeToCrash, 10*time.Millisecond
		change(replica)
		pairs, err := freeport.Pairs(1)
		must.NoError(deployment.t, err)
		deployment.serveCrashing(replica, pairs[0].String(), crashes)
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
	return deployment, crashes
}

// sendCalls sends calls at a fixed interval for some time, each to the next front, and returns their statuses once all are done. Each caller
// leaves after timeout if it has no response.
func (deployment *deployment) sendCalls(duration, interval, timeout time.Duration, id, body func(call int) string) []int {
	var calls sync.WaitGroup
	count := int(duration / interval)
	statuses := make([]int, count)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for call := range count {
		front := deployment.fronts[call%len(deployment.fronts)]
		calls.Go(func() { statuses[call] = deployment.book(front, timeout, id(call), body(call)) })
		<-ticker.C
	}
	calls.Wait()
	return statuses
}

// book sends one booking request and returns its status, or zero if the caller left before the response.
func (deployment *deployment) book(front *runningFront, timeout time.Duration, id, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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

// numbered returns a function that appends the number of a call to a prefix.
func numbered(prefix string) func(int) string {
	return func(call int) string { return fmt.Sprint(prefix, call) }
}

// constant returns a function that returns the same body for each call.
func constant(body string) func(int) string { return func(int) string { return body } }

const (
	// longTimeout is longer than the deadline in the requests.
	longTimeout = 3 * time.Second
	// shortTimeout ends before the replica that runs the request crashes.
	shortTimeout = timeToCrash / 2
)

// A request that crashes replicas is sent repeatedly to all fronts, and to a front that starts later. Other requests to the same path must be
// served, whether or not they have identical bodies.
func TestRequestThatEndsReplicas(t *testing.T) {
	t.Parallel()
	for _, check := range []struct {
		name    string
		timeout time.Duration
	}{
		{"callers that wait", longTimeout},
		{"callers that leave", shortTimeout},
	} {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			deployment, crashes := newCrashingDeployment(t, "app", "")
			var others sync.WaitGroup
			others.Go(func() {
				deployment.sendCalls(9*time.Second, 50*time.Millisecond, longTimeout, numbered("u"), constant("usual"))
			})
			statuses := deployment.sendCalls(9*time.Second, 150*time.Millisecond, check.timeout, numbered("e"), constant(crashBody))
			others.Wait()
			must.SliceNotContains(t, statuses, http.StatusOK)
			later := deployment.startFront("front-4")
			eventually(t, 5*time.Second, "the later front is ready", func() bool { return deployment.isSettled(later) })
			deployment.fronts = []*runningFront{later}
			before := crashes.count()
			deployment.sendCalls(2*time.Second, 100*time.Millisecond, check.timeout, numbered("f"), constant(crashBody))
			must.Eq(t, before, crashes.count(), must.Sprint("a front that starts later learns of the quarantine from the others"))
			crashes.check(t)
			for body, statuses := range map[string][]int{
				"the same": deployment.sendCalls(time.Second, 50*time.Millisecond, longTimeout, numbered("v"), constant("usual")),
				"new":      deployment.sendCalls(time.Second, 50*time.Millisecond, longTimeout, numbered("w"), numbered("new")),
			} {
				for _, status := range statuses {
					must.Eq(t, http.StatusOK, status, must.Sprint("other requests: ", body))
				}
			}
		})
	}
}

// crashingJob returns a job whose first item has a body that crashes replicas, either its own or that of its scoring call.
func crashingJob(t *testing.T, items int, inScoring bool) string {
	job := make(map[string]any)
	must.NoError(t, json.Unmarshal([]byte(jobBody(items, 1)), &job))
	first := job["items"].([]any)[0].(map[string]any)
	target := first
	if inScoring {
		target = first["scorer"].(map[string]any)
	}
	target["body"] = []byte(crashBody)
	content, err := json.Marshal(job)
	must.NoError(t, err)
	return string(content)
}
