package batchrun_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/batchrun"
	"github.com/thistlewalk/thistlewalk/internal/catalog"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	// replicaHistories is the number of histories that TestReplicaHistories plays.
	replicaHistories = 150
	replicaEvents    = 24
	replicaItems     = 16
	// jobsTime is the time that the items of all open jobs take at replicas without faults.
	jobsTime = 4 * time.Second
)

// replicaHistory is a history of jobs whose items come again, over replicas that fail in many ways.
type replicaHistory struct {
	world    *world
	recorder *failureRecorder
	random   *rand.Rand
	jobs     []*replicaJob
}

type replicaJob struct {
	definition *batchv1.Job
	accepted   bool
	ended      bool
}

var replicaNames = []string{"e1", "e2", "x1", "x2"}

// runReplicaHistory plays the history of a seed in simulated time. It returns the failure, or an empty string.
func runReplicaHistory(t *testing.T, seed uint64) string {
	recorder := &failureRecorder{TB: t}
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(seed)
		played := &replicaHistory{world: world, recorder: recorder, random: rand.New(rand.NewPCG(seed, 2))}
		defer func() {
			if over := recover(); over != nil && over != (historyAborted{}) {
				panic(over)
			}
			played.heal()
			world.close()
			time.Sleep(12 * time.Second)
			synctest.Wait()
		}()
		for _, name := range []string{"a", "b", "c"} {
			world.start(name)
		}
		played.addTargets()
		for range replicaEvents {
			played.play()
			time.Sleep(time.Duration(played.random.IntN(900)) * time.Millisecond)
			played.checkItems()
		}
		played.heal()
		played.awaitJobs()
	})
	return recorder.failure
}

func (history *replicaHistory) addTargets() {
	held := []catalog.ModelVersion{{Model: "m", Version: 1}}
	service := []string{"engine", "second"}[history.random.IntN(2)]
	targets := []catalog.RouteTarget{{Service: "engine", Weight: 1}}
	if service == "second" {
		targets = itemTargets
	}
	history.world.setTargets(routeOfItems, targets, catalog.Replica{ID: "x1", Service: service, Slots: 2, Models: held}, catalog.Replica{ID: "x2", Service: service, Slots: 2, Models: held})
	history.world.engines.mu.Lock()
	defer history.world.engines.mu.Unlock()
	history.world.engines.versions["x1"], history.world.engines.versions["x2"] = 1, 1
	history.world.engines.refusing, history.world.engines.breaking, history.world.engines.unreachable = make(map[string]bool), make(map[string]bool), make(map[string]bool)
}

func (history *replicaHistory) node() (string, *batchrun.Runner) {
	name := []string{"a", "b", "c"}[history.random.IntN(3)]
	return name, history.world.node(name)
}

func (history *replicaHistory) play() {
	engines, replica := history.world.engines, replicaNames[history.random.IntN(len(replicaNames))]
	set := func(change func()) {
		engines.mu.Lock()
		defer engines.mu.Unlock()
		change()
	}
	switch history.random.IntN(14) {
	case 0, 1, 2:
		history.submit()
	case 3:
		history.end()
	case 4:
		history.resend()
	case 5:
		set(func() { engines.gaps[replica] = time.Hour })
	case 6:
		set(func() { engines.gaps[replica] = 300 * time.Millisecond })
	case 7:
		set(func() { engines.refusing[replica] = true })
	case 8:
		set(func() { engines.breaking[replica] = true })
	case 9:
		set(func() { engines.unreachable[replica] = true })
	case 10:
		set(func() { engines.versions[replica]++ })
		history.register()
	case 11:
		set(func() { engines.versions[replica] = 1 }) // it started again under its name, which its entry doesn't show yet
	case 12:
		history.heal()
	case 13:
		history.replaceNode()
	}
}

// register makes the entries of all replicas show their versions.
func (history *replicaHistory) register() {
	var registered []catalog.Replica
	for replica := range history.world.catalog.Replicas().All().Each() {
		copied := *replica
		if len(copied.Models) > 0 {
			copied.Models = []catalog.ModelVersion{{Model: "m", Version: history.world.engines.version(copied.ID)}}
		}
		registered = append(registered, copied)
	}
	history.world.catalog.SetReplicas(registered, history.world.catalog.Replicas().Revision+1)
}

