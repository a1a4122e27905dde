package quarantine_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// recorder keeps the notices that a guard broadcasts and the records that it asks to store.
type recorder struct {
	mu        sync.Mutex
	notices   []quarantine.Notice
	persisted int
}

// Broadcast implements quarantine.Broadcaster.
func (recorder *recorder) Broadcast(notice quarantine.Notice) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.notices = append(recorder.notices, notice)
}

// Persist implements quarantine.Persister.
func (recorder *recorder) Persist(quarantine.Fingerprint) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.persisted++
}

// Lift implements quarantine.Persister.
func (recorder *recorder) Lift(quarantine.Fingerprint) {}

func (recorder *recorder) persistCalls() int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.persisted
}

// take returns the notices since the last call.
func (recorder *recorder) take() []quarantine.Notice {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	notices := recorder.notices
	recorder.notices = nil
	return notices
}

// replicasIn returns the replicas that notices report, in order and without repetitions.
func replicasIn(notices []quarantine.Notice) []string {
	var replicas []string
	seen := make(map[string]bool)
	for _, notice := range notices {
		for _, crash := range notice.Crashes {
			if !seen[crash.Replica] {
				seen[crash.Replica] = true
				replicas = append(replicas, crash.Replica)
			}
		}
	}
	return replicas
}

func newRecordedGuard(t *testing.T) (*quarantine.Guard, *recorder) {
	recorder := &recorder{}
	guard := &quarantine.Guard{
		Tracker: quarantine.NewTracker("node"), Catalog: catalog.NewTable(), Broadcaster: recorder, Persister: recorder, Node: "node",
		Logger: log.New(io.Discard), IsDeputy: func(quarantine.Fingerprint) bool { return false },
	}
	go guard.Run(t.Context())
	return guard, recorder
}

// report returns a notice of crashes that occur one second apart, the last one now.
func report(reporter, body string, replicas ...string) quarantine.Notice {
	notice := quarantine.Notice{Reporter: reporter}
	for index, replica := range replicas {
		notice.Crashes = append(notice.Crashes, quarantine.CrashReport{Fingerprint: fingerprintOf(body), CrashEvent: quarantine.CrashEvent{
			Replica: replica, InterruptedAt: time.Now().Add(time.Duration(index-len(replicas)+1) * time.Second),
		}})
	}
	return notice
}

const replyTime = 300 * time.Millisecond

// Guards against further runs of a request by a node that missed earlier crashes: who knows of them must tell it once it
// reports a crash, unless another node does.
func TestNodeLearnsOfCrashesThatItMissed(t *testing.T) {
	for _, check := range []struct {
		name   string
		others []quarantine.Notice
		want   []string
	}{
		{"nobody else replies", nil, []string{"r1", "r2", "r3"}},
		{"another node replies", []quarantine.Notice{report("third", "x", "r1", "r2")}, nil},
		{"another node knows of one", []quarantine.Notice{report("third", "x", "r1")}, []string{"r1", "r2", "r3"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			guard, recorder := newRecordedGuard(t)
			time.Sleep(time.Second)
			guard.HandleNotice(report("other", "x", "r1", "r2"))
			time.Sleep(replyTime)
			must.SliceEmpty(t, replicasIn(recorder.take()), must.Sprint("the reporter lacks nothing"))
			guard.HandleNotice(report("fourth", "x", "r3"))
			for _, notice := range check.others {
				guard.HandleNotice(notice)
			}
			time.Sleep(replyTime)
			must.Eq(t, check.want, replicasIn(recorder.take()), must.Sprint(check.name))
		})
	}
}

