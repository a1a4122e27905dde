package main

import (
	"fmt"
	"syscall"
	"time"
)

// Times of the lost acceptance. All count from the moment at which the trainer first sends its batch job.
const (
	// trainerDeadline is how long a trainer waits for its step.
	trainerDeadline = 12 * time.Second
	// acceptanceLate is how long after its arrival the unanswered write is done.
	acceptanceLate = 2800 * time.Millisecond
	// powerLossAt is within the 5 to 400 ms after a client's work was sent that the pages name.
	powerLossAt = 350 * time.Millisecond
	// contact is contact-ms, idleBound the time that an item may be at no replica in steady state.
	contact   = 3 * time.Second
	idleBound = 5 * time.Second
	// observedFor is how long the batch job is read in all.
	observedFor = 30 * time.Second
)

// lostAcceptance: the platform's store does a front's write late and does not answer it, and the front is lost for good meanwhile. The
// trainer sends its batch job once more, to another front.
func lostAcceptance(deployment *deployment, trouble bool) (int, string) {
	record, client := deployment.record, &client{deployment.record}
	lost, other := deployment.fronts[0], deployment.fronts[1]
	path, err := newLink(fmt.Sprintf("%s250:%d", deployment.prefix, frontPort), lost.frontAddress())
	if err != nil {
		return couldNot, err.Error()
	}
	defer path.close()
	// Steps of other trainers, whose writes are answered.
	for _, front := range deployment.fronts[1:] {
		go func() {
			small := newJob(4, 3, 60)
			if client.submit(front.frontAddress(), small, 4*time.Second).status == 202 {
				client.follow(front.frontAddress(), small, time.Now().Add(8*time.Second))
				client.end(front.frontAddress(), small.id, 4*time.Second)
			}
		}()
	}
	before := deployment.store.writeCount()
	step := newJob(40, 12, 100)
	unanswered := &lostAnswer{matches: func(written txn) bool { return written.touches(step.id) }, late: acceptanceLate}
	if trouble {
		deployment.store.loseNext(unanswered)
	}
	first := make(chan reply, 1)
	sent := time.Now()
	go func() { first <- client.submit(path.address(), step, trainerDeadline/3) }()
	steady := sent
	if trouble {
		select {
		case <-unanswered.taken:
		case <-time.After(powerLossAt):
			return couldNot, "the batch job was not written"
		}
		time.Sleep(time.Until(sent.Add(powerLossAt)))
		record.note("%s loses power and does not come back", lost.name)
		path.silence()
		lost.signal(syscall.SIGKILL)
		steady = sent.Add(acceptanceLate + powerLossAt + contact)
	}
	at := path.address()
	answered := <-first
	if answered.status != 202 {
		at = other.frontAddress()
		answered = client.submit(at, step, (trainerDeadline-time.Since(sent))/3)
	}
	record.note("store: %d writes since the case began; lost answer: %v", deployment.store.writeCount()-before, trouble)
	if answered.status != 202 {
		return held, "the batch job was never accepted"
	}
	deadline := sent.Add(trainerDeadline)
	client.follow(at, step, deadline)
	idle, begun, finished := deployment.idleItems(step, steady, deadline)
	record.note("at the trainer's deadline: %d items had begun, %d are finished, %d were at no replica for %v of steady state", begun, finished, idle, idleBound)
	read := client.follow(at, step, sent.Add(observedFor))
	_, _, later := deployment.idleItems(step, steady, time.Now())
	record.note("%v after the batch job was sent %d items are finished, %d listed", time.Since(sent).Round(time.Second), later, len(read.listed))
	if idle > 0 && begun > 0 && deployment.busiest(deadline.Add(-idleBound), deadline) < deployment.slots()/2 {
		return broken, fmt.Sprintf("LOST: the batch job was answered with 202; at its deadline %d of %d items had been at no replica for %v of steady state", idle, len(step.items), idleBound)
	}
	return held, fmt.Sprintf("%d of %d items were finished", finished, len(step.items))
}

// busiest returns an upper bound of the requests that were at the engines at one time in a period.
func (deployment *deployment) busiest(from, until time.Time) int {
	deployment.runs.mu.Lock()
	defer deployment.runs.mu.Unlock()
	count := 0
	for _, one := range deployment.runs.list {
		if one.began.Before(until) && (one.ended.IsZero() || one.ended.After(from)) {
			count++
		}
	}
	return count
}

// idleItems returns how many items of a step were not finished by the end and at no replica for idleBound before it, in steady state,
// how many had begun, and how many were finished.
func (deployment *deployment) idleItems(step *job, steady, end time.Time) (idle, begun, finished int) {
	for _, one := range step.items {
		since, whole := steady, false
		list := deployment.runs.of(one.id)
		for _, current := range list {
			whole = whole || current.whole && current.ended.Before(end)
			if current.ended.IsZero() || current.ended.After(end) {
				since = end
			} else if current.ended.After(since) {
				since = current.ended
			}
		}
		if len(list) > 0 {
			begun++
		}
		switch {
		case whole:
			finished++
		case end.Sub(since) >= idleBound:
			idle++
		}
	}
	return idle, begun, finished
}
