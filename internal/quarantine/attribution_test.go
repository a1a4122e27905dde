package quarantine_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// Bodies of two requests that ran on the same replicas.
const (
	culprit  = "ends its replica"
	harmless = "usual"
)

// A harmless request must not be quarantined for an hour because it ran beside a request that crashes replicas. Both are
// held after two crashes and become due together; if both trials reach the same replica, its crash counts against both
// unless it is attributed to one of them. The outcome depends on scheduling, so each history runs several times.
func TestHarmlessRequestIsHeldForSecondsOnly(t *testing.T) {
	for _, failed := range []history{
		{0, []string{compact, killNode, compact}, crashDelay / 2, 2, longRunning},
		{13778, []string{noFault, resetReplica, killAll, crashReplica}, time.Second, 3, justStarted},
		{988418093, []string{loseResponses, lossyLinks, crashReplica, resetReplica}, crashDelay / 2, 3, justStarted},
	} {
		for range 10 {
			failed.run(t)
		}
	}
}

// recordCrashes records crashes, one second apart.
func recordCrashes(tracker *quarantine.Tracker, body, reporter string, now time.Time, replicas ...string) {
	for index, replica := range replicas {
		at := now.Add(time.Duration(index-len(replicas)+1) * time.Second)
		tracker.RecordCrash(fingerprintOf(body), replica, reporter, at, at)
	}
}

// A request whose third crash is attributed to a more suspected one is held as after two crashes. A request that has
// crashed a replica by itself stays quarantined, whatever ran beside it before.
func TestEndUnderTwoRequestsIsPutDownToOne(t *testing.T) {
	quarantined := quarantine.Decision{Crashes: 3, RetryAfter: quarantineDuration - holdDuration}
	trial := quarantine.Decision{Allowed: true, Crashes: 3, Trial: true}
	for _, check := range []struct {
		name              string
		culprit, harmless []string
		reporter          string // of the harmless request's crashes
		claim             quarantine.Claim
		want              quarantine.Decision // on the harmless request, holdDuration after the last crash
	}{
		{"tried on the same replica", []string{"r1", "r2", "r3", "r4"}, []string{"r2", "r3", "r4"}, "node", quarantine.Claim{}, trial},
		{"an earlier crash by itself", []string{"r1", "r2", "r3", "r4"}, []string{"r0", "r2", "r4"}, "node", quarantine.Claim{}, trial},
		{"the last crash by itself", []string{"r1", "r2", "r3", "r4"}, []string{"r2", "r3", "r5"}, "node", quarantine.Claim{}, quarantined},
		{"all crashes by itself", nil, []string{"r1", "r2", "r3"}, "node", quarantine.Claim{}, quarantined},
		{"beside a request that is only held", []string{"r2", "r3"}, []string{"r1", "r2", "r3"}, "node", quarantine.Claim{}, quarantined},
		{"beside a less suspected request", []string{"r2", "r3", "r4"}, []string{"r1", "r2", "r3", "r4"}, "node", quarantine.Claim{},
			quarantine.Decision{Crashes: 4, RetryAfter: quarantineDuration - holdDuration}},
		{"tried on the same replica, other reporter", []string{"r1", "r2", "r3", "r4"}, []string{"r2", "r3", "r4"}, "other", quarantine.Claim{},
			quarantine.Decision{Crashes: 3, RetryAfter: time.Second}},
		{"trial already used", []string{"r1", "r2", "r3", "r4", "r5"}, []string{"r2", "r3", "r4", "r5"}, "node", quarantine.Claim{},
			quarantine.Decision{Crashes: 4, RetryAfter: quarantineDuration - holdDuration}},
	} {
		now := time.Now()
		tracker := quarantine.NewTracker("node")
		recordCrashes(tracker, culprit, "node", now, check.culprit...)
		recordCrashes(tracker, harmless, check.reporter, now, check.harmless...)
		decision := tracker.Admit(fingerprintOf(harmless), check.claim, now.Add(holdDuration))
		must.Eq(t, check.want.Allowed, decision.Allowed, must.Sprint(check.name))
		must.Eq(t, check.want.Trial, decision.Trial, must.Sprint(check.name))
		must.Eq(t, check.want.Crashes, decision.Crashes, must.Sprint(check.name))
		must.Eq(t, check.want.RetryAfter, decision.RetryAfter, must.Sprint(check.name))
	}
}

