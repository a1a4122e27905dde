package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func isSlow(table *latencyTable, replica string, now time.Time) bool {
	return table.slowdowns(now)[replica] > 1
}

// Guards against classifying replicas as slow from too few replicas or from stale events.
func TestSlowReplicas(t *testing.T) {
	now := time.Unix(100, 0)
	table := newLatencyTable()
	observe := func(replica string, gap time.Duration) {
		for range minSamples {
			table.observe(replica, gap, now)
		}
	}
	observe("slow", 150*time.Millisecond)
	observe("r0", 30*time.Millisecond)
	must.False(t, isSlow(table, "slow", now), must.Sprint("two replicas are known"))
	for index := range 3 {
		observe(fmt.Sprint("r", index), 30*time.Millisecond)
	}
	must.True(t, isSlow(table, "slow", now))
	must.False(t, isSlow(table, "r1", now))
	must.InDelta(t, 5, table.slowdowns(now)["slow"], 0.01)
	must.False(t, isSlow(table, "slow", now.Add(recentTTL+time.Second)))
	must.MapEmpty(t, table.slowdowns(now.Add(time.Hour)))
}

// Guards against losing the long-term latency when the recent one expires.
func TestUsualPace(t *testing.T) {
	now := time.Unix(100, 0)
	table := newLatencyTable()
	for range 10 {
		table.observe("fast", 40*time.Millisecond, now)
		table.observe("other", 52*time.Millisecond, now)
	}
	now = now.Add(recentTTL + time.Second)
	must.InDelta(t, 1.0, table.relativeLatencies(now)["fast"], 0.001)
	must.InDelta(t, 1.3, table.relativeLatencies(now)["other"], 0.001)
	must.MapEmpty(t, table.relativeLatencies(now.Add(longTermTTL)))
}

// Guards against classifying a replica as slow after a single long gap per stream, as a pause of the process causes it.
func TestPauseIsNotSlow(t *testing.T) {
	now := time.Unix(100, 0)
	table := newLatencyTable()
	observe := func(replica string, gap time.Duration, count int) {
		for range count {
			now = now.Add(time.Millisecond)
			table.observe(replica, gap, now)
		}
	}
	for _, replica := range []string{"a", "b", "c", "d"} {
		observe(replica, 40*time.Millisecond, 60)
	}
	observe("a", 400*time.Millisecond, 4)
	must.False(t, isSlow(table, "a", now))
	usual := table.expected("a", now)
	must.Between(t, 0.04, usual, 0.1)
	now = now.Add(latencyWindow + time.Millisecond)
	for _, replica := range []string{"b", "c", "d"} {
		observe(replica, 40*time.Millisecond, 60)
	}
	observe("a", 120*time.Millisecond, 12)
	must.True(t, isSlow(table, "a", now))
	must.Between(t, 0.115, table.expected("a", now), 0.13)
}
