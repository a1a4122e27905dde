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
	subscriber := &pausable{now: time.Now(), Subscriber: &Subscriber{
		Limits: LimitsFor(2*time.Second, false), Health: metadata.NewHealth(healthyStore{}, logger), Logger: logger,
	}}
	startedAt := subscriber.now
	subscriber.Clock = clock.Func(func() time.Duration { return time.Minute + subscriber.now.Sub(startedAt) + subscriber.suspended })
	subscriber.lags = make(map[string]lag)
	subscriber.startedAt, subscriber.lastCheckAt, subscriber.lastCheckElapsed = startedAt, startedAt, time.Minute
	subscriber.HandleBeacon(&clusterv1.Beacon{}, nil)
	return subscriber
}

// checkAfter advances the clocks, of which the machine is suspended for a part, runs a check, and reports whether the subscriber reads the
// store.
func (subscriber *pausable) checkAfter(after, suspended time.Duration) bool {
	subscriber.now = subscriber.now.Add(after - suspended)
	subscriber.suspended += suspended
	reading, _, _ := subscriber.check(subscriber.now)
	return reading
}

// Guards against a process that reads the store immediately after a pause: it first waits for a beacon, and reads the store if none
// arrives.
func TestPauseIsNotSilence(t *testing.T) {
	for _, suspended := range []time.Duration{0, 5 * time.Second} {
		subscriber := newPausable()
		must.False(t, subscriber.checkAfter(checkInterval, 0))
		must.False(t, subscriber.checkAfter(5*time.Second, suspended), must.Sprint("immediately after the pause"))
		must.False(t, subscriber.checkAfter(resumeTimeout-checkInterval, 0))
		must.True(t, subscriber.checkAfter(2*checkInterval, 0), must.Sprint(suspended))
	}
}

// Guards against a node that claims to be up to date after a suspension of its machine, before a new beacon or a new read of the store.
func TestSuspendedNodeIsNotUpToDate(t *testing.T) {
	subscriber := newPausable()
	must.False(t, subscriber.checkAfter(checkInterval, 0))
	must.True(t, subscriber.UpToDate("p", subscriber.now))
	subscriber.suspended += 5 * time.Second
	must.False(t, subscriber.UpToDate("p", subscriber.now), must.Sprint("before anything else has run"))
	subscriber.checkAfter(checkInterval, 0)
	must.False(t, subscriber.UpToDate("p", subscriber.now), must.Sprint("without a beacon"))
	subscriber.HandleBeacon(&clusterv1.Beacon{}, nil)
	must.True(t, subscriber.UpToDate("p", subscriber.now))

	subscriber.reading, subscriber.readingSince = true, subscriber.now.Add(-time.Minute)
	subscriber.lastMissedAt = subscriber.now // keeps the subscriber reading
	must.True(t, subscriber.UpToDate("p", subscriber.now))
	subscriber.suspended += 5 * time.Second
	must.False(t, subscriber.UpToDate("p", subscriber.now), must.Sprint("before anything else has run"))
	subscriber.lastMissedAt = subscriber.now
	must.True(t, subscriber.checkAfter(checkInterval, 0))
	must.False(t, subscriber.UpToDate("p", subscriber.now), must.Sprint("data may be out of date"))
	subscriber.lastMissedAt = subscriber.now
	must.True(t, subscriber.checkAfter(firstReadTimeout, 0))
	subscriber.checkAfter(checkInterval, 0)
	must.True(t, subscriber.UpToDate("p", subscriber.now.Add(time.Millisecond)))
}

// Guards against beacons that were buffered during a pause or suspension and are taken for fresh ones. The two clocks differ because the
// monotonic clock of a suspended machine would show no delay.
func TestOldBeaconsCountForNothing(t *testing.T) {
	for _, suspended := range []time.Duration{0, 5 * time.Second} {
		subscriber := newPausable()
		sent := func(ago time.Duration) *clusterv1.Beacon {
			return &clusterv1.Beacon{Name: "publisher", Life: 1, SentUs: (time.Hour + subscriber.Clock.Elapsed() - ago).Microseconds()}
		}
		must.True(t, subscriber.HandleBeacon(sent(3*time.Millisecond), nil))
		held := sent(0) // sent now, handled after the pause
		subscriber.checkAfter(5*time.Second, suspended)
		must.False(t, subscriber.HandleBeacon(held, nil), must.Sprint("suspended for ", suspended))
		must.False(t, subscriber.UpToDate("p", subscriber.now), must.Sprint("no new data"))
		must.True(t, subscriber.HandleBeacon(sent(200*time.Millisecond), nil), must.Sprint("slightly delayed"))
		must.True(t, subscriber.UpToDate("p", subscriber.now))
	}
}

// Guards against comparing the timestamps of different processes, and against rejecting a beacon without a timestamp.
func TestAgesOfSenders(t *testing.T) {
	var delays beaconDelays
	beacon := func(incarnation int64, sent time.Duration) *clusterv1.Beacon {
		return &clusterv1.Beacon{Name: "a", Life: incarnation, SentUs: sent.Microseconds()}
	}
	must.False(t, delays.stale(beacon(1, time.Hour), time.Minute))
	must.False(t, delays.stale(beacon(2, time.Second), time.Minute), must.Sprint("a new process whose clock restarted"))
	must.True(t, delays.stale(beacon(2, time.Second), time.Minute+time.Second))
	must.False(t, delays.stale(&clusterv1.Beacon{Name: "b"}, time.Hour))
	for sender := range int64(100) {
		must.False(t, delays.stale(beacon(sender+3, time.Second), time.Minute))
	}
	must.LessEq(t, maxSenders, len(delays.minimum))
}

// Guards against rejecting beacons forever after a path has become slower, and against sensitivity to normal clock drift.
func TestAgesDrift(t *testing.T) {
	var delays beaconDelays
	accepted := func(sent, delay time.Duration) bool {
		return !delays.stale(&clusterv1.Beacon{Name: "a", SentUs: sent.Microseconds()}, sent+delay)
	}
	must.True(t, accepted(time.Second, 0))
	sent := time.Second
	for !accepted(sent, maxBeaconDelay+200*time.Millisecond) {
		sent += beaconInterval
		must.Less(t, 5*time.Minute, sent, must.Sprint("accepted after some minutes"))
	}
	const driftDivisor = 10_000 // the clocks drift apart by one part in this many
	for later := time.Duration(0); later < 12*time.Hour; later += beaconInterval {
		must.True(t, accepted(sent+later, maxBeaconDelay+200*time.Millisecond+later/driftDivisor))
	}
}