// At most one of two requests with the same crashes may be tried, so that a request that crashes replicas gains no further
// run. The other is tried once the first has crashed a replica by itself.
func TestOneOfTwoEqualsIsTried(t *testing.T) {
	now := time.Now()
	tracker := quarantine.NewTracker("node")
	recordCrashes(tracker, culprit, "node", now, "r1", "r2", "r3")
	recordCrashes(tracker, harmless, "node", now, "r1", "r2", "r3")
	due := now.Add(holdDuration)
	first, second := culprit, harmless
	if !tracker.Admit(fingerprintOf(first), quarantine.Claim{}, due).Trial {
		first, second = second, first
		must.True(t, tracker.Admit(fingerprintOf(first), quarantine.Claim{}, due).Trial)
	}
	must.False(t, tracker.Admit(fingerprintOf(second), quarantine.Claim{}, due).Allowed)
	tracker.RecordCrash(fingerprintOf(first), "r4", "node", due, due)
	must.False(t, tracker.Admit(fingerprintOf(first), quarantine.Claim{}, due.Add(holdDuration)).Allowed, must.Sprint("its trial is used"))
	must.True(t, tracker.Admit(fingerprintOf(second), quarantine.Claim{}, due.Add(holdDuration)).Trial)
}

// A stored record without replicas, which another writer may leave, must hold its request.
func TestRecordWithoutReplicas(t *testing.T) {
	now := time.Now()
	tracker := quarantine.NewTracker("node")
	tracker.Restore(fingerprintOf(harmless), quarantine.Suspicion{Crashes: 3, Reporter: "node", Until: now.Add(quarantineDuration)}, now)
	must.Eq(t, quarantine.Decision{Crashes: 3, RetryAfter: quarantineDuration, Reason: quarantine.HeldAfterCrash}, tracker.Admit(fingerprintOf(harmless), quarantine.Claim{}, now))
}

// Several harmless requests beside one that crashes replicas, on few replicas so that their trials coincide: each must be
// served in the end, and the one that crashes replicas must reach few more.
func TestDrawnHistoriesOfCompany(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		drawnHistory := history{
			seed: rapid.Uint64().Draw(drawn, "seed"),
			faults: rapid.SliceOfN(rapid.SampledFrom([]string{
				noFault, noFault, noFault, crashReplica, resetReplica, drainReplica, killNode, killAll, loseResponses, lossyLinks,
			}), 3, 6).Draw(drawn, "faults"),
			callerTimeout: rapid.SampledFrom([]time.Duration{time.Second, crashDelay / 2}).Draw(drawn, "caller timeout"),
			replicas:      rapid.IntRange(2, 4).Draw(drawn, "replicas"),
			uptime:        rapid.SampledFrom([]time.Duration{justStarted, longRunning}).Draw(drawn, "uptime"),
		}
		drawnHistory.runWithHarmless(t, rapid.IntRange(2, 4).Draw(drawn, "harmless requests"))
	})
}

// runWithHarmless runs a history with some harmless requests, and checks its outcome.
func (history *history) runWithHarmless(t *testing.T, harmlessRequests int) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(history.seed, history.replicas, historyNodes)
		time.Sleep(history.uptime)
		stop := make(chan struct{})
		go world.keepCalling(stop, 130*time.Millisecond, crashingBody, history.callerTimeout)
		for number := range harmlessRequests {
			go world.keepCalling(stop, time.Duration(40+10*number)*time.Millisecond, bodyOf(number), time.Second)
		}
		for index, fault := range history.faults {
			world.injectFault(fault, index)
		}
		world.store.SetFaults(memstore.Faults{})
		time.Sleep(recoveryTime)
		close(stop)
		time.Sleep(2 * time.Second)
		late, crashes := world.late()
		var refused error
		for _, node := range world.running() {
			for number := range harmlessRequests {
				refused = errors.CombineErrors(refused, node.call(bodyOf(number), time.Second))
			}
		}
		world.close()
		synctest.Wait()
		time.Sleep(time.Minute) // pending timers
		must.LessEq(t, 3, late, must.Sprintf("%+v, %d harmless: %d runs later than %s after the third crash, %d crashes", history, harmlessRequests, late, undisturbedTime, crashes))
		must.NoError(t, refused, must.Sprintf("%+v, %d harmless", history, harmlessRequests))
	})
}

