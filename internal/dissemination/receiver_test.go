package dissemination

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// Guards against a relay that is replaced after one lost beacon, or kept after two, or kept although it does not start.
func TestSilentRelay(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name                    string
		since, reported         time.Duration
		acknowledged            int64
		unresponsive, isNoRelay bool
	}{
		{name: "last beacon answered", since: 9 * time.Second, reported: beaconInterval, acknowledged: 1},
		{name: "one beacon was lost", since: 9 * time.Second, reported: 2*beaconInterval + 50*time.Millisecond, acknowledged: 1},
		{name: "two beacons were lost", since: 9 * time.Second, reported: 3 * beaconInterval, acknowledged: 1, unresponsive: true},
		{name: "just assigned", since: time.Second},
		{name: "does not start", since: relayStartTimeout + time.Millisecond, unresponsive: true},
		{name: "nothing assigned", isNoRelay: true},
	} {
		state := &relayState{assignedSince: now.Add(-row.since), lastReport: now.Add(-row.reported), acknowledged: row.acknowledged}
		if row.isNoRelay {
			state.assignedSince = time.Time{}
		}
		must.Eq(t, row.unresponsive, state.unresponsive(now), must.Sprint(row.name))
	}
}

// Guards against resending an unchanged assignment, and against missing that a node was replaced by a new process.
func TestAssignments(t *testing.T) {
	a, b := &clusterv1.NodeRecord{Name: "a", Life: 1}, &clusterv1.NodeRecord{Name: "b", Life: 1}
	state, now := &relayState{}, time.Now()
	must.False(t, state.assign(nil, now))
	must.True(t, state.assign([]*clusterv1.NodeRecord{a, b}, now))
	must.True(t, state.unsent())
	state.sentNumber = state.assignment.GetNumber()
	must.False(t, state.assign([]*clusterv1.NodeRecord{b, a}, now))
	must.False(t, state.unsent())
	must.True(t, state.assign([]*clusterv1.NodeRecord{a, {Name: "b", Life: 2}}, now))
	must.True(t, state.assign(nil, now), must.Sprint("assignment withdrawn"))
	must.True(t, state.unsent())
	must.False(t, state.unresponsive(now.Add(time.Hour)))
}

// Guards against excluding all relays at the first beacon after a period without beacons, such as an outage of the store.
func TestRelaysBeginAnewAfterSilence(t *testing.T) {
	now := time.Now()
	for _, silent := range []time.Duration{beaconInterval, 5 * time.Second} {
		publisher := &Publisher{Logger: log.New(io.Discard)}
		publisher.initialize()
		relay, served := &clusterv1.NodeRecord{Name: "relay", Life: 1}, []*clusterv1.NodeRecord{{Name: "a"}, {Name: "b"}}
		state := &receiver{record: relay}
		state.relay.assign(served, now.Add(-time.Minute))
		state.relay.sentNumber, state.relay.acknowledged, state.relay.lastReport = 1, 1, now.Add(-silent)
		publisher.receivers[processOf(relay)] = state
		publisher.lastBeaconAt = now.Add(-silent)
		publisher.recordAnnounced(&clusterv1.Beacon{}, now)
		publisher.updateExclusions(now)
		must.MapEmpty(t, publisher.excludedUntil, must.Sprint(silent))
		must.Eq(t, silent > relayReportTimeout, state.relay.unsent(), must.Sprint(silent))
		must.Eq(t, silent <= relayReportTimeout, state.relay.active(), must.Sprint(silent))
	}
}

// Guards against counting a relay's answer to the beacon of another publisher.
func TestReportsOfOtherOrigins(t *testing.T) {
	publisher, relay, now := &Publisher{Node: "reader", Incarnation: 1, Logger: log.New(io.Discard)}, &clusterv1.NodeRecord{Name: "relay", Life: 1}, time.Now()
	publisher.initialize()
	state := &receiver{record: relay}
	state.relay.assign([]*clusterv1.NodeRecord{{Name: "a"}}, now)
	publisher.receivers[processOf(relay)] = state
	for _, other := range []*clusterv1.Origin{nil, {Name: "publisher", Life: 1}, {Name: "reader", Life: 2}} {
		publisher.HandleReport(&clusterv1.RelayReport{Node: "relay", Life: 1, Assignment: 1, Origin: other})
		must.False(t, state.relay.active())
	}
	publisher.HandleReport(&clusterv1.RelayReport{Node: "relay", Life: 1, Assignment: 1, Origin: &clusterv1.Origin{Name: "reader", Life: 1}})
	must.True(t, state.relay.active())
}
