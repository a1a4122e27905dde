package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// longestIdle is the longest that an item may be at no replica while replicas have room. completionTime is how long the items take
// to run and to be listed once they are at replicas.
const (
	longestIdle    = 5 * time.Second
	completionTime = 2 * time.Second
)

// newUnluckyDeployment returns a deployment in which a number of replicas of a service crash while they run a certain request,
// which is not the cause: afterwards it runs like any other.
func newUnluckyDeployment(t *testing.T, service, model string, crashes int) (*deployment, *crashLog) {
	limit := &atomic.Int64{}
	limit.Store(int64(crashes))
	return newDeploymentOf(t, service, model, func(replica *site.Replica) {
		replica.CrashLimit, replica.EventTime = limit, 30*time.Millisecond
	})
}

// checkCompletes submits a job under one of whose requests replicas crash, and expects it to complete after the last crash, also if
// its owner is stopped then.
func checkCompletes(t *testing.T, deployment *deployment, crashes *crashLog, wanted, items int, job string, stopOwner bool) {
	t.Helper()
	status, _, _ := deployment.call(deployment.fronts[0], http.MethodPost, "/jobs/j", "job", job)
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, time.Duration(wanted)*longestIdle, fmt.Sprint(wanted, " replicas crash"), func() bool { return crashes.count() >= wanted })
	reader := deployment.fronts[0]
	if stopOwner {
		for index, front := range deployment.fronts {
			if front.front.Runner.OpenJobs() > 0 {
				reader = deployment.fronts[(index+1)%len(deployment.fronts)]
				front.front.Stop(6*time.Second, front.callerServer)
			}
		}
	}
	began := time.Now()
	eventually(t, longestIdle+completionTime, "all items are listed", func() bool {
		return len(deployment.results(reader, "job").Results) == items
	})
	t.Logf("all listed %s after the last crash", time.Since(began).Round(time.Millisecond))
}

// Guards against an item, or its score, that is never requested again since replicas crashed while they ran it.
func TestItemIsOwedAfterReplicasCrashedUnderIt(t *testing.T) {
	t.Parallel()
	for _, check := range []struct {
		service, model  string
		crashes, others int
		stopOwner       bool
	}{
		{"lm", "m", 2, 0, false},
		{"lm", "m", 3, 0, false},
		{"lm", "m", 4, 0, false},
		{"lm", "m", 9, 0, false},
		{"lm", "m", 3, 48, false},
		{"lm", "m", 9, 48, false},
		{"lm", "m", 4, 11, true},
		{"app", "", 3, 11, false},
		{"app", "", 9, 48, false},
	} {
		name := fmt.Sprintf("%d crashes of %s, %d other items, owner stops %t", check.crashes, check.service, check.others, check.stopOwner)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment, crashes := newUnluckyDeployment(t, check.service, check.model, check.crashes)
			job := crashingJob(t, check.others+1, check.service == "app")
			checkCompletes(t, deployment, crashes, check.crashes, check.others+1, job, check.stopOwner)
		})
	}
}

// Guards against a request of a caller that is refused since replicas crashed under an item with the same content.
func TestCrashesUnderAnItemAreNoEvidenceAgainstARequest(t *testing.T) {
	t.Parallel()
	deployment, crashes := newUnluckyDeployment(t, "app", "", 3)
	front := deployment.fronts[0]
	status, _, _ := deployment.call(front, http.MethodPost, "/jobs/j", "job", crashingJob(t, 1, true))
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, 3*longestIdle, "three replicas crash", func() bool { return crashes.count() == 3 })
	eventually(t, restartDelay+time.Second, "a request with the same content is served", func() bool {
		status, _, _ := deployment.call(front, http.MethodPost, "/score/x", "direct", crashBody)
		return status == http.StatusOK
	})
}

// Guards against an item that is withheld because of the record that a node of an earlier build stored for it.
func TestRecordsOfEarlierBuildsWithholdNoItem(t *testing.T) {
	t.Parallel()
	deployment, _ := newUnluckyDeployment(t, "lm", "m", 0)
	until := time.Now().Add(time.Hour).UnixMilli()
	record, err := proto.Marshal(&clusterv1.QuarantineRecord{Crashes: 4, Replicas: []string{"r1", "r2", "r3", "r4"}, Reporter: "gone", UntilUnixMs: until})
	must.NoError(t, err)
	item := &backend.Request{Method: http.MethodPost, Host: "a.example", Target: "/jobs/item", Body: []byte(crashBody)}
	deployment.put(quarantine.Prefix+quarantine.FingerprintOf("lm", item).String(), record)
	eventually(t, longestIdle, "all fronts know the record", func() bool {
		return strings.Count(deployment.logs.String(), `msg="quarantine loaded"`) >= len(deployment.fronts)
	})
	status, _, _ := deployment.call(deployment.fronts[0], http.MethodPost, "/jobs/j", "job", crashingJob(t, 12, false))
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, completionTime, "all items are listed", func() bool { return len(deployment.results(deployment.fronts[0], "job").Results) == 12 })
}

// Guards against an item that replicas crashed under and that another front withholds when a later job brings it back.
func TestItemBroughtBackAfterCrashesRunsAtAnotherFront(t *testing.T) {
	t.Parallel()
	const items, wanted = 12, 4
	deployment, crashes := newUnluckyDeployment(t, "lm", "m", wanted)
	job := crashingJob(t, items, false)
	status, _, _ := deployment.call(deployment.fronts[0], http.MethodPost, "/jobs/j", "former", job)
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, wanted*longestIdle, "replicas crash", func() bool { return crashes.count() >= wanted })
	for _, front := range deployment.fronts {
		if front.front.Runner.OpenJobs() == 0 {
			continue
		}
		status, _, _ = deployment.call(front, http.MethodDelete, "/thistlewalk/lots/former", "end", "")
		must.Eq(t, http.StatusOK, status)
		front.front.Stop(6*time.Second, front.callerServer)
		break
	}
	began := time.Now()
	var reader *runningFront
	eventually(t, longestIdle, "another front accepts the next job", func() bool {
		for _, front := range deployment.fronts {
			if status, _, _ := deployment.call(front, http.MethodPost, "/jobs/j", "next", job); status == http.StatusAccepted {
				reader = front
				return true
			}
		}
		return false
	})
	eventually(t, longestIdle+completionTime, "all items are listed", func() bool { return len(deployment.results(reader, "next").Results) == items })
	t.Logf("all listed %s after the next job was sent", time.Since(began).Round(time.Millisecond))
}
