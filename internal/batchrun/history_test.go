package batchrun_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

const historyItems = 12

// failureRecorder is a testing.TB that keeps the failure and aborts the history by a panic, without ending the test.
type failureRecorder struct {
	testing.TB
	failure string
}

type historyAborted struct{}

func (recorder *failureRecorder) Helper() {}

func (recorder *failureRecorder) Fatalf(format string, arguments ...any) {
	recorder.failure = fmt.Sprintf(format, arguments...)
	panic(historyAborted{})
}

// history records what callers observed of each job.
type history struct {
	world    *world
	recorder *failureRecorder
	accepted map[string]bool
	ended    map[string]bool
	seen     map[string][]*batchv1.Result
	jobs     int
}

// preference selects whether nodes delegate jobs to a preferred node, and whether they agree on it.
type preference int

const (
	preferNone preference = iota
	preferOne
	preferDiffering
	preferences
)

func (preference preference) apply(world *world) {
	switch preference {
	case preferOne:
		world.preferred, world.alternate = "b", "c"
	case preferDiffering:
		world.alternate, world.preferredAt = "b", map[string]string{"a": "b", "b": "c", "c": "a"}
	}
}

// runHistory plays events in simulated time. It returns the failure, or an empty string.
func runHistory(t *testing.T, seed uint64, events, picks []int, preferred preference) string {
	recorder := &failureRecorder{TB: t}
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(seed)
		preferred.apply(world)
		world.engines.breakShare, world.engines.refuseShare, world.engines.failShare = 0.03, 0.05, 0.01
		played := &history{world: world, recorder: recorder, accepted: make(map[string]bool), ended: make(map[string]bool), seen: make(map[string][]*batchv1.Result)}
		defer func() {
			if over := recover(); over != nil && over != (historyAborted{}) {
				panic(over)
			}
			world.store.SetFaults(memstore.Faults{})
			world.close()
			time.Sleep(12 * time.Second)
			synctest.Wait()
		}()
		for _, name := range []string{"a", "b", "c"} {
			world.start(name)
		}
		for step, event := range events {
			played.play(event, []string{"a", "b", "c"}[picks[step]])
			played.readAllNodes()
		}
		played.awaitCompletion()
	})
	return recorder.failure
}

func (history *history) play(event int, name string) {
	switch event {
	case 0, 1, 2:
		history.submit(name)
	case 3:
		history.kill(name)
	case 4:
		history.stop(name)
	case 5:
		history.world.store.SetFaults(memstore.Faults{LoseResponses: 3, CommitDelay: time.Duration(history.jobs%3) * 600 * time.Millisecond})
		time.Sleep(800 * time.Millisecond)
		history.world.store.SetFaults(memstore.Faults{})
	case 6:
		history.world.store.SetFaults(memstore.Faults{Down: history.jobs%2 == 0, Hang: history.jobs%2 == 1})
		time.Sleep(1500 * time.Millisecond)
		history.world.store.SetFaults(memstore.Faults{})
	case 7:
		time.Sleep(time.Second)
	case 8:
		history.end(name)
	case 9:
		history.world.refuse(name, true)
		time.Sleep(2500 * time.Millisecond)
		history.world.refuse(name, false)
	case 10:
		history.world.refuse(name, !history.world.isRefused(name))
		time.Sleep(400 * time.Millisecond)
	case 11:
		history.resubmit(name)
	case 12:
		history.restart(name)
	case 13:
		history.stopInSuccession(name)
	case 14:
		history.killTwice(name)
	}
}

// historyEvents is the number of kinds of events that play knows.
const historyEvents = 15

