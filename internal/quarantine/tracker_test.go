package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

const (
	// holdDuration and quarantineDuration are how long a request is held after two crashes and after three.
	holdDuration       = 4 * time.Second
	quarantineDuration = time.Hour
)

func fingerprintOf(body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("app", &backend.Request{Body: []byte(body)})
}

// The decision on a request depends on the number and the times of its crashes.
func TestBook(t *testing.T) {
	type crash struct {
		replica string
		after   time.Duration // since the previous crash
	}
	apart := time.Second
	for _, check := range []struct {
		name    string
		crashes []crash
		after   time.Duration // since the last crash
		want    quarantine.Decision
	}{
		{"unknown", nil, 0, quarantine.Decision{Allowed: true}},
		{"one crash may have another cause", []crash{{"r1", 0}}, 0, quarantine.Decision{Allowed: true, Crashes: 1}},
		{"one crash reported twice", []crash{{"r1", 0}, {"r1", apart}}, 0, quarantine.Decision{Allowed: true, Crashes: 1}},
		{"two crashes", []crash{{"r1", 0}, {"r2", apart}}, 0, quarantine.Decision{Crashes: 2, RetryAfter: holdDuration, Reason: quarantine.HeldAfterCrash}},
		{"two crashes, hold over", []crash{{"r1", 0}, {"r2", apart}}, holdDuration, quarantine.Decision{Allowed: true, Crashes: 2, Trial: true}},
		{"three crashes", []crash{{"r1", 0}, {"r2", apart}, {"r3", apart}}, holdDuration, quarantine.Decision{Crashes: 3, RetryAfter: quarantineDuration - holdDuration, Reason: quarantine.HeldForOtherNode}},
		{"three simultaneous crashes", []crash{{"r1", 0}, {"r2", time.Millisecond}, {"r3", time.Millisecond}}, 0, quarantine.Decision{Allowed: true, Crashes: 1}},
		{"three crashes, the first expired", []crash{{"r1", 0}, {"r2", 11 * time.Minute}, {"r3", apart}}, 0, quarantine.Decision{Crashes: 2, RetryAfter: holdDuration, Reason: quarantine.HeldAfterCrash}},
		{"three crashes, the last one recent", []crash{{"r1", 0}, {"r2", apart}, {"r3", apart}}, holdDuration - 1, quarantine.Decision{Crashes: 3, RetryAfter: quarantineDuration - holdDuration + 1, Reason: quarantine.HeldAfterCrash}},
		{"four crashes", []crash{{"r1", 0}, {"r2", apart}, {"r3", apart}, {"r4", apart}}, holdDuration, quarantine.Decision{Crashes: 4, RetryAfter: quarantineDuration - holdDuration, Reason: quarantine.HeldForGood}},
		{"quarantine expired", []crash{{"r1", 0}, {"r2", apart}, {"r3", apart}}, quarantineDuration + 1, quarantine.Decision{Allowed: true}},
	} {
		tracker, now := quarantine.NewTracker("node"), time.Now()
		for _, crash := range check.crashes {
			now = now.Add(crash.after)
			tracker.RecordCrash(fingerprintOf("x"), crash.replica, "node", now, now)
		}
		if !check.want.Allowed {
			check.want.SinceCrash = check.after
		}
		must.Eq(t, check.want, tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now.Add(check.after)), must.Sprint(check.name))
		must.True(t, tracker.Admit(fingerprintOf("y"), quarantine.Claim{}, now).Allowed, must.Sprint(check.name, ": another request"))
	}
}

// The deputy, and no other node, tries a quarantined request once, however young its process is.
func TestQuarantineIsTriedOnce(t *testing.T) {
	now := time.Now()
	tracker := quarantine.NewTracker("node")
	recordCrashes(tracker, "x", "node", now, "r1", "r2", "r3")
	const after = 30 * time.Second
	must.False(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{Deputy: true}, now.Add(after-1)).Allowed)
	must.False(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now.Add(after)).Allowed)
	must.True(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{Deputy: true}, now.Add(after)).Trial)
	tracker.RecordCrash(fingerprintOf("x"), "r4", "node", now.Add(after), now.Add(after))
	must.False(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{Deputy: true}, now.Add(2*after)).Allowed)
}

// A trial must not be repeated before its crash would have been detected.
func TestTrialIsGivenOnce(t *testing.T) {
	tracker, now := quarantine.NewTracker("node"), time.Now()
	for _, replica := range []string{"r1", "r2"} {
		now = now.Add(time.Second)
		tracker.RecordCrash(fingerprintOf("x"), replica, "node", now, now)
	}
	must.True(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now.Add(holdDuration)).Trial)
	again := tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now.Add(holdDuration+time.Second))
	must.False(t, again.Allowed)
	must.Eq(t, quarantine.HeldAfterTrial, again.Reason)
	must.Eq(t, time.Second, again.SinceTrial)
	must.True(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now.Add(2*holdDuration)).Trial)
}