// Guards against a harmless request that is held because a node missed its answer and reports crashes from before it.
func TestAnswerOutweighsLateReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, recorder := newRecordedGuard(t)
		fingerprint := fingerprintOf("x")
		time.Sleep(time.Minute)
		old := report("other", "x", "r1", "r2", "r3")
		time.Sleep(time.Second)
		answeredAt := time.Now()
		guard.HandleNotice(quarantine.Notice{Reporter: "third", Cleared: []quarantine.Fingerprint{fingerprint}, ClearedAt: []time.Time{answeredAt}})
		time.Sleep(time.Second)
		guard.HandleNotice(report("fourth", "x", "r4"))
		guard.HandleNotice(old)
		must.Eq(t, 1, guard.Tracker.Suspected(fingerprint).Crashes)
		guard.HandleNotice(quarantine.Notice{Reporter: "third", Cleared: []quarantine.Fingerprint{fingerprint}, ClearedAt: []time.Time{answeredAt}})
		must.Eq(t, 1, guard.Tracker.Suspected(fingerprint).Crashes, must.Sprint("a repeated notice of the answer"))
		time.Sleep(replyTime)
		recorder.take()
		guard.HandleNotice(old)
		time.Sleep(replyTime)
		sent := recorder.take()
		must.Len(t, 1, sent)
		must.Eq(t, []quarantine.Fingerprint{fingerprint}, sent[0].Cleared)
		must.Eq(t, []time.Time{answeredAt}, sent[0].ClearedAt)
	})
}

// Guards against a request that is sent again because an answer from before its quarantine, told once more, clears a record
// that was read since; its crashes have no time.
func TestAnswerBeforeARecordChangesNothing(t *testing.T) {
	now := time.Now()
	fingerprint := fingerprintOf(culprit)
	tracker := quarantine.NewTracker("node")
	restoreRecord(culprit, "other", now, []string{"r1", "r2", "r3"}, tracker)
	tracker.RecordCrash(fingerprint, "r4", "other", now.Add(time.Second), now.Add(time.Second))
	must.False(t, tracker.RecordAnswer(fingerprint, now.Add(-time.Minute)))
	must.Eq(t, 4, tracker.Suspected(fingerprint).Crashes)
	must.True(t, tracker.RecordAnswer(fingerprint, now.Add(500*time.Millisecond)))
	must.Eq(t, 1, tracker.Suspected(fingerprint).Crashes, must.Sprint("one crash is newer than the answer"))
}

// Guards against a crash that is put down to the wrong request because an earlier crash is learned of later.
func TestNewestCrashIsTheLastInterruption(t *testing.T) {
	now := time.Now()
	tracker := quarantine.NewTracker("node")
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds-4) * time.Second) }
	for index, replica := range []string{"r0", "r1", "r4"} {
		tracker.RecordCrash(fingerprintOf(culprit), replica, "node", at([]int{0, 1, 4}[index]), now)
	}
	tracker.RecordCrash(fingerprintOf(culprit), "r9", "node", at(3), now)
	for _, second := range []int{4, 2, 3} { // r2 and r3 crashed earlier and not under the other request
		tracker.RecordCrash(fingerprintOf(harmless), fmt.Sprint("r", second), "node", at(second), now)
	}
	must.True(t, tracker.Admit(fingerprintOf(harmless), quarantine.Claim{}, now.Add(holdDuration)).Attributed)
}

// Guards against a stored record that says too little and is left as it is: who knows more must tell, until it is put right.
func TestRecordThatLacksCrashesIsPutRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard, recorder := newRecordedGuard(t)
		fingerprint := fingerprintOf("x")
		time.Sleep(time.Second)
		guard.HandleNotice(report("other", "x", "r1", "r2", "r3", "r4"))
		stored := quarantine.Suspicion{Crashes: 3, Reporter: "other", Until: time.Now().Add(time.Hour)}
		guard.Tracker.Restore(fingerprint, stored, time.Now())
		before := recorder.persistCalls()
		for range 2 {
			time.Sleep(6 * time.Second)
			must.Eq(t, []string{"r1", "r2", "r3", "r4"}, replicasIn(recorder.take()))
		}
		must.Greater(t, before, recorder.persistCalls())
		stored.Crashes = 4
		guard.Tracker.Restore(fingerprint, stored, time.Now())
		time.Sleep(time.Minute)
		recorder.take()
		before = recorder.persistCalls()
		time.Sleep(time.Minute)
		must.SliceEmpty(t, recorder.take())
		must.Eq(t, before, recorder.persistCalls())
	})
}

