package metering_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/metering"
)

// Under any faults, no window may be reported with two different contents, no fence may decrease, and the calls of two holders must be
// separated by minHolderGap. Unless faults overlap, each report must match the requests that started running.
func TestDrawnHistoriesOfUsage(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{
			"calm", "calm", "kill front", "kill holder", "cut holder", "store down", "sink broken", "sink late", "sink slow", "answers lost",
		}), 4, 10).Draw(drawn, "faults")
		fronts := rapid.SliceOfN(rapid.IntRange(0, frontCount-1), len(faults), len(faults)).Draw(drawn, "fronts")
		overlap := rapid.Bool().Draw(drawn, "overlap")
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster()
			time.Sleep(8 * time.Second)
			first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
			for index, fault := range faults {
				cluster.injectFault(fault, fronts[index], overlap)
			}
			cluster.repair()
			time.Sleep(25 * time.Second)
			last := metering.Windows{Length: windowLength}.At(time.Now()) - 3
			cluster.end()
			if len(cluster.sink.violations) > 0 {
				t.Fatalf("%v: %v", faults, cluster.sink.violations)
			}
			for window := first; window <= last; window++ {
				content, taken := cluster.reported(window)
				want := "[]"
				if count := cluster.expected[window]; count > 0 {
					want = fmt.Sprint([]*meteringv1.TenantCount{{Tenant: "harbour", Count: count}})
				}
				switch {
				case !taken:
					t.Fatalf("%v: window %d of %d to %d was not reported", faults, window, first, last)
				case content != want && !overlap:
					t.Fatalf("%v: window %d was reported as %s, not %s", faults, window, content, want)
				}
			}
		})
	})
}

// No count may be lost if a front and the holder crash together: the witness has the front's tallies.
func TestWitnessTellsTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster()
		time.Sleep(8 * time.Second)
		first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
		cluster.traffic(7 * time.Second)
		time.Sleep(300 * time.Millisecond)
		cluster.killFront(1)
		cluster.killCandidate(cluster.holder())
		cluster.traffic(20 * time.Second)
		time.Sleep(10 * time.Second)
		cluster.end()
		cluster.expectReports(t, first, first+3)
	})
}

// A holder that restarts has lost the tallies that it had received. It must wait until they are sent again, at whatever moment of a window
// it is killed.
func TestHolderIsToldAgain(t *testing.T) {
	for offset := time.Duration(0); offset < windowLength; offset += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster()
			cluster.killCandidate("orderer-2")
			time.Sleep(8 * time.Second)
			windows := metering.Windows{Length: windowLength}
			first := windows.At(time.Now()) + 1
			cluster.traffic(time.Until(windows.End(first+1)) + offset)
			cluster.killCandidate("orderer-1")
			cluster.startCandidate("orderer-1")
			cluster.traffic(12 * time.Second)
			time.Sleep(10 * time.Second)
			cluster.end()
			cluster.expectReports(t, first, first+2)
		})
	}
}

// A window must be reported in time after an outage of the store that starts before the report and ends just before it is due. The holder
// acquires the lease again and still has the tallies of the window.
func TestReportAfterAnOutageIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const due = 10 * time.Second
		cluster := newCluster()
		cluster.killCandidate("orderer-2")
		time.Sleep(8 * time.Second)
		windows := metering.Windows{Length: windowLength}
		window := windows.At(time.Now()) + 1
		setIsolated := func(isolated bool) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			cluster.isolated["orderer-1"] = isolated
		}
		cluster.traffic(time.Until(windows.End(window).Add(2200 * time.Millisecond)))
		setIsolated(true)
		cluster.traffic(time.Until(windows.End(window).Add(due - time.Second)))
		setIsolated(false)
		time.Sleep(time.Until(windows.End(window).Add(due)))
		_, taken := cluster.reported(window)
		must.True(t, taken)
		cluster.end()
	})
}

// A slow platform must still receive correct reports.
func TestReportToASlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster()
		cluster.sink.set(func(sink *sink) { sink.delay = 1500 * time.Millisecond })
		time.Sleep(8 * time.Second)
		first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
		cluster.traffic(16 * time.Second)
		time.Sleep(10 * time.Second)
		cluster.end()
		cluster.expectReports(t, first, first+1)
	})
}

// The number of stored reports must be bounded while the platform is unavailable. The newest reports must be sent when it recovers.
func TestUnsentReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kept = 720
		cluster := newCluster()
		cluster.killCandidate("orderer-2")
		cluster.sink.set(func(sink *sink) { sink.broken = true })
		time.Sleep((kept + 60) * windowLength)
		listing, err := cluster.store.List(t.Context(), "usage/")
		must.NoError(t, err)
		must.LessEq(t, kept+2, len(listing.Items))
		cluster.repair()
		time.Sleep(20 * time.Second)
		cluster.sink.mu.Lock()
		taken := len(cluster.sink.contents)
		cluster.sink.mu.Unlock()
		must.Between(t, kept, taken, kept+8)
		cluster.end()
	})
}

// supersededTerm is a term that looks valid to its holder although another term has started.
type supersededTerm struct{ holder string }