// After two crashes only one node at a time may try a request: the reporter of the last crash, then the deputy, then any
// node.
func TestOneNodeTries(t *testing.T) {
	for _, check := range []struct {
		name, reporter string
		claim          quarantine.Claim
		after          time.Duration
		trial          bool
	}{
		{"reporter of the last crash", "node", quarantine.Claim{}, holdDuration, true},
		{"another node", "other", quarantine.Claim{}, holdDuration, false},
		{"deputy", "other", quarantine.Claim{Deputy: true}, holdDuration, false},
		{"deputy after its delay", "other", quarantine.Claim{Deputy: true}, 2 * holdDuration, true},
		{"another node after its delay", "other", quarantine.Claim{}, 3 * holdDuration, true},
	} {
		tracker, now := quarantine.NewTracker("node"), time.Now()
		tracker.RecordCrash(fingerprintOf("x"), "r1", "node", now, now)
		tracker.RecordCrash(fingerprintOf("x"), "r2", check.reporter, now.Add(time.Second), now)
		must.Eq(t, check.trial, tracker.Admit(fingerprintOf("x"), check.claim, now.Add(check.after)).Trial, must.Sprint(check.name))
		must.Eq(t, time.Second, tracker.Admit(fingerprintOf("x"), check.claim, now.Add(check.after)).RetryAfter, must.Sprint(check.name, ": held after the trial"))
	}
}

// An answer clears a request, and crashes in a stored record count like those that the node has seen.
func TestBookClearsAndRestores(t *testing.T) {
	tracker, now := quarantine.NewTracker("node"), time.Now()
	must.False(t, tracker.Clear(fingerprintOf("x")))
	tracker.Restore(fingerprintOf("x"), quarantine.Suspicion{Crashes: 3, Events: []quarantine.CrashEvent{{Replica: "r1"}}, Reporter: "node", Until: now.Add(time.Minute)}, now)
	decision := tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now)
	must.Eq(t, quarantine.Decision{Crashes: 3, RetryAfter: time.Minute, Reason: quarantine.HeldAfterCrash}, decision)
	must.Eq(t, 1, tracker.Quarantined())
	tracker.Restore(fingerprintOf("x"), quarantine.Suspicion{Crashes: 2, Reporter: "node", Until: now.Add(time.Minute)}, now) // a stale record
	tracker.RecordCrash(fingerprintOf("x"), "r1", "node", now, now)                                                           // a late report
	must.Eq(t, 3, tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now).Crashes)
	must.True(t, tracker.Clear(fingerprintOf("x")))
	must.True(t, tracker.Admit(fingerprintOf("x"), quarantine.Claim{}, now).Allowed)
	must.Eq(t, 0, tracker.Quarantined())
}

// The tracker must not grow beyond its limit: expired entries are evicted first, then the oldest. Bodies are hashed only
// for requests that may be suspected.
func TestBookIsBounded(t *testing.T) {
	tracker, now := quarantine.NewTracker("node"), time.Now()
	const most = 4096
	request := func(number int) *backend.Request { return &backend.Request{Target: fmt.Sprint("/", number)} }
	for number := range most + 10 {
		now = now.Add(time.Millisecond)
		tracker.RecordCrash(quarantine.FingerprintOf("app", request(number)), "r1", "node", now, now)
	}
	known := 0
	for number := range most + 10 {
		if tracker.MayBeSuspected("app", request(number)) {
			known++
		}
	}
	must.Eq(t, most, known)
	must.False(t, tracker.MayBeSuspected("app", request(0)))
	must.True(t, tracker.MayBeSuspected("app", request(most+9)))
	must.False(t, tracker.MayBeSuspected("other", request(most+9)))
	now = now.Add(11 * time.Minute)
	tracker.RecordCrash(quarantine.FingerprintOf("app", request(-1)), "r1", "node", now, now)
	must.False(t, tracker.MayBeSuspected("app", request(most+9)))
	must.True(t, tracker.MayBeSuspected("app", request(-1)))
}

// The cost of a held request must not grow with the number of other suspected requests.
func BenchmarkHeldRequestInAFullBook(b *testing.B) {
	tracker, now := quarantine.NewTracker("node"), time.Now()
	for number := range 4096 {
		for replica := range 3 {
			at := now.Add(time.Duration(replica) * time.Second)
			tracker.RecordCrash(fingerprintOf(fmt.Sprint(number)), fmt.Sprint("replica-", number, "-", replica), "node", at, at)
		}
	}
	held := fingerprintOf("7")
	for b.Loop() {
		tracker.Admit(held, quarantine.Claim{}, now)
	}
}
