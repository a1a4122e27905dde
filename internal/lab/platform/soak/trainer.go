package soak

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// Sizes of a step, and timing of the trainers and readers.
const (
	groups            = 5
	groupSize         = 3
	desiredGroups     = 4
	stepTimeout       = 9 * time.Second
	stepPause         = 500 * time.Millisecond
	readInterval      = 300 * time.Millisecond
	submitTimeout     = 2 * time.Second
	readTimeout       = 1500 * time.Millisecond
	concurrentSteps   = 2
	concurrentReaders = 2
	// resendTime is how long after its acceptance readers send a job again.
	resendTime     = 3 * time.Second
	maxEndAttempts = 40
)

// trainerJob is the job of a step, with what the trainer and the readers have observed of it.
type trainerJob struct {
	id         string
	tenant     string
	minVersion int64
	items      []string
	bodies     map[string]string
	required   []string // items of groups that the trainer waits for in any case

	mu           sync.Mutex
	acceptedAt   time.Time // zero until accepted
	results      []result  // by position, as first read
	endedAt      time.Time // when the end was acknowledged; zero before
	endRequested bool
	// resubmitted are the items that the next step has again, and resubmittedAt is when that was first sent.
	resubmitted   []string
	resubmittedAt time.Time
}

// result is an entry of a page of results.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next-token"`
	Results []result `json:"results"`
}

const (
	stateCompleted  = "completed"
	stateTerminated = "terminated"
)

// trainers submits, reads and ends the jobs of training steps, and announces new versions of the weights.
type trainers struct {
	deployment *Deployment
	ingress    *ingress
	faults     *activeFaults
	report     func(Violation)
	// resubmits is true if the incomplete groups of a step are brought back in the next one.
	resubmits bool
	// onAccepted is called with the node that has accepted a job; nil if nobody asks.
	onAccepted func(node *Node)

	mu      sync.Mutex
	jobs    []*trainerJob
	version int64
}

// run runs steps and readers until the context ends. Steps overlap, as with several trainers.
func (trainers *trainers) run(ctx context.Context) {
	var running sync.WaitGroup
	for range concurrentSteps {
		running.Go(func() {
			var former *trainerJob
			for ctx.Err() == nil {
				former = trainers.step(ctx, former)
				pause(ctx, stepPause)
			}
		})
	}
	for range concurrentReaders {
		running.Go(func() { trainers.readJobs(ctx) })
	}
	running.Wait()
}

func (trainers *trainers) newJob() *trainerJob {
	trainers.mu.Lock()
	defer trainers.mu.Unlock()
	job := &trainerJob{id: fmt.Sprint("job-", len(trainers.jobs)+1), tenant: tenantOf(len(trainers.jobs)), minVersion: max(1, trainers.version-1), bodies: make(map[string]string)}
	for index := range groups * groupSize {
		id := fmt.Sprintf("%s-item%s%d", job.id, strings.Repeat("x", index%4), index)
		job.items = append(job.items, id)
		job.bodies[id] = "body of " + id
	}
	trainers.jobs = append(trainers.jobs, job)
	return job
}

func (job *trainerJob) document() string {
	var items []map[string]any
	for index, id := range job.items {
		items = append(items, map[string]any{
			"id": id, "path": "/job/" + id, "headers": map[string]string{"Model": modelName, "Token-Count": "9,90"}, "group": fmt.Sprint("group-", index/groupSize),
			"body":   base64.StdEncoding.EncodeToString([]byte(job.bodies[id])),
			"scorer": map[string]any{"id": scorerOf(id), "host": hostName, "path": "/score/" + id, "body": ""},
		})
	}
	content, _ := json.Marshal(map[string]any{ // plain values: cannot fail
		"step": 1, "model": modelName, "min-version": job.minVersion, "desired-count": desiredGroups, "items": items,
	})
	return string(content)
}

func scorerOf(item string) string { return "score-of-" + item }