// end ends the newest job. The job need not complete then, but what was listed stays.
func (history *history) end(name string) {
	runner, id := history.world.node(name), fmt.Sprint("job-", history.jobs-1)
	if runner == nil || !history.accepted[id] {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if runner.End(ctx, noTenant, id) == nil {
		history.ended[id] = true
	}
}

// isEnded reports whether the end of a job was acknowledged or is in the log: the call may have failed although the end was
// written.
func (history *history) isEnded(id string) bool {
	if history.ended[id] {
		return true
	}
	_, found, err := history.world.store.Get(context.Background(), "batch/"+id+"/end")
	return err == nil && found
}

func (history *history) submit(name string) {
	runner := history.world.node(name)
	if runner == nil {
		return
	}
	id := fmt.Sprint("job-", history.jobs)
	history.jobs++
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if runner.Submit(ctx, newDefinition(id, historyItems, 1), jobRoute) == nil {
		history.accepted[id] = true
	}
	time.Sleep(150 * time.Millisecond)
}

// resubmit submits the newest job again, as a caller does whose answer was lost.
func (history *history) resubmit(name string) {
	runner, id := history.world.node(name), fmt.Sprint("job-", history.jobs-1)
	if runner == nil || history.jobs == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if runner.Submit(ctx, newDefinition(id, historyItems, 1), jobRoute) == nil {
		history.accepted[id] = true
	}
}

// restart kills a node and starts it again before other nodes notice. The newest job is submitted again while the node starts.
func (history *history) restart(name string) {
	history.world.kill(name)
	history.world.start(name)
	history.resubmit(name)
}

// kill stops a node without notice. A live node takes over its jobs, as it does when the failure detector declares a node dead,
// and the node restarts without state.
func (history *history) kill(name string) {
	history.takeOver(name, history.world.kill(name))
	history.world.start(name)
}

// stop stops a node with a handover and restarts it.
func (history *history) stop(name string) {
	runner := history.world.node(name)
	if runner == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	if runner.HandOver(ctx) {
		history.world.clearLeftoverWorkKey(name)
	}
	history.world.kill(name)
	history.world.start(name)
}

// killTwice kills a node, and kills it again when it has started and has not looked for its jobs.
func (history *history) killTwice(name string) {
	history.world.kill(name)
	history.world.restartWithoutSearch(name)
	history.takeOver(name, history.world.kill(name))
	history.world.start(name)
}

// stopInSuccession stops a node, and the node that takes its jobs over while it does so. Neither comes back until the third node has had
// time to take over what they left.
func (history *history) stopInSuccession(name string) {
	world := history.world
	world.keptDelay = 200 * time.Millisecond
	defer func() { world.keptDelay = 0 }()
	var stopped []string
	var outcomes []<-chan bool
	for _, candidate := range append([]string{name}, (&worldPeers{world, name}).Nearest()...) {
		if runner := world.node(candidate); runner != nil && len(stopped) < 2 {
			stopped, outcomes = append(stopped, candidate), append(outcomes, handOver(runner))
			time.Sleep(100 * time.Millisecond)
		}
	}
	for index, candidate := range stopped {
		handedOver := <-outcomes[index]
		incarnation := world.kill(candidate)
		if handedOver {
			world.clearLeftoverWorkKey(candidate)
		} else {
			history.takeOver(candidate, incarnation)
		}
	}
	time.Sleep(time.Second)
	for _, candidate := range stopped {
		world.start(candidate)
	}
}

// takeOver has a live node take over the jobs of a dead one, as when the failure detector declares it dead.
func (history *history) takeOver(name string, incarnation int64) {
	time.Sleep(1300 * time.Millisecond)
	for _, other := range []string{"a", "b", "c"} {
		if runner := history.world.node(other); runner != nil && other != name {
			if runner.TakeOverNode(context.Background(), name, incarnation, unregistered(name)) == nil { // otherwise the node resumes its jobs itself
				history.world.clearLeftoverWorkKey(name)
			}
			return
		}
	}
}

// readAllNodes reads every accepted job at every node and checks the results against earlier ones.
func (history *history) readAllNodes() {
	for id := range history.accepted {
		for _, name := range []string{"a", "b", "c"} {
			runner := history.world.node(name)
			if runner == nil {
				continue
			}
			results, err := readAll(context.Background(), runner, id)
			if err != nil {
				continue // a node may fail a read
			}
			checkResults(history.recorder, results, 1)
			if len(results) < len(history.seen[id]) {
				history.recorder.Fatalf("%s at %s has %d results, %d were read before", id, name, len(results), len(history.seen[id]))
			}
			checkPrefix(history.recorder, history.seen[id], results)
			history.seen[id] = results
		}
	}
}

// awaitCompletion waits until every accepted job is complete or ended.
func (history *history) awaitCompletion() {
	history.world.store.SetFaults(memstore.Faults{})
	for _, name := range []string{"a", "b", "c"} {
		history.world.refuse(name, false)
	}
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		history.readAllNodes()
		if history.isComplete() {
			return
		}
	}
	for id := range history.accepted {
		if !history.isEnded(id) && len(history.seen[id]) < historyItems {
			history.recorder.Fatalf("%s has %d of %d results after 20 s", id, len(history.seen[id]), historyItems)
		}
	}
}

func (history *history) isComplete() bool {
	for id := range history.accepted {
		if !history.isEnded(id) && len(history.seen[id]) < historyItems {
			return false
		}
	}
	return true
}
