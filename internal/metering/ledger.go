package metering

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
)

// tallyKey identifies the tally of one process in one window.
type tallyKey struct {
	node        string
	incarnation int64
	window      int64
}

func keyOf(tally *meteringv1.Tally) tallyKey {
	return tallyKey{tally.GetNode(), tally.GetLife(), tally.GetWindow()}
}

const (
	// retainedWindows is the number of windows that a ledger retains, including the current one. Their total length must exceed the time
	// by which a window has to be reported.
	retainedWindows = 12
	// maxWindowsAhead is how many windows a tally may be ahead of this node's clock, to tolerate clock skew.
	maxWindowsAhead = 1
)

// Ledger holds the newest tally of each process in each retained window. Tallies may arrive in any order and more than once. It is safe
// for concurrent use.
type Ledger struct {
	windows Windows
	clock   *Clock

	mu      sync.Mutex
	tallies map[tallyKey]*meteringv1.Tally // the tallies are immutable
	// currentWindow is the current window as of the last eviction.
	currentWindow int64
}

// NewLedger returns an empty ledger.
func NewLedger(windows Windows, clock *Clock) *Ledger {
	return &Ledger{windows: windows, clock: clock, tallies: make(map[tallyKey]*meteringv1.Tally)}
}

// Merge adds each tally that is newer than the ledger's tally of the same process and window. It ignores tallies of windows that are no
// longer retained or too far ahead.
func (ledger *Ledger) Merge(tallies ...*meteringv1.Tally) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.evictExpired()
	for _, tally := range tallies {
		if tally.GetWindow() <= ledger.currentWindow-retainedWindows || tally.GetWindow() > ledger.currentWindow+maxWindowsAhead {
			continue
		}
		key := keyOf(tally)
		if known := ledger.tallies[key]; known == nil || known.GetSequence() < tally.GetSequence() {
			ledger.tallies[key] = tally
		}
	}
}

// evictExpired must be called with mu held.
func (ledger *Ledger) evictExpired() {
	currentWindow := ledger.windows.At(ledger.clock.Now())
	if currentWindow == ledger.currentWindow {
		return
	}
	ledger.currentWindow = currentWindow
	maps.DeleteFunc(ledger.tallies, func(key tallyKey, _ *meteringv1.Tally) bool { return key.window <= currentWindow-retainedWindows })
}

// Unacknowledged returns the tallies that are newer than the acknowledged sequences and for which include returns true.
func (ledger *Ledger) Unacknowledged(acked map[tallyKey]int64, include func(*meteringv1.Tally) bool) []*meteringv1.Tally {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	var list []*meteringv1.Tally
	for key, tally := range ledger.tallies {
		if acked[key] < tally.GetSequence() && include(tally) {
			list = append(list, tally)
		}
	}
	return list
}

// Report sums up the tallies of a window and returns the number of processes they came from. Tenants are sorted by name; those without
// requests are omitted.
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
	return &meteringv1.Report{Window: window, Counts: sortedCounts(totals)}, processes
}

// sortedCounts returns the counts that are not zero, sorted by the names of the tenants.
func sortedCounts(totals map[string]int64) []*meteringv1.TenantCount {
	counts := make([]*meteringv1.TenantCount, 0, len(totals))
	for tenant, count := range totals {
		if count > 0 {
			counts = append(counts, &meteringv1.TenantCount{Tenant: tenant, Count: count})
		}
	}
	slices.SortFunc(counts, func(a, b *meteringv1.TenantCount) int { return cmp.Compare(a.GetTenant(), b.GetTenant()) })
	return counts
}
