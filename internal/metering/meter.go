package metering

import (
	"maps"
	"sync"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
)

// Meter counts the requests that this process forwards and that start running. It is safe for concurrent use.
type Meter struct {
	node        string
	incarnation int64
	windows     Windows
	clock       *Clock
	ledger      *Ledger
	// changed signals that a tally has changed. Its capacity is one.
	changed chan struct{}

	mu       sync.Mutex
	sequence int64
	totals   map[int64]map[string]int64 // by window and tenant
}

// NewMeter returns the meter of a process, which stores its tallies in the ledger.
func NewMeter(node string, incarnation int64, windows Windows, clock *Clock, ledger *Ledger) *Meter {
	return &Meter{
		node: node, incarnation: incarnation, windows: windows, clock: clock, ledger: ledger, changed: make(chan struct{}, 1),
		totals: make(map[int64]map[string]int64),
	}
}

// CountStarted counts a request of a tenant that is being sent to a replica. If it turns out that the request did not run, the caller
// must call withdraw once, which removes the request from the window in which it was counted.
func (meter *Meter) CountStarted(tenant string) (withdraw func()) {
	window := meter.windows.At(meter.clock.Now())
	meter.add(window, tenant, 1)
	return func() { meter.add(window, tenant, -1) }
}

func (meter *Meter) add(window int64, tenant string, change int64) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	totals := meter.totals[window]
	if totals == nil {
		totals = make(map[string]int64)
		meter.totals[window] = totals
		maps.DeleteFunc(meter.totals, func(known int64, _ map[string]int64) bool { return known <= window-retainedWindows })
	}
	totals[tenant] += change
	meter.sequence++
	meter.ledger.Merge(&meteringv1.Tally{Node: meter.node, Life: meter.incarnation, Window: window, Sequence: meter.sequence, Counts: sortedCounts(totals)})
	select {
	case meter.changed <- struct{}{}:
	default:
	}
}