// step submits a job, reads it until enough groups are complete or its timeout expires, ends it and announces the next version. The former step is the
// last one of the trainer that was ended, or nil. It returns this step if it was ended, and the former one otherwise.
func (trainers *trainers) step(ctx context.Context, former *trainerJob) *trainerJob {
	job := trainers.newJob()
	sentAt := time.Now()
	if trainers.resubmits && former != nil {
		job.tenant = former.tenant
		left := former.incompleteGroups()
		job.bringBack(left)
		former.setResubmitted(left.items, sentAt)
	}
	deadline := sentAt.Add(stepTimeout)
	if !trainers.submit(ctx, job, deadline) {
		return former
	}
	for ctx.Err() == nil && time.Now().Before(deadline) && !job.hasDesiredGroups() {
		trainers.read(ctx, job, job.readCount())
		pause(ctx, readInterval)
	}
	if ctx.Err() != nil {
		return former // the job stays open and has to be completed
	}
	if trainers.resubmits && !job.hasDesiredGroups() {
		trainers.checkTimedOut(job, sentAt, time.Now())
	}
	trainers.end(ctx, job)
	trainers.mu.Lock()
	trainers.version++
	version := trainers.version
	trainers.mu.Unlock()
	trainers.deployment.NameVersion(version)
	return job
}

// submit submits a job repeatedly until it is accepted. It returns false if that does not happen before the deadline.
func (trainers *trainers) submit(ctx context.Context, job *trainerJob, deadline time.Time) bool {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		node := trainers.ingress.pick()
		if trainers.send(ctx, node, job) {
			if trainers.onAccepted != nil {
				trainers.onAccepted(node)
			}
			job.mu.Lock()
			job.acceptedAt = time.Now()
			job.mu.Unlock()
			return true
		}
		pause(ctx, readInterval)
	}
	return false
}

// send submits a job to a node and reports whether the node has accepted it.
func (trainers *trainers) send(ctx context.Context, node *Node, job *trainerJob) bool {
	got := call(ctx, node, http.MethodPost, "/job/"+job.id, job.id, job.document(), submitTimeout, append(job.key(), "Content-Type", "application/json")...)
	return got.err == nil && got.status == http.StatusAccepted
}

// end requests the end of a job repeatedly until it is acknowledged.
func (trainers *trainers) end(ctx context.Context, job *trainerJob) {
	job.mu.Lock()
	job.endRequested = true
	job.mu.Unlock()
	for range maxEndAttempts {
		got := call(ctx, trainers.ingress.pick(), http.MethodDelete, "/thistlewalk/lots/"+job.id, "end-"+job.id, "", readTimeout, job.key()...)
		if got.err == nil && got.status == http.StatusOK {
			job.mu.Lock()
			job.endedAt = time.Now()
			job.mu.Unlock()
			return
		}
		if !pause(ctx, readInterval) {
			return
		}
	}
}

// readJobs reads jobs of any age, the bodies of their items, and jobs with the key of another tenant.
func (trainers *trainers) readJobs(ctx context.Context) {
	for index := 0; pause(ctx, readInterval); index++ {
		trainers.mu.Lock()
		jobs := slices.Clone(trainers.jobs)
		trainers.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		if newest := jobs[len(jobs)-1]; trainers.resubmits && index%2 == 0 && newest.acceptedWithin(resendTime) {
			trainers.send(ctx, trainers.ingress.pick(), newest) // the job has been accepted, so that nothing is expected of the answer
		}
		chosen := jobs[index%len(jobs)]
		if !chosen.isReplicated() {
			continue
		}
		if index%3 == 0 {
			trainers.readBody(ctx, chosen)
			continue
		}
		if index%4 == 0 {
			if trainers.deployment.tenants {
				trainers.readAsOtherTenant(ctx, chosen)
			}
			continue
		}
		trainers.read(ctx, chosen, 0)
	}
}