// Guards against crashes that few nodes learn of because the datagrams of a moment are lost.
func TestCrashesAreReportedAgain(t *testing.T) {
	for _, cut := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(1, 3, 2)
			time.Sleep(justStarted)
			world.setCut(true)
			first, second := world.nodes[0], world.nodes[1]
			_ = first.call(crashingBody, time.Second)
			time.Sleep(cut)
			world.setCut(false)
			time.Sleep(4 * time.Second)
			world.close()
			synctest.Wait()
			known := first.guard.Tracker.Suspected(fingerprintOfCall(crashingBody)).Crashes
			must.Positive(t, known)
			must.Eq(t, known, second.guard.Tracker.Suspected(fingerprintOfCall(crashingBody)).Crashes, must.Sprint(cut))
		})
	}
}

// Guards against a fourth late run where nodes were cut off from each other for longer than notices are repeated, or began
// after the crashes.
func TestFewRunsAfterLongCutsAndLateStarts(t *testing.T) {
	for _, cut := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		for _, lateStart := range []bool{false, true} {
			for seed := range uint64(10) {
				synctest.Test(t, func(t *testing.T) {
					name := fmt.Sprintf("cut %s, late start %t, seed %d", cut, lateStart, seed)
					world := newWorld(seed, 4, historyNodes)
					time.Sleep(longRunning)
					stop := make(chan struct{})
					world.disturb(cut)
					world.setCut(true)
					go world.keepCalling(stop, 130*time.Millisecond, crashingBody, time.Second)
					go world.keepCalling(stop, 40*time.Millisecond, harmless, time.Second)
					time.Sleep(cut)
					if lateStart {
						world.kill(historyNodes - 1)
					}
					world.setCut(false)
					time.Sleep(recoveryTime)
					close(stop)
					time.Sleep(2 * time.Second)
					late, crashes := world.late()
					var refused error
					for _, node := range world.running() {
						refused = errors.CombineErrors(refused, node.call(harmless, time.Second))
					}
					world.close()
					synctest.Wait()
					time.Sleep(time.Minute) // pending timers
					must.LessEq(t, 3, late, must.Sprintf("%s: %d crashes", name, crashes))
					must.NoError(t, refused, must.Sprint(name))
				})
			}
		}
	}
}

// hub delivers the notices of many guards to all others, and counts them.
type hub struct {
	mu     sync.Mutex
	guards []*quarantine.Guard
	sent   int
}

func (hub *hub) notices() int {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	return hub.sent
}

// member is a guard's access to the hub.
type member struct {
	hub   *hub
	index int
}

// Broadcast implements quarantine.Broadcaster.
func (member member) Broadcast(notice quarantine.Notice) {
	member.hub.mu.Lock()
	defer member.hub.mu.Unlock()
	member.hub.sent++
	for index, guard := range member.hub.guards {
		if index != member.index {
			time.AfterFunc(delay, func() { guard.HandleNotice(notice) })
		}
	}
}

// Guards against a storm of datagrams in a large fleet where all nodes know what one lacks: few of them may reply.
func TestFewNodesReply(t *testing.T) {
	const (
		nodes      = 250
		fewReplies = nodes / 10
	)
	synctest.Test(t, func(t *testing.T) {
		hub := &hub{}
		for index := range nodes {
			name := fmt.Sprint("node-", index)
			guard := &quarantine.Guard{
				Tracker: quarantine.NewTracker(name), Catalog: catalog.NewTable(), Broadcaster: member{hub, index}, Node: name,
				Logger: log.New(io.Discard), IsDeputy: func(quarantine.Fingerprint) bool { return false },
			}
			hub.guards = append(hub.guards, guard)
			go guard.Run(t.Context())
		}
		time.Sleep(time.Second)
		for _, guard := range hub.guards[1:] {
			guard.HandleNotice(report("gone", "x", "r1", "r2"))
		}
		time.Sleep(time.Second)
		member{hub, 0}.Broadcast(report("node-0", "x", "r3"))
		time.Sleep(replyTime)
		replies := hub.notices() - 1
		must.Between(t, 1, replies, fewReplies)
		must.Eq(t, 3, hub.guards[0].Tracker.Suspected(fingerprintOf("x")).Crashes)
		t.Logf("%d of %d nodes reply", replies, nodes)
	})
}
