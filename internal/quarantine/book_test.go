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
	// heldFor and quarantinedFor are how long a request rests after two ends of replicas, and after three.
	heldFor        = 4 * time.Second
	quarantinedFor = time.Hour
)

func fingerprintOf(body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("app", &backend.Request{Body: []byte(body)})
}

// What is decided of a request follows from how many replicas ended under it and when.
func TestBook(t *testing.T) {
	type end struct {
		replica string
		after   time.Duration // the one before
	}
	far := time.Second
	for _, check := range []struct {
		name      string
		ends      []end
		after     time.Duration // the last end
		exclusive bool
		want      quarantine.Decision
	}{
		{"unknown", nil, 0, false, quarantine.Decision{Allowed: true}},
		{"one end may have another cause", []end{{"r1", 0}}, 0, false, quarantine.Decision{Allowed: true, Crashes: 1}},
		{"one end, told of twice", []end{{"r1", 0}, {"r1", far}}, 0, false, quarantine.Decision{Allowed: true, Crashes: 1}},
		{"two ends", []end{{"r1", 0}, {"r2", far}}, 0, false, quarantine.Decision{Crashes: 2, After: heldFor}},
		{"two ends, some time ago", []end{{"r1", 0}, {"r2", far}}, heldFor, false, quarantine.Decision{Allowed: true, Crashes: 2, Trial: true}},
		{"three ends", []end{{"r1", 0}, {"r2", far}, {"r3", far}}, heldFor, false, quarantine.Decision{Crashes: 3, After: quarantinedFor - heldFor}},
		{"three ends, all at one moment", []end{{"r1", 0}, {"r2", time.Millisecond}, {"r3", time.Millisecond}}, 0, false, quarantine.Decision{Allowed: true, Crashes: 1}},
		{"three ends, one long ago", []end{{"r1", 0}, {"r2", 11 * time.Minute}, {"r3", far}}, 0, false, quarantine.Decision{Crashes: 2, After: heldFor}},
		{"three ends, of a job's request", []end{{"r1", 0}, {"r2", far}, {"r3", far}}, heldFor - 1, true, quarantine.Decision{Crashes: 3, After: quarantinedFor - heldFor + 1}},
		{"three ends, of a job's request, some time ago", []end{{"r1", 0}, {"r2", far}, {"r3", far}}, heldFor, true, quarantine.Decision{Allowed: true, Crashes: 3, Trial: true}},
		{"four ends, of a job's request", []end{{"r1", 0}, {"r2", far}, {"r3", far}, {"r4", far}}, heldFor, true, quarantine.Decision{Crashes: 4, After: quarantinedFor - heldFor}},
		{"quarantine over", []end{{"r1", 0}, {"r2", far}, {"r3", far}}, quarantinedFor + 1, false, quarantine.Decision{Allowed: true}},
	} {
		book, now := quarantine.NewBook("node", time.Now()), time.Now()
		for _, end := range check.ends {
			now = now.Add(end.after)
			book.Note(fingerprintOf("x"), end.replica, "node", now, now)
		}
		must.Eq(t, check.want, book.Admit(fingerprintOf("x"), quarantine.Claim{Exclusive: check.exclusive}, now.Add(check.after)), must.Sprint(check.name))
		must.True(t, book.Admit(fingerprintOf("y"), quarantine.Claim{}, now).Allowed, must.Sprint(check.name, ": another request"))
	}
}

// A request in quarantine is tried once more by the node that ranks first for it, and by no other; by none that may not know of earlier ends.
func TestQuarantineIsTriedOnce(t *testing.T) {
	for _, ran := range []time.Duration{10*time.Minute - 1, 10 * time.Minute} {
		now := time.Now()
		book := quarantine.NewBook("node", now)
		now = now.Add(ran)
		for _, replica := range []string{"r1", "r2", "r3"} {
			book.Note(fingerprintOf("x"), replica, "node", now, now)
			now = now.Add(time.Second)
		}
		now = now.Add(-time.Second)
		const after = 30 * time.Second
		must.False(t, book.Admit(fingerprintOf("x"), quarantine.Claim{Deputy: true}, now.Add(after-1)).Allowed)
		must.False(t, book.Admit(fingerprintOf("x"), quarantine.Claim{}, now.Add(after)).Allowed)
		must.Eq(t, ran >= 10*time.Minute, book.Admit(fingerprintOf("x"), quarantine.Claim{Deputy: true}, now.Add(after)).Trial)
		book.Note(fingerprintOf("x"), "r4", "node", now.Add(after), now.Add(after))
		must.False(t, book.Admit(fingerprintOf("x"), quarantine.Claim{Deputy: true}, now.Add(2*after)).Allowed)
	}
}

