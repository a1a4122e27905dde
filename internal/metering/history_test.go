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

// Whatever fails, no window is reported in two ways, no fence falls, and holders don't take turns. If no two fail together, each report is
// what began to run.
func TestDrawnHistoriesOfUsage(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{
			"calm", "calm", "kill front", "kill holder", "cut holder", "store down", "sink broken", "sink late", "sink slow", "answers lost",
		}), 4, 10).Draw(drawn, "faults")
		fronts := rapid.SliceOfN(rapid.IntRange(0, frontCount-1), len(faults), len(faults)).Draw(drawn, "fronts")
		overlap := rapid.Bool().Draw(drawn, "overlap")
		synctest.Test(t, func(t *testing.T) {
			history := newHistory()
			time.Sleep(8 * time.Second)
			first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
			for index, fault := range faults {
				history.suffer(fault, fronts[index], overlap)
			}
			history.repair()
			time.Sleep(25 * time.Second)
			last := metering.Windows{Length: windowLength}.At(time.Now()) - 3
			history.end()
			if len(history.sink.wrong) > 0 {
				t.Fatalf("%v: %v", faults, history.sink.wrong)
			}
			for window := first; window <= last; window++ {
				content, taken := history.reported(window)
				want := "[]"
				if count := history.truth[window]; count > 0 {
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

// A front and the holder that die together take no count with them: a witness has it.
func TestWitnessTellsTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := newHistory()
		time.Sleep(8 * time.Second)
		first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
		history.traffic(7 * time.Second)
		time.Sleep(300 * time.Millisecond)
		history.killFront(1)
		history.killCandidate(history.holder())
		history.traffic(20 * time.Second)
		time.Sleep(10 * time.Second)
		history.end()
		history.expectTruth(t, first, first+3)
	})
}

// A holder that is started again and goes on at once has forgotten what it was told, and waits until it is told that again, whenever in a
// window it is killed.
func TestHolderIsToldAgain(t *testing.T) {
	for offset := time.Duration(0); offset < windowLength; offset += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			history := newHistory()
			history.killCandidate("orderer-2")
			time.Sleep(8 * time.Second)
			windows := metering.Windows{Length: windowLength}
			first := windows.At(time.Now()) + 1
			history.traffic(time.Until(windows.End(first+1)) + offset)
			history.killCandidate("orderer-1")
			history.startCandidate("orderer-1")
			history.traffic(12 * time.Second)
			time.Sleep(10 * time.Second)
			history.end()
			history.expectTruth(t, first, first+2)
		})
	}
}

// An outage of the store that lasts from before a window's report to just before it is due: the holder that acquires the lease again still
// knows what it was told of that window, and reports it in time.
func TestReportAfterAnOutageIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const due = 10 * time.Second
		history := newHistory()
		history.killCandidate("orderer-2")
		time.Sleep(8 * time.Second)
		windows := metering.Windows{Length: windowLength}
		window := windows.At(time.Now()) + 1
		setCut := func(cut bool) {
			history.mu.Lock()
			defer history.mu.Unlock()
			history.cut["orderer-1"] = cut
		}
		history.traffic(time.Until(windows.End(window).Add(2200 * time.Millisecond)))
		setCut(true)
		history.traffic(time.Until(windows.End(window).Add(due - time.Second)))
		setCut(false)
		time.Sleep(time.Until(windows.End(window).Add(due)))
		_, taken := history.reported(window)
		must.True(t, taken)
		history.end()
	})
}

// A platform that is very slow still takes reports.
func TestReportToASlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := newHistory()
		history.sink.set(func(sink *sink) { sink.slow = 1500 * time.Millisecond })
		time.Sleep(8 * time.Second)
		first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
		history.traffic(16 * time.Second)
		time.Sleep(10 * time.Second)
		history.end()
		history.expectTruth(t, first, first+1)
	})
}

// A platform that takes nothing for long does not fill the store; the newest reports are sent once it is back.
func TestUnsentReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kept = 720
		history := newHistory()
		history.killCandidate("orderer-2")
		history.sink.set(func(sink *sink) { sink.broken = true })
		time.Sleep((kept + 60) * windowLength)
		listing, err := history.store.List(t.Context(), "usage/")
		must.NoError(t, err)
		must.LessEq(t, kept+2, len(listing.Items))
		history.repair()
		time.Sleep(20 * time.Second)
		history.sink.mu.Lock()
		taken := len(history.sink.contents)
		history.sink.mu.Unlock()
		must.Between(t, kept, taken, kept+8)
		history.end()
	})
}

// supersededTerm is one that its holder takes to be in force, while another has begun.
type supersededTerm struct{ holder string }

func (supersededTerm) Valid(time.Duration) bool { return true }

func (supersededTerm) Remaining() time.Duration { return time.Hour }

func (term supersededTerm) Condition() metadata.Condition {
	return metadata.Condition{Key: term.holder, Revision: 1}
}

// A former holder that wakes late, and does not know that it is one, stores and reports nothing of its own.
func TestFormerHolderStoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, taken := memstore.New(), &sink{contents: make(map[int64]string)}
		for _, holder := range []string{"former", "present"} {
			_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "holder", Value: []byte(holder)}}})
			must.NoError(t, err)
		}
		clock, windows := metering.NewClock(clock.Steady()), metering.Windows{Length: windowLength}
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

// A platform so slow that a call outlasts the lease and whose answers are lost, so that a call is always under way, takes nothing from
// a holder so late that the successor's first report comes too soon after it. The holder is cut off at moments all over a call.
func TestCallOfALostTermEndsInTime(t *testing.T) {
	for after := time.Duration(0); after < 3*time.Second; after += 30 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			history := newHistory()
			time.Sleep(8 * time.Second)
			history.sink.set(func(sink *sink) { sink.slow, sink.broken, sink.late = 1900*time.Millisecond, true, true })
			history.traffic(8 * time.Second)
			time.Sleep(after)
			history.cutOff(history.holder())
			history.traffic(3 * time.Second)
			history.sink.set(func(sink *sink) { sink.slow, sink.broken = 0, false })
			history.traffic(7 * time.Second)
			history.end()
			must.Len(t, 0, history.sink.wrong, must.Sprintf("cut off after %s", after))
		})
	}
}
