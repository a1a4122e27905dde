package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readPace = 500 * time.Millisecond
	// endRetryPace is how long the trainer waits before it asks for the end again after a refused connection.
	endRetryPace = time.Second
	stepLimit    = 12 * time.Second
	// finalReads is how long the results are read again at the end of the run.
	finalReads = 6 * time.Second
)

// slowGroupEvents are the events of the items of the last group, which is not whole when the trainer ends the job.
const slowGroupEvents = 90

// resentJob kills the front that runs a job once the trainer has read what it waits for. While the front starts again, a client sends the job
// once more, and the trainer, whose first call for the end found the front down, ends the job. Every result that was read has to come again.
func resentJob(trouble bool, records *record) (broken bool, err error) {
	sent := newJob("7c41e09b52d6a3f8", 5, 4, 4)
	eventsOf := func(id string) int64 {
		if strings.HasPrefix(id, sent.id+"04") {
			return slowGroupEvents
		}
		return 10 + int64(id[len(id)-1]-'0')
	}
	all, err := newDeployment(sizes{frontsPerZone: 3, engines: 3, apps: 3, eventTime: 100 * time.Millisecond, eventsOf: eventsOf}, records)
	if err != nil {
		return false, err
	}
	defer all.stop()
	if err := all.start(); err != nil {
		return false, err
	}
	began := time.Now()
	if status := all.submit(all.fronts[0], sent); status != 202 {
		return false, fmt.Errorf("the job is not accepted: %d", status)
	}
	owner := all.ownerOf(sent.id)
	if owner == nil {
		return false, fmt.Errorf("nothing tells which front runs the job")
	}
	near := all.neighbourOf(owner)
	known := all.readUntilWhole(near, sent, began.Add(stepLimit))
	if sent.wholeGroups(known) < sent.wanted {
		return false, fmt.Errorf("only %d groups are whole in time", sent.wholeGroups(known))
	}
	records.note("the trainer has read %d results with %d whole groups", len(known), sent.wholeGroups(known))

	var resend sync.Once
	sendAgain := func() { resend.Do(func() { go all.submit(near, sent) }) }
	killed := time.Now()
	if trouble {
		all.store.setOnCommit(func(done commit) {
			if time.Since(killed) > restartDelay && done.hasPut(func(key string) bool { return key == "cluster/nodes/"+owner.name }) {
				records.note("%s, started again, has written its record; a client sends the job again", owner.name)
				sendAgain()
			}
		})
		owner.signal(syscall.SIGKILL)
		records.note("%s, which runs the job, is killed", owner.name)
		owner.awaitExit(time.Second)
		time.AfterFunc(restartDelay, func() {
			if err := owner.start(false); err != nil {
				records.note("%s does not start: %v", owner.name, err)
			}
		})
	} else {
		time.AfterFunc(restartDelay, sendAgain)
	}
	ended := all.endJob(owner, sent) == 200
	for !ended && time.Since(began) < 2*stepLimit {
		time.Sleep(endRetryPace)
		ended = all.endJob(near, sent) == 200
	}
	if !ended {
		return false, fmt.Errorf("the end is not acknowledged")
	}
	time.Sleep(time.Until(killed.Add(restartDelay + contactTime + settleTime + time.Second)))
	return all.checkReads(all.frontsBut(owner), sent, known), nil
}

// neighbourOf returns another front of a front's zone.
func (all *deployment) neighbourOf(machine *node) *node {
	for _, other := range all.fronts {
		if other != machine && other.zone == machine.zone {
			return other
		}
	}
	return nil
}

// readUntilWhole reads a job as its trainer does, until enough groups are whole.
func (all *deployment) readUntilWhole(at *node, sent *job, deadline time.Time) []result {
	var known []result
	for sent.wholeGroups(known) < sent.wanted && time.Now().Before(deadline) {
		status, got := all.read(at, sent, len(known))
		if status == 200 && len(got.Results) > 0 {
			known = append(known, got.Results...)
			all.records.note("read at %s: %d results, %d in all", at.name, len(got.Results), len(known))
		}
		time.Sleep(readPace)
	}
	return known
}

// checkReads reads a job from its start, page by page, at the given fronts, none of which was disturbed. It reports whether one of them answers
// 404 or 410, or has nothing at a position that had been read before.
func (all *deployment) checkReads(fronts []*node, sent *job, known []result) (broken bool) {
	for until := time.Now().Add(finalReads); time.Now().Before(until); time.Sleep(readPace) {
		for _, machine := range fronts {
			broken = all.lacksPosition(machine, sent, len(known)) || broken
		}
	}
	return broken
}

// lacksPosition reads the first positions of a job at a front. Any other answer than 200, 404 and 410 says nothing of the job.
func (all *deployment) lacksPosition(at *node, sent *job, count int) bool {
	for position := 0; position < count; {
		status, got := all.read(at, sent, position)
		switch {
		case status == 404 || status == 410:
			all.records.note("BROKEN: %s answers %d for job %s", at.name, status, sent.id)
			return true
		case status == 200 && len(got.Results) == 0:
			all.records.note("BROKEN: %s has nothing at position %d of job %s; %d had been read", at.name, position, sent.id, count)
			return true
		case status != 200:
			all.records.note("%s answers %d", at.name, status)
			return false
		}
		position += len(got.Results)
	}
	all.records.note("%s has all %d results", at.name, count)
	return false
}