// A trial is given once: not again until its end was seen or the request has rested as long again.
func TestTrialIsGivenOnce(t *testing.T) {
	book, now := quarantine.NewBook("node", time.Now()), time.Now()
	for _, replica := range []string{"r1", "r2", "r3"} {
		now = now.Add(time.Second)
		book.Note(fingerprintOf("x"), replica, "node", now, now)
	}
	must.True(t, book.Admit(fingerprintOf("x"), quarantine.Claim{Exclusive: true}, now.Add(heldFor)).Trial)
	must.False(t, book.Admit(fingerprintOf("x"), quarantine.Claim{Exclusive: true}, now.Add(heldFor+time.Second)).Allowed)
	must.True(t, book.Admit(fingerprintOf("x"), quarantine.Claim{Exclusive: true}, now.Add(2*heldFor)).Trial)
}

// After two ends one node tries, that which saw the last of them, the one that ranks first after 8 s, or each after 12 s.
func TestOneNodeTries(t *testing.T) {
	for _, check := range []struct {
		name, reporter string
		claim          quarantine.Claim
		after          time.Duration
		trial          bool
	}{
		{"who saw the last end", "node", quarantine.Claim{}, heldFor, true},
		{"another", "other", quarantine.Claim{}, heldFor, false},
		{"the owner of the job", "other", quarantine.Claim{Exclusive: true}, heldFor, true},
		{"the deputy", "other", quarantine.Claim{Deputy: true}, heldFor, false},
		{"the deputy, as long again", "other", quarantine.Claim{Deputy: true}, 2 * heldFor, true},
		{"another, three times as long", "other", quarantine.Claim{}, 3 * heldFor, true},
	} {
		book, now := quarantine.NewBook("node", time.Now()), time.Now()
		book.Note(fingerprintOf("x"), "r1", "node", now, now)
		book.Note(fingerprintOf("x"), "r2", check.reporter, now.Add(time.Second), now)
		must.Eq(t, check.trial, book.Admit(fingerprintOf("x"), check.claim, now.Add(check.after)).Trial, must.Sprint(check.name))
		must.Eq(t, time.Second, book.Admit(fingerprintOf("x"), check.claim, now.Add(check.after)).After, must.Sprint(check.name, ": then rests"))
	}
}

// An answer clears a request, and what is kept of one counts as what was seen.
func TestBookClearsAndRestores(t *testing.T) {
	book, now := quarantine.NewBook("node", time.Now()), time.Now()
	must.False(t, book.Clear(fingerprintOf("x")))
	book.Restore(fingerprintOf("x"), quarantine.Suspicion{Crashes: 3, Ends: []quarantine.End{{Replica: "r1"}}, Reporter: "node", Until: now.Add(time.Minute)}, now)
	decision := book.Admit(fingerprintOf("x"), quarantine.Claim{}, now)
	must.Eq(t, quarantine.Decision{Crashes: 3, After: time.Minute}, decision)
	must.Eq(t, 1, book.Quarantined())
	book.Restore(fingerprintOf("x"), quarantine.Suspicion{Crashes: 2, Reporter: "node", Until: now.Add(time.Minute)}, now) // an older record
	book.Note(fingerprintOf("x"), "r1", "node", now, now)                                                                  // told late
	must.Eq(t, 3, book.Admit(fingerprintOf("x"), quarantine.Claim{}, now).Crashes)
	must.True(t, book.Clear(fingerprintOf("x")))
	must.True(t, book.Admit(fingerprintOf("x"), quarantine.Claim{}, now).Allowed)
	must.Eq(t, 0, book.Quarantined())
}

// What is remembered is bounded: what is over goes first, then what was suspected the longest ago; and a body is read only where a request
// may be suspected.
func TestBookIsBounded(t *testing.T) {
	book, now := quarantine.NewBook("node", time.Now()), time.Now()
	const most = 4096
	request := func(number int) *backend.Request { return &backend.Request{Target: fmt.Sprint("/", number)} }
	for number := range most + 10 {
		now = now.Add(time.Millisecond)
		book.Note(quarantine.FingerprintOf("app", request(number)), "r1", "node", now, now)
	}
	known := 0
	for number := range most + 10 {
		if book.MayKnow("app", request(number)) {
			known++
		}
	}
	must.Eq(t, most, known)
	must.False(t, book.MayKnow("app", request(0)))
	must.True(t, book.MayKnow("app", request(most+9)))
	must.False(t, book.MayKnow("other", request(most+9)))
	now = now.Add(11 * time.Minute)
	book.Note(quarantine.FingerprintOf("app", request(-1)), "r1", "node", now, now)
	must.False(t, book.MayKnow("app", request(most+9)))
	must.True(t, book.MayKnow("app", request(-1)))
}

// A held request costs what is remembered of the others, in a full book: 62 ns before ends were put down to others, 160,000 ns when
// all requests were looked through at each.
func BenchmarkHeldRequestInAFullBook(b *testing.B) {
	book, now := quarantine.NewBook("node", time.Now()), time.Now()
	for number := range 4096 {
		for replica := range 3 {
			at := now.Add(time.Duration(replica) * time.Second)
			book.Note(fingerprintOf(fmt.Sprint(number)), fmt.Sprint("replica-", number, "-", replica), "node", at, at)
		}
	}
	held := fingerprintOf("7")
	for b.Loop() {
		book.Admit(held, quarantine.Claim{}, now)
	}
}