func (supersededTerm) Valid(time.Duration) bool { return true }

func (supersededTerm) Remaining() time.Duration { return time.Hour }

func (term supersededTerm) Condition() metadata.Condition {
	return metadata.Condition{Key: term.holder, Revision: 1}
}

// A former holder that does not know that its term has ended must neither store nor send a report.
func TestFormerHolderStoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, taken := memstore.New(), &sink{contents: make(map[int64]string)}
		for _, holder := range []string{"former", "present"} {
			_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "holder", Value: []byte(holder)}}})
			must.NoError(t, err)
		}
		clock, windows := metering.NewClock(clock.Monotonic()), metering.Windows{Length: windowLength}
		reporter := &metering.Reporter{
			Node: "former", Windows: windows, Clock: clock, Ledger: metering.NewLedger(windows, clock), Store: store, Sink: taken, Logger: log.New(io.Discard),
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		reporter.Run(ctx, 1, supersededTerm{"holder"})
		must.MapEmpty(t, taken.contents)
		listing, err := store.List(t.Context(), "")
		must.NoError(t, err)
		must.Len(t, 1, listing.Items)
	})
}

// A call of a holder that has lost its lease must end early enough before the successor's first report. The platform is so slow that a call
// outlasts the lease, and loses its responses, so that a call is always in progress when the holder is isolated.
func TestCallOfALostTermEndsInTime(t *testing.T) {
	for after := time.Duration(0); after < 3*time.Second; after += 30 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster()
			time.Sleep(8 * time.Second)
			cluster.sink.set(func(sink *sink) { sink.delay, sink.broken, sink.late = 1900*time.Millisecond, true, true })
			cluster.traffic(8 * time.Second)
			time.Sleep(after)
			cluster.isolate(cluster.holder())
			cluster.traffic(3 * time.Second)
			cluster.sink.set(func(sink *sink) { sink.delay, sink.broken = 0, false })
			cluster.traffic(7 * time.Second)
			cluster.end()
			must.Len(t, 0, cluster.sink.violations, must.Sprintf("isolated after %s", after))
		})
	}
}

// fixedTerm is a term that stays valid until its holder's key changes.
type fixedTerm struct{ condition metadata.Condition }

func (fixedTerm) Valid(time.Duration) bool { return true }

func (fixedTerm) Remaining() time.Duration { return time.Hour }

func (term fixedTerm) Condition() metadata.Condition { return term.condition }

// newTerm starts a term in the store.
func newTerm(t *testing.T, store metadata.Store, holder string) fixedTerm {
	t.Helper()
	revision, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "holder", Value: []byte(holder)}}})
	must.NoError(t, err)
	return fixedTerm{metadata.Condition{Key: "holder", Revision: revision}}
}

// Guards against a window that is reported with two contents: the store applies the first attempt to store its report after a later attempt,
// with further counts, was stored, accepted by the platform and removed. The next holder must not find the first one.
func TestLateReportIsNotStoredAgain(t *testing.T) {
	for earlier := range int64(3) {
		for _, late := range []time.Duration{0, 2 * time.Second, 6 * time.Second, 11 * time.Second} {
			t.Run(fmt.Sprint(earlier, " reports before, ", late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { lateReport(t, earlier, late) })
			})
		}
	}
}

// lateReport loses the answer of the first attempt to store a window's report, which is applied late.
func lateReport(t *testing.T, earlier int64, late time.Duration) {
	store, taken := memstore.New(), &sink{contents: make(map[int64]string)}
	clock, windows := metering.NewClock(clock.Monotonic()), metering.Windows{Length: windowLength}
	ledger := metering.NewLedger(windows, clock)
	run := func(holder string) context.CancelFunc {
		ctx, cancel := context.WithCancel(t.Context())
		term := newTerm(t, store, holder)
		reporter := &metering.Reporter{Node: holder, Windows: windows, Clock: clock, Ledger: ledger, Store: store, Sink: taken, Logger: log.New(io.Discard)}
		go reporter.Run(ctx, int64(term.condition.Revision), term)
		return cancel
	}
	window := windows.At(time.Now()) + earlier
	stop := run("first")
	count := func(sequence, count int64) {
		ledger.Merge(&meteringv1.Tally{Node: "front", Life: 1, Window: window, Sequence: sequence, Counts: []*meteringv1.TenantCount{{Tenant: "harbour", Count: count}}})
	}
	time.Sleep(time.Until(windows.End(window)))
	count(1, 3)
	time.Sleep(2450 * time.Millisecond) // the report is due 50 ms later
	store.SetFaults(memstore.Faults{LoseResponses: 1, CommitDelay: late})
	time.Sleep(300 * time.Millisecond)
	count(2, 4)
	time.Sleep(20 * time.Second)
	taken.mu.Lock()
	_, reported := taken.contents[window]
	taken.mu.Unlock()
	must.True(t, reported)
	stop()
	time.Sleep(minHolderGap)
	stop = run("second")
	time.Sleep(20 * time.Second)
	stop()
	synctest.Wait()
	must.SliceEmpty(t, taken.violations)
}
