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

// Sizes of a step, and times of the trainer and of the readers.
const (
	groups         = 5
	groupSize      = 3
	wantedGroups   = 4
	stepTime       = 9 * time.Second
	stepPause      = 500 * time.Millisecond
	readInterval   = 300 * time.Millisecond
	submitLimit    = 2 * time.Second
	readLimit      = 1500 * time.Millisecond
	stepsAtOnce    = 2
	readersOfSteps = 2
	endTries       = 40
)

// job is a step as its trainer and its readers know it.
type job struct {
	id      string
	tenant  string
	minimum int64
	items   []string
	bodies  map[string]string

	mu       sync.Mutex
	accepted time.Time // zero before
	results  []result  // by position, as first read
	ended    time.Time // when the end was acknowledged
	endAsked bool
}

// result is one entry of a page.
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

// trainers submit steps, read them, end them and name versions.
type trainers struct {
	world   *World
	ingress *ingress
	calm    *calm
	report  func(Violation)

	mu      sync.Mutex
	jobs    []*job
	version int64
}

// run works until the context ends. Steps overlap, as those of several trainers do.
func (trainers *trainers) run(ctx context.Context) {
	var running sync.WaitGroup
	for range stepsAtOnce {
		running.Go(func() {
			for ctx.Err() == nil {
				trainers.step(ctx)
				pause(ctx, stepPause)
			}
		})
	}
	for range readersOfSteps {
		running.Go(func() { trainers.look(ctx) })
	}
	running.Wait()
}

func (trainers *trainers) newJob() *job {
	trainers.mu.Lock()
	defer trainers.mu.Unlock()
	created := &job{id: fmt.Sprint("job-", len(trainers.jobs)+1), tenant: tenantOf(len(trainers.jobs)), minimum: max(1, trainers.version-1), bodies: make(map[string]string)}
	for index := range groups * groupSize {
		id := fmt.Sprintf("%s-item%s%d", created.id, strings.Repeat("x", index%4), index)
		created.items = append(created.items, id)
		created.bodies[id] = "body of " + id
	}
	trainers.jobs = append(trainers.jobs, created)
	return created
}

func (created *job) document() string {
	var items []map[string]any
	for index, id := range created.items {
		items = append(items, map[string]any{
			"id": id, "path": "/job/" + id, "headers": map[string]string{"Model": modelName, "Token-Count": "9,90"}, "group": fmt.Sprint("group-", index/groupSize),
			"body":   base64.StdEncoding.EncodeToString([]byte(created.bodies[id])),
			"scorer": map[string]any{"id": scorerOf(id), "host": hostName, "path": "/score/" + id, "body": ""},
		})
	}
	content, _ := json.Marshal(map[string]any{ // of plain values: it cannot fail
		"step": 1, "model": modelName, "min-version": created.minimum, "desired-count": wantedGroups, "items": items,
	})
	return string(content)
}

func scorerOf(item string) string { return "score-of-" + item }

// step submits a job, reads it until enough groups are whole or its time is over, ends it and names the next version.
func (trainers *trainers) step(ctx context.Context) {
	created := trainers.newJob()
	deadline := time.Now().Add(stepTime)
	if !trainers.submit(ctx, created, deadline) {
		return
	}
	for ctx.Err() == nil && time.Now().Before(deadline) && !created.enough() {
		trainers.read(ctx, created, created.known())
		pause(ctx, readInterval)
	}
	if ctx.Err() != nil {
		return // the job stays open, and has to become whole
	}
	trainers.end(ctx, created)
	trainers.mu.Lock()
	trainers.version++
	version := trainers.version
	trainers.mu.Unlock()
	trainers.world.NameVersion(version)
}

// submit sends a job until it is accepted.
func (trainers *trainers) submit(ctx context.Context, created *job, deadline time.Time) bool {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		got := call(ctx, trainers.ingress.pick(), http.MethodPost, "/job/"+created.id, created.id, created.document(), submitLimit, append(created.key(), "Content-Type", "application/json")...)
		if got.broken == nil && got.status == http.StatusAccepted {
			created.mu.Lock()
			created.accepted = time.Now()
			created.mu.Unlock()
			return true
		}
		pause(ctx, readInterval)
	}
	return false
}

// end sends the end of a job until it is acknowledged.
func (trainers *trainers) end(ctx context.Context, created *job) {
	created.mu.Lock()
	created.endAsked = true
	created.mu.Unlock()
	for range endTries {
		got := call(ctx, trainers.ingress.pick(), http.MethodDelete, "/thistlewalk/lots/"+created.id, "end-"+created.id, "", readLimit, created.key()...)
		if got.broken == nil && got.status == http.StatusOK {
			created.mu.Lock()
			created.ended = time.Now()
			created.mu.Unlock()
			return
		}
		if !pause(ctx, readInterval) {
			return
		}
	}
}