// heal ends the faults of all replicas.
func (history *replicaHistory) heal() {
	engines := history.world.engines
	engines.mu.Lock()
	clear(engines.gaps)
	clear(engines.refusing)
	clear(engines.breaking)
	clear(engines.unreachable)
	engines.mu.Unlock()
	history.register()
}

// submit submits a job that brings back the first items of the newest ended one, half of the time.
func (history *replicaHistory) submit() {
	definition := newDefinition(fmt.Sprint("job-", len(history.jobs)), replicaItems, 1)
	if former := history.newest(); former != nil && former.ended && history.random.IntN(2) == 0 {
		copy(definition.Items, former.definition.Items[:replicaItems/2])
	}
	job := &replicaJob{definition: definition}
	history.jobs = append(history.jobs, job)
	history.send(job)
}

func (history *replicaHistory) send(job *replicaJob) {
	_, runner := history.node()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if runner.Submit(ctx, job.definition, jobRoute) == nil {
		job.accepted = true
	}
}

func (history *replicaHistory) newest() *replicaJob {
	if len(history.jobs) == 0 {
		return nil
	}
	return history.jobs[len(history.jobs)-1]
}

// resend submits the newest job again, as other clients do.
func (history *replicaHistory) resend() {
	if job := history.newest(); job != nil && !job.ended {
		history.send(job)
	}
}

func (history *replicaHistory) end() {
	job := history.newest()
	if job == nil || !job.accepted || job.ended {
		return
	}
	_, runner := history.node()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	job.ended = runner.End(ctx, noTenant, job.definition.GetId()) == nil
}

// replaceNode stops or kills a node and starts it again. Another node takes its jobs over.
func (history *replicaHistory) replaceNode() {
	name, runner := history.node()
	if history.random.IntN(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		handedOver := runner.HandOver(ctx)
		cancel()
		incarnation := history.world.kill(name)
		if handedOver {
			history.world.clearLeftoverWorkKey(name)
		} else {
			history.takeOver(name, incarnation)
		}
	} else {
		history.takeOver(name, history.world.kill(name))
	}
	history.world.start(name)
}

func (history *replicaHistory) takeOver(name string, incarnation int64) {
	time.Sleep(1300 * time.Millisecond)
	successor := history.world.node((&worldPeers{history.world, name}).Nearest()[0])
	if successor.TakeOverNode(context.Background(), name, incarnation, unregistered(name)) == nil { // otherwise the node resumes its jobs itself
		history.world.clearLeftoverWorkKey(name)
	}
}

// checkItems checks that no owner has lost an item or miscounts the requests at a replica.
func (history *replicaHistory) checkItems() {
	synctest.Wait()
	for _, name := range []string{"a", "b", "c"} {
		if lost := history.world.node(name).LostItems(); len(lost) > 0 {
			history.recorder.Fatalf("%v", lost)
		}
	}
}

// awaitJobs waits until all jobs are whole: an item is at a replica again within idleLimit of the end of the faults.
func (history *replicaHistory) awaitJobs() {
	deadline := time.Now().Add(idleLimit + jobsTime)
	for _, job := range history.jobs {
		if !job.accepted || job.ended {
			continue
		}
		for {
			_, runner := history.node()
			results, err := readAll(context.Background(), runner, job.definition.GetId())
			if err == nil && len(results) == len(job.definition.GetItems()) {
				break
			}
			if time.Now().After(deadline) {
				history.recorder.Fatalf("%s has %d of %d results %s after the last fault: %v", job.definition.GetId(), len(results), len(job.definition.GetItems()), idleLimit+jobsTime, err)
			}
			time.Sleep(100 * time.Millisecond)
			history.checkItems()
		}
	}
}

// Guards against items that an owner loses, and against ones that stay at no replica for what a front believes of replicas that have recovered.
func TestReplicaHistories(t *testing.T) {
	for seed := range uint64(replicaHistories) {
		if failure := runReplicaHistory(t, seed); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
}
