package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// orphanEvents are the events of each item of a job whose front leaves.
	orphanEvents = 60
	// idleBound is how long an item may be at no replica in steady state before its step runs out of time.
	idleBound = 5 * time.Second
	// disturbAfter is when the disruption begins, counted from the acceptance of the job.
	disturbAfter = 400 * time.Millisecond
)

// stopInTakeover stops two fronts that leave for good: first the one that runs a job, then the one that takes the job over from it, while it
// does so. Both get a SIGTERM. The items of the job have to go on running.
func stopInTakeover(trouble bool, records *record) (broken bool, err error) {
	return leaveJob(records, func(all *deployment, sent *job, owner *node) []*node {
		if !trouble {
			return nil
		}
		taken := make(chan *node, 1)
		var once sync.Once
		all.store.setOnCommit(func(done commit) {
			for _, written := range done.Put {
				name, isOwner := strings.CutSuffix(strings.TrimPrefix(written.Key, "owners/"), "/"+sent.id)
				if successor := all.node(name); isOwner && successor != nil && successor != owner {
					once.Do(func() {
						successor.signal(syscall.SIGTERM)
						records.note("%s, which is taking the job over, gets a SIGTERM", successor.name)
						taken <- successor
					})
				}
			}
		})
		owner.signal(syscall.SIGTERM)
		records.note("%s, which runs the job, gets a SIGTERM", owner.name)
		left := []*node{owner}
		select {
		case successor := <-taken:
			left = append(left, successor)
		case <-time.After(contactTime):
		}
		for _, machine := range left {
			machine.awaitExit(graceTime)
			records.note("%s has ended and has left for good", machine.name)
		}
		return left
	})
}

// killedTwice kills the front that runs a job, and kills it again as soon as it has started and written its record. Then it is gone for good.
// The items of the job have to go on running.
func killedTwice(trouble bool, records *record) (broken bool, err error) {
	return leaveJob(records, func(all *deployment, _ *job, owner *node) []*node {
		if !trouble {
			return nil
		}
		gone := make(chan struct{})
		var once sync.Once
		killed := time.Now()
		all.store.setOnCommit(func(done commit) {
			if time.Since(killed) > restartDelay && done.hasPut(func(key string) bool { return key == "cluster/nodes/"+owner.name }) {
				once.Do(func() {
					owner.signal(syscall.SIGKILL)
					records.note("%s, started again, has written its record and is killed; it does not come back", owner.name)
					close(gone)
				})
			}
		})
		owner.signal(syscall.SIGKILL)
		records.note("%s, which runs the job, is killed", owner.name)
		owner.awaitExit(time.Second)
		time.Sleep(restartDelay)
		if err := owner.start(false); err != nil {
			records.note("%s does not start: %v", owner.name, err)
		}
		select {
		case <-gone:
		case <-time.After(contactTime):
		}
		owner.awaitExit(time.Second)
		return []*node{owner}
	})
}

// leaveJob submits a job, has its front disturbed, and judges whether an item is left alone until the step runs out of time. disturb returns
// the machines that have left.
func leaveJob(records *record, disturb func(*deployment, *job, *node) []*node) (broken bool, err error) {
	sent := newJob("9b52d6a3f87c41e0", 5, 4, 5)
	eventsOf := func(string) int64 { return orphanEvents }
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
	time.Sleep(disturbAfter)
	left := disturb(all, sent, owner)
	disturbed := time.Now()
	steady := disturbed.Add(contactTime)
	if len(left) == 0 {
		steady = began
	}
	reader := all.frontsBut(left...)[0]
	known := all.readUntilWhole(reader, sent, began.Add(stepLimit))
	records.note("the step ends: %d of %d results, %d of %d groups are whole", len(known), len(sent.items), sent.wholeGroups(known), sent.wanted)
	if sent.wholeGroups(known) >= sent.wanted {
		return false, nil
	}
	return all.leftAlone(sent, steady), nil
}

// leftAlone reports whether an item that no replica has finished has been at no replica for idleBound of steady state, though others of its
// step had begun and the replicas were under half full.
func (all *deployment) leftAlone(sent *job, steady time.Time) bool {
	now, load, begunAny, alone := time.Now(), 0, false, 0
	for _, member := range all.engines {
		load += member.taken()
	}
	for _, id := range sent.items {
		since, running, finished := steady, false, false
		for _, member := range all.engines {
			begun, runs, ended, done := member.state(id)
			begunAny, running, finished = begunAny || begun, running || runs, finished || done
			if ended.After(since) {
				since = ended
			}
		}
		if !running && !finished && now.Sub(since) >= idleBound {
			alone++
			all.records.note("item %s has been at no replica for %.1f s of steady state", id, now.Sub(since).Seconds())
		}
	}
	all.records.note("%d of %d slots of the replicas are taken", load, len(all.engines)*slotsEach)
	return alone > 0 && begunAny && load*2 < len(all.engines)*slotsEach
}