// look reads jobs of all ages from any position at any front, and asks for bodies.
func (trainers *trainers) look(ctx context.Context) {
	for index := 0; pause(ctx, readInterval); index++ {
		trainers.mu.Lock()
		jobs := slices.Clone(trainers.jobs)
		trainers.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		chosen := jobs[index%len(jobs)]
		if !chosen.settled() {
			continue
		}
		if index%3 == 0 {
			trainers.readBody(ctx, chosen)
			continue
		}
		if index%4 == 0 {
			if trainers.world.tenants {
				trainers.pry(ctx, chosen)
			}
			continue
		}
		trainers.read(ctx, chosen, 0)
	}
}

// read reads a job from a position and judges the answer.
func (trainers *trainers) read(ctx context.Context, created *job, from int) (whole bool) {
	node := trainers.ingress.pick()
	settled := created.settled()
	got := call(ctx, node, http.MethodGet, fmt.Sprintf("/thistlewalk/lots/%s?after-rev=%d", created.id, from), "read-"+created.id, "", readLimit, created.key()...)
	switch {
	case got.broken != nil:
		return false
	case got.status == http.StatusNotFound || got.status == http.StatusGone:
		if settled {
			trainers.report(Violation{Promise: PromiseAccepted, Subject: created.id, Detail: fmt.Sprintf("%s answers %d", node.Name, got.status)})
		}
		return false
	case got.status != http.StatusOK:
		return false
	}
	read := page{}
	if err := json.Unmarshal([]byte(got.body), &read); err != nil {
		trainers.report(Violation{Promise: PromiseWholeAnswer, Subject: created.id, Detail: err.Error()})
		return false
	}
	trainers.judge(created, node, from, read)
	return from+len(read.Results) == len(created.items)
}

// key is the header by which the callers of a job present a key of its tenant.
func (created *job) key() []string { return authorization(keyOf(created.tenant)) }

// pry asks for a job with the key of another tenant, who must learn nothing.
func (trainers *trainers) pry(ctx context.Context, created *job) {
	other := tenantNames[0]
	if other == created.tenant {
		other = tenantNames[1]
	}
	node := trainers.ingress.pick()
	got := call(ctx, node, http.MethodGet, "/thistlewalk/lots/"+created.id+"?after-rev=0", "pry-"+created.id, "", readLimit, authorization(keyOf(other))...)
	if got.broken == nil && got.status != http.StatusNotFound && got.status != http.StatusServiceUnavailable {
		trainers.report(Violation{Promise: PromiseTenant, Subject: created.id, Detail: fmt.Sprintf("%s answers %s, of another tenant, %d", node.Name, other, got.status)})
	}
}

// verifyTenants checks, once all is over, that items ran for their tenants, and scorers were asked for none.
func (trainers *trainers) verifyTenants() {
	for _, created := range trainers.jobs {
		for _, id := range created.items {
			for _, violation := range append(judgeCallers(trainers.world.Executions, id, created.tenant), judgeCallers(trainers.world.Executions, scorerOf(id), "")...) {
				trainers.report(violation)
			}
		}
	}
}

// judge checks a page against what was read before and against what replicas made.
func (trainers *trainers) judge(created *job, node *Node, from int, read page) {
	fail := func(promise Promise, format string, arguments ...any) {
		trainers.report(Violation{Promise: promise, Subject: created.id, Detail: node.Name + ": " + fmt.Sprintf(format, arguments...)})
	}
	if read.Total != len(created.items) || read.Next != from+len(read.Results) {
		fail(PromiseWholeAnswer, "total %d of %d, next %d after %d from %d", read.Total, len(created.items), read.Next, len(read.Results), from)
	}
	created.mu.Lock()
	defer created.mu.Unlock()
	for offset, entry := range read.Results {
		position := from + offset
		if position < len(created.results) {
			if !sameResult(created.results[position], entry) {
				fail(PromiseAccepted, "position %d held %s %s, now %s %s", position, created.results[position].ID, created.results[position].State, entry.ID, entry.State)
			}
			continue
		}
		if position > len(created.results) {
			break // what lies before it has not been read yet
		}
		if slices.ContainsFunc(created.results, func(other result) bool { return other.ID == entry.ID }) {
			fail(PromiseAccepted, "item %s stands at two positions", entry.ID)
		}
		created.results = append(created.results, entry)
		if problem := judgeResult(trainers.world.Executions, created, entry); problem != nil {
			fail(problem.Promise, "%s", problem.Detail)
		}
	}
}

