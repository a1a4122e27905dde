package dissemination

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

type healthyStore struct{ metadata.Store }

func (healthyStore) Probe(context.Context) error { return nil }

// pausable is a subscriber whose process or machine can be paused.
type pausable struct {
	*Subscriber
	// now is the time of the monotonic clock; suspended is the additional time of the clock that continues during a suspension.
	now       time.Time
	suspended time.Duration
}

func newPausable() *pausable {
	logger := log.New(io.Discard)
	standing := &pausable{now: time.Now(), Subscriber: &Subscriber{
		Limits: LimitsFor(2*time.Second, false), Health: metadata.NewHealth(healthyStore{}, logger), Logger: logger,
	}}
	begun := standing.now
	standing.Clock = clock.Func(func() time.Duration { return time.Minute + standing.now.Sub(begun) + standing.suspended })
	standing.lags = make(map[string]lag)
	standing.startedAt, standing.lastCheckAt, standing.lastCheckElapsed = begun, begun, time.Minute
	standing.Heard(&clusterv1.Beacon{}, nil)
	return standing
}

// checkAfter advances the clocks, of which the machine is suspended for a part, runs a check, and reports whether the subscriber reads the
// store.
func (standing *pausable) checkAfter(after, suspended time.Duration) bool {
	standing.now = standing.now.Add(after - suspended)
	standing.suspended += suspended
	reading, _, _ := standing.check(standing.now)
	return reading
}

// Guards against a process that reads the store immediately after a pause: it first waits for a beacon, and reads the store if none
// arrives.
func TestPauseIsNotSilence(t *testing.T) {
	for _, suspended := range []time.Duration{0, 5 * time.Second} {
		standing := newPausable()
		must.False(t, standing.checkAfter(checkInterval, 0))
		must.False(t, standing.checkAfter(5*time.Second, suspended), must.Sprint("it has just woken"))
		must.False(t, standing.checkAfter(resumeTimeout-checkInterval, 0))
		must.True(t, standing.checkAfter(2*checkInterval, 0), must.Sprint(suspended))
	}
}

// Guards against a node that claims to be up to date after a suspension of its machine, before a new beacon or a new read of the store.
func TestSuspendedNodeIsNotUpToDate(t *testing.T) {
	standing := newPausable()
	must.False(t, standing.checkAfter(checkInterval, 0))
	must.True(t, standing.UpToDate("p", standing.now))
	standing.suspended += 5 * time.Second
	must.False(t, standing.UpToDate("p", standing.now), must.Sprint("before anything else has run"))
	standing.checkAfter(checkInterval, 0)
	must.False(t, standing.UpToDate("p", standing.now), must.Sprint("without a beacon"))
	standing.Heard(&clusterv1.Beacon{}, nil)
	must.True(t, standing.UpToDate("p", standing.now))

	standing.reading, standing.readingSince = true, standing.now.Add(-time.Minute)
	standing.lastMissedAt = standing.now // so that it goes on reading
	must.True(t, standing.UpToDate("p", standing.now))
	standing.suspended += 5 * time.Second
	must.False(t, standing.UpToDate("p", standing.now), must.Sprint("before anything else has run"))
	standing.lastMissedAt = standing.now
	must.True(t, standing.checkAfter(checkInterval, 0))
	must.False(t, standing.UpToDate("p", standing.now), must.Sprint("what is read may be old"))
	standing.lastMissedAt = standing.now
	must.True(t, standing.checkAfter(firstReadTimeout, 0))
	standing.checkAfter(checkInterval, 0)
	must.True(t, standing.UpToDate("p", standing.now.Add(time.Millisecond)))
}

// Guards against beacons that were buffered during a pause or suspension and are taken for fresh ones. The two clocks differ because the
// monotonic clock of a suspended machine would show no delay.
func TestOldBeaconsCountForNothing(t *testing.T) {
	for _, suspended := range []time.Duration{0, 5 * time.Second} {
		standing := newPausable()
		sent := func(ago time.Duration) *clusterv1.Beacon {
			return &clusterv1.Beacon{Name: "publisher", Life: 1, SentUs: (time.Hour + standing.Clock.Elapsed() - ago).Microseconds()}
		}
		must.True(t, standing.Heard(sent(3*time.Millisecond), nil))
		held := sent(0) // it is sent now, and read when the machine wakes
		standing.checkAfter(5*time.Second, suspended)
		must.False(t, standing.Heard(held, nil), must.Sprint("suspended for ", suspended))
		must.False(t, standing.UpToDate("p", standing.now), must.Sprint("it knows nothing anew"))
		must.True(t, standing.Heard(sent(200*time.Millisecond), nil), must.Sprint("a slow one"))
		must.True(t, standing.UpToDate("p", standing.now))
	}
}

// Guards against comparing the timestamps of different processes, and against rejecting a beacon without a timestamp.
func TestAgesOfSenders(t *testing.T) {
	var ages beaconDelays
	beacon := func(life int64, sent time.Duration) *clusterv1.Beacon {
		return &clusterv1.Beacon{Name: "a", Life: life, SentUs: sent.Microseconds()}
	}
	must.False(t, ages.stale(beacon(1, time.Hour), time.Minute))
	must.False(t, ages.stale(beacon(2, time.Second), time.Minute), must.Sprint("a new process whose clock began anew"))
	must.True(t, ages.stale(beacon(2, time.Second), time.Minute+time.Second))
	must.False(t, ages.stale(&clusterv1.Beacon{Name: "b"}, time.Hour))
	for sender := range int64(100) {
		must.False(t, ages.stale(beacon(sender+3, time.Second), time.Minute))
	}
	must.LessEq(t, maxSenders, len(ages.minimum))
}

// Guards against rejecting beacons forever after a path has become slower, and against sensitivity to normal clock drift.
func TestAgesDrift(t *testing.T) {
	var ages beaconDelays
	heard := func(sent, way time.Duration) bool {
		return !ages.stale(&clusterv1.Beacon{Name: "a", SentUs: sent.Microseconds()}, sent+way)
	}
	must.True(t, heard(time.Second, 0))
	sent := time.Second
	for !heard(sent, maxBeaconDelay+200*time.Millisecond) {
		sent += beaconInterval
		must.Less(t, 5*time.Minute, sent, must.Sprint("it is believed after some minutes"))
	}
	const apart = 10_000 // one part in so many is how far two clocks differ
	for later := time.Duration(0); later < 12*time.Hour; later += beaconInterval {
		must.True(t, heard(sent+later, maxBeaconDelay+200*time.Millisecond+later/apart))
	}
}
