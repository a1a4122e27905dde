package metering

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
)

// tallyKey names the tally of one process in one window.
type tallyKey struct {
	node   string
	life   int64
	window int64
}

func keyOf(tally *meteringv1.Tally) tallyKey {
	return tallyKey{tally.GetNode(), tally.GetLife(), tally.GetWindow()}
}

const (
	// windowsKept is how many windows a ledger remembers, the present one among them: with windows of five seconds a minute, which is longer
	// than any report may take.
	windowsKept = 12
	// windowsAhead is how many windows a tally may be ahead of this node's clock, which may be late.
	windowsAhead = 1
)

// Ledger holds the newest tallies of processes. Tallies may come in any order and any number of times. It is safe for concurrent use.
type Ledger struct {
	windows Windows
	clock   *Clock

	mu      sync.Mutex
	tallies map[tallyKey]*meteringv1.Tally // never changed once they are in
	// present is the window at which tallies were last forgotten.
	present int64
}

// NewLedger returns an empty ledger.
func NewLedger(windows Windows, clock *Clock) *Ledger {
	return &Ledger{windows: windows, clock: clock, tallies: make(map[tallyKey]*meteringv1.Tally)}
}

// Merge takes tallies that are newer than those known. Tallies of windows that are over for long, or far ahead, are passed over.
func (ledger *Ledger) Merge(tallies ...*meteringv1.Tally) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.forget()
	for _, tally := range tallies {
		if tally.GetWindow() <= ledger.present-windowsKept || tally.GetWindow() > ledger.present+windowsAhead {
			continue
		}
		key := keyOf(tally)
		if known := ledger.tallies[key]; known == nil || known.GetSequence() < tally.GetSequence() {
			ledger.tallies[key] = tally
		}
	}
}

// forget must be called with mu held.
func (ledger *Ledger) forget() {
	present := ledger.windows.At(ledger.clock.Now())
	if present == ledger.present {
		return
	}
	ledger.present = present
	maps.DeleteFunc(ledger.tallies, func(key tallyKey, _ *meteringv1.Tally) bool { return key.window <= present-windowsKept })
}

// Untold returns the tallies that differ from those which somebody has, by their sequences, if they are wanted.
func (ledger *Ledger) Untold(told map[tallyKey]int64, wanted func(*meteringv1.Tally) bool) []*meteringv1.Tally {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	var list []*meteringv1.Tally
	for key, tally := range ledger.tallies {
		if told[key] < tally.GetSequence() && wanted(tally) {
			list = append(list, tally)
		}
	}
	return list
}

// Report adds up the tallies of a window. Tenants come in the order of their names; those without requests are left out.
func (ledger *Ledger) Report(window int64) (report *meteringv1.Report, processes int) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	totals := make(map[string]int64)
	for key, tally := range ledger.tallies {
		if key.window != window {
			continue
		}
		processes++
		for _, count := range tally.GetCounts() {
			totals[count.GetTenant()] += count.GetCount()
		}
	}
	return &meteringv1.Report{Window: window, Counts: countsOf(totals)}, processes
}

// countsOf lists counts in the order of the tenants' names, without those that are zero.
func countsOf(totals map[string]int64) []*meteringv1.TenantCount {
	counts := make([]*meteringv1.TenantCount, 0, len(totals))
	for tenant, count := range totals {
		if count > 0 {
			counts = append(counts, &meteringv1.TenantCount{Tenant: tenant, Count: count})
		}
	}
	slices.SortFunc(counts, func(a, b *meteringv1.TenantCount) int { return cmp.Compare(a.GetTenant(), b.GetTenant()) })
	return counts
}