func sameResult(a, b result) bool {
	return a.ID == b.ID && a.State == b.State && a.Text == b.Text && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

// judgeResult checks one result against the runs of its item and of its scorer; nil when nothing is wrong.
func judgeResult(executions *site.Executions, created *job, entry result) *Violation {
	if _, known := created.bodies[entry.ID]; !known {
		return &Violation{Promise: PromiseAccepted, Detail: "foreign item " + entry.ID}
	}
	if entry.State == stateTerminated {
		if created.endAsked {
			return nil
		}
		return &Violation{Promise: PromiseText, Detail: entry.ID + " was given up though no replica failed it for good"}
	}
	var texts []string
	for event := int64(1); event <= site.EventsOf(entry.ID); event++ {
		texts = append(texts, site.EventData(entry.ID, event))
	}
	if entry.State != stateCompleted || entry.Text != strings.Join(texts, "\n") {
		return &Violation{Promise: PromiseText, Detail: fmt.Sprintf("%s is %s with %q", entry.ID, entry.State, entry.Text)}
	}
	if problem := judgeVersions(executions.Of(entry.ID), created, entry); problem != "" {
		return &Violation{Promise: PromiseText, Detail: problem}
	}
	if problem := judgeScore(executions, entry); problem != "" {
		return &Violation{Promise: PromiseScore, Detail: problem}
	}
	return nil
}

// judgeVersions checks that each event was made under a named version, and each named version made an event.
func judgeVersions(runs []site.Execution, created *job, entry result) string {
	made := make(map[int64]bool)
	for event := int64(1); event <= site.EventsOf(entry.ID); event++ {
		covered := false
		for _, run := range runs {
			if version, ok := run.Events[event]; ok {
				made[version.Version] = true
				covered = covered || slices.Contains(entry.Versions, version.Version)
			}
		}
		if !covered {
			return fmt.Sprintf("%s: event %d was made under none of versions %v", entry.ID, event, entry.Versions)
		}
	}
	for _, version := range entry.Versions {
		if !made[version] || version < created.minimum {
			return fmt.Sprintf("%s names version %d, minimum %d", entry.ID, version, created.minimum)
		}
	}
	return ""
}

// judgeScore checks that the score is the signature of a call that was made when the text was whole.
func judgeScore(executions *site.Executions, entry result) string {
	last := site.EventsOf(entry.ID)
	var whole time.Time
	for _, run := range executions.Of(entry.ID) {
		if made, ok := run.Events[last]; ok && (whole.IsZero() || made.At.Before(whole)) {
			whole = made.At
		}
	}
	for _, run := range executions.Of(scorerOf(entry.ID)) {
		if entry.Score == "stamp."+run.Replica+"."+scorerOf(entry.ID) {
			if run.Started.Before(whole) {
				return entry.ID + " was scored before its text was whole"
			}
			return ""
		}
	}
	return fmt.Sprintf("%s has score %q, which no replica gave", entry.ID, entry.Score)
}

// readBody asks for the body of an item that is not listed yet.
func (trainers *trainers) readBody(ctx context.Context, created *job) {
	created.mu.Lock()
	listed := make(map[string]bool)
	for _, entry := range created.results {
		listed[entry.ID] = true
	}
	open := !created.endAsked
	created.mu.Unlock()
	for _, id := range created.items {
		if listed[id] || !open {
			continue
		}
		node := trainers.ingress.pick()
		got := call(ctx, node, http.MethodGet, fmt.Sprintf("/thistlewalk/items/%s?id=%s", created.id, id), "body-"+id, "", readLimit, created.key()...)
		trainers.judgeBody(created, node, id, got)
		return
	}
}

func (trainers *trainers) judgeBody(created *job, node *Node, id string, got answer) {
	created.mu.Lock()
	defer created.mu.Unlock()
	if got.broken != nil || created.endAsked {
		return
	}
	switch {
	case got.status == http.StatusOK && got.body != created.bodies[id]:
		trainers.report(Violation{Promise: PromiseWholeAnswer, Subject: id, Detail: fmt.Sprintf("%s answers the body %q", node.Name, got.body)})
	case got.status == http.StatusNotFound:
		trainers.report(Violation{Promise: PromiseAccepted, Subject: id, Detail: node.Name + " has no body of an open item"})
	}
}

func (created *job) known() int {
	created.mu.Lock()
	defer created.mu.Unlock()
	return len(created.results)
}

// settled reports whether the job was accepted long enough ago to be known everywhere.
func (created *job) settled() bool {
	created.mu.Lock()
	defer created.mu.Unlock()
	return !created.accepted.IsZero() && time.Since(created.accepted) > settleTime
}

// enough reports whether as many groups are whole as the trainer waits for.
func (created *job) enough() bool {
	created.mu.Lock()
	defer created.mu.Unlock()
	listed := make(map[string]bool)
	for _, entry := range created.results {
		listed[entry.ID] = true
	}
	whole := 0
	for first := 0; first < len(created.items); first += groupSize {
		if !slices.ContainsFunc(created.items[first:first+groupSize], func(id string) bool { return !listed[id] }) {
			whole++
		}
	}
	return whole >= wantedGroups
}