func bodyOf(number int) string { return fmt.Sprint("harmless ", number) }

// restoreRecord restores the stored record of a request on some nodes.
func restoreRecord(body, reporter string, now time.Time, replicas []string, trackers ...*quarantine.Tracker) {
	stored := quarantine.Suspicion{Crashes: len(replicas), Reporter: reporter, Until: now.Add(quarantineDuration)}
	for _, replica := range replicas {
		stored.Events = append(stored.Events, quarantine.CrashEvent{Replica: replica})
	}
	for _, tracker := range trackers {
		tracker.Restore(fingerprintOf(body), stored, now)
	}
}

// A harmless request must not lose its trial because two nodes have counted different crashes of the request that ran beside
// it, and each tries the other one of the two. The outcome must not depend on which request has the lower fingerprint.
func TestNodesWithDifferentCountsTryOneRequest(t *testing.T) {
	for number := range 20 {
		now := time.Now()
		crashing, other := strings.Repeat("c", number+1), strings.Repeat("h", number+2) // lengths decide the order of fingerprints
		informed, restarted := quarantine.NewTracker("informed"), quarantine.NewTracker("restarted")
		recordCrashes(informed, crashing, "gone", now.Add(-10*time.Second), "r1", "r2", "r3", "r4")
		both := []*quarantine.Tracker{informed, restarted}
		restoreRecord(crashing, "restarted", now, []string{"r3", "r4", "r5"}, both...)
		restoreRecord(other, "informed", now, []string{"r3", "r4", "r5"}, both...)
		due := now.Add(holdDuration)
		trialOfOther := informed.Admit(fingerprintOf(other), quarantine.Claim{}, due).Trial
		trialOfCrashing := restarted.Admit(fingerprintOf(crashing), quarantine.Claim{}, due).Trial
		must.False(t, trialOfOther && trialOfCrashing, must.Sprint(number))
		if trialOfOther {
			continue
		}
		restoreRecord(crashing, "restarted", due, []string{"r3", "r4", "r5", "r6"}, both...)
		must.True(t, informed.Admit(fingerprintOf(other), quarantine.Claim{}, due.Add(time.Second)).Trial, must.Sprint(number))
	}
}

// Of several requests that the same crashes interrupted, one at a time is tried: the next one follows when the trial of the
// first is over, or after its turn if nobody asks for the first.
func TestTrialsTakeTurns(t *testing.T) {
	const turn = 8 * time.Second
	for _, answered := range []bool{true, false} {
		now := time.Now()
		tracker := quarantine.NewTracker("node")
		bodies := []string{culprit, bodyOf(0), bodyOf(1), bodyOf(2)}
		for _, body := range bodies {
			recordCrashes(tracker, body, "node", now, "r1", "r2", "r3")
		}
		due := now.Add(holdDuration)
		for remaining := len(bodies); remaining > 1; remaining-- {
			var tried []string
			for _, body := range bodies {
				if tracker.Admit(fingerprintOf(body), quarantine.Claim{}, due).Trial {
					tried = append(tried, body)
				}
			}
			must.Len(t, 1, tried, must.Sprintf("%d remain, answered: %t", remaining, answered))
			if answered {
				tracker.Clear(fingerprintOf(tried[0]))
				continue
			}
			bodies = slices.DeleteFunc(bodies, func(body string) bool { return body == tried[0] }) // asked for no more
			due = due.Add(turn)
		}
	}
}

// Histories with several harmless requests that have failed before must pass. The outcome depends on scheduling, so each runs
// several times.
func TestFailedHistoriesOfCompany(t *testing.T) {
	for range 30 {
		// Two nodes had counted different crashes and tried both requests at one replica.
		(&history{15577, []string{killNode, killAll, noFault}, time.Second, 3, justStarted}).runWithHarmless(t, 4)
		// The node that decides on trials had counted the fewest crashes, and what the others knew did not reach it.
		(&history{0, []string{lossyLinks, noFault, noFault}, crashDelay / 2, 3, longRunning}).runWithHarmless(t, 3)
		(&history{103, []string{lossyLinks, noFault, crashReplica}, time.Second, 4, longRunning}).runWithHarmless(t, 3)
		(&history{2, []string{lossyLinks, resetReplica, noFault}, time.Second, 4, longRunning}).runWithHarmless(t, 4)
	}
}
