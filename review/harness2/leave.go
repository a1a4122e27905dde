package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// leaveLate is how long after its arrival the unanswered write is done.
	leaveLate = 5500 * time.Millisecond
	// killDelay is how long after that write is done the second process is killed.
	killDelay = 300 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
)

// lateLeave: a front gets SIGTERM and is started again; the platform's store does the last write of its first process late and does not
// answer it. Later the front's process is killed, and started again at once.
func lateLeave(deployment *deployment, trouble bool) (int, string) {
	record, client := deployment.record, &client{deployment.record}
	front := deployment.fronts[0]
	unanswered := &lostAnswer{matches: func(written txn) bool { return len(written.Put) == 0 && written.touches(front.name) }, late: leaveLate}
	// Steps of other trainers, whose writes are answered.
	for _, other := range deployment.fronts[1:] {
		go func() {
			for range 3 {
				small := newJob(4, 3, 60)
				if client.submit(other.frontAddress(), small, 4*time.Second).status == 202 {
					client.follow(other.frontAddress(), small, time.Now().Add(8*time.Second))
					client.end(other.frontAddress(), small.id, 4*time.Second)
				}
			}
		}()
	}
	if trouble {
		deployment.store.loseNext(unanswered)
	}
	front.signal(syscall.SIGTERM)
	var left time.Time // when the first process made its last write
	if trouble {
		select {
		case <-unanswered.taken:
			left = time.Now()
		case <-time.After(7 * time.Second):
			return held, "the first process wrote nothing when it left"
		}
	}
	if !front.awaitExit(8 * time.Second) {
		return couldNot, "the front did not end within its grace period"
	}
	time.Sleep(restartDelay)
	if err := front.start(false); err != nil {
		return couldNot, err.Error()
	}
	if !front.awaitReady(5 * time.Second) {
		return couldNot, "the front was not ready again"
	}
	step := newJob(60, 12, 200)
	sent := time.Now()
	if client.submit(front.frontAddress(), step, trainerDeadline/3).status != 202 {
		return held, "the batch job was not accepted"
	}
	steady := sent
	if trouble {
		time.Sleep(time.Until(left.Add(leaveLate + killDelay)))
		killed := time.Now()
		front.signal(syscall.SIGKILL)
		front.awaitExit(time.Second)
		time.Sleep(restartDelay)
		if err := front.start(false); err != nil {
			return couldNot, err.Error()
		}
		if !front.awaitReady(3 * time.Second) {
			return couldNot, "the front was not ready again"
		}
		steady = killed.Add(restartDelay + contact)
	}
	deadline := sent.Add(trainerDeadline)
	client.follow(front.frontAddress(), step, deadline)
	idle, begun, finished := deployment.idleItems(step, steady, deadline)
	record.note("at the trainer's deadline: %d items had begun, %d are finished, %d were at no replica for %v of steady state", begun, finished, idle, idleBound)
	read := client.follow(front.frontAddress(), step, sent.Add(observedFor))
	_, _, later := deployment.idleItems(step, steady, time.Now())
	record.note("%v after the batch job was sent %d items are finished, %d listed", time.Since(sent).Round(time.Second), later, len(read.listed))
	if idle > 0 && begun > 0 && deployment.busiest(deadline.Add(-idleBound), deadline) < deployment.slots()/2 {
		return broken, fmt.Sprintf("LOST: the batch job was answered with 202; at its deadline %d of %d items had been at no replica for %v of steady state", idle, len(step.items), idleBound)
	}
	return held, fmt.Sprintf("%d of %d items were finished", finished, len(step.items))
}