// read reads the results of a job from a position and checks them. It reports whether the job is complete.
func (trainers *trainers) read(ctx context.Context, job *trainerJob, from int) (complete bool) {
	node := trainers.ingress.pick()
	replicated := job.isReplicated()
	got := call(ctx, node, http.MethodGet, fmt.Sprintf("/thistlewalk/lots/%s?after-rev=%d", job.id, from), "read-"+job.id, "", readTimeout, job.key()...)
	switch {
	case got.err != nil:
		return false
	case got.status == http.StatusNotFound || got.status == http.StatusGone:
		if replicated {
			trainers.report(Violation{Promise: PromiseAccepted, Subject: job.id, Detail: fmt.Sprintf("%s answers %d", node.Name, got.status)})
		}
		return false
	case got.status != http.StatusOK:
		return false
	}
	read := page{}
	if err := json.Unmarshal([]byte(got.body), &read); err != nil {
		trainers.report(Violation{Promise: PromiseWholeAnswer, Subject: job.id, Detail: err.Error()})
		return false
	}
	trainers.check(job, node, from, read)
	return from+len(read.Results) == len(job.items)
}

// key returns the header with the permanent key of the job's tenant.
func (job *trainerJob) key() []string { return authorization(keyOf(job.tenant)) }

// check compares a page with the results read before and with the executions at the replicas.
func (trainers *trainers) check(job *trainerJob, node *Node, from int, read page) {
	fail := func(promise Promise, format string, arguments ...any) {
		trainers.report(Violation{Promise: promise, Subject: job.id, Detail: node.Name + ": " + fmt.Sprintf(format, arguments...)})
	}
	if read.Total != len(job.items) || read.Next != from+len(read.Results) {
		fail(PromiseWholeAnswer, "total %d of %d, next %d after %d from %d", read.Total, len(job.items), read.Next, len(read.Results), from)
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	for offset, entry := range read.Results {
		position := from + offset
		if position < len(job.results) {
			if !sameResult(job.results[position], entry) {
				fail(PromiseAccepted, "position %d held %s %s, now %s %s", position, job.results[position].ID, job.results[position].State, entry.ID, entry.State)
			}
			continue
		}
		if position > len(job.results) {
			break // an earlier position has not been read yet
		}
		if slices.ContainsFunc(job.results, func(other result) bool { return other.ID == entry.ID }) {
			fail(PromiseAccepted, "item %s appears at two positions", entry.ID)
		}
		job.results = append(job.results, entry)
		if problem := checkResult(trainers.deployment.Executions, job, entry); problem != nil {
			fail(problem.Promise, "%s", problem.Detail)
		}
	}
}

func sameResult(a, b result) bool {
	return a.ID == b.ID && a.State == b.State && a.Text == b.Text && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

// checkResult compares a result with the runs of its item and of its scorer. It returns nil if they match.
func checkResult(executions *site.Executions, job *trainerJob, entry result) *Violation {
	if _, known := job.bodies[entry.ID]; !known {
		return &Violation{Promise: PromiseAccepted, Detail: "not an item of the job: " + entry.ID}
	}
	if entry.State == stateTerminated {
		if job.endRequested {
			return nil
		}
		return &Violation{Promise: PromiseText, Detail: entry.ID + " was terminated although the end of its job was not requested"}
	}
	var texts []string
	for event := int64(1); event <= site.EventCount(entry.ID); event++ {
		texts = append(texts, site.EventData(entry.ID, event))
	}
	if entry.State != stateCompleted || entry.Text != strings.Join(texts, "\n") {
		return &Violation{Promise: PromiseText, Detail: fmt.Sprintf("%s is %s with %q", entry.ID, entry.State, entry.Text)}
	}
	if problem := checkVersions(executions.Of(entry.ID), job, entry); problem != "" {
		return &Violation{Promise: PromiseText, Detail: problem}
	}
	if problem := checkScore(executions, entry); problem != "" {
		return &Violation{Promise: PromiseScore, Detail: problem}
	}
	return nil
}

// checkVersions checks that each event was produced by a listed version, and that each listed version produced an event and is not below the
// minimum. It returns the problem found, or an empty string.
func checkVersions(runs []site.Execution, job *trainerJob, entry result) string {
	made := make(map[int64]bool)
	for event := int64(1); event <= site.EventCount(entry.ID); event++ {
		covered := false
		for _, run := range runs {
			if version, ok := run.Events[event]; ok {
				made[version.Version] = true
				covered = covered || slices.Contains(entry.Versions, version.Version)
			}
		}
		if !covered {
			return fmt.Sprintf("%s: event %d was produced by none of versions %v", entry.ID, event, entry.Versions)
		}
	}
	for _, version := range entry.Versions {
		if !made[version] || version < job.minVersion {
			return fmt.Sprintf("%s lists version %d, minimum %d", entry.ID, version, job.minVersion)
		}
	}
	return ""
}

// checkScore checks that the score is the stamp of a scorer call that started after the text was complete. It returns the problem found, or an
// empty string.
func checkScore(executions *site.Executions, entry result) string {
	last := site.EventCount(entry.ID)
	var completedAt time.Time
	for _, run := range executions.Of(entry.ID) {
		if made, ok := run.Events[last]; ok && (completedAt.IsZero() || made.At.Before(completedAt)) {
			completedAt = made.At
		}
	}
	for _, run := range executions.Of(scorerOf(entry.ID)) {
		if entry.Score == "stamp."+run.Replica+"."+scorerOf(entry.ID) {
			if run.Started.Before(completedAt) {
				return entry.ID + " was scored before its text was complete"
			}
			return ""
		}
	}
	return fmt.Sprintf("%s has score %q, which no replica returned", entry.ID, entry.Score)
}

// readBody reads the body of an item that has no result yet.
func (trainers *trainers) readBody(ctx context.Context, job *trainerJob) {
	job.mu.Lock()
	listed := make(map[string]bool)
	for _, entry := range job.results {
		listed[entry.ID] = true
	}
	open := !job.endRequested
	job.mu.Unlock()
	for _, id := range job.items {
		if listed[id] || !open {
			continue
		}
		node := trainers.ingress.pick()
		got := call(ctx, node, http.MethodGet, fmt.Sprintf("/thistlewalk/items/%s?id=%s", job.id, id), "body-"+id, "", readTimeout, job.key()...)
		trainers.checkBody(job, node, id, got)
		return
	}
}

func (trainers *trainers) checkBody(job *trainerJob, node *Node, id string, got answer) {
	job.mu.Lock()
	defer job.mu.Unlock()
	if got.err != nil || job.endRequested {
		return
	}
	switch {
	case got.status == http.StatusOK && got.body != job.bodies[id]:
		trainers.report(Violation{Promise: PromiseWholeAnswer, Subject: id, Detail: fmt.Sprintf("%s answers the body %q", node.Name, got.body)})
	case got.status == http.StatusNotFound:
		trainers.report(Violation{Promise: PromiseAccepted, Subject: id, Detail: node.Name + " does not find the body of an open item"})
	}
}

func (job *trainerJob) readCount() int {
	job.mu.Lock()
	defer job.mu.Unlock()
	return len(job.results)
}

// isReplicated reports whether the job was accepted long enough ago for every front to find it.
func (job *trainerJob) isReplicated() bool {
	job.mu.Lock()
	defer job.mu.Unlock()
	return !job.acceptedAt.IsZero() && time.Since(job.acceptedAt) > replicationTime
}

// hasDesiredGroups reports whether the number of complete groups has reached desiredGroups, and all required groups are complete.
func (job *trainerJob) hasDesiredGroups() bool {
	job.mu.Lock()
	defer job.mu.Unlock()
	listed := make(map[string]bool)
	for _, entry := range job.results {
		listed[entry.ID] = true
	}
	complete := 0
	for first := 0; first < len(job.items); first += groupSize {
		if !slices.ContainsFunc(job.items[first:first+groupSize], func(id string) bool { return !listed[id] }) {
			complete++
		}
	}
	return complete >= desiredGroups && job.hasRequiredItems()
}
