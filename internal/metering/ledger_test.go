package metering

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
)

var testWindows = Windows{Length: 5 * time.Second}

func tally(node string, incarnation, window, sequence, count int64) *meteringv1.Tally {
	return &meteringv1.Tally{
		Node: node, Life: incarnation, Window: window, Sequence: sequence, Counts: []*meteringv1.TenantCount{{Tenant: "harbour", Count: count}},
	}
}

// Tallies may arrive repeatedly, late and out of order: only the newest of each process must count, and only once.
func TestLedgerTakesTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := NewLedger(testWindows, NewClock(clock.Monotonic()))
		present := testWindows.At(time.Now())
		counted := func(window int64) int64 { report, _ := ledger.Report(window); return total(report) }
		ledger.Merge(tally("a", 1, present, 2, 7))
		ledger.Merge(tally("a", 1, present, 2, 7), tally("a", 1, present, 1, 3))
		must.Eq(t, 7, counted(present))
		ledger.Merge(tally("a", 1, present, 3, 6))
		must.Eq(t, 6, counted(present), must.Sprint("a request that did not run is withdrawn"))
		ledger.Merge(tally("a", 2, present, 1, 1), tally("b", 1, present, 9, 10), tally("b", 1, present-1, 8, 5))
		must.Eq(t, 17, counted(present), must.Sprint("another incarnation and another node"))
		must.Eq(t, 5, counted(present-1))
		_, processes := ledger.Report(present)
		must.Eq(t, 3, processes)

		ledger.Merge(tally("c", 1, present+1, 1, 4), tally("c", 1, present+2, 1, 4), tally("c", 1, present-retainedWindows, 1, 4))
		must.Eq(t, 4, counted(present+1), must.Sprint("a window within maxWindowsAhead"))
		must.Eq(t, 0, counted(present+2), must.Sprint("a window too far ahead"))
		must.Eq(t, 0, counted(present-retainedWindows), must.Sprint("a window that is no longer retained"))

		time.Sleep((retainedWindows + 2) * testWindows.Length)
		ledger.Merge()
		must.Eq(t, 0, counted(present))
		must.MapEmpty(t, ledger.tallies)
	})
}

// A request that did not run must be withdrawn from the window in which it was counted.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock(clock.Monotonic())
		ledger := NewLedger(testWindows, clock)
		meter := NewMeter("a", 1, testWindows, clock, ledger)
		first := testWindows.At(time.Now())
		meter.CountStarted("harbour")
		withdraw := meter.CountStarted("harbour")
		meter.CountStarted("airport")
		time.Sleep(testWindows.Length)
		meter.CountStarted("harbour")
		report, _ := ledger.Report(first)
		must.Eq(t, "airport:1 harbour:2", describe(report))
		withdraw()
		report, _ = ledger.Report(first)
		must.Eq(t, "airport:1 harbour:1", describe(report))
		report, _ = ledger.Report(first + 1)
		must.Eq(t, "harbour:1", describe(report))
	})
}
